"""Streams of services without engines, which the kind of the route decides."""

import gevent
import pytest

from savoryhill.platform import names
from savoryhill.serving.http import encode_chunk

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7)]
# Requests after which one of two endpoints has got one, but for a chance of 1 in 2**40.
MAX_ASKED = 40
RESUMABLE_PATHS = ["/chat/x", "/plain-chat/x", "/split/x"]


@pytest.fixture
def endpoints(deployment):
    """Two engines and two plain endpoints, by their ids."""
    for number in range(2):
        deployment.add_endpoint(f"e{number}", service="pool")
        deployment.add_endpoint(f"app-{number}", service="app")
    return deployment.endpoints_by_id


def n_arrivals(endpoints):
    return sum(len(endpoint.arrivals) for endpoint in endpoints.values())


def fail_all(endpoints, fault):
    for endpoint in endpoints.values():
        endpoint.faults.append(fault)


class TestResumedByTheClient:
    @pytest.mark.parametrize("path", RESUMABLE_PATHS)
    @pytest.mark.parametrize("last_id", [0, 4, 6, 9])
    def test_only_later_events_are_sent(self, deployment, endpoints, path, last_id):
        # Guards against a client that gets the events again which it had before its
        # stream broke.
        deployment.add_node()
        for _ in range(4):
            status, _, body, complete = deployment.ask(path, last_event_id=str(last_id))
            assert (status, complete) == (200, True)
            assert body == b"".join(EVENTS[last_id:])
        sent = [a for each in endpoints.values() for a in each.arrivals]
        ids = {dict(a.headers)[names.LAST_EVENT_ID] for a in sent}
        assert ids == {str(last_id).encode()}


class TestResumedByTheNode:
    @pytest.mark.parametrize("fault", ["cut", "truncated", "unframed_reset"])
    def test_stream_goes_on_at_another_endpoint(self, deployment, endpoints, fault):
        first, second = endpoints["app-0"], endpoints["app-1"]
        deployment.add_node()
        first.faults.append(fault)
        # Of two idle endpoints, either may be chosen.
        for _ in range(20):
            status, headers, body, complete = deployment.ask("/plain-chat/x")
            assert (status, complete, body) == (200, True, b"".join(EVENTS))
            if not first.faults:
                break
        resumed = second.arrivals[-1]
        assert dict(resumed.headers)[names.LAST_EVENT_ID] == b"2"
        # The response keeps the head of its first run.
        assert headers[names.SIGNATURE] == b"app-0"

    def test_stream_that_may_run_once_is_broken_off(self, deployment, endpoints):
        fail_all(endpoints, "cut")
        deployment.add_node()
        status, _, body, complete = deployment.ask("/plain-once/x")
        assert (status, complete, body) == (200, False, b"".join(EVENTS[:2]))
        assert n_arrivals(endpoints) == 1

    def test_stream_is_sent_to_no_more_endpoints_than_the_route_allows(
        self, deployment, endpoints
    ):
        deployment.add_endpoint("app-2", service="app")
        for endpoint in endpoints.values():
            endpoint.faults.extend(["cut"] * 3)
        deployment.add_node()
        status, _, body, complete = deployment.ask("/plain-chat/x")
        assert (status, complete, body) == (200, False, b"".join(EVENTS[:4]))
        assert n_arrivals(endpoints) == 2


