"""Orders while node processes are killed or stopped by signals."""

import os
import signal
import subprocess
import sys
from types import SimpleNamespace

import gevent
import pytest
import yaml

from savoryhill.bench.orders import (
    execution_counts,
    send_order,
    share_execution_records,
)
from savoryhill.demo import deployment as demo
from savoryhill.demo.run import wait_until_ready


class Processes:
    """Two node processes, with the stand-ins in this process."""

    def __init__(self, directory):
        self.deployment = demo.start_deployment(n_nodes=0, n_engines=1, n_services=1)
        share_execution_records(self.deployment)
        self.settings, self.paths = [], []
        for number in range(2):
            settings = {
                "node": f"node-{number}",
                "zone": demo.ZONES[number],
                "region": "south",
                "listen": demo.free_address(),
                "peer_listen": demo.free_address(),
                "admin_listen": demo.free_address(),
                "key_value": self.deployment.platform_address,
                "hosts": self.deployment.platform_address,
                "cluster_key": demo.CLUSTER_KEY,
            }
            self.deployment.platform.hosts_by_node[settings["node"]] = {
                "node": settings["node"],
                "address": settings["peer_listen"],
                "zone": settings["zone"],
                "state": "live",
            }
            path = directory / f"{settings['node']}.yaml"
            path.write_text(yaml.safe_dump(settings))
            self.settings.append(settings)
            self.paths.append(path)
        self.children = [self.start(number) for number in range(2)]
        for number in range(2):
            self.wait_ready(number)

    def start(self, number):
        command = [sys.executable, "-m", "savoryhill", "node", self.paths[number]]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        return subprocess.Popen(
            command,
            env=environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def wait_ready(self, number):
        settings = SimpleNamespace(**self.settings[number])
        wait_until_ready(SimpleNamespace(settings=settings), timeout_s=15.0)

    def place(self, number, key):
        headers = {
            "Authorization": f"Bearer {demo.BEARER_KEY}",
            "Savoryhill-Deadline-Ms": "1000",
        }
        status, content = send_order(
            self.settings[number]["listen"],
            f"/services/{demo.SERVICE}/call/order",
            key,
            headers,
        )
        return content.get("execution", "completed" if status == 200 else "")

    def count_executions(self, key):
        return execution_counts(self.deployment)[f"workspace-one:{key}"]

    def stop(self):
        for child in self.children:
            child.kill()
            child.wait()
        demo.stop_deployment(self.deployment)


@pytest.fixture(scope="module")
def processes(tmp_path_factory):
    processes = Processes(tmp_path_factory.mktemp("nodes"))
    gevent.sleep(1.0)
    yield processes
    processes.stop()


def repeat_until_completed(processes, number, key):
    """Repeat an order at a node until it is completed."""
    with gevent.Timeout(15.0):
        while processes.place(number, key) != "completed":
            gevent.sleep(0.2)


class TestSignals:
    @pytest.mark.parametrize("signal_number", [signal.SIGSTOP, signal.SIGKILL])
    def test_order_runs_once_when_its_node_is_stopped(self, processes, signal_number):
        # Guards against a second execution by the repeat through the other node. When
        # the node stops, the reservation may be written, the call is running and its
        # response is not recorded.
        (service,) = processes.deployment.services_by_id.values()
        service.delay_s = 0.3
        key = f"signal-{signal_number}"
        call = gevent.spawn(processes.place, 1, key)
        while not processes.count_executions(key):
            gevent.sleep(0.01)
        processes.children[1].send_signal(signal_number)
        service.delay_s = 0.002
        if signal_number == signal.SIGKILL:
            processes.children[1].wait()
            processes.children[1] = processes.start(1)
        repeat_until_completed(processes, 0, key)
        if signal_number == signal.SIGSTOP:
            processes.children[1].send_signal(signal.SIGCONT)
        processes.wait_ready(1)
        gevent.joinall([call], timeout=10.0)
        repeat_until_completed(processes, 1, key)
        assert processes.count_executions(key) == 1
