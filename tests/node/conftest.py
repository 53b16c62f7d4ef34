import json
import time
from collections import deque

import gevent
import pytest
from geventhttpclient import HTTPClient

from savoryhill.clock import Clock
from savoryhill.demo.deployment import (
    BEARER_KEY,
    CLUSTER_KEY,
    HARDWARE,
    MODEL,
    SERVICE,
    Deployment,
    apply_answers,
    free_address,
    make_answers,
)
from savoryhill.demo.run import wait_until_ready
from savoryhill.httpapp import serve
from savoryhill.node.callers import CallerLimits
from savoryhill.node.process import start_node, stop_node
from savoryhill.node.settings import NodeSettings
from savoryhill.standins.platform import PlatformState, platform_application
from savoryhill.standins.scripted import start_scripted_engine
from savoryhill.standins.service import ServiceState, service_application

ADMIN_KEY = "admin-key-of-the-tests"


class Stack:
    """A node with two scripted engines, a service and the platform stand-in.

    ``clock_offset_s`` is added to the clock of the node to skip time.
    """

    def __init__(self, **limits):
        self.clock_offset_s = 0.0
        self.script = deque()
        platform = PlatformState()
        server, address = serve(platform_application(platform), "127.0.0.1:0")
        self.deployment = Deployment(
            platform=platform, platform_address=address, hardware=HARDWARE
        )
        self.engines = [
            start_scripted_engine(f"engine-{n}", self.script) for n in range(2)
        ]
        for engine in self.engines:
            self.deployment.engine_addresses_by_id[engine.name] = engine.address
        self.service = ServiceState(id="orders-0")
        service_server, service_address = serve(
            service_application(self.service), "127.0.0.1:0"
        )
        self.deployment.service_addresses_by_id["orders-0"] = service_address
        self.servers = [server, service_server, *(e.server for e in self.engines)]
        apply_answers(self.deployment, make_answers(self.deployment), revision=1)
        settings = NodeSettings(
            node="node-0",
            zone="zone-a",
            region="south",
            listen=free_address(),
            peer_listen=free_address(),
            admin_listen=free_address(),
            key_value=address,
            hosts=address,
            cluster_key=CLUSTER_KEY,
            admin_key=ADMIN_KEY,
            limits=CallerLimits(**limits),
        )
        platform.hosts_by_node["node-0"] = {
            "node": "node-0",
            "address": settings.peer_listen,
            "zone": settings.zone,
            "state": "live",
        }
        clock = Clock(
            monotonic=lambda: time.monotonic() + self.clock_offset_s,
            wall=time.time,
            sleep=gevent.sleep,
        )
        self.node = start_node(settings, clock=clock)
        self.address = settings.listen
        wait_until_ready(self.node)
        # The coordinator grants no permit before it knows the incarnation of an engine.
        self.wait(lambda: self.post("/v1/completions", self.body())[0] == 200)

    def stop(self):
        stop_node(self.node)
        for server in self.servers:
            server.stop(timeout=0.1)

    def wait(self, condition, timeout_s=5.0):
        """Wait in real time until a condition holds, while other greenlets run."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < deadline, "condition was not met in time"
            gevent.sleep(0.005)

    def body(self, **fields):
        return {"model": MODEL, "prompt": "a question", "max_tokens": 8, **fields}

    def request(self, method, path, body=b"", headers=None, key=BEARER_KEY):
        """Send a request and return the status, headers and body of the response."""
        host, port = self.address.rsplit(":", 1)
        http = HTTPClient(host, int(port), network_timeout=10.0)
        request_headers = {"Content-Type": "application/json", **(headers or {})}
        if key:
            request_headers["Authorization"] = f"Bearer {key}"
        try:
            response = http.request(method, path, body=body, headers=request_headers)
            return response.status_code, dict(response.items()), response.read()
        finally:
            http.close()

    def post(self, path, document, headers=None, key=BEARER_KEY):
        """Send a JSON document and return the status and the decoded response."""
        content = json.dumps(document).encode()
        status, _, answer = self.request("POST", path, content, headers, key)
        return status, json.loads(answer) if answer else None

    def stream(self, body, headers=None):
        """Request a streamed completion and return the data of its events."""
        content = json.dumps({**body, "stream": True}).encode()
        status, _, answer = self.request("POST", "/v1/completions", content, headers)
        assert status == 200, answer
        return [
            line.removeprefix("data: ")
            for line in answer.decode().splitlines()
            if line.startswith("data: ")
        ]

    def call_order(self, key=None, body=None, headers=None):
        request_headers = {
            **({"Idempotency-Key": key} if key else {}),
            **(headers or {}),
        }
        return self.post(
            f"/services/{SERVICE}/call/order", body or {"n": 1}, request_headers
        )

    @property
    def request_state(self):
        return self.node.runtime.state.requests

    def n_executions(self, key, workspace="workspace-one"):
        return self.service.executions_by_key[f"{workspace}:{key}"]

    def counter(self, name):
        counters = self.node.metrics.counters
        return sum(value for (known, _), value in counters.items() if known == name)


@pytest.fixture(scope="session")
def make_stack():
    return Stack


@pytest.fixture(scope="module")
def stack(make_stack):
    running = make_stack()
    yield running
    running.stop()


@pytest.fixture
def engines(stack):
    """The engines, with an empty script and a full retry budget."""
    stack.request_state.retry_tokens = 10.0
    stack.script.clear()
    for engine in stack.engines:
        engine.calls.clear()
        engine.cancelled.clear()
    return stack.engines
