"""What is under way when an endpoint's pause begins, and what waits for its end."""

import gevent
import pytest

from savoryhill.platform.statements import decode_statement
from savoryhill.serving.http import ResponseHead

PATHS_BY_SERVICE = [
    ("pool", "/chat/x"),
    ("pool", "/once/x"),
    ("app", "/order/x"),
    ("app", "/stock/x"),
]


def begin_pause(node, endpoint):
    statements = node.context.endpoint_statements
    now = node.context.clock.monotonic()
    statements.pauses.note_refusal(f"{endpoint.id}@1", 30.0, now)


def begin_to_leave(node, endpoint):
    node.context.cluster_view.note_leaving([f"{endpoint.id}@1"])


class TestConnectUnderWay:
    @pytest.mark.parametrize("begin", [begin_pause, begin_to_leave])
    @pytest.mark.parametrize(("service", "path"), PATHS_BY_SERVICE)
    def test_nothing_is_sent_once_the_endpoint_has_spoken(
        self, deployment, monkeypatch, begin, service, path
    ):
        # Guards against a request that reaches an endpoint although it has said, while
        # the connection was being opened, that it wants none.
        endpoints = [
            deployment.add_endpoint(f"{service}-{n}", service=service) for n in range(2)
        ]
        node = deployment.add_node()
        ways, spoken = node.context.ways, []
        open_connection = ways.open

        def open_and_be_told(endpoint, **options):
            connection = open_connection(endpoint, **options)
            if not spoken:
                spoken.append(endpoint.id)
                begin(node, deployment.endpoints_by_id[endpoint.id])
            return connection

        monkeypatch.setattr(ways, "open", open_and_be_told)
        assert deployment.ask(path)[0] == 200
        told, other = sorted(endpoints, key=lambda each: each.id != spoken[0])
        assert (len(told.arrivals), len(other.arrivals)) == (0, 1)
        assert not deployment.lines[0].fields_of("engine.ejected")


class TestJobThatWaits:
    def test_engine_is_used_once_its_pause_has_ended(self, deployment):
        # Guards against a request that waits until its client leaves, because it leaves
        # out an engine for a pause that is long over.
        pausing = deployment.add_endpoint("e0", service="pool")
        busy = deployment.add_endpoint("e1", service="pool", event_interval_s=0.6)
        node = deployment.add_node()
        begin_pause(node, pausing)
        running = [gevent.spawn(deployment.ask, "/chat/x") for _ in range(4)]
        deployment.wait_until(lambda: len(busy.arrivals) == 4)
        pauses = node.context.endpoint_statements.pauses
        pauses.forget(set())
        pauses.note_refusal("e0@1", 0.5, node.context.clock.monotonic())
        with gevent.Timeout(1.5):
            assert deployment.ask("/chat/x")[0] == 200
        assert len(pausing.arrivals) == 1
        gevent.killall(running)


class TestReturn:
    @pytest.mark.parametrize("attempt_id", [b"another", None])
    def test_only_an_answer_to_the_request_counts_as_accepted(self, attempt_id):
        # Guards against a return that goes faster because of an answer that a faulty
        # endpoint has written again.
        headers = [] if attempt_id is None else [(b"x-attempt-id", attempt_id)]
        head = ResponseHead(status=200, headers=headers)
        statement = decode_statement(head, attempt_id=b"own", wall_now=0.0)
        assert statement.is_accepted is (attempt_id is None)
