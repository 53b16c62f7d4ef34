"""Responses without a length and without chunks, which end with their connection."""

import pytest

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7)]


@pytest.fixture
def engines(deployment):
    return [deployment.add_endpoint(f"e{n}", service="pool") for n in range(2)]


def ask_all_faulty(deployment, endpoints, fault, path, **headers):
    """Send a request of which each send meets the fault."""
    deployment.add_node()
    for endpoint in endpoints:
        endpoint.faults.append(fault)
    return deployment.ask(path, **headers)


class TestStreams:
    @pytest.mark.parametrize("path", ["/chat/x", "/once/x"])
    def test_stream_that_ends_after_an_event_is_complete(
        self, deployment, engines, path
    ):
        status, _, body, complete = ask_all_faulty(
            deployment, engines, "unframed", path
        )
        assert (status, complete, body) == (200, True, b"".join(EVENTS))

    @pytest.mark.parametrize("fault", ["unframed_cut", "unframed_reset"])
    def test_stream_that_ends_within_an_event_is_not_complete(
        self, deployment, engines, fault
    ):
        # Guards against a stream that broke off reaching its client as a complete one.
        status, _, body, complete = ask_all_faulty(
            deployment, engines, fault, "/once/x"
        )
        assert (status, complete, body) == (200, False, b"".join(EVENTS[:2]))

    @pytest.mark.parametrize("fault", ["unframed_cut", "unframed_reset"])
    def test_resumable_stream_goes_on_at_another_engine(
        self, deployment, engines, fault
    ):
        engines[0].faults.append(fault)
        engines[1].event_interval_s = 0.02
        deployment.add_node()
        status, _, body, complete = deployment.ask("/chat/x")
        assert (status, complete, body) == (200, True, b"".join(EVENTS))

    @pytest.mark.parametrize("path", ["/chat/x", "/once/x"])
    def test_stream_without_an_event_is_not_complete(self, deployment, engines, path):
        # Guards against an engine that ends as it begins to answer reaching the client
        # as a complete stream of no events.
        status, _, body, _ = ask_all_faulty(deployment, engines, "unframed_empty", path)
        assert (status, body[:6]) == (502, b"stream")

    def test_framed_stream_resumed_after_its_last_event_may_be_empty(
        self, deployment, engines
    ):
        deployment.add_node()
        status, _, body, complete = deployment.ask("/chat/x", last_event_id="6")
        assert (status, complete, body) == (200, True, b"")


class TestCalls:
    def test_answer_that_ends_with_its_connection_is_complete(self, deployment):
        endpoint = deployment.add_endpoint("app-1", service="app")
        status, headers, body, complete = ask_all_faulty(
            deployment, [endpoint], "unframed", "/order/x"
        )
        assert (status, complete, body) == (200, True, b"done by app-1")
        assert headers[b"content-length"] == b"13"

    def test_answer_that_is_reset_is_not_complete(self, deployment):
        endpoint = deployment.add_endpoint("app-1", service="app")
        status, _, body, _ = ask_all_faulty(
            deployment, [endpoint], "unframed_reset", "/order/x"
        )
        assert (status, body[:6]) == (502, b"broken")
