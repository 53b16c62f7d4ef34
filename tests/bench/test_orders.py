"""Orders over real sockets: callers, nodes, key-value service and service."""

import gevent
import pytest

from savoryhill.bench.orders import executions_of, run_orders, share_books
from savoryhill.demo import deployment as demo
from savoryhill.demo.run import order, wait_until_ready
from savoryhill.node.process import drain, start_node, stop_node, wait_drained
from savoryhill.standins.platform import set_faults


@pytest.fixture(scope="module")
def shared():
    deployment = demo.start_deployment(n_nodes=3, n_engines=1, n_services=3)
    share_books(deployment)
    for node in deployment.nodes:
        wait_until_ready(node)
    gevent.sleep(0.5)
    yield deployment
    demo.stop_deployment(deployment)


@pytest.fixture
def deployment(shared):
    yield shared
    set_faults(shared.platform, {"down": False, "lose_next_answers": 0})


def place(deployment, number, key):
    address = deployment.nodes[number].settings.listen
    return order(address, key=key, body={"item": 7})


def n_executions(deployment, key):
    return executions_of(deployment)[f"workspace-one:{key}"]


class TestOrders:
    @pytest.mark.parametrize("closed", [False, True], ids=["status", "closed"])
    def test_a_lost_answer_of_the_journal_write(self, deployment, closed):
        # The caller was refused as not run while the key stayed reserved.
        key = f"lost-{closed}"
        set_faults(
            deployment.platform, {"lose_next_answers": 1, "close_lost_answers": closed}
        )
        assert place(deployment, 0, key).execution == "completed"
        assert n_executions(deployment, key) == 1

    def test_an_outage_of_the_key_value_service(self, deployment):
        done = place(deployment, 0, "before the outage")
        gevent.sleep(0.3)
        set_faults(deployment.platform, {"down": True})
        refused = place(deployment, 1, "in the outage")
        repeat = place(deployment, 0, "before the outage")
        assert refused.execution == "not_run"
        assert n_executions(deployment, "in the outage") == 0
        assert repeat.text == done.text, "a key known as done was not answered"
        set_faults(deployment.platform, {"down": False})
        gevent.sleep(1.0)
        assert place(deployment, 1, "in the outage").execution == "completed"

    def test_a_repeat_through_every_node(self, deployment):
        answers = [place(deployment, number, "repeat").text for number in range(3)]
        assert len(set(answers)) == 1
        assert n_executions(deployment, "repeat") == 1

    def test_a_lost_answer_of_the_service_is_settled_by_the_lookup(self, deployment):
        for service in deployment.services_by_id.values():
            service.drop_answers = 1
        first = place(deployment, 0, "dropped")
        for service in deployment.services_by_id.values():
            service.drop_answers = 0
        assert first.execution == "unknown"
        gevent.sleep(0.3)
        assert place(deployment, 1, "dropped").execution == "completed"
        assert n_executions(deployment, "dropped") == 1

    def test_a_node_stopped_in_the_middle_of_an_order(self, deployment):
        for service in deployment.services_by_id.values():
            service.delay_s = 0.4
        call = gevent.spawn(place, deployment, 2, "stopped")
        while not n_executions(deployment, "stopped"):
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
        assert n_executions(deployment, "stopped") == 1


class TestDrain:
    def test_a_drained_node_records_the_answers_it_has_given(self, deployment):
        # They waited for more endings to be written with, and were lost with it.
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
    def test_orders_under_faults_run_at_most_once(self):
        result = run_orders(seed=3, n_orders=30)
        assert (result["duplicates"], result["false_not_run"]) == (0, 0)
        assert result["completed"] > 20
