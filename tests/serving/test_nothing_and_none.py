"""Parts of a configuration that are empty or 0, which is not "no restriction"."""

import pytest

from savoryhill.platform.decode import decode_configuration
from savoryhill.soak.deployment import ENGINE, route

ZERO_SPLITS = {
    "one service": [{"service": "app", "weight": 0}],
    "all services": [
        {"service": "app", "weight": 0},
        {"service": "pool", "weight": 0},
    ],
}


class TestSplitWeights:
    @pytest.mark.parametrize("split", ZERO_SPLITS.values(), ids=ZERO_SPLITS)
    def test_service_with_a_weight_of_0_gets_nothing(self, deployment, split):
        # Guards against requests that reach a service which is to get none.
        endpoint = deployment.add_endpoint("a1", service="app")
        routes = [route("stock", "idempotent", "app", trafficSplit=split)]
        deployment.configure(version=2, routes=routes)
        deployment.add_node()
        status, headers, _, _ = deployment.ask("/stock/x")
        assert (status, b"retry-after" in headers) == (503, True)
        assert endpoint.arrivals == []

    def test_other_service_gets_everything(self, deployment):
        deployment.add_endpoint("a1", service="app")
        split = [{"service": "pool", "weight": 0}, {"service": "app", "weight": 1}]
        routes = [route("stock", "idempotent", "app", trafficSplit=split)]
        deployment.configure(version=2, routes=routes)
        deployment.add_node()
        assert [deployment.ask("/stock/x")[0] for _ in range(10)] == [200] * 10


class TestEngineProfile:
    @pytest.mark.parametrize("profile", [[], "engine", 0, False, [ENGINE]])
    def test_unreadable_profile_makes_no_plain_service(self, deployment, profile):
        # Guards against prompts that are sent to engines without a scheduler.
        decoded = decode_configuration(deployment.configure(engine=profile))
        assert decoded.services_by_name.keys() == {"app"}
        assert decoded.n_unreadable == 1
