"""Limits of requests a second that endpoints name in their answers."""

import gevent
import pytest

# What an endpoint may get in any span of this length: this many times what it named,
# and some more, from all nodes together.
SPAN_S = 4.0
TOLERANCE = 1.5
SLACK = 5


def most_in_span(endpoint, *, since):
    """Return the most requests that reached an endpoint in any span."""
    times = sorted(a.at for a in endpoint.arrivals if a.at >= since)
    return max(
        (sum(start <= at < start + SPAN_S for at in times) for start in times),
        default=0,
    )


def allowed(limit):
    return TOLERANCE * SPAN_S * limit + SLACK


def burst(deployment, path, *, n, method=b"POST"):
    """Send requests to both nodes by turns; return their statuses and durations."""

    def ask(number):
        started_at = gevent.get_hub().loop.now()
        status, headers, _, _ = deployment.ask(path, node=number % 2, method=method)
        gevent.get_hub().loop.update_now()
        return status, headers, gevent.get_hub().loop.now() - started_at

    greenlets = []
    for number in range(n):
        greenlets.append(gevent.spawn(ask, number))
        gevent.sleep(0.01)
    gevent.joinall(greenlets)
    return [greenlet.value for greenlet in greenlets]


@pytest.fixture
def two_nodes(deployment):
    """Starts two nodes, of which one is the leader."""

    def start():
        for _ in range(2):
            deployment.add_node()
        deployment.wait_until(
            lambda: any(node._dispatcher._link for node in deployment.nodes)
        )

    return start


class TestNamedLimit:
    def test_engine_does_not_get_more_than_it_named(self, deployment, two_nodes):
        # Guards against back ends that get far more requests than the limit that they
        # had named, summed over all nodes.
        engines = [
            deployment.add_endpoint(f"e{n}", service="pool", named_limit="2")
            for n in range(3)
        ]
        two_nodes()
        burst(deployment, "/chat/x", n=12)
        known_at = engines[0].clock.monotonic()
        burst(deployment, "/chat/x", n=150)
        most = max(most_in_span(engine, since=known_at) for engine in engines)
        assert most <= allowed(2.0)

    def test_plain_endpoint_does_not_get_more_than_it_named(
        self, deployment, two_nodes
    ):
        # Guards against nodes that each keep the limit, and all together don't.
        endpoints = [
            deployment.add_endpoint(f"app-{n}", service="app", named_limit="2")
            for n in range(2)
        ]
        two_nodes()
        burst(deployment, "/stock/x", n=12, method=b"GET")
        known_at = endpoints[0].clock.monotonic()
        burst(deployment, "/stock/x", n=100, method=b"GET")
        most = max(most_in_span(endpoint, since=known_at) for endpoint in endpoints)
        assert most <= allowed(2.0)
