"""Endpoints that end together, under requests that were sent together."""

from functools import partial
from itertools import count

import gevent
import pytest

from savoryhill.core.observations.doubts import DOUBT_DELAY_S
from savoryhill.serving.shared_observations import REVIEW_INTERVAL_S
from savoryhill.soak.deployment import route

N_ENDPOINTS = 12
# When a node must know that a part ends engines, or a request does, after so many of
# them have ended, and how many such requests may still reach engines.
CERTAIN_CRASHES = 5
CERTAIN_CRASHES_OF_REQUEST = 3
CONTACT_S = 3.0
MAX_LATER_ARRIVALS = 3
NUMBERS = count(1)


def make_routes(**fields):
    return [
        route("chat", "streaming", "pool", resumable=True, **fields),
        route("once", "streaming", "pool", resumable=False, **fields),
        route("read", "idempotent", "pool", **fields),
    ]


@pytest.fixture(params=[1, 2], ids=["one-node", "two-nodes"])
def n_nodes(request):
    return request.param


@pytest.fixture
def endpoints(deployment, n_nodes):
    """Endpoints of one service, which come back as another start, and nodes."""
    deployment.configure(routes=make_routes())
    starts = count(2)

    def register(endpoint_id, zone):
        deployment.register(endpoint_id, service="pool", zone=zone, born=next(starts))

    endpoints = []
    for n in range(N_ENDPOINTS):
        endpoint_id, zone = f"e{n}", f"zone-{n % 3}"
        endpoints.append(
            deployment.add_endpoint(
                endpoint_id,
                service="pool",
                zone=zone,
                on_return=partial(register, endpoint_id, zone),
                event_interval_s=0.03,
            )
        )
    for _ in range(n_nodes):
        deployment.add_node()
    if n_nodes > 1:
        deployment.wait_until(
            lambda: any(node._dispatcher._link for node in deployment.nodes)
        )
    return endpoints


def ask_at_once(deployment, path, part, n, *, body=None):
    """Send requests with a part, in turn to all nodes; return what asks for them.

    No two are alike unless there is a ``body``.
    """

    def ask(node):
        number = next(NUMBERS)
        return deployment.ask(
            path,
            node=node,
            body=b"%d" % number if body is None else body,
            x_prompt_prefix=f"aa:40,{part}:900,{number:x}:60",
        )

    return [gevent.spawn(ask, k % len(deployment.nodes)) for k in range(n)]


def crash_times(endpoints):
    return sorted(at for endpoint in endpoints for _, at in endpoint.crashes)


def n_later_arrivals(endpoints, is_meant, *, n_certain=CERTAIN_CRASHES):
    ended_at = crash_times(endpoints)
    assert len(ended_at) >= n_certain
    return sum(
        arrival.at > ended_at[n_certain - 1] + CONTACT_S
        for endpoint in endpoints
        for arrival in endpoint.arrivals
        if is_meant(arrival)
    )


def has_dead_part(arrival):
    return b"dead" in dict(arrival.headers).get(b"x-prompt-prefix", b"")


class TestPartThatEndsEngines:
    """Guards against as many ended engines as requests come together, every time."""

    @pytest.mark.parametrize("path", ["/chat/x", "/once/x", "/read/x"])
    @pytest.mark.parametrize("n_at_once", [5, 9])
    def test_few_later_requests_reach_engines(
        self, deployment, endpoints, path, n_at_once
    ):
        for endpoint in endpoints:
            endpoint.crashing_parts = {"dead"}
            endpoint.crashes_at_event = 4
            endpoint.n_events = 20
        for wait_s in (0.0, CONTACT_S + 0.3):
            gevent.sleep(wait_s)
            asked = ask_at_once(deployment, path, "dead", n_at_once)
            gevent.joinall(asked)
            assert {each.get()[0] for each in asked} <= {200, 502, 503}
        assert n_later_arrivals(endpoints, has_dead_part) <= MAX_LATER_ARRIVALS

    def test_part_that_was_sound_before(self, deployment, endpoints):
        ask = partial(ask_at_once, deployment, "/once/x", "dead", 5)
        assert [each.get()[0] for each in ask()] == [200] * 5
        for endpoint in endpoints:
            endpoint.crashing_parts = {"dead"}
        for wait_s in (0.0, CONTACT_S + 0.3, 1.0):
            gevent.sleep(wait_s)
            gevent.joinall(ask())
        assert n_later_arrivals(endpoints, has_dead_part) <= MAX_LATER_ARRIVALS


