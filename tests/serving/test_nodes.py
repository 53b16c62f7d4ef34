"""Nodes beside each other, the store and the operator."""

import json
from functools import partial

import gevent
import pytest

from savoryhill.serving.leadership import choose_leader
from savoryhill.serving.model import NodeRecord
from savoryhill.serving.watching import FALLBACK_AGE_S
from savoryhill.soak.proxy import FaultProxy
from savoryhill.standins.serving import store as faults


def running_jobs(node):
    """Return the jobs that a node's schedulers know."""
    schedulers = node._dispatcher._scheduling.schedulers_by_service.values()
    return [job for s in schedulers for job in s.placed_by_id]


class TestLeadership:
    def test_larger_node_goes_first_then_the_one_registered_earlier(self):
        # Guards against a node with a narrow link that sends updates to all others.
        def node(name, capacity, revision):
            return NodeRecord(
                name=name,
                address=name,
                zone="z",
                capacity=capacity,
                revision=revision,
            )

        nodes = [node("small", 5.0, 1), node("late", 200.0, 9), node("early", 200.0, 4)]
        choose = partial(choose_leader, nodes, now=10.0)
        assert choose(suspected_until={}).name == "early"
        assert choose(suspected_until={"early": 11.0}).name == "late"
        assert choose(suspected_until={"early": 9.0}).name == "early"


class TestScheduling:
    def test_first_registered_node_schedules_for_the_others(self, deployment):
        deployment.add_endpoint("e1", service="pool", event_s=0.05)
        first = deployment.add_node()
        deployment.wait_until(first._dispatcher.is_leader)
        second = deployment.add_node()
        deployment.wait_until(lambda: second._dispatcher._link is not None)
        connection = deployment.open("/chat/x", node=1)
        deployment.wait_until(lambda: running_jobs(first) == ["a1.1"])
        assert running_jobs(second) == []
        status, _, _, complete = deployment.finish(connection)
        assert (status, complete) == (200, True)
        deployment.wait_until(lambda: running_jobs(first) == [])

    def test_running_jobs_are_reported_to_the_next_scheduling_node(self, deployment):
        # Guards against a new scheduling node that takes busy engines for idle ones.
        deployment.add_endpoint("e1", service="pool", event_s=0.4)
        first = deployment.add_node()
        deployment.wait_until(first._dispatcher.is_leader)
        second = deployment.add_node()
        deployment.wait_until(lambda: second._dispatcher._link is not None)
        connection = deployment.open("/chat/x", node=1)
        deployment.wait_until(lambda: running_jobs(first) == ["a1.1"])
        first.stop()
        deployment.wait_until(lambda: running_jobs(second) == ["a1.1"])
        status, _, _, complete = deployment.finish(connection)
        assert (status, complete) == (200, True)

    def test_node_schedules_for_itself_when_it_reaches_no_other(self, deployment):
        deployment.add_endpoint("e1", service="pool")
        ghost = {"address": "127.0.0.9:9", "zone": "zone-a"}
        deployment.store.put("nodes/ghost", json.dumps(ghost).encode())
        deployment.add_node()
        status, _, _, complete = deployment.ask("/chat/x")
        assert (status, complete) == (200, True)


class TestColdLimit:
    def test_scheduling_node_has_the_whole_limit(self, deployment):
        # Guards against a node that keeps the share of a lone node after it began
        # to schedule for all, and then grants one job a second to each engine.
        ghost = {"address": "127.0.0.9:9", "zone": "zone-a", "capacity": 9.0}
        for number in range(9):
            key = f"nodes/ghost-{number}"
            deployment.store.put(key, json.dumps(ghost).encode())
        node = deployment.add_node()
        scheduling = node._dispatcher._scheduling
        scheduler = scheduling.schedulers_by_service["pool"]
        scheduling.place_waiting()
        assert scheduler.max_grants_per_s <= 26.0 / 9
        deployment.wait_until(node._dispatcher.is_leader)
        scheduling.place_waiting()
        assert scheduler.max_grants_per_s == 26.0


