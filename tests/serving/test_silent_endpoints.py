"""Sound endpoints that are silent for a moment and then go on."""

import gevent
import pytest

SILENCE_S = 1.25


@pytest.fixture
def fleet(deployment):
    """Two engines and two plain endpoints, and two nodes."""
    for number in range(2):
        deployment.add_endpoint(f"e{number}", service="pool")
        deployment.add_endpoint(f"a{number}", service="app")
    for _ in range(2):
        deployment.add_node()
    views = [node.context.cluster_view for node in deployment.nodes]
    deployment.wait_until(lambda: all(len(view.nodes_by_name) == 2 for view in views))
    return deployment


def silence_all(deployment):
    now = deployment.nodes[0].context.clock.monotonic()
    for endpoint in deployment.endpoints_by_id.values():
        endpoint.silent_until = now + SILENCE_S


def n_arrivals(deployment):
    return sum(len(e.arrivals) for e in deployment.endpoints_by_id.values())


def assert_nothing_is_blamed(deployment):
    ways = [node.context.ways for node in deployment.nodes]
    assert all(each.n_relayed == 0 for each in ways)
    assert not any(each.paths.lost_by_id for each in ways)
    assert not any(lines.fields_of("engine.ejected") for lines in deployment.lines)
    assert not any(lines.fields_of("crash.observed") for lines in deployment.lines)


class TestSilenceOfASecond:
    @pytest.mark.parametrize("path", ["/chat/x", "/once/x"])
    def test_run_that_waits_for_its_first_event_goes_on(self, fleet, path):
        # Guards against a sound engine being given up, a repeat that is spent on it,
        # and a path that changes for it.
        silence_all(fleet)
        status, _, _, complete = fleet.ask(path, node=1)
        assert (status, complete, n_arrivals(fleet)) == (200, True, 1)
        assert_nothing_is_blamed(fleet)

    @pytest.mark.parametrize("path", ["/chat/x", "/once/x"])
    def test_run_that_has_begun_goes_on(self, fleet, path):
        for endpoint in fleet.endpoints_by_id.values():
            endpoint.event_interval_s = 0.05
        connection = fleet.open(path, node=1)
        gevent.sleep(0.15)
        silence_all(fleet)
        status, _, _, complete = fleet.finish(connection)
        assert (status, complete, n_arrivals(fleet)) == (200, True, 1)
        assert_nothing_is_blamed(fleet)

    @pytest.mark.parametrize("path", ["/order/x", "/stock/x"])
    def test_call_whose_client_can_wait_goes_on(self, fleet, path):
        silence_all(fleet)
        status, _, _, complete = fleet.ask(path, node=1)
        assert (status, complete, n_arrivals(fleet)) == (200, True, 1)
        assert_nothing_is_blamed(fleet)
