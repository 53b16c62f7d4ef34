"""Rows of other writers that no endpoint, node or operator would write."""

import json
from base64 import b64decode

import pytest

NESTED = b'{"service": ' + b"[" * 100_000
ENDPOINT = {
    "service": "pool",
    "address": "127.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
    "born": 1,
}
HUGE = 10**400


def endpoint_row(**fields):
    return json.dumps(ENDPOINT | fields).encode()


def crash_row(**fields):
    crash = dict.fromkeys(("subject", "source", "workspace"), "x")
    crash |= dict.fromkeys(("version", "observedAt", "value"), 1) | fields
    return json.dumps({"crashes": [crash]}).encode()


ODD_ENDPOINTS = {
    "nested": NESTED,
    "port out of range": endpoint_row(address="127.0.0.1:99999"),
    "port of other digits": endpoint_row(address="127.0.0.1:\u00b2"),
    "name for an address": endpoint_row(address="localhost:80"),
    "huge cold time": endpoint_row(coldRemainingMs=HUGE),
    "huge start": endpoint_row(born=HUGE),
    "huge sequence": endpoint_row(sequence=HUGE),
    "huge slots": endpoint_row(slots=HUGE),
    "no slots": endpoint_row(slots=0),
    "half a character": endpoint_row(zone="\ud800", service="pool"),
    "half a character in the service": endpoint_row(service="\ud800"),
}
ODD_NODES = {
    "nested": NESTED,
    "huge capacity": json.dumps({"address": "127.0.0.1:1", "capacity": HUGE}).encode(),
    "port out of range": b'{"address": "127.0.0.1:99999", "capacity": 1e9}',
    "no address": b'{"address": "x", "capacity": 1e9}',
}
ODD_CONFIGURATIONS = {
    "nested": NESTED,
    "text for a version": b'{"version": "9", "routes": [], "services": []}',
    "huge version": json.dumps(
        {"version": HUGE, "routes": [], "services": []}
    ).encode(),
}
ODD_REFUSALS = {
    "nested": NESTED,
    "huge time": crash_row(observedAt=HUGE),
    "half a character": crash_row(subject="\ud800"),
}
ODD_ROWS = [
    (key, kind, value)
    for key, values in (
        ("servers/odd", ODD_ENDPOINTS),
        ("nodes/odd", ODD_NODES),
        ("op/config", ODD_CONFIGURATIONS),
        ("refusals", ODD_REFUSALS),
        ("op/evacuate/odd", {"nested": NESTED}),
    )
    for kind, value in values.items()
]


@pytest.fixture
def nodes(deployment):
    """Two linked nodes in front of one endpoint."""
    deployment.add_endpoint("a0", service="app")
    deployment.add_endpoint("e0", service="pool")
    nodes = [deployment.add_node() for _ in range(2)]
    deployment.wait_until(lambda: any(n._dispatcher.has_leader() for n in nodes))
    return nodes


def assert_nodes_follow(deployment, nodes):
    """Check that all nodes take in what is written after the odd rows."""
    deployment.register("late", service="app", address="127.0.0.1:9")
    views = [node.context.cluster_view for node in nodes]
    deployment.wait_until(lambda: all("late" in view.endpoints_by_id for view in views))
    failed = [f for lines in deployment.lines for f in lines.fields_of("task.failed")]
    assert failed == []


class TestOddRow:
    @pytest.mark.parametrize(
        ("key", "value"),
        [(key, value) for key, _, value in ODD_ROWS],
        ids=[f"{key}-{kind}" for key, kind, _ in ODD_ROWS],
    )
    def test_nodes_go_on_following_the_store(self, deployment, nodes, key, value):
        # Guards against one odd row that ends the task which reads the rows, again and
        # again, at all nodes.
        deployment.store.put(key, value)
        assert_nodes_follow(deployment, nodes)
        for node in nodes:
            view = node.context.cluster_view
            assert view.configuration.version == 1
            # A sequence that is no number tells nothing of where the endpoint is.
            is_usable = value == ODD_ENDPOINTS["huge sequence"]
            assert ("odd" in view.endpoints_by_id) is is_usable
            assert "odd" not in view.nodes_by_name
        assert [deployment.ask(p)[0] for p in ("/chat/x", "/stock/x")] == [200, 200]

    def test_node_starts_with_odd_rows(self, deployment, nodes):
        for number, (key, _, value) in enumerate(ODD_ROWS):
            if key != "op/config":
                deployment.store.put(f"{key}{number}", value)
        nodes.append(deployment.add_node())
        assert_nodes_follow(deployment, nodes)
        assert deployment.ask("/chat/x", node=2)[0] == 200

    @pytest.mark.parametrize(
        "field",
        [
            {"revision": 2**70},
            {"revision": -1},
            {"key": "servers/\ud800"},
        ],
        ids=["huge", "negative", "half a character"],
    )
    def test_item_of_the_store_that_no_link_can_carry(self, deployment, nodes, field):
        # Guards against a leader whose links break because of one item.
        deployment.store.put("servers/odd", endpoint_row())
        row = deployment.store.rows_by_key["servers/odd"]
        deployment.store.rows_by_key["servers/odd"] = row | field
        deployment.store.history[-1] = row | field
        assert_nodes_follow(deployment, nodes)
        nodes.append(deployment.add_node())
        assert_nodes_follow(deployment, nodes)


class TestOddPartOfTheConfiguration:
    @pytest.mark.parametrize("kind", ["routes", "services", "tenants"])
    @pytest.mark.parametrize(
        "part",
        [{}, 7, {"name": HUGE, "kind": "streaming", "host": 1}, None],
        ids=["empty", "number", "other types", "null"],
    )
    def test_the_other_parts_are_in_force(self, deployment, nodes, kind, part):
        # Guards against one odd part that takes all others with it.
        row = deployment.store.rows_by_key["op/config"]
        content = json.loads(b64decode(row["value"]))
        content["version"] = 2
        content[kind].insert(0, part)
        deployment.store.put("op/config", json.dumps(content).encode())
        views = [node.context.cluster_view for node in nodes]
        deployment.wait_until(lambda: all(v.configuration.version == 2 for v in views))
        assert [deployment.ask(p)[0] for p in ("/chat/x", "/stock/x")] == [200, 200]
