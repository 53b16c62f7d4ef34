"""Requests through a node: what clients and endpoints see."""

import gevent
import pytest

from savoryhill.platform import names

PIECES = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7)]


class TestStreams:
    def test_whole_stream_is_passed_on(self, deployment):
        deployment.add_endpoint("e1", service="pool")
        deployment.add_node()
        status, headers, body, complete = deployment.ask("/chat/x")
        assert (status, complete) == (200, True)
        assert body == b"".join(PIECES)
        assert headers[names.SIGNATURE] == b"e1"

    @pytest.mark.parametrize("fault", ["cut", "truncated", "failing", "full"])
    def test_resumable_stream_goes_on_at_another_endpoint(self, deployment, fault):
        # Guards against a piece that is joined from the rest of a cut event and the
        # first event of the next run.
        for name in ("e1", "e2"):
            deployment.add_endpoint(name, service="pool")
        deployment.add_node()
        for endpoint in deployment.endpoints_by_id.values():
            endpoint.faults.append(fault)
        status, _, body, complete = deployment.ask("/chat/x")
        faulty = [e for e in deployment.endpoints_by_id.values() if not e.faults]
        assert len(faulty) == 2 or (status, complete) == (200, True)
        if len(faulty) == 1:
            assert body == b"".join(PIECES)

    def test_pieces_of_two_runs_are_not_joined(self, deployment):
        for name in ("e1", "e2"):
            deployment.add_endpoint(name, service="pool")
        deployment.add_node()
        deployment.endpoints_by_id["e1"].faults.append("cut")
        deployment.endpoints_by_id["e2"].faults.append("cut")
        # Both endpoints break once, so that whichever is chosen first breaks.
        _, _, body, complete = deployment.ask("/chat/x")
        assert not complete
        assert body == b"".join(PIECES[:4])

    def test_stream_that_may_not_be_resumed_runs_once(self, deployment):
        # Guards against a second run of work that must run at most once.
        for name in ("e1", "e2"):
            deployment.add_endpoint(name, service="pool").faults.append("cut")
        deployment.add_node()
        _, _, body, complete = deployment.ask("/once/x")
        assert not complete
        assert body == b"".join(PIECES[:2])
        runs = [a for e in deployment.endpoints_by_id.values() for a in e.arrivals]
        assert len(runs) == 1

    def test_endpoint_stops_when_the_client_leaves(self, deployment):
        # Guards against work that goes on for a client that has left.
        endpoint = deployment.add_endpoint("e1", service="pool", n_events=10_000)
        deployment.add_node()
        connection = deployment.open("/chat/x")
        while b"piece 2" not in b"".join(connection.reader.body):
            connection.receive(timeout_s=2.0)
        connection.close()
        deployment.wait_until(lambda: endpoint.n_cancelled == 1, limit_s=0.5)
        deployment.wait_until(
            lambda: deployment.nodes[0].context.n_running == 0, limit_s=0.5
        )


