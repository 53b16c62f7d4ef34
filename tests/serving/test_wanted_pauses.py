"""Endpoints that turn requests away and want nothing from a node for a time."""

import gevent
import pytest

PATHS_BY_SERVICE = [
    ("pool", "/chat/x"),
    ("pool", "/once/x"),
    ("app", "/order/x"),
    ("app", "/stock/x"),
]
# Time to act on a pause, and requests that may still arrive within it.
ACT_S = 0.5
MAX_WITHIN = 2


def add_endpoints(deployment, service, *, n):
    return [
        deployment.add_endpoint(f"{service}-{number}", service=service)
        for number in range(n)
    ]


def arrival_times(endpoint):
    return [arrival.at for arrival in endpoint.arrivals]


def burst(deployment, path, *, n, interval_s=0.02):
    """Send requests at intervals; return their answers."""
    greenlets = []
    for _ in range(n):
        greenlets.append(gevent.spawn(deployment.ask, path))
        gevent.sleep(interval_s)
    return [greenlet.get() for greenlet in greenlets]


class TestOneEndpointInNeed:
    @pytest.mark.parametrize(("service", "path"), PATHS_BY_SERVICE)
    def test_gets_nothing_within_the_pause(self, deployment, service, path):
        # Guards against requests that an endpoint in need has to turn away again.
        refusing, _ = add_endpoints(deployment, service, n=2)
        deployment.add_node()
        refusing.wanted_pause = "1.5"
        answers = burst(deployment, path, n=70)
        first, *others = arrival_times(refusing)
        n_within = sum(first + ACT_S < at < first + 1.5 for at in others)
        assert n_within <= MAX_WITHIN
        assert [answer[0] for answer in answers].count(200) >= 65

    def test_is_used_again_after_the_pause(self, deployment):
        refusing, _ = add_endpoints(deployment, "app", n=2)
        deployment.add_node()
        refusing.wanted_pause = "0.5"
        while not refusing.arrivals:
            deployment.ask("/stock/x")
        refusing.wanted_pause = None
        gevent.sleep(0.5)
        n_before = len(refusing.arrivals)
        burst(deployment, "/stock/x", n=60)
        assert len(refusing.arrivals) > n_before + 10

    def test_is_logged(self, deployment):
        (refusing,) = add_endpoints(deployment, "app", n=1)
        deployment.add_node()
        refusing.wanted_pause = "1.25"
        deployment.ask("/stock/x")
        (fields,) = deployment.lines[0].fields_of("endpoint.pause_wanted")
        assert fields == {"endpoint": "app-0@1", "pause_s": 1.25}


class TestAllEndpointsInNeed:
    @pytest.mark.parametrize(("service", "path"), PATHS_BY_SERVICE)
    def test_what_cannot_wait_is_refused_at_once(self, deployment, service, path):
        # Guards against requests that wait until their clients leave, and against a
        # client that is told to come back within the pause.
        endpoints = add_endpoints(deployment, service, n=2)
        deployment.add_node()
        for endpoint in endpoints:
            endpoint.wanted_pause = "30"
        for _ in range(3):
            deployment.ask(path)
        n_arrivals = [len(endpoint.arrivals) for endpoint in endpoints]
        with gevent.Timeout(0.5):
            status, headers, _, complete = deployment.ask(path)
        assert (status, complete) == (503, True)
        assert 28.0 < float(headers[b"retry-after"]) <= 30.0
        assert [len(endpoint.arrivals) for endpoint in endpoints] == n_arrivals

    @pytest.mark.parametrize(("service", "path"), PATHS_BY_SERVICE)
    def test_what_can_wait_is_served_after_the_pause(self, deployment, service, path):
        endpoints = add_endpoints(deployment, service, n=2)
        deployment.add_node()
        for endpoint in endpoints:
            endpoint.wanted_pause = "1"
        while not all(endpoint.arrivals for endpoint in endpoints):
            deployment.ask(path)
        for endpoint in endpoints:
            endpoint.wanted_pause = None
        assert deployment.ask(path)[0] == 200

    def test_requests_return_a_few_at_a_time(self, deployment):
        # Guards against all requests that have waited arriving at the same moment.
        endpoints = add_endpoints(deployment, "app", n=2)
        deployment.add_node()
        for endpoint in endpoints:
            endpoint.wanted_pause = "0.6"
        while not all(endpoint.arrivals for endpoint in endpoints):
            deployment.ask("/stock/x")
        n_before = sum(len(endpoint.arrivals) for endpoint in endpoints)
        gevent.sleep(0.2)
        waiting = [gevent.spawn(deployment.ask, "/stock/x") for _ in range(12)]
        gevent.sleep(0.6)
        n_returned = sum(len(endpoint.arrivals) for endpoint in endpoints) - n_before
        gevent.joinall(waiting)
        assert n_returned <= 4
