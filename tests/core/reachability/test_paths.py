"""Paths of a node to endpoints, from the connections that it could make or not."""

from types import SimpleNamespace

import pytest

from savoryhill.core.observations.gradual_return import FIRST_INTERVAL_S
from savoryhill.core.reachability.paths import RECENT_S, PathTable


def endpoint(name, zone="zone-a"):
    return SimpleNamespace(id=name, zone=zone)


@pytest.fixture
def paths():
    """A node that has connected to an endpoint in each of two zones."""
    table = PathTable(n_zones=3)
    table.note_connected(endpoint("a0"), began_at=1.0, now=1.0)
    table.note_connected(endpoint("b0", "zone-b"), began_at=1.0, now=1.0)
    return table


class TestLostPaths:
    def test_connect_that_nobody_else_made_loses_no_path(self, paths):
        # Guards against an endpoint that is dead or silent counting as a cut.
        for name in ("a1", "a2", "a3"):
            paths.note_unreached(endpoint(name), began_at=2.0)
        assert not paths.is_lost(endpoint("a1"))
        assert not paths.is_cut()
        assert paths.may_be_cut()

    def test_one_lost_path_says_nothing_of_others(self, paths):
        paths.note_lost(endpoint("a1"), began_at=2.0)
        assert paths.is_lost(endpoint("a1"))
        assert not paths.is_lost(endpoint("a2"))

    def test_two_lost_paths_of_a_zone_are_those_of_the_zone(self, paths):
        paths.note_lost(endpoint("a1"), began_at=2.0)
        paths.note_lost(endpoint("a2"), began_at=2.0)
        paths.note_connected(endpoint("b1", "zone-b"), began_at=2.1, now=2.1)
        assert paths.is_lost(endpoint("a3"))
        assert not paths.is_lost(endpoint("b2", "zone-b"))
        assert not paths.is_cut()

    def test_lost_paths_of_two_zones_are_all(self, paths):
        paths.note_lost(endpoint("a1"), began_at=2.0)
        paths.note_lost(endpoint("b1", "zone-b"), began_at=2.0)
        assert paths.is_cut()
        assert paths.is_lost(endpoint("c1", "zone-c"))

    def test_lost_paths_of_one_zone_are_not_all(self):
        # Guards against a node that takes no path any more to zones that it has not
        # tried, because it happened to try only the one that is cut off.
        table = PathTable(n_zones=3)
        for name in ("a1", "a2", "a3"):
            table.note_lost(endpoint(name), began_at=2.0)
        assert table.is_lost(endpoint("a4"))
        assert not table.is_lost(endpoint("b1", "zone-b"))
        table.n_zones = 1
        assert table.is_cut()

    def test_connection_begun_before_the_loss_says_nothing_against_it(self, paths):
        for name in ("a1", "a2"):
            paths.note_lost(endpoint(name), began_at=2.0)
        paths.note_connected(endpoint("a3"), began_at=1.9, now=2.2)
        assert paths.is_lost(endpoint("a3"))

    @pytest.mark.parametrize(("at", "has_way"), [(1.5, True), (2 + RECENT_S, False)])
    def test_has_way_only_with_a_recent_connection(self, paths, at, has_way):
        assert paths.has_way(at) is has_way


class TestReturn:
    @pytest.fixture
    def returned(self, paths):
        """A node that has lost two paths of a zone, which are both back at 10 s."""
        for name in ("a1", "a2"):
            paths.note_lost(endpoint(name), began_at=2.0)
        for name in ("a1", "a2"):
            paths.note_connected(endpoint(name), began_at=10.0, now=10.0)
        return paths

    def test_few_requests_go_first(self, returned):
        assert returned.may_take(endpoint("a1"), 10.0)
        assert not returned.may_take(endpoint("a2"), 10.0)
        assert returned.may_take(endpoint("a2"), 10.0 + FIRST_INTERVAL_S)

    def test_other_zones_do_not_wait(self, returned):
        assert all(returned.may_take(endpoint("b1", "zone-b"), 10.0) for _ in range(9))

    def test_all_go_after_several_connections(self, returned):
        for n in range(5):
            returned.note_connected(endpoint("a1"), began_at=10.0 + n, now=10.0 + n)
        assert all(returned.may_take(endpoint("a1"), 15.0) for _ in range(9))

    def test_path_that_is_lost_again_is_not_taken(self, returned):
        returned.note_lost(endpoint("a1"), began_at=11.0)
        assert not returned.may_take(endpoint("a1"), 20.0)

    def test_endpoints_that_are_gone_are_forgotten(self, returned):
        returned.note_lost(endpoint("a1"), began_at=11.0)
        returned.set_endpoints([endpoint("a2")])
        assert not returned.lost_by_id
