"""Endpoints that leave after they were chosen for a request, and before it is sent."""

import pytest

from savoryhill.serving.ways import relay_server
from savoryhill.serving.ways.connection import open_connection
from savoryhill.standins.serving.network import REFUSE

LONG = "120000,100"
# Longer than a silence for which a repeat is asked, and than the wait for its answer.
SILENCE_S = 10.0
# How an endpoint leaves, as the store's rows or the endpoint itself tell it.
DRAINS = "drains"
IS_GONE = "is gone"
STARTS_AGAIN = "starts again"
SAYS_SO = "says so"
WAYS_TO_LEAVE = [DRAINS, IS_GONE, STARTS_AGAIN, SAYS_SO]
PATHS_BY_SERVICE = [
    ("pool", "/chat/x"),
    ("pool", "/once/x"),
    ("app", "/plain-chat/x"),
    ("app", "/order/x"),
    ("app", "/stock/x"),
]


def leave(deployment, node, name, service, how):
    """Let an endpoint leave, and wait until a node knows it."""
    view = node.context.cluster_view
    rows = view.endpoints_by_id
    if how == DRAINS:
        deployment.register(name, service=service, state="draining")
        deployment.wait_until(lambda: rows[name].is_draining)
    elif how == IS_GONE:
        deployment.store.remove(f"servers/{name}")
        deployment.wait_until(lambda: name not in rows)
    elif how == STARTS_AGAIN:
        deployment.register(name, service=service, born=2)
        deployment.wait_until(lambda: rows[name].born_ms == 2)
    else:
        view.note_leaving([rows[name].incarnation])


def call_at_opening(monkeypatch, node, action):
    """Call ``action(endpoint)`` at the beginning of each connect for a request."""
    ways = node.context.ways
    open_way = ways.open

    def open_after_action(endpoint, **options):
        if not options.get("is_order"):
            action(endpoint)
        return open_way(endpoint, **options)

    monkeypatch.setattr(ways, "open", open_after_action)


class TestConnectThatTakesTime:
    @pytest.mark.parametrize("how", WAYS_TO_LEAVE)
    @pytest.mark.parametrize(("service", "path"), PATHS_BY_SERVICE)
    def test_request_is_sent_elsewhere(
        self, deployment, monkeypatch, service, path, how
    ):
        # Guards against a request that reaches an endpoint of which the node has
        # learned during the connect that it leaves.
        for number in range(2):
            deployment.add_endpoint(f"{service}-{number}", service=service)
        node = deployment.add_node()
        left = []

        def leave_now(endpoint):
            if left:
                return
            left.append(endpoint.id)
            leave(deployment, node, endpoint.id, service, how)

        call_at_opening(monkeypatch, node, leave_now)
        status, _, _, is_complete = deployment.ask(path)
        assert (status, is_complete) == (200, True)
        assert deployment.endpoints_by_id[left[0]].arrivals == []

    @pytest.mark.parametrize("how", WAYS_TO_LEAVE)
    def test_prompt_is_sent_without_a_helper_that_leaves(
        self, deployment, monkeypatch, how
    ):
        # Guards against a prompt that is read on an engine of which the node has
        # learned during the connect to the first one that it leaves.
        for number in range(6):
            deployment.add_endpoint(
                f"e{number}", service="pool", zone=f"zone-{number % 2}"
            )
        node = deployment.add_node()
        lines = deployment.lines[0]
        left = []

        def leave_now(endpoint):
            if left:
                return
            placements = [line["endpoints"] for line in lines.fields_of("job.decided")]
            first, *helpers = placements[-1].split(",")
            assert first == endpoint.id
            left.append(helpers[-1])
            leave(deployment, node, left[0], "pool", how)

        call_at_opening(monkeypatch, node, leave_now)
        status, _, _, is_complete = deployment.ask("/chat/x", x_token_counts=LONG)
        assert (status, is_complete) == (200, True)
        (failed,) = lines.fields_of("request.send_failed")
        assert (failed["endpoint"], failed["may_have_run"]) == (left[0], False)
        assert len(lines.fields_of("request.sent")) == 1
        arrivals = [e.arrivals for e in deployment.endpoints_by_id.values()]
        (arrival,) = [arrival for some in arrivals for arrival in some]
        address = deployment.endpoints_by_id[left[0]].address.encode()
        assert not any(address in value for _, value in arrival.headers)


class TestRepeatThatIsPrepared:
    @pytest.mark.parametrize("how", WAYS_TO_LEAVE)
    @pytest.mark.parametrize(
        ("service", "path"),
        [("pool", "/chat/x"), ("app", "/plain-chat/x"), ("app", "/stock/x")],
    )
    def test_is_sent_elsewhere(self, deployment, monkeypatch, service, path, how):
        # Guards against a repeat that reaches an endpoint which has begun to leave by
        # the time that its connection is open. It is sent at once then.
        endpoints = deployment.endpoints_by_id
        deployment.add_endpoint("x0", service=service, event_interval_s=0.05)
        node = deployment.add_node()
        lines = deployment.lines[0]
        # Longer than its client waits, so that only a repeat can be the answer.
        endpoints["x0"].silent_until = node.context.clock.monotonic() + SILENCE_S
        left = []

        def leave_now(endpoint):
            if left or endpoint.id == "x0":
                return
            left.append(endpoint.id)
            leave(deployment, node, endpoint.id, service, how)

        connection = deployment.open(path)
        deployment.wait_until(lambda: lines.fields_of("request.sent"))
        for name in ("x1", "x2"):
            deployment.add_endpoint(name, service=service)
        call_at_opening(monkeypatch, node, leave_now)
        status, _, _, is_complete = deployment.finish(connection)
        assert (status, is_complete) == (200, True)
        assert endpoints[left[0]].arrivals == []
        assert [len(endpoints[name].arrivals) for name in ("x1", "x2")].count(1) == 1


class TestConnectOfARelay:
    @pytest.mark.parametrize(
        ("service", "path"), [("pool", "/once/x"), ("app", "/order/x")]
    )
    def test_request_is_sent_elsewhere(
        self, deployment, network, monkeypatch, service, path
    ):
        # Guards against a request that a relay passes on to an endpoint of which it
        # has learned during its connect that it leaves.
        for number in range(2):
            deployment.add_endpoint(f"{service}-{number}", service=service)
        for _ in range(3):
            deployment.add_node()
        asking, *relays = deployment.nodes
        views = [node.context.cluster_view for node in deployment.nodes]
        deployment.wait_until(lambda: all(len(v.nodes_by_name) == 3 for v in views))
        host = asking.context.settings.peer_address.rsplit(":", 1)[0]
        endpoints = deployment.endpoints_by_id.values()
        network.cut(host, [endpoint.address for endpoint in endpoints], REFUSE)
        left = []

        def open_after_leaving(address, **options):
            if not left:
                (name,) = [e.id for e in endpoints if e.address == address]
                left.append(name)
                for relay in relays:
                    relay.context.cluster_view.note_leaving([f"{name}@1"])
            return open_connection(address, **options)

        monkeypatch.setattr(relay_server, "open_connection", open_after_leaving)
        status, _, _, is_complete = deployment.ask(path, node=0)
        assert (status, is_complete) == (200, True)
        assert deployment.endpoints_by_id[left[0]].arrivals == []
