"""What is under way when an endpoint's pause begins, and what waits for its end."""

import pytest

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
