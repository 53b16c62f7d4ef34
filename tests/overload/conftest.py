"""A node's process with low limits, a store and an endpoint in the test's process."""

import json
import os
import random
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

import gevent
import pytest
from gevent import socket as gsocket

from savoryhill.clock import system_clock
from savoryhill.errors import MalformedMessageError, NotConnectedError
from savoryhill.platform.names import SETTINGS_VARIABLE
from savoryhill.serving.http import encode_request
from savoryhill.serving.ways.connection import open_connection
from savoryhill.soak.deployment import route
from savoryhill.standins.serving.endpoint import EndpointStandIn, start_endpoint
from savoryhill.standins.serving.store import MetadataStore, start_store

SERVE = Path(__file__).parents[2] / "deploy" / "serve.py"
# Hosts of nodes; the port of the metrics is the same on all of them.
HOST_RANGE = (16, 250)
START_LIMIT_S = 60.0
# An ordinary caller comes back as often as this; how long it takes does not count.
MAX_TRIES = 10
MAX_RETRY_AFTER_S = 2.0
SETTINGS = """\
node=node-1
zone=zone-a
ipAddress={host}
listen.frontend={host}:18080
listen.readiness={host}:18081
internalPorts=18082,18090
platform.address={store}
bounds.graceS=2
bounds.budgetSlack=100
limits.memoryMb={memory_mb}
limits.fileDescriptors={file_descriptors}
"""
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4_194_304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15_000,
}


class NodeProcess:
    """A node of its own process, with the limits that its settings name."""

    memory_bytes = 100_000_000
    file_descriptors = 400

    def __init__(self, *, folder, store_address):
        numbers = (random.randint(*HOST_RANGE) for _ in range(3))
        self.host = ".".join(["127", *map(str, numbers)])
        self.log_path = folder / "log"
        settings_path = folder / "settings"
        settings_path.write_text(
            SETTINGS.format(
                host=self.host,
                store=store_address,
                memory_mb=self.memory_bytes // 1_000_000,
                file_descriptors=self.file_descriptors,
            )
        )
        with open(self.log_path, "wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(SERVE)],
                stdout=log,
                stderr=log,
                env={**os.environ, SETTINGS_VARIABLE: str(settings_path)},
            )

    @property
    def address(self):
        """Return where clients connect."""
        return f"{self.host}:18080"

    def is_alive(self):
        """Tell whether the process runs."""
        return self._process.poll() is None

    def is_ready(self):
        """Tell whether the node takes clients."""
        assert self.is_alive(), self.log_path.read_text()[-2000:]
        try:
            socket.create_connection((self.host, 18081)).close()
        except ConnectionRefusedError:
            return False
        return "configuration.in_force" in self.log_path.read_text()

    def peak_bytes(self):
        """Return the most memory that the process has used so far."""
        with open(f"/proc/{self._process.pid}/status", encoding="ascii") as file:
            (line,) = (line for line in file if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024

    def n_descriptors(self):
        """Return how many descriptors the process has open."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def end(self):
        """End the process."""
        if self.is_alive():
            self._process.terminate()
        self._process.wait(timeout=START_LIMIT_S)


class Site:
    """One node with a store and an endpoint, and an ordinary caller."""

    def __init__(self, *, folder):
        clock = system_clock()
        self._store = MetadataStore(clock=clock)
        self._servers = [start_store(self._store)]
        self.endpoint = EndpointStandIn(id="a1", clock=clock)
        self._servers.append(start_endpoint(self.endpoint))
        self._configure()
        store_address = f"127.0.0.1:{self._servers[0].server_port}"
        self.node = NodeProcess(folder=folder, store_address=store_address)
        self._n_requests = 0
        self.retry_after_s = 0.1

    def _configure(self):
        content = {
            "version": 1,
            "routes": [
                route("order", "non_idempotent", "app", attempts=1),
                route("stock", "idempotent", "app"),
            ],
            "services": [{"name": "app", "coldPerS": 0.0}],
            "limits": LIMITS,
            "tenants": [{"name": "ws-a", "keys": ["key-a"], "priority": 1}],
        }
        self._store.put("op/config", json.dumps(content).encode())
        row = {
            "service": "app",
            "address": f"127.0.0.1:{self._servers[1].server_port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
        }
        self._store.put("servers/a1", json.dumps(row).encode())

    def headers(self):
        """Return the headers of an ordinary request, with an id of its own."""
        self._n_requests += 1
        return [
            (b"host", b"site.example"),
            (b"x-attempt-id", b"t%d" % self._n_requests),
            (b"x-time-remaining", b"5000"),
            (b"authorization", b"Bearer key-a"),
        ]

    def ask(self, body):
        """Send an ordinary request once; return its status, or None without one."""
        return self.send(encode_request(b"POST", b"/stock/x", self.headers(), body))

    def send(self, data):
        """Send the bytes of a request; return the status of its answer, or None."""
        try:
            connection = open_connection(self.node.address, timeout_s=5.0)
        except NotConnectedError:
            return None
        try:
            connection.send(data, timeout_s=5.0)
            connection.receive_all(timeout_s=5.0)
        except (OSError, MalformedMessageError):
            return None
        finally:
            connection.close()
        head = connection.reader.head
        self.retry_after_s = float(head.header(b"retry-after") or 0.1)
        return head.status

    def serve_ordinary_caller(self, body):
        """Return the status of an ordinary request whose caller comes back if told."""
        status = None
        for _ in range(MAX_TRIES):
            status = self.ask(body)
            if status not in (None, 408, 429, 503):
                return status
            gevent.sleep(min(MAX_RETRY_AFTER_S, self.retry_after_s))
        return status

    def stop(self):
        """Stop the node and the stand-ins."""
        self.node.end()
        for server in self._servers:
            server.stop(timeout=0)


class Crowd:
    """Clients that each send some bytes and then stay; they read nothing."""

    def __init__(self, *, address):
        host, port = address.rsplit(":", 1)
        self._address = host, int(port)
        self._sockets = []
        self._greenlets = []

    def add(self, pieces):
        """Add a client that connects and sends the pieces of an iterable."""
        self._greenlets.append(gevent.spawn(self._send, pieces))

    def _send(self, pieces):
        sock = gsocket.socket()
        self._sockets.append(sock)
        # A node that refuses a client, or closes its connection, may do so.
        with suppress(OSError):
            sock.settimeout(5.0)
            sock.connect(self._address)
            for piece in pieces:
                sock.sendall(piece)

    def wait(self):
        """Wait until each client has sent all, or can't send on."""
        gevent.joinall(self._greenlets)

    def leave(self):
        """Close all connections."""
        gevent.killall(self._greenlets)
        for sock in self._sockets:
            sock.close()


@pytest.fixture
def site(tmp_path):
    site = Site(folder=tmp_path)
    try:
        with gevent.Timeout(START_LIMIT_S):
            while not site.node.is_ready():
                gevent.sleep(0.05)
        yield site
    finally:
        site.stop()


@pytest.fixture
def crowd(site):
    crowd = Crowd(address=site.node.address)
    yield crowd
    crowd.leave()
