"""Choice of the endpoints of plain services."""

from collections import Counter
from contextlib import ExitStack
from random import Random
from types import SimpleNamespace

import pytest

from savoryhill.serving.balancing import Balancer

SERVICE = SimpleNamespace(name="app")
ENDPOINTS = [
    SimpleNamespace(id=f"{zone}{number}", zone=zone)
    for zone in ("zone-a", "zone-b", "zone-c")
    for number in range(2)
]


@pytest.fixture
def balancer(clock):
    """The balancer of a node in zone-b."""
    view = SimpleNamespace(usable_endpoints=lambda _service: ENDPOINTS)
    return Balancer(zone="zone-b", clock=clock, random=Random(3), cluster_view=view)


def choose(balancer, avoided=()):
    return balancer.choose(SERVICE, avoided_endpoint_ids=avoided)


class TestZones:
    def test_single_requests_stay_in_the_zone(self, balancer):
        # Guards against calls four of five of which cross zones on a deployment with
        # five.
        counts = Counter(choose(balancer).id for _ in range(100))
        assert set(counts) == {"zone-b0", "zone-b1"}

    def test_many_at_once_use_all_zones(self, balancer):
        # Guards against requests that wait in a full zone beside idle endpoints.
        counts = Counter()
        with ExitStack() as running:
            for _ in range(24):
                endpoint = choose(balancer)
                counts[endpoint.id] += 1
                running.enter_context(balancer.track_request(endpoint))
        assert set(counts) == {endpoint.id for endpoint in ENDPOINTS}
        assert max(counts.values()) - min(counts.values()) <= 3

    def test_ejected_and_avoided_ones_are_left_for_another_zone(self, balancer):
        balancer.note_failure(ENDPOINTS[2], is_full=False)
        assert choose(balancer, avoided={"zone-b1"}).zone != "zone-b"