class TestCalls:
    def test_key_is_not_passed_on_but_its_workspace_is(self, deployment):
        endpoint = deployment.add_endpoint("app-1", service="app")
        deployment.add_node()
        status, _, body, _ = deployment.ask("/order/x", body=b"2 m", x_tenant="forged")
        assert (status, body) == (200, b"done by app-1")
        (arrival,) = endpoint.arrivals
        assert dict(arrival.headers)[names.WORKSPACE] == b"ws-a"
        assert names.AUTHORIZATION not in dict(arrival.headers)
        assert arrival.body == b"2 m"

    def test_remaining_time_shrinks_with_each_send(self, deployment):
        for name in ("app-1", "app-2"):
            deployment.add_endpoint(name, service="app").faults.append("failing")
        deployment.add_node()
        deployment.ask("/stock/x", method=b"GET")
        sent = sorted(
            (a for e in deployment.endpoints_by_id.values() for a in e.arrivals),
            key=lambda a: a.at,
        )
        left = [int(dict(a.headers)[names.TIME_REMAINING]) for a in sent]
        assert len(left) == 2
        assert 4000 >= left[0] >= left[1]

    @pytest.mark.parametrize("fault", ["failing", "silent", "foreign"])
    def test_order_that_may_have_run_is_not_sent_again(self, deployment, fault):
        # Guards against an order that runs twice, and against an untrue "not run".
        for name in ("app-1", "app-2"):
            deployment.add_endpoint(name, service="app").faults.append(fault)
        deployment.add_node()
        status, _, _, _ = deployment.ask("/order/x", x_time_remaining="800")
        assert status in (500, 502, 504), f"{fault} was answered {status}"
        arrivals = [a for e in deployment.endpoints_by_id.values() for a in e.arrivals]
        assert len(arrivals) == 1

    def test_order_that_was_refused_goes_to_another_endpoint(self, deployment):
        first = deployment.add_endpoint("app-1", service="app")
        second = deployment.add_endpoint("app-2", service="app")
        first.faults.append("full")
        second.faults.append("full")
        deployment.add_node()
        status, headers, _, _ = deployment.ask("/order/x")
        # Both refuse once; the request has then run nowhere.
        assert status == 503
        assert b"retry-after" in headers

    def test_lookup_is_repeated_after_a_silent_endpoint(self, deployment):
        for name in ("app-1", "app-2"):
            deployment.add_endpoint(name, service="app")
        deployment.add_node()
        for endpoint in deployment.endpoints_by_id.values():
            endpoint.faults.append("silent")
        deployment.endpoints_by_id["app-1"].faults.clear()
        results = [deployment.ask("/stock/x", method=b"GET")[0] for _ in range(3)]
        assert results == [200, 200, 200]

    def test_bytes_after_an_answer_reach_nobody(self, deployment):
        endpoint = deployment.add_endpoint("app-1", service="app")
        endpoint.faults.append("extra")
        deployment.add_node()
        first = deployment.ask("/stock/x", method=b"GET")
        second = deployment.ask("/stock/x", method=b"GET")
        assert first[2] == second[2] == b"done by app-1"

    def test_address_of_another_instance_does_not_run_the_request(self, deployment):
        endpoint = deployment.add_endpoint("app-1", service="app")
        endpoint.id = "app-9"
        deployment.add_node()
        status, _, _, _ = deployment.ask("/order/x")
        assert status == 503
        assert [a.was_run for a in endpoint.arrivals] == [False]


class TestRefusals:
    @pytest.mark.parametrize(
        ("path", "headers", "status"),
        [
            ("/none/x", {}, 404),
            ("/chat/x", {"host": "other.example"}, 404),
            ("/chat/x", {"authorization": "Bearer wrong"}, 401),
            ("/chat/x", {"authorization": None}, 401),
            ("/chat/x", {"x_attempt_id": None}, 400),
        ],
        ids=["path", "host", "wrong key", "no key", "no id"],
    )
    def test_improper_request(self, deployment, path, headers, status):
        deployment.add_endpoint("e1", service="pool")
        deployment.add_node()
        assert deployment.ask(path, **headers)[0] == status

    def test_without_endpoints_the_refusal_is_true(self, deployment):
        deployment.add_node()
        status, headers, _, _ = deployment.ask("/stock/x", method=b"GET")
        assert status == 503
        assert b"retry-after" in headers

    def test_hopeless_prompt_is_rejected_at_once(self, deployment):
        # Guards against a request that waits for its deadline although no engine
        # can read its prompt in time.
        deployment.add_endpoint("e1", service="pool")
        deployment.add_node()
        with gevent.Timeout(0.5):
            status, _, _, _ = deployment.ask("/chat/x", x_token_counts="390000,100")
        assert status == 503


class TestConnections:
    def test_requests_follow_each_other_on_a_connection(self, deployment):
        deployment.add_endpoint("app-1", service="app")
        deployment.add_node()
        connection = deployment.open("/stock/x", method=b"GET")
        while not connection.reader.complete:
            connection.receive(timeout_s=2.0)
        assert connection.reader.take_body() == b"done by app-1"
        connection.reader.__init__()
        message = (
            b"POST /order/y HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: second\r\n"
            b"authorization: Bearer key-a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\n\r\n"
        )
        connection.send(message, timeout_s=1.0)
        assert deployment.finish(connection)[:1] == (200,)
        arrival = deployment.endpoints_by_id["app-1"].arrivals[-1]
        assert (arrival.attempt_id, arrival.body) == ("second", b"abc")

    def test_conflicting_lengths_are_refused(self, deployment):
        # Guards against a request smuggled inside another one.
        endpoint = deployment.add_endpoint("app-1", service="app")
        deployment.add_node()
        connection = deployment.open(
            "/stock/x", content_length="4", transfer_encoding="chunked"
        )
        assert deployment.finish(connection)[0] == 400
        assert endpoint.arrivals == []
