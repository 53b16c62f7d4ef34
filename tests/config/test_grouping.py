from collections import Counter
from random import Random

import pytest

from savoryhill.config.answers import EndpointAnswers, ZoneAnswers
from savoryhill.config.grouping import MAX_GROUP_SIZE, assign_groups

ZONES = {f"zone-{n}": ZoneAnswers(region=f"region-{n // 4}") for n in range(7)}


def make_endpoint(zone):
    return EndpointAnswers(address="10.0.0.1:80", zone=zone, hardware="fast")


def count_moved(before, after):
    """Count the endpoints that are in both but not in the same group."""
    group_ids_by_endpoint = {
        endpoint_id: group.id for group in before for endpoint_id in group.endpoints
    }
    return sum(
        group_ids_by_endpoint.get(endpoint_id, group.id) != group.id
        for group in after
        for endpoint_id in group.endpoints
    )


class TestAssignGroups:
    def test_groups_are_full_and_spread_over_zones(self):
        endpoints = {f"engine-{n}": make_endpoint(f"zone-{n % 3}") for n in range(24)}
        groups = list(assign_groups("model", endpoints, ZONES))
        assert [len(group.endpoints) for group in groups] == [8, 8, 8]
        for group in groups:
            zones = Counter(
                endpoints[endpoint_id].zone for endpoint_id in group.endpoints
            )
            assert max(zones.values()) <= 3

    @pytest.mark.parametrize("seed", range(3))
    def test_few_endpoints_move_when_some_are_added_and_removed(self, seed):
        # Guards against a regrouping of all endpoints for each change, which would move
        # every group to another coordinator.
        random = Random(seed)
        endpoints = {
            f"e{n}": make_endpoint(random.choice(list(ZONES))) for n in range(200)
        }
        groups = list(assign_groups("model", endpoints, ZONES))
        n_moved = 0
        for number in range(100):
            if random.random() < 0.5:
                del endpoints[random.choice(sorted(endpoints))]
            else:
                endpoints[f"new{number}"] = make_endpoint(random.choice(list(ZONES)))
            changed = list(assign_groups("model", endpoints, ZONES, previous=groups))
            n_moved += count_moved(groups, changed)
            groups = changed
            assert {
                endpoint_id for group in groups for endpoint_id in group.endpoints
            } == set(endpoints)
            assert all(len(group.endpoints) <= MAX_GROUP_SIZE for group in groups)
            assert len({group.id for group in groups}) == len(groups)
        assert n_moved <= 20, f"{n_moved} moved in 100 changes"

    def test_an_endpoint_whose_region_changed_leaves_its_group(self):
        endpoints = {f"e{n}": make_endpoint("zone-0") for n in range(4)}
        groups = list(assign_groups("model", endpoints, ZONES))
        endpoints["e0"] = make_endpoint("zone-5")
        regions = {
            endpoint_id: group.region
            for group in assign_groups("model", endpoints, ZONES, previous=groups)
            for endpoint_id in group.endpoints
        }
        assert regions["e0"] == "region-1"