class TestLostStore:
    def test_first_answer_after_the_fallback_tells_the_scheduling_node(
        self, deployment
    ):
        # Guards against a second wait for the fallback, during which nodes that are
        # cut off as well go on sending to an endpoint that left.
        node = deployment.add_node()
        deployment.wait_until(node._dispatcher.is_leader)
        sent = []
        link = type("Recorder", (), {"send": staticmethod(sent.append)})
        dispatcher = node._dispatcher
        dispatcher._link = link
        dispatcher._leader_contact_age_s = FALLBACK_AGE_S
        dispatcher.note_own_contact()
        dispatcher._link = None
        assert len(sent) == 1

    def test_node_that_lost_the_store_is_replaced(self, deployment):
        # Guards against a scheduling node that is turned away by the store, so that
        # every other node watches the store by itself.
        proxy = FaultProxy(target=deployment.store_address)
        first = deployment.add_node(store_address=proxy.address)
        deployment.wait_until(first._dispatcher.is_leader)
        second = deployment.add_node()
        deployment.wait_until(lambda: second._dispatcher._link is not None)
        proxy.set_mode("reset")
        deployment.wait_until(second._dispatcher.is_leader)
        deployment.wait_until(lambda: first._dispatcher._link is not None)
        deployment.configure(version=7)
        knowledge = first.context.knowledge
        deployment.wait_until(lambda: knowledge.configuration.version == 7)
        proxy.stop()

    def test_follower_that_lost_the_store_too_moves_with_the_others(self, deployment):
        # Guards against nodes that go on sending to an endpoint that left, because
        # both they and the scheduling node are turned away by the store.
        proxy = FaultProxy(target=deployment.store_address)
        first = deployment.add_node(store_address=proxy.address)
        deployment.wait_until(first._dispatcher.is_leader)
        second = deployment.add_node()
        third = deployment.add_node(store_address=proxy.address)
        for node in (second, third):
            deployment.wait_until(lambda node=node: node._dispatcher._link is not None)
        proxy.set_mode("reset")
        deployment.configure(version=7)
        knowledge = third.context.knowledge
        deployment.wait_until(lambda: knowledge.configuration.version == 7)
        # The change may arrive through the node that steps aside, which passes
        # updates on, before the others have moved.
        deployment.wait_until(second._dispatcher.is_leader)
        proxy.stop()

    def test_scheduling_node_stays_when_the_store_is_away_for_all(self, deployment):
        first = deployment.add_node()
        deployment.wait_until(first._dispatcher.is_leader)
        second = deployment.add_node()
        deployment.wait_until(lambda: second._dispatcher._link is not None)
        deployment.store.fault = faults.BUSY
        gevent.sleep(2.5)
        assert second._dispatcher._link is not None
        assert first._dispatcher.is_leader()


class TestStoreOutage:
    @pytest.mark.parametrize("fault", [faults.SILENT, faults.BUSY, faults.RESET])
    def test_requests_are_served_while_the_store_is_away(self, deployment, fault):
        deployment.add_endpoint("app-1", service="app")
        deployment.add_node()
        deployment.store.fault = fault
        gevent.sleep(0.3)
        assert deployment.ask("/stock/x", method=b"GET")[0] == 200

    def test_lapsed_endpoint_is_used_for_a_while_after_an_outage(self, deployment):
        # Guards against a fleet that looks empty when rows lapsed with the store.
        deployment.add_endpoint("app-1", service="app")
        node = deployment.add_node()
        deployment.wait_until(node._dispatcher.is_leader)
        deployment.store.fault = faults.BUSY
        deployment.wait_until(lambda: node.context.knowledge.contact_age_s() > 1.1)
        deployment.store.remove("servers/app-1")
        deployment.store.fault = None
        deployment.wait_until(lambda: node.context.knowledge.lapsed_until)
        assert deployment.ask("/stock/x", method=b"GET")[0] == 200
        known = node.context.knowledge.endpoints_by_id
        deployment.wait_until(lambda: "app-1" not in known)

    def test_lost_history_is_read_again(self, deployment):
        node = deployment.add_node()
        deployment.store.put("other/key", b"x")
        deployment.store.forget_history()
        deployment.configure(version=9)
        knowledge = node.context.knowledge
        deployment.wait_until(lambda: knowledge.configuration.version == 9)


