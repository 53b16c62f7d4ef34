"""Tests of requests through a node, as clients and endpoints see them."""

import gevent
import pytest
from gevent.server import StreamServer

from savoryhill.core.observations.parts import digest_part
from savoryhill.platform import names
from savoryhill.serving.http import encode_head
from savoryhill.serving.ways.connection import open_connection

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7)]


class TestStreams:
    def test_complete_stream_is_forwarded(self, deployment):
        deployment.add_endpoint("e1", service="pool")
        deployment.add_node()
        status, headers, body, complete = deployment.ask("/chat/x")
        assert (status, complete) == (200, True)
        assert body == b"".join(EVENTS)
        assert headers[names.SIGNATURE] == b"e1"

    @pytest.mark.parametrize("fault", ["cut", "truncated", "failing", "full"])
    def test_resumable_stream_continues_at_another_endpoint(self, deployment, fault):
        # Guards against joining the partial last event of a broken run with the first
        # event of the next run.
        for name in ("e1", "e2"):
            deployment.add_endpoint(name, service="pool")
        deployment.add_node()
        for endpoint in deployment.endpoints_by_id.values():
            endpoint.faults.append(fault)
        status, _, body, complete = deployment.ask("/chat/x")
        failed = [e for e in deployment.endpoints_by_id.values() if not e.faults]
        assert len(failed) == 2 or (status, complete) == (200, True)
        if len(failed) == 1:
            assert body == b"".join(EVENTS)

    def test_partial_events_of_two_runs_are_not_joined(self, deployment):
        for name in ("e1", "e2"):
            deployment.add_endpoint(name, service="pool")
        deployment.add_node()
        deployment.endpoints_by_id["e1"].faults.append("cut")
        deployment.endpoints_by_id["e2"].faults.append("cut")
        # Both endpoints fail once, so it does not matter which is chosen first.
        _, _, body, complete = deployment.ask("/chat/x")
        assert not complete
        assert body == b"".join(EVENTS[:4])

    def test_non_resumable_stream_runs_once(self, deployment):
        # Guards against a second run of a request that must run at most once.
        for name in ("e1", "e2"):
            deployment.add_endpoint(name, service="pool").faults.append("cut")
        deployment.add_node()
        _, _, body, complete = deployment.ask("/once/x")
        assert not complete
        assert body == b"".join(EVENTS[:2])
        runs = [a for e in deployment.endpoints_by_id.values() for a in e.arrivals]
        assert len(runs) == 1

    def test_slow_stream_that_cannot_be_repeated_is_not_cut(self, deployment):
        # Guards against giving up a slow but sound stream before its client would,
        # although no other endpoint may serve it.
        deployment.add_endpoint("e1", service="pool", event_interval_s=1.3, n_events=2)
        deployment.add_node()
        status, _, body, complete = deployment.ask("/once/x")
        assert (status, complete) == (200, True)
        assert body == b"".join(EVENTS[:2])

    def test_slow_stream_that_can_be_repeated_goes_on_elsewhere(self, deployment):
        slow = deployment.add_endpoint("e1", service="pool", event_interval_s=1.7)
        deployment.add_endpoint("e2", service="pool", zone="zone-b")
        deployment.add_node()
        with gevent.Timeout(3.0):
            status, _, body, complete = deployment.ask("/chat/x")
        assert (status, complete, body) == (200, True, b"".join(EVENTS))
        assert len(slow.arrivals) == 1

    def test_events_are_forwarded_without_delay(self, deployment):
        # Guards against buffering of events: each must be forwarded within 120 ms, the
        # smallest limit that a deployment sets for it.
        event_interval_s = 0.15
        deployment.add_endpoint("e1", service="pool", event_interval_s=event_interval_s)
        deployment.add_node()
        connection = deployment.open("/chat/x")
        seen_at = []
        while not connection.reader.complete:
            connection.receive(timeout_s=2.0)
            now = gevent.get_hub().loop.now()
            gevent.get_hub().loop.update_now()
            seen_at += [now] * connection.reader.take_body().count(b"piece")
        connection.close()
        assert len(seen_at) == len(EVENTS)
        gaps_s = [b - a for a, b in zip(seen_at, seen_at[1:], strict=False)]
        assert max(gaps_s) < event_interval_s + 0.12, f"pauses of {gaps_s} s"

    def test_endpoint_stops_when_the_client_disconnects(self, deployment):
        # Guards against endpoints that keep working for a client that disconnected.
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
    def test_key_is_replaced_by_its_workspace(self, deployment):
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
    def test_order_that_may_have_run_is_not_repeated(self, deployment, fault):
        # Guards against an order that runs twice, and against a status that falsely
        # says that it did not run.
        for name in ("app-1", "app-2"):
            deployment.add_endpoint(name, service="app").faults.append(fault)
        deployment.add_node()
        status, _, _, _ = deployment.ask("/order/x", x_time_remaining="800")
        assert status in (500, 502, 504), f"{fault} was answered {status}"
        arrivals = [a for e in deployment.endpoints_by_id.values() for a in e.arrivals]
        assert len(arrivals) == 1

    def test_refused_order_is_sent_to_another_endpoint(self, deployment):
        first = deployment.add_endpoint("app-1", service="app")
        second = deployment.add_endpoint("app-2", service="app")
        first.faults.append("full")
        second.faults.append("full")
        deployment.add_node()
        status, headers, _, _ = deployment.ask("/order/x")
        # Both endpoints refuse once, so the request has not run anywhere.
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

    def test_bytes_after_a_response_are_discarded(self, deployment):
        endpoint = deployment.add_endpoint("app-1", service="app")
        endpoint.faults.append("extra")
        deployment.add_node()
        first = deployment.ask("/stock/x", method=b"GET")
        second = deployment.ask("/stock/x", method=b"GET")
        assert first[2] == second[2] == b"done by app-1"

    def test_unframed_response_is_complete_when_the_connection_closes(self, deployment):
        deployment.add_endpoint("app-1", service="app").faults.append("unframed")
        deployment.add_node()
        status, _, body, complete = deployment.ask("/order/x")
        assert (status, body, complete) == (200, b"done by app-1", True)

    @pytest.mark.parametrize("fault", ["unframed_reset", "encoded"])
    def test_incomplete_response_is_not_forwarded_as_success(self, deployment, fault):
        # Guards against forwarding a response as complete if it has no length and its
        # connection was reset, or if its body is encoded.
        deployment.add_endpoint("app-1", service="app").faults.append(fault)
        deployment.add_node()
        assert deployment.ask("/order/x")[0] == 502

    def test_late_response_is_not_sent_to_the_next_request(self, deployment):
        # Guards against sending a response that arrives after its request timed out as
        # the one to the next request on the client's connection.
        endpoint = deployment.add_endpoint("app-1", service="app", response_delay_s=0.4)
        deployment.add_node()
        connection = deployment.open("/order/x", x_time_remaining="150")
        while not connection.reader.complete:
            connection.receive(timeout_s=2.0)
        assert connection.reader.head.status == 504
        endpoint.response_delay_s = 0.0
        connection.reader.__init__()
        message = (
            b"GET /stock/y HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: next\r\n"
            b"authorization: Bearer key-a\r\n\r\n"
        )
        connection.send(message, timeout_s=1.0)
        status, headers, _, complete = deployment.finish(connection)
        assert (status, complete) == (200, True)
        assert headers[names.ATTEMPT_ID] == b"next"

    def test_refusal_before_the_body_is_read_does_not_count_as_a_run(self, deployment):
        # Guards against a refusal that is lost, or counted as a run, because the
        # endpoint responds while the node is still sending a large body.
        def refuse_early(sock, _):
            head = b""
            while b"\r\n\r\n" not in head:
                head += sock.recv(256)
            headers = [(names.NOT_RUN, b"1"), (b"content-length", b"0")]
            sock.sendall(encode_head(503, headers))
            gevent.sleep(0.2)

        server = StreamServer(("127.0.0.1", 0), refuse_early)
        server.start()
        deployment.servers.append(server)
        endpoint = deployment.add_endpoint("app-1", service="app")
        endpoint.address = f"127.0.0.1:{server.server_port}"
        deployment.register("app-1", service="app")
        deployment.add_node()
        status, headers, _, _ = deployment.ask("/order/x", body=b"x" * 3_000_000)
        assert status == 503
        assert b"retry-after" in headers

    def test_request_is_not_run_by_another_instance_at_the_address(self, deployment):
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
    def test_invalid_request_is_refused(self, deployment, path, headers, status):
        deployment.add_endpoint("e1", service="pool")
        deployment.add_node()
        assert deployment.ask(path, **headers)[0] == status

    @pytest.mark.parametrize(
        ("header", "value"),
        [
            ("x-token-counts", "inf,100"),
            ("x-token-counts", "1000,nan"),
            ("x-token-counts", "-1000,100"),
            ("x-token-counts", "1e300,100"),
            ("x-token-counts", "many,100"),
            ("x-time-remaining", "inf"),
            ("x-time-remaining", "nan"),
            ("x-time-remaining", "-1"),
            ("last-event-id", "inf"),
        ],
    )
    def test_invalid_number_is_refused_and_named(self, deployment, header, value):
        # Guards against a number that ends the connection without a response, or that
        # is passed on to the endpoint.
        endpoint = deployment.add_endpoint("e1", service="pool")
        deployment.add_node()
        status, _, body, _ = deployment.ask("/chat/x", **{header: value})
        assert (status, endpoint.arrivals) == (400, [])
        assert header.encode() in body
        assert deployment.ask("/chat/x")[0] == 200

    def test_request_without_endpoints_is_refused_as_not_run(self, deployment):
        deployment.add_node()
        status, headers, _, _ = deployment.ask("/stock/x", method=b"GET")
        assert status == 503
        assert b"retry-after" in headers

    def test_prompt_that_cannot_be_served_in_time_is_rejected_at_once(self, deployment):
        # Guards against a request that waits until its deadline although no engine
        # can process its prompt in time.
        deployment.add_endpoint("e1", service="pool")
        deployment.add_node()
        with gevent.Timeout(0.5):
            status, _, _, _ = deployment.ask("/chat/x", x_token_counts="390000,100")
        assert status == 503


