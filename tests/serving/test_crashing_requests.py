"""Requests that end the endpoints that run them."""

from functools import partial
from itertools import count

import gevent
import pytest

from savoryhill.observability.metrics import prometheus_text

N_ENDPOINTS = 8
# Crashes after which it is certain that the request ends endpoints, and how often it
# may still reach one.
CERTAIN_CRASHES = 5
MAX_LATER_ARRIVALS = 3
DEADLY = b"deadly"


def add_endpoints(deployment, service, **fields):
    """Add endpoints that end under the request; each return is a new start of one."""
    starts = count(2)

    def restart(endpoint_id, zone):
        deployment.register(endpoint_id, service=service, zone=zone, born=next(starts))

    endpoints = []
    for n in range(N_ENDPOINTS):
        endpoint_id, zone = f"{service}-{n}", f"zone-{n % 3}"
        endpoints.append(
            deployment.add_endpoint(
                endpoint_id,
                service=service,
                zone=zone,
                crashing_bodies={DEADLY},
                on_return=partial(restart, endpoint_id, zone),
                **fields,
            )
        )
    return endpoints


def add_linked_nodes(deployment):
    for _ in range(2):
        deployment.add_node()
    deployment.wait_until(
        lambda: any(node._dispatcher._link for node in deployment.nodes)
    )


def crash_times(endpoints):
    return sorted(at for endpoint in endpoints for _, at in endpoint.crashes)


def n_later_arrivals(endpoints):
    """Return how often the request reached endpoints once it is certain."""
    certain_at = [*crash_times(endpoints), float("inf")][:CERTAIN_CRASHES][-1]
    return sum(
        arrival.at > certain_at
        for endpoint in endpoints
        for arrival in endpoint.arrivals
        if arrival.body == DEADLY
    )


def ask_in_turn(deployment, path, endpoints, *, method=b"POST", n_rounds=16):
    """Send the request and sound ones through both nodes; return the last answer."""
    for number in range(n_rounds):
        node = number % 2
        deployment.ask(path, node=node, method=method, body=b"sound %d" % number)
        answer = deployment.ask(path, node=node, method=method, body=DEADLY)
        deployment.wait_until(lambda: not all(e.is_down for e in endpoints))
    return answer


class TestCrashingRequest:
    @pytest.mark.parametrize("crashes_at_event", [1, 3], ids=["first", "later"])
    @pytest.mark.parametrize("path", ["/chat/x", "/once/x"])
    def test_stream_does_not_end_engine_after_engine(
        self, deployment, path, crashes_at_event
    ):
        # Guards against a request that ends back ends one after the other, before its
        # answer or within it, sent again by nodes and by clients.
        engines = add_endpoints(deployment, "pool", crashes_at_event=crashes_at_event)
        add_linked_nodes(deployment)
        ask_in_turn(deployment, path, engines)
        assert n_later_arrivals(engines) <= MAX_LATER_ARRIVALS

    @pytest.mark.parametrize("path", ["/order/x", "/stock/x"])
    def test_call_does_not_end_endpoint_after_endpoint(self, deployment, path):
        # Guards against the same for calls, which have no parts and are not placed.
        endpoints = add_endpoints(deployment, "app")
        add_linked_nodes(deployment)
        status, headers, _, _ = ask_in_turn(deployment, path, endpoints)
        assert n_later_arrivals(endpoints) <= MAX_LATER_ARRIVALS
        assert (status, b"retry-after" in headers) == (503, False)

    @pytest.mark.parametrize("path", ["/chat/x", "/stock/x"])
    def test_others_of_the_same_path_and_caller_are_served(self, deployment, path):
        endpoints = [
            *add_endpoints(deployment, "pool"),
            *add_endpoints(deployment, "app"),
        ]
        add_linked_nodes(deployment)
        ask_in_turn(deployment, path, endpoints, n_rounds=8)
        deployment.wait_until(lambda: not any(e.is_down for e in endpoints))
        answers = [
            deployment.ask(path, node=number % 2, body=b"sound again %d" % number)[0]
            for number in range(8)
        ]
        assert answers == [200] * 8

    def test_refusal_is_immediate_and_is_logged_and_counted(self, deployment):
        # Guards against a request that waits although no endpoint can answer it.
        endpoints = add_endpoints(deployment, "app")
        node = deployment.add_node()
        for _ in range(4):
            deployment.ask("/stock/x", body=DEADLY)
        n_crashes = len(crash_times(endpoints))
        with gevent.Timeout(0.2):
            status, headers, body, complete = deployment.ask("/stock/x", body=DEADLY)
        assert (status, complete, b"retry-after" in headers) == (503, True, False)
        assert len(crash_times(endpoints)) == n_crashes
        (refused,) = deployment.lines[0].fields_of("request.refused_for_crashes")
        assert refused["digest"].encode() in body
        assert refused["crashes"] == 3
        text = prometheus_text(node.context.metrics)
        assert "requests_refused_for_crashes{} 1" in text
        assert "parts_refused{} 0" in text

    def test_request_of_another_caller_is_not_refused(self, deployment):
        # Guards against a caller who can bring about that others are refused.
        add_endpoints(deployment, "app")
        deployment.configure(version=2, keys=("key-a",), other_keys=("key-b",))
        node = deployment.add_node()
        for _ in range(4):
            deployment.ask("/stock/x", body=DEADLY)
        assert node.context.crash_guard.crashing_by_part
        other = deployment.ask("/stock/x", body=DEADLY, authorization="Bearer key-b")
        assert other[0] == 502

    def test_sound_body_that_ran_beside_it_is_served(self, deployment):
        # Guards against refusing requests that are sent often with the same body,
        # because they ran on endpoints that another request ended.
        endpoints = add_endpoints(deployment, "app", response_delay_s=0.03)
        deployment.add_node()
        answers = []
        for _ in range(6):
            calls = [
                gevent.spawn(deployment.ask, "/stock/x", body=b"health")
                for _ in range(4)
            ]
            gevent.sleep(0.01)
            deployment.ask("/order/x", body=DEADLY)
            answers += [call.get()[0] for call in calls]
            deployment.wait_until(lambda: not any(e.is_down for e in endpoints))
        assert answers.count(200) >= len(answers) - 3
        assert deployment.ask("/stock/x", body=b"health")[0] == 200