class TestEvents:
    def test_events_are_forwarded_without_delay(self, deployment, endpoints):
        # Guards against a stream that is kept back until it is complete.
        for endpoint in endpoints.values():
            endpoint.event_interval_s = 0.3
        node = deployment.add_node()
        connection = deployment.open("/plain-chat/x")
        with gevent.Timeout(0.6, AssertionError("no event was forwarded")):
            while not connection.reader.body:
                connection.receive(timeout_s=2.0)
        assert node.context.n_running == 1
        assert deployment.finish(connection)[2:] == (b"".join(EVENTS), True)

    @pytest.mark.parametrize("path", ["/plain-chat/x", "/plain-once/x"])
    def test_sound_endpoint_may_be_silent_for_a_second(
        self, deployment, endpoints, path
    ):
        deployment.add_node()
        for endpoint in endpoints.values():
            endpoint.event_interval_s = 0.05
        connection = deployment.open(path)
        gevent.sleep(0.15)
        now = deployment.nodes[0].context.clock.monotonic()
        for endpoint in endpoints.values():
            endpoint.silent_until = now + 1.25
        assert deployment.finish(connection)[3]
        assert n_arrivals(endpoints) == 1

    def test_slow_stream_that_can_be_repeated_goes_on_elsewhere(
        self, deployment, endpoints
    ):
        # Its silence is suspicious when little time is left, which is enough here.
        slow, sound = endpoints["app-0"], endpoints["app-1"]
        slow.event_interval_s = 1.7
        deployment.add_node()
        # Of two idle endpoints, either may be chosen.
        for _ in range(20):
            status, _, body, complete = deployment.ask(
                "/plain-chat/x", x_time_remaining="4500"
            )
            assert (status, complete, body) == (200, True, b"".join(EVENTS))
            if slow.arrivals:
                break
        assert dict(sound.arrivals[-1].headers)[names.LAST_EVENT_ID] == b"1"

    def test_endpoint_stops_when_the_client_disconnects(self, deployment, endpoints):
        # Guards against endpoints that keep working for a client that disconnected.
        for endpoint in endpoints.values():
            endpoint.n_events = 10_000
        deployment.add_node()
        connection = deployment.open("/plain-chat/x")
        while b"piece 2" not in b"".join(connection.reader.body):
            connection.receive(timeout_s=2.0)
        connection.close()
        deployment.wait_until(
            lambda: sum(e.n_cancelled for e in endpoints.values()) == 1, limit_s=0.5
        )

    def test_failure_before_the_first_event_keeps_its_status(
        self, deployment, endpoints
    ):
        fail_all(endpoints, "failing")
        deployment.add_node()
        status, headers, body, _ = deployment.ask("/plain-once/x")
        assert (status, body) == (500, b"failed")
        assert headers[names.SIGNATURE] in (b"app-0", b"app-1")

    def test_start_of_a_stream_is_logged(self, deployment, endpoints):
        deployment.add_node()
        deployment.ask("/plain-chat/x")
        (fields,) = deployment.lines[0].fields_of("stream.started")
        assert fields["endpoint"] in ("app-0", "app-1")


class TestBrokenOff:
    @pytest.mark.parametrize("fault", ["unframed_cut", "unframed_reset", "truncated"])
    def test_stream_that_ends_within_an_event_is_not_complete(
        self, deployment, endpoints, fault
    ):
        # Guards against a stream whose endpoint ended reaching its client as a
        # complete one.
        fail_all(endpoints, fault)
        deployment.add_node()
        status, _, body, complete = deployment.ask("/plain-once/x")
        assert (status, complete, body) == (200, False, b"".join(EVENTS[:2]))

    def test_stream_without_a_length_and_without_an_event_is_not_complete(
        self, deployment, endpoints
    ):
        fail_all(endpoints, "unframed_empty")
        deployment.add_node()
        assert deployment.ask("/plain-once/x")[0] == 502

    def test_stream_without_a_length_that_ends_after_an_event_is_complete(
        self, deployment, endpoints
    ):
        fail_all(endpoints, "unframed")
        deployment.add_node()
        assert deployment.ask("/plain-once/x")[2:] == (b"".join(EVENTS), True)


class TestEventsWithoutIds:
    @pytest.mark.parametrize("path", ["/chat/x", "/plain-chat/x"])
    def test_stream_that_breaks_after_one_does_not_begin_anew(
        self, deployment, start_scripted, path
    ):
        # Guards against events that a client gets twice, as no run can go on after an
        # event without an id.
        service = "pool" if path == "/chat/x" else "app"
        event = b"data: piece\n\n"
        head = b"HTTP/1.1 200 OK\r\nx-attempt-id: %b\r\nx-response-signature: s\r\n"
        broken = head + b"content-length: 99\r\n\r\n" + event
        endpoints = [
            start_scripted(f"x{n}", service=service, first=broken, repeated=None)
            for n in range(2)
        ]
        deployment.add_node()
        status, _, body, complete = deployment.ask(path)
        assert (status, complete, body) == (200, False, event)
        assert sum(each.n_requests for each in endpoints) == 1


