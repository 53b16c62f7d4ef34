from collections import Counter
from random import Random

import pytest

from savoryhill.config.answers import EndpointAnswers, ZoneAnswers
from savoryhill.config.grouping import MAX_GROUP_SIZE, assign_groups

ZONES = {f"zone-{n}": ZoneAnswers(region=f"region-{n // 4}") for n in range(7)}


def endpoint(zone):
    return EndpointAnswers(address="10.0.0.1:80", zone=zone, hardware="fast")


def moved(before, after):
    """Count the endpoints that are in both but not in the same group."""
    by_endpoint = {e: group.id for group in before for e in group.endpoints}
    return sum(
        by_endpoint.get(e, group.id) != group.id
        for group in after
        for e in group.endpoints
    )


class TestDivide:
    def test_groups_are_full_and_spread_over_zones(self):
        endpoints = {f"engine-{n}": endpoint(f"zone-{n % 3}") for n in range(24)}
        groups = list(assign_groups("model", endpoints, ZONES))
        assert [len(group.endpoints) for group in groups] == [8, 8, 8]
        for group in groups:
            zones = Counter(endpoints[each].zone for each in group.endpoints)
            assert max(zones.values()) <= 3

    @pytest.mark.parametrize("seed", range(3))
    def test_few_endpoints_move_when_some_are_added_and_removed(self, seed):
        # Guards against groups whose coordinators all change with each new engine.
        random = Random(seed)
        endpoints = {f"e{n}": endpoint(random.choice(list(ZONES))) for n in range(200)}
        groups = list(assign_groups("model", endpoints, ZONES))
        n_moved = 0
        for number in range(100):
            if random.random() < 0.5:
                del endpoints[random.choice(sorted(endpoints))]
            else:
                endpoints[f"new{number}"] = endpoint(random.choice(list(ZONES)))
            changed = list(assign_groups("model", endpoints, ZONES, previous=groups))
            n_moved += moved(groups, changed)
            groups = changed
            assert {e for g in groups for e in g.endpoints} == set(endpoints)
            assert all(len(g.endpoints) <= MAX_GROUP_SIZE for g in groups)
            assert len({group.id for group in groups}) == len(groups)
        assert n_moved <= 20, f"{n_moved} moved in 100 changes"

    def test_an_endpoint_whose_region_changed_leaves_its_group(self):
        endpoints = {f"e{n}": endpoint("zone-0") for n in range(4)}
        groups = list(assign_groups("model", endpoints, ZONES))
        endpoints["e0"] = endpoint("zone-5")
        regions = {
            e: g.region
            for g in assign_groups("model", endpoints, ZONES, previous=groups)
            for e in g.endpoints
        }
        assert regions["e0"] == "region-1"