class TestRequestThatEndsEndpoints:
    """Guards against the same for one request that comes several times at once."""

    @pytest.mark.parametrize("path", ["/chat/x", "/once/x", "/read/x"])
    def test_few_later_ones_reach_endpoints(self, deployment, endpoints, path):
        for endpoint in endpoints:
            endpoint.crashing_bodies = {b"deadly"}
        for wait_s in (0.0, CONTACT_S + 0.3):
            gevent.sleep(wait_s)
            asked = ask_at_once(deployment, path, "bb", 6, body=b"deadly")
            assert {each.get()[0] for each in asked} <= {200, 502, 503}
        n_later = n_later_arrivals(
            endpoints,
            lambda arrival: arrival.body == b"deadly",
            n_certain=CERTAIN_CRASHES_OF_REQUEST,
        )
        assert n_later <= MAX_LATER_ARRIVALS


class Zone:
    """Stands for whatever ends endpoints, of which no request knows."""

    @staticmethod
    def header(_name):
        return b"zone failed"


def end_under(deployment, endpoints, path, part, *, n_min=CERTAIN_CRASHES):
    """End endpoints at one moment, under requests that were all sent before.

    Returns what asks for these; they run at ``n_min`` endpoints at least.
    """
    now = deployment.nodes[0].context.clock.monotonic()
    for endpoint in endpoints:
        endpoint.silent_until = now + 1.0
    asked = ask_at_once(deployment, path, part, 16)
    deployment.wait_until(
        lambda: sum(len(e.attempt_by_open_socket) for e in endpoints) >= 16
    )
    running = [e for e in endpoints if e.attempt_by_open_socket]
    assert len(running) >= n_min
    for endpoint in endpoints:
        endpoint.silent_until = 0.0
    for endpoint in running:
        endpoint._crash(Zone)
    return asked


class TestCommonCause:
    """Guards against sound requests that are refused as endpoints ended under them."""

    @pytest.mark.parametrize("path", ["/chat/x", "/once/x", "/read/x"])
    @pytest.mark.parametrize("n_waves", [1, 2])
    def test_sound_requests_are_served(self, deployment, endpoints, path, n_waves):
        for n_min in (CERTAIN_CRASHES, 1)[:n_waves]:
            asked = end_under(deployment, endpoints, path, "cc", n_min=n_min)
            gevent.joinall(asked)
            deployment.wait_until(lambda: not any(e.is_down for e in endpoints))
        # Those that follow at once, and those after a while.
        for wait_s in (0.0, DOUBT_DELAY_S + REVIEW_INTERVAL_S):
            gevent.sleep(wait_s)
            asked = ask_at_once(deployment, path, "cc", 8)
            assert [each.get()[0] for each in asked] == [200] * 8

    @pytest.mark.parametrize("path", ["/chat/x", "/once/x", "/read/x"])
    def test_sound_requests_that_come_late_are_served(
        self, deployment, endpoints, path
    ):
        # Nothing has shown meanwhile that the part is sound: there are no repeats.
        deployment.configure_nodes(version=2, routes=make_routes(attempts=1))
        gevent.joinall(end_under(deployment, endpoints, path, "cc"))
        gevent.sleep(DOUBT_DELAY_S + REVIEW_INTERVAL_S)
        for node in deployment.nodes:
            assert node.context.crash_guard.doubts_by_part
        asked = ask_at_once(deployment, path, "cc", 8)
        assert [each.get()[0] for each in asked] == [200] * 8

    def test_others_are_not_held_up(self, deployment, endpoints):
        gevent.joinall(end_under(deployment, endpoints, "/once/x", "dead"))
        gevent.sleep(DOUBT_DELAY_S + REVIEW_INTERVAL_S)
        began_at = deployment.nodes[0].context.clock.monotonic()
        asked = ask_at_once(deployment, "/once/x", "bb", 8)
        assert [each.get()[0] for each in asked] == [200] * 8
        assert deployment.nodes[0].context.clock.monotonic() - began_at < 1.5
