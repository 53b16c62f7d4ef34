"""Choice of the nodes that relay for one that has lost its way."""

from collections import Counter
from random import Random

from savoryhill.core.reachability.relays import MAX_BACKOFF_S, N_RELAYS, RelayTable
from savoryhill.serving.model import NodeRecord


def node(name, zone, capacity=1.0):
    return NodeRecord(
        name=name,
        address="",
        zone=zone,
        capacity=capacity,
        revision=1,
        relay_address="x",
    )


def choose(table, nodes, *, seed=1, now=0.0, own="zone-a", endpoint="zone-a"):
    return table.choose(
        nodes, own_zone=own, endpoint_zone=endpoint, now=now, random=Random(seed)
    )


NODES = [node(f"{zone}{n}", f"zone-{zone}") for zone in "abc" for n in range(4)]


class TestChoice:
    def test_near_nodes_are_asked_first_and_then_other_zones(self):
        # Guards against asking only nodes of a zone that is cut off as a whole.
        zones = [each.zone for each in choose(RelayTable(), NODES)]
        assert zones[:2] == ["zone-a", "zone-a"]
        assert len(zones) == N_RELAYS
        assert "zone-a" not in zones[2:]

    def test_zone_of_the_endpoint_is_near_as_well(self):
        zones = {n.zone for n in choose(RelayTable(), NODES, endpoint="zone-b")[:2]}
        assert zones <= {"zone-a", "zone-b"}

    def test_no_node_relays_for_all(self):
        table = RelayTable()
        first = Counter(choose(table, NODES, seed=n)[0].name for n in range(400))
        assert set(first) == {"a0", "a1", "a2", "a3"}
        assert max(first.values()) < 2 * 400 / 4

    def test_larger_nodes_relay_more(self):
        nodes = [node("small", "zone-a"), node("large", "zone-a", capacity=4.0)]
        first = Counter(choose(RelayTable(), nodes, seed=n)[0].name for n in range(400))
        assert first["large"] > 2 * first["small"]


class TestBackoff:
    def test_node_that_failed_is_asked_last_for_a_time(self):
        table = RelayTable()
        for each in NODES[:4]:
            table.note_failed(each.name, 0.0)
        assert "zone-a" not in {n.zone for n in choose(table, NODES, now=0.1)[:2]}
        assert {n.zone for n in choose(table, NODES, now=1.0)[:2]} == {"zone-a"}

    def test_backoff_doubles_up_to_a_limit_and_ends_with_a_success(self):
        table, pair = RelayTable(), [node("a0", "zone-a"), node("b0", "zone-b")]
        for _ in range(20):
            table.note_failed("a0", 0.0)
        assert choose(table, pair, now=MAX_BACKOFF_S - 0.1)[0].name == "b0"
        assert choose(table, pair, now=MAX_BACKOFF_S + 0.1)[0].name == "a0"
        table.note_relayed("a0")
        assert choose(table, pair, now=0.1)[0].name == "a0"