class TestLastEventIdOfOtherRoutes:
    """Only on a resumable stream does the header mean something to the node."""

    @pytest.mark.parametrize("value", ["3", "abc", "-1", "inf"])
    @pytest.mark.parametrize("path", ["/once/x", "/plain-once/x", "/stock/x"])
    def test_is_forwarded_as_it_is(self, deployment, start_scripted, path, value):
        # Guards against a header that is dropped or refused where it has no meaning,
        # and against events that are left out of a stream that cannot be resumed.
        body = b"".join(EVENTS)
        head = b"HTTP/1.1 200 OK\r\nx-attempt-id: %b\r\nx-response-signature: s\r\n"
        whole = head + b"content-length: %d\r\n\r\n" % len(body) + body
        service = "pool" if path == "/once/x" else "app"
        endpoint = start_scripted("x1", service=service, first=whole, repeated=None)
        deployment.add_node()
        status, _, received, complete = deployment.ask(path, last_event_id=value)
        assert (status, received, complete) == (200, body, True)
        assert f"last-event-id: {value}\r\n".encode() in endpoint.requests[0]

    @pytest.mark.parametrize("value", ["abc", "-1", "1.5", "9" * 19])
    def test_is_refused_on_a_resumable_stream_if_it_is_no_id(
        self, deployment, endpoints, value
    ):
        deployment.add_node()
        status, _, body, _ = deployment.ask("/split/x", last_event_id=value)
        assert (status, body[:13]) == (400, b"last-event-id")
        assert n_arrivals(endpoints) == 0


class TestThroughAnotherNode:
    @pytest.mark.parametrize("fault", [None, "cut", "unframed_cut"])
    def test_stream_is_served_as_without_a_relay(
        self, deployment, endpoints, add_cut_node, fault
    ):
        add_cut_node([each.address for each in endpoints.values()])
        if fault:
            endpoints["app-0"].faults.append(fault)
        n_asked = 0
        while n_asked < 6 or endpoints["app-0"].faults:
            # Each request may go to any of the endpoints.
            assert n_asked < MAX_ASKED
            n_asked += 1
            status, _, body, complete = deployment.ask("/plain-chat/x", node=1)
            assert (status, complete, body) == (200, True, b"".join(EVENTS))
        assert deployment.nodes[1].context.ways.n_relayed >= n_asked


DOCUMENT = b'{"detail": "closed",\n\n "until": 9}'


class TestAnswerThatIsNoStream:
    @pytest.mark.parametrize("service", ["pool", "app"])
    @pytest.mark.parametrize("is_chunked", [True, False])
    @pytest.mark.parametrize(
        "content_type", [b"application/json", b"text/event-stream; charset=utf-8"]
    )
    def test_is_whole_by_its_length_unless_it_is_said_to_be_one(
        self, deployment, start_scripted, service, is_chunked, content_type
    ):
        # Guards against a document of a service, complete by its length, that is taken
        # for a stream which ended within an event.
        head = (
            b"HTTP/1.1 200 OK\r\nx-attempt-id: %b\r\nx-response-signature: s\r\n"
            b"content-type: " + content_type + b"\r\n"
        )
        framed = (
            b"transfer-encoding: chunked\r\n\r\n"
            + encode_chunk(DOCUMENT)
            + b"0\r\n\r\n"
            if is_chunked
            else b"content-length: %d\r\n\r\n" % len(DOCUMENT) + DOCUMENT
        )
        start_scripted("x1", service=service, first=head + framed, repeated=None)
        deployment.add_node()
        path = "/once/x" if service == "pool" else "/plain-once/x"
        answer = deployment.ask(path)
        assert answer[0] == 200
        is_whole = content_type == b"application/json"
        assert answer[3] == is_whole
        if is_whole:
            assert answer[2] == DOCUMENT
