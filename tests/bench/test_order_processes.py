"""Orders while node processes are killed and stopped by signals."""

import os
import signal
import subprocess
import sys
from types import SimpleNamespace

import gevent
import pytest
import yaml

from savoryhill.bench.orders import executions_of, send_order, share_books
from savoryhill.demo import deployment as demo
from savoryhill.demo.run import wait_until_ready


class Processes:
    """Two node processes beside stand-ins in this process."""

    def __init__(self, directory):
        self.deployment = demo.start_deployment(n_nodes=0, n_engines=1, n_services=1)
        share_books(self.deployment)
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
            self.wait(number)

    def start(self, number):
        command = [sys.executable, "-m", "savoryhill", "node", self.paths[number]]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        return subprocess.Popen(
            command,
            env=environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def wait(self, number):
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

    def n_executions(self, key):
        return executions_of(self.deployment)[f"workspace-one:{key}"]

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


def settle(processes, number, key):
    """Repeat an order at a node until its answer is there."""
    with gevent.Timeout(15.0):
        while processes.place(number, key) != "completed":
            gevent.sleep(0.2)


class TestSignals:
    @pytest.mark.parametrize("sent", [signal.SIGSTOP, signal.SIGKILL])
    def test_a_node_is_stopped_in_the_middle_of_an_order(self, processes, sent):
        # Its reservation may have been written, its call is running and its answer
        # is not recorded; the repeat comes through the other node.
        (service,) = processes.deployment.services_by_id.values()
        service.delay_s = 0.3
        key = f"signal-{sent}"
        call = gevent.spawn(processes.place, 1, key)
        while not processes.n_executions(key):
            gevent.sleep(0.01)
        processes.children[1].send_signal(sent)
        service.delay_s = 0.002
        if sent == signal.SIGKILL:
            processes.children[1].wait()
            processes.children[1] = processes.start(1)
        settle(processes, 0, key)
        if sent == signal.SIGSTOP:
            processes.children[1].send_signal(signal.SIGCONT)
        processes.wait(1)
        gevent.joinall([call], timeout=10.0)
        settle(processes, 1, key)
        assert processes.n_executions(key) == 1
