"""Orders over real sockets between callers, nodes, key-value service and service."""

import gevent
import pytest

from savoryhill.bench.orders import (
    execution_counts,
    run_orders,
    share_execution_records,
)
from savoryhill.demo import deployment as demo
from savoryhill.demo.run import order, wait_until_ready
from savoryhill.node.process import drain, start_node, stop_node, wait_drained
from savoryhill.standins.platform import set_faults


@pytest.fixture(scope="module")
def shared_deployment():
    deployment = demo.start_deployment(n_nodes=3, n_engines=1, n_services=3)
    share_execution_records(deployment)
    for node in deployment.nodes:
        wait_until_ready(node)
    gevent.sleep(0.5)
    yield deployment
    demo.stop_deployment(deployment)


@pytest.fixture
def deployment(shared_deployment):
    yield shared_deployment
    set_faults(shared_deployment.platform, {"down": False, "lose_next_answers": 0})


def place(deployment, number, key):
    address = deployment.nodes[number].settings.listen
    return order(address, key=key, body={"item": 7})


def count_executions(deployment, key):
    return execution_counts(deployment)[f"workspace-one:{key}"]


class TestOrders:
    @pytest.mark.parametrize("closed", [False, True], ids=["status", "closed"])
    def test_lost_response_of_the_journal_write_does_not_refuse_the_order(
        self, deployment, closed
    ):
        # Guards against a refusal as not run while the key stays reserved, because the
        # response to the write of the reservation was lost.
        key = f"lost-{closed}"
        set_faults(
            deployment.platform, {"lose_next_answers": 1, "close_lost_answers": closed}
        )
        assert place(deployment, 0, key).execution == "completed"
        assert count_executions(deployment, key) == 1

    def test_only_completed_orders_are_answered_in_a_key_value_outage(self, deployment):
        done = place(deployment, 0, "before the outage")
        gevent.sleep(0.3)
        set_faults(deployment.platform, {"down": True})
        refused = place(deployment, 1, "in the outage")
        repeat = place(deployment, 0, "before the outage")
        assert refused.execution == "not_run"
        assert count_executions(deployment, "in the outage") == 0
        assert repeat.text == done.text, (
            "a completed order was not answered in the outage"
        )
        set_faults(deployment.platform, {"down": False})
        gevent.sleep(1.0)
        assert place(deployment, 1, "in the outage").execution == "completed"

    def test_repeats_through_all_nodes_get_the_same_answer(self, deployment):
        answers = [place(deployment, number, "repeat").text for number in range(3)]
        assert len(set(answers)) == 1
        assert count_executions(deployment, "repeat") == 1

    def test_lost_response_of_the_service_is_recovered_by_a_lookup(self, deployment):
        for service in deployment.services_by_id.values():
            service.drop_answers = 1
        first = place(deployment, 0, "dropped")
        for service in deployment.services_by_id.values():
            service.drop_answers = 0
        assert first.execution == "unknown"
        gevent.sleep(0.3)
        assert place(deployment, 1, "dropped").execution == "completed"
        assert count_executions(deployment, "dropped") == 1

    def test_order_runs_once_when_its_node_is_stopped(self, deployment):
        for service in deployment.services_by_id.values():
            service.delay_s = 0.4
        call = gevent.spawn(place, deployment, 2, "stopped")
        while not count_executions(deployment, "stopped"):
            gevent.sleep(0.01)
        stop_node(deployment.nodes[2])
        call.join()
        for service in deployment.services_by_id.values():
            service.delay_s = 0.002
        deployment.nodes[2] = start_node(deployment.nodes[2].settings)
        wait_until_ready(deployment.nodes[2])
        with gevent.Timeout(8.0):
            while place(deployment, 0, "stopped").execution != "completed":
                gevent.sleep(0.2)
        assert count_executions(deployment, "stopped") == 1


class TestDrain:
    def test_drain_writes_the_outcomes_of_answered_orders(self, deployment):
        # Outcomes wait to be written in one batch with others. Guards against losing
        # those still waiting when the node stops after the drain.
        place(deployment, 1, "drained")
        node = deployment.nodes[1]
        drain(node)
        wait_drained(node)
        assert not node.runtime.state.journal.outcomes_by_attempt
        stop_node(node)
        deployment.nodes[1] = start_node(node.settings)
        wait_until_ready(deployment.nodes[1])
        assert place(deployment, 0, "drained").execution == "completed"


class TestBench:
    def test_orders_under_faults_are_executed_at_most_once(self):
        result = run_orders(seed=3, n_orders=30)
        assert (result["duplicates"], result["false_not_run"]) == (0, 0)
        assert result["completed"] > 20
