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


def wait_until_limited(deployment, incarnation="app-1@1"):
    """Wait until all nodes know the limit of an endpoint; return their limiters."""
    limiters = [node.context.endpoint_statements.limiter for node in deployment.nodes]
    deployment.wait_until(
        lambda: all(each.is_limited(incarnation) for each in limiters)
    )
    return limiters


@pytest.fixture
def two_nodes(deployment):
    """Starts two nodes, of which one is the leader."""

    def start():
        for _ in range(2):
            deployment.add_node()
        deployment.wait_until(
            lambda: any(
                node._dispatcher._link and node._dispatcher._link.peer_protocol
                for node in deployment.nodes
            )
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

    def test_plain_request_without_a_turn_in_time_is_refused_at_once(
        self, deployment, two_nodes
    ):
        # Guards against requests that wait until their deadline, and against clients
        # that are told nothing of when to return.
        deployment.add_endpoint("app-1", service="app", named_limit="0.1")
        two_nodes()
        burst(deployment, "/order/x", n=1)
        wait_until_limited(deployment)
        answers = burst(deployment, "/order/x", n=6)
        refused = [answer for answer in answers if answer[0] == 503]
        assert len(refused) >= 5
        for _, headers, took_s in refused:
            assert took_s < 0.5
            assert float(headers[b"retry-after"]) > 1.0

    def test_unlimited_endpoint_takes_the_rest_at_once(self, deployment, two_nodes):
        limited = deployment.add_endpoint("app-1", service="app", named_limit="1")
        deployment.add_endpoint("app-2", service="app")
        two_nodes()
        burst(deployment, "/stock/x", n=6, method=b"GET")
        known_at = limited.clock.monotonic()
        answers = burst(deployment, "/stock/x", n=60, method=b"GET")
        assert [status for status, _, _ in answers] == [200] * 60
        assert max(took_s for _, _, took_s in answers) < 0.4
        assert most_in_span(limited, since=known_at) <= allowed(1.0)

    def test_limit_that_is_named_no_more_ends(self, deployment, two_nodes):
        endpoint = deployment.add_endpoint("app-1", service="app", named_limit="3")
        two_nodes()
        burst(deployment, "/stock/x", n=2, method=b"GET")
        limiters = wait_until_limited(deployment)
        endpoint.named_limit = None
        gevent.sleep(0.6)
        burst(deployment, "/stock/x", n=1, method=b"GET")
        deployment.wait_until(
            lambda: not any(limiter.is_limited("app-1@1") for limiter in limiters)
        )

    def test_node_whose_leader_gives_no_turns_uses_its_part(
        self, deployment, two_nodes
    ):
        # Guards against a whole limit for each node that gets no answer of its leader:
        # one of an older build, or one that is lost.
        two_nodes()
        (follower,) = [n for n in deployment.nodes if n._dispatcher._link is not None]
        known = follower.context.cluster_view.nodes_by_name
        deployment.wait_until(lambda: len(known) == 2)
        limiter = follower.context.endpoint_statements.limiter
        limiter.set_limits({"app-1@1": 2.0})
        assert limiter.rate_per_s("app-1@1") == 1.0


class TestLeavingEndpoint:
    def test_call_that_waits_for_a_turn_is_not_sent_to_an_endpoint_that_leaves(
        self, deployment
    ):
        # Guards against an endpoint that gets a request seconds after the node knew
        # that it leaves, because it was chosen before.
        leaving = deployment.add_endpoint("app-1", service="app", named_limit="0.6")
        node = deployment.add_node()
        deployment.ask("/stock/x", method=b"GET")
        wait_until_limited(deployment)
        calls = [
            gevent.spawn(deployment.ask, "/stock/x", method=b"GET") for _ in range(3)
        ]
        gevent.sleep(0.1)
        n_arrivals = len(leaving.arrivals)
        deployment.add_endpoint("app-2", service="app")
        deployment.register("app-1", service="app", state="draining")
        view = node.context.cluster_view
        deployment.wait_until(lambda: view.endpoints_by_id["app-1"].is_draining)
        gevent.joinall(calls)
        assert len(leaving.arrivals) == n_arrivals
        waited = [call.get()[2] for call in calls if call.get()[0] == 200]
        assert b"done by app-2" in waited