class TestOperator:
    def test_removed_key_is_refused_and_new_one_is_served(self, deployment):
        deployment.add_endpoint("app-1", service="app")
        node = deployment.add_node()
        deployment.configure(version=2, keys=("key-b",))
        knowledge = node.context.knowledge
        deployment.wait_until(lambda: knowledge.configuration.version == 2)
        assert deployment.ask("/stock/x", method=b"GET")[0] == 401
        headers = {"authorization": "Bearer key-b"}
        assert deployment.ask("/stock/x", method=b"GET", **headers)[0] == 200

    def test_older_version_does_not_come_back(self, deployment):
        deployment.add_endpoint("app-1", service="app")
        node = deployment.add_node()
        knowledge = node.context.knowledge
        deployment.configure(version=5)
        deployment.wait_until(lambda: knowledge.configuration.version == 5)
        deployment.configure(version=4, keys=("old",))
        deployment.store.put("servers/bad", b"\xff")
        deployment.wait_until(lambda: deployment.lines[0].of("configuration.older"))
        assert knowledge.configuration.version == 5

    def test_evacuated_zone_gets_nothing_until_it_is_restored(self, deployment):
        deployment.add_endpoint("app-1", service="app", zone="zone-a")
        node = deployment.add_node()
        zones = node.context.knowledge.evacuated_zones
        deployment.store.put("op/evacuate/zone-a", b"{}")
        deployment.wait_until(lambda: zones == {"zone-a"})
        assert deployment.ask("/stock/x", method=b"GET")[0] == 503
        deployment.store.remove("op/evacuate/zone-a")
        deployment.wait_until(lambda: not zones)
        assert deployment.ask("/stock/x", method=b"GET")[0] == 200

    @pytest.mark.parametrize("service", ["app", "pool"])
    def test_draining_endpoint_gets_nothing(self, deployment, service):
        endpoint = deployment.add_endpoint("x-1", service=service)
        node = deployment.add_node()
        deployment.register("x-1", service=service, state="draining")
        known = node.context.knowledge.endpoints_by_id
        deployment.wait_until(lambda: known["x-1"].is_draining)
        path = "/stock/x" if service == "app" else "/chat/x"
        deployment.ask(path, x_time_remaining="300")
        assert endpoint.arrivals == []

    def test_sender_does_not_use_an_endpoint_that_it_knows_to_leave(self, deployment):
        # Guards against a scheduling node that has lost the store and goes on
        # placing work on endpoints that leave.
        for name in ("e1", "e2"):
            deployment.add_endpoint(name, service="pool")
        node = deployment.add_node()
        deployment.wait_until(node._dispatcher.is_leader)
        knowledge = node.context.knowledge
        knowledge.on_change.remove(node._dispatcher._scheduling.refresh)
        deployment.register("e1", service="pool", state="draining")
        deployment.wait_until(lambda: knowledge.endpoints_by_id["e1"].is_draining)
        for _ in range(4):
            assert deployment.ask("/chat/x")[0] == 200
        assert deployment.endpoints_by_id["e1"].arrivals == []

    @pytest.mark.parametrize(
        "value",
        [b"", b"\xff\xfe", b"[]", b'{"service": 1}', b'{"service": "app"}'],
        ids=["empty", "no text", "list", "wrong type", "missing fields"],
    )
    def test_unreadable_rows_name_no_endpoint(self, deployment, value):
        deployment.add_endpoint("app-1", service="app")
        node = deployment.add_node()
        deployment.store.put("servers/odd", value)
        deployment.configure(version=3)
        knowledge = node.context.knowledge
        deployment.wait_until(lambda: knowledge.configuration.version == 3)
        assert set(knowledge.endpoints_by_id) == {"app-1"}

    def test_without_a_configuration_nothing_is_denied(self, deployment):
        # Guards against 404 or 401 from a node that knows no configuration yet.
        node = deployment.add_node()
        node.context.knowledge.configuration = None
        assert deployment.ask("/none/x")[0] == 503
        assert not node.context.is_ready()


class TestShutdown:
    def test_running_stream_is_finished(self, deployment):
        deployment.add_endpoint("e1", service="pool", event_s=0.1)
        node = deployment.add_node()
        connection = deployment.open("/chat/x")
        deployment.wait_until(lambda: node.context.n_running == 1)
        draining = gevent.spawn(node.drain)
        deployment.wait_until(node.context.is_draining)
        assert not node.context.is_ready()
        status, _, _, complete = deployment.finish(connection)
        assert (status, complete) == (200, True)
        draining.kill()

    def test_new_connections_are_served_until_the_platform_has_noticed(
        self, deployment
    ):
        # Guards against clients that are turned away before the readiness check of
        # the platform has taken the node out.
        deployment.add_endpoint("app-1", service="app")
        node = deployment.add_node()
        draining = gevent.spawn(node.drain)
        deployment.wait_until(node.context.is_draining)
        status, headers, _, _ = deployment.ask("/stock/x", method=b"GET")
        assert status == 200
        assert headers[b"connection"] == b"close"
        draining.kill()