class TestConnections:
    def test_connection_carries_several_requests(self, deployment):
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

    def test_conflicting_body_lengths_are_refused(self, deployment):
        # Guards against smuggling a request inside another one.
        endpoint = deployment.add_endpoint("app-1", service="app")
        deployment.add_node()
        connection = deployment.open(
            "/stock/x", content_length="4", transfer_encoding="chunked"
        )
        assert deployment.finish(connection)[0] == 400
        assert endpoint.arrivals == []


class TestClientLimits:
    @pytest.mark.parametrize(
        ("limits", "headers", "body", "status"),
        [
            ({"maxHeaderBytes": 500}, {"x_note": "n" * 600}, b"", 431),
            ({"maxBodyBytes": 500}, {}, b"b" * 600, 413),
        ],
        ids=["headers", "body"],
    )
    def test_request_over_a_limit_is_refused(
        self, deployment, limits, headers, body, status
    ):
        endpoint = deployment.add_endpoint("app-1", service="app")
        deployment.configure(version=2, limits=limits)
        deployment.add_node()
        assert deployment.ask("/order/x", body=body, **headers)[0] == status
        assert endpoint.arrivals == []

    @pytest.mark.parametrize(
        ("before", "after", "statuses"),
        [(500, 5000, (413, 200)), (5000, 500, (200, 413))],
        ids=["raised", "lowered"],
    )
    def test_new_limit_holds_on_kept_connections(
        self, deployment, before, after, statuses
    ):
        # Guards against a connection that keeps the limits of its start.
        deployment.add_endpoint("app-1", service="app")
        deployment.configure(version=2, limits={"maxBodyBytes": before})
        deployment.add_node()
        kept = deployment.open("/order/x", body=b"b")
        while not kept.reader.complete:
            kept.receive(timeout_s=2.0)
        status_before = deployment.ask("/order/x", body=b"b" * 1000)[0]
        deployment.configure_nodes(version=3, limits={"maxBodyBytes": after})
        kept.reader.__init__()
        deployment.open("/order/x", body=b"b" * 1000, connection=kept)
        assert (status_before, deployment.finish(kept)[0]) == statuses

    @pytest.mark.parametrize(
        ("sent", "answer"),
        [(b"", b""), (b"GET /stock/x HTTP/1.1\r\nhost: s", b"HTTP/1.1 408 ")],
        ids=["idle", "half a header"],
    )
    def test_connection_of_a_silent_client_is_closed(self, deployment, sent, answer):
        # Guards against idle connections that hold memory forever.
        limits = {"idleTimeoutMs": 200, "headerTimeoutMs": 200}
        deployment.configure(version=2, limits=limits)
        node = deployment.add_node()
        address = node.context.settings.client_address
        connection = open_connection(address, timeout_s=1.0)
        connection.send(sent, timeout_s=1.0)
        with gevent.Timeout(1.0, AssertionError("the connection is still open")):
            received = b""
            while data := connection.sock.recv(4096):
                received += data
        connection.close()
        assert received.startswith(answer)
        assert bool(received) == bool(answer)


class TestFailureLog:
    def test_failed_send_names_its_parts_and_whether_it_had_started(self, deployment):
        # Guards against a log that can't tell the prompt under which an engine ended
        # from those that the same end broke off.
        deployment.add_endpoint("e1", service="pool").faults.append("cut")
        deployment.add_node()
        deployment.ask("/once/x", x_prompt_prefix="5c1e:800,e440:250")
        (fields,) = deployment.lines[0].fields_of("request.send_failed")
        assert fields["started"] is True
        assert fields["parts"] == digest_part("pool", "5c1e")