class TestEndpointThatFails:
    @pytest.mark.parametrize(
        ("service", "path"), [("pool", "/chat/x"), ("app", "/stock/x")]
    )
    def test_its_failures_do_not_show_that_the_request_is_sound(
        self, deployment, service, path
    ):
        # Guards against a request that ends endpoint after endpoint, because some fail
        # part of their requests before they run them.
        endpoints = add_endpoints(deployment, service)
        add_linked_nodes(deployment)
        for number in range(24):
            for endpoint in endpoints:
                endpoint.faults.clear()
                endpoint.faults.extend(["failing"] * (number % 2))
            deployment.ask(path, node=number // 2 % 2, body=DEADLY)
            deployment.wait_until(lambda: not all(e.is_down for e in endpoints))
        assert n_later_arrivals(endpoints) <= MAX_LATER_ARRIVALS


class TestRelease:
    """Endpoints of the new release bear the request that ends those of the old one."""

    PATHS_BY_SERVICE = [
        ("pool", "/chat/x"),
        ("pool", "/once/x"),
        ("app", "/order/x"),
        ("app", "/stock/x"),
    ]

    @pytest.fixture
    def start(self, deployment):
        """Starts endpoints of both releases, of which the new ones come first."""

        def start(service, path):
            new = deployment.add_endpoint(
                "new", service=service, zone="zone-0", release="v2"
            )
            add_linked_nodes(deployment)
            assert deployment.ask(path, body=DEADLY)[0] == 200
            old = add_endpoints(deployment, service)
            views = [node.context.cluster_view for node in deployment.nodes]
            deployment.wait_until(
                lambda: all(len(v.endpoints_by_id) > N_ENDPOINTS for v in views)
            )
            return new, old

        return start

    @staticmethod
    def ask_until_known(deployment, path, new, old):
        """Ask in turn until both nodes know that the request ends old endpoints.

        The new one refuses some requests, so that it does not take them all.
        """
        guards = [node.context.crash_guard for node in deployment.nodes]
        for number in range(30):
            new.faults.clear()
            new.faults.extend(["full"] * (number % 2))
            ask_in_turn(deployment, path, old, n_rounds=2)
            if all(guard.crashing_by_part for guard in guards):
                break
        new.faults.clear()
        deployment.wait_until(lambda: all(g.crashing_by_part for g in guards))

    @pytest.mark.parametrize(("service", "path"), PATHS_BY_SERVICE)
    def test_request_that_one_release_bears_is_served_there(
        self, deployment, start, service, path
    ):
        # Guards against a request that ends engine after engine of the old release,
        # because answers of the new one clear it in between.
        new, old = start(service, path)
        self.ask_until_known(deployment, path, new, old)
        ask_in_turn(deployment, path, old, n_rounds=30)
        assert n_later_arrivals(old) <= MAX_LATER_ARRIVALS
        n_before = len(new.arrivals)
        answers = [deployment.ask(path, node=n % 2, body=DEADLY)[0] for n in range(6)]
        assert answers == [200] * 6
        assert len(new.arrivals) == n_before + 6

    def test_request_is_refused_once_the_release_that_bears_it_is_gone(
        self, deployment, start
    ):
        start("app", "/stock/x")
        guard = deployment.nodes[0].context.crash_guard
        for _ in range(40):
            deployment.ask("/stock/x", body=DEADLY)
        assert guard.crashing_by_part
        deployment.store.remove("servers/new")
        view = deployment.nodes[0].context.cluster_view
        deployment.wait_until(lambda: "new" not in view.endpoints_by_id)
        status, headers, _, _ = deployment.ask("/stock/x", body=DEADLY)
        assert (status, b"retry-after" in headers) == (503, False)
