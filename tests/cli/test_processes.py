import json
import os
import signal
import subprocess
import sys
import time
from hashlib import sha256
from pathlib import Path

import gevent
import pytest
import yaml
from geventhttpclient import HTTPClient

from savoryhill.demo.deployment import (
    BEARER_KEY,
    CLUSTER_KEY,
    HARDWARE,
    Deployment,
    apply_answers,
    free_address,
    make_answers,
)
from savoryhill.demo.run import complete, expected_text, order

SOURCE = Path(__file__).parents[2] / "src"
ADMIN_KEY = "admin-key-of-the-tests"
ENGINE = {
    "model": "assistant",
    "prefill_tokens_per_s": 400_000.0,
    "decode_tokens_per_s": 100.0,
    "memory_tokens": 1_200_000,
    "slots": 16,
}


def run_cli(*arguments, timeout_s=20):
    return subprocess.run(
        [sys.executable, "-m", "savoryhill", *arguments],
        env={**os.environ, "PYTHONPATH": str(SOURCE)},
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=timeout_s,
    )


class Processes:
    """Runs each part of a deployment in a process of its own."""

    def __init__(self, directory):
        self.directory = directory
        self.started = {}

    def start(self, name, *arguments, settings):
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        with open(self.directory / f"{name}.log", "wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "savoryhill", *arguments, str(path)],
                env={**os.environ, "PYTHONPATH": str(SOURCE)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started[name] = process
        return process

    def log(self, name):
        return (self.directory / f"{name}.log").read_text()

    def stop(self):
        for process in self.started.values():
            if process.poll() is None:
                process.kill()
            process.wait()


def wait_for(condition, description, timeout_s=20.0):
    deadline_at = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_at, f"{description} did not happen in time"
        gevent.sleep(0.02)


def get_status_code(address, path="/readyz"):
    host, port = address.split(":")
    client = HTTPClient(host, int(port), connection_timeout=1, network_timeout=5)
    try:
        return client.get(path).status_code
    except OSError:
        return 0
    finally:
        client.close()


@pytest.fixture(scope="class")
def processes(tmp_path_factory):
    """A platform, two engines, a service and two nodes, each in its own process."""
    processes = Processes(tmp_path_factory.mktemp("parts"))
    try:
        start_processes(processes)
        yield processes
    finally:
        processes.stop()


def start_processes(processes):
    platform, service = free_address(), free_address()
    engines = {f"engine-{n}": free_address() for n in range(2)}
    nodes = {}
    for number in range(2):
        nodes[f"node-{number}"] = {
            "node": f"node-{number}",
            "zone": f"zone-{'ab'[number]}",
            "region": "south",
            "listen": free_address(),
            "peer_listen": free_address(),
            "admin_listen": free_address(),
            "key_value": platform,
            "hosts": platform,
            "cluster_key": CLUSTER_KEY,
            "admin_key": ADMIN_KEY,
        }
    hosts = [
        {
            "node": name,
            "address": settings["peer_listen"],
            "zone": settings["zone"],
            "state": "live",
            "admin": settings["admin_listen"],
        }
        for name, settings in nodes.items()
    ]
    processes.start(
        "platform",
        "standin",
        "platform",
        settings={"listen": platform, "hosts": hosts},
    )
    for name, address in engines.items():
        processes.start(
            name,
            "standin",
            "engine",
            settings={"listen": address, "id": name, **ENGINE},
        )
    processes.start(
        "service",
        "standin",
        "service",
        settings={"listen": service, "id": "orders-0"},
    )
    wait_for(lambda: get_status_code(platform, "/hosts") == 200, "platform")
    deployment = Deployment(platform=None, platform_address=platform, hardware=HARDWARE)
    deployment.engine_addresses_by_id.update(engines)
    deployment.service_addresses_by_id["orders-0"] = service
    apply_answers(deployment, make_answers(deployment), revision=1)
    for name, settings in nodes.items():
        processes.start(name, "node", settings=settings)
    for settings in nodes.values():
        wait_for(lambda a=settings["listen"]: get_status_code(a) == 200, "readiness")
    processes.nodes, processes.platform = nodes, platform
    processes.service = service
    key = processes.directory / "admin.key"
    key.write_text(ADMIN_KEY)
    processes.key_file = str(key)


class TestSeparateProcesses:
    # Guards against components that work only when they share one process.
    def test_requests_orders_status_and_timeline(self, processes):
        addresses = [settings["listen"] for settings in processes.nodes.values()]
        for address in addresses:
            answer = complete(address, prompt="a question " * 50, max_tokens=8)
            assert answer.text == expected_text("a question " * 50, 8)
        for address in addresses:
            assert order(address, key="once", body={"n": 1}).status == 200
        target_options = (
            "--hosts",
            processes.platform,
            "--key_file",
            processes.key_file,
        )
        completed = run_cli("status", *target_options, "--output", "json")
        assert completed.returncode == 0, completed.stderr
        nodes = json.loads(completed.stdout)["nodes"]
        assert {node["node"] for node in nodes} == set(processes.nodes)
        assert all(node["configuration_revision"] == 1 for node in nodes)
        completed = run_cli("timeline", *target_options, "--output", "json")
        events = json.loads(completed.stdout)["events"]
        timestamps = [event["hlc"] for event in events]
        assert timestamps == sorted(timestamps)
        finished = [e for e in events if e["event"] == "request.finished"]
        request = finished[0]["request"]
        completed = run_cli("timeline", *target_options, "--request", request)
        assert request in completed.stdout
        assert "attempt.started" in completed.stdout
        # Guards against secrets in command output and log files.
        for text in (
            completed.stdout,
            *(processes.log(name) for name in processes.nodes),
        ):
            for secret in (BEARER_KEY, CLUSTER_KEY, ADMIN_KEY):
                assert secret not in text
                assert sha256(secret.encode()).hexdigest() not in text

    # Guards against a shutdown that cuts a running stream or never ends the process.
    def test_sigterm_finishes_running_stream_and_exits_0(self, processes):
        settings = processes.nodes["node-0"]
        address, process = settings["listen"], processes.started["node-0"]
        prompt = "a long answer"
        streaming = gevent.spawn(complete, address, prompt=prompt, max_tokens=150)
        wait_for(
            lambda: '"running"' in read_admin_status(processes, settings), "stream"
        )
        process.send_signal(signal.SIGTERM)
        wait_for(lambda: get_status_code(address) == 503, "failed readiness")
        refused = complete(address, prompt="late", max_tokens=1)
        assert (refused.status, refused.execution) == (503, "not_run")
        answer = streaming.get(timeout=10)
        assert answer.text == expected_text(prompt, 150)
        assert process.wait(timeout=15) == 0
        assert "graceful=true" in processes.log("node-0")

    # Guards against a stuck process that an operator cannot stop with signals.
    def test_second_signal_cuts_running_stream_and_exits_1(self, processes):
        settings = processes.nodes["node-1"]
        process = processes.started["node-1"]
        streaming = gevent.spawn(
            complete, settings["listen"], prompt="cut", max_tokens=2_000
        )
        wait_for(
            lambda: '"running"' in read_admin_status(processes, settings), "stream"
        )
        process.send_signal(signal.SIGTERM)
        wait_for(lambda: get_status_code(settings["listen"]) == 503, "failed readiness")
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=10) == 1
        assert "graceful=false answers=1 running=1" in processes.log("node-1")
        streaming.kill()

    # Guards against stand-ins that are left running after a test run.
    def test_stand_ins_stop_on_sigterm(self, processes):
        for name in ("engine-0", "engine-1", "service", "platform"):
            processes.started[name].send_signal(signal.SIGTERM)
        for name in ("engine-0", "engine-1", "service", "platform"):
            assert processes.started[name].wait(timeout=10) == 0


def read_admin_status(processes, settings):
    host, port = settings["admin_listen"].split(":")
    client = HTTPClient(host, int(port), network_timeout=5)
    try:
        headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
        return client.get("/admin/status", headers=headers).read().decode()
    finally:
        client.close()
