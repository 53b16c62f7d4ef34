"""Node processes, stand-ins and proxies of one soak."""

import json
import os
import signal
import subprocess
import sys
from base64 import b64decode
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from savoryhill.clock import system_clock
from savoryhill.platform import names
from savoryhill.soak import cut_node
from savoryhill.soak.cut_node import CUTS_VARIABLE
from savoryhill.soak.proxy import FaultProxy
from savoryhill.standins.serving.endpoint import EndpointStandIn, start_endpoint
from savoryhill.standins.serving.store import MetadataStore, start_store

EVENTS_PER_STREAM = 8
EVENT_INTERVAL_S = 0.05
# Streams with helpers outlast the first expiry of their reservations.
HELPED_EVENT_INTERVAL_S = 0.5
# Grace periods of the nodes, one per soak: about the shortest in whose last sixth they
# end what still runs (0.7 s before its end), and the platform's.
GRACES_S = (4.5, 8.0)
SETTINGS = """\
node={name}
zone=zone-a
ipAddress={host}
listen.frontend={host}:18080
listen.readiness={host}:18081
internalPorts=18082,18090
platform.address={store}
bounds.graceS={grace_s:g}
bounds.budgetSlack=100
"""
ENGINE = {
    "slots": 8,
    "kvTokens": 405_000,
    "stride": 34,
    "step_ms": 1.31,
    "per_seq_ms": 0.0018,
    "context_per_k": 0.00213,
    "read_per_s": 154_000.0,
    "pairs_per_m": 0.02,
    "chunk": 2048,
}


def route(name, kind, service, **fields):
    """Return a route in the format of the operator's configuration."""
    return {
        "name": name,
        "host": "site.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 300,
        "targetGapMs": 250,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **fields,
    }


ROUTES = [
    route("chat", "streaming", "pool", resumable=True),
    route(
        "huge",
        "streaming",
        "pool",
        resumable=True,
        targetLatencyMs=3000,
        timeoutMs=9000,
        targetGapMs=800,
    ),
    route("once", "streaming", "pool", resumable=False),
    # Streams for which no repeat is granted.
    route("single-chat", "streaming", "pool", resumable=True, attempts=1),
    route("single-once", "streaming", "pool", resumable=False, attempts=1),
    route("plain-chat", "streaming", "app", resumable=True),
    route("plain-once", "streaming", "app", resumable=False),
    route("order", "non_idempotent", "app", attempts=1),
    route("stock", "idempotent", "app"),
]

# How long clients wait for the next event.
PATIENCE_S_BY_KIND = {
    item["name"]: max(
        2.0, 4 * item["targetLatencyMs"] / 1000, 8 * item["targetGapMs"] / 1000
    )
    for item in ROUTES
}


@dataclass(kw_only=True)
class NodeProcess:
    """A node and its process; ``incarnation`` counts the starts."""

    name: str
    host: str
    settings_path: Path
    store_proxy: FaultProxy
    log_path: Path
    cuts_path: Path
    process: subprocess.Popen | None = None
    incarnation: int = 0

    @property
    def address(self):
        """Return the ``host:port`` to which clients connect."""
        return f"{self.host}:18080"

    def start(self):
        """Start a process for the node."""
        self.incarnation += 1
        environment = {
            **os.environ,
            names.SETTINGS_VARIABLE: str(self.settings_path),
            CUTS_VARIABLE: f"{self.cuts_path}@{self.host}",
        }
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, cut_node.__file__],
                stdout=log,
                stderr=log,
                env=environment,
            )

    def cut(self, how, addresses):
        """Cut the node off from the endpoints at some addresses; none heals all."""
        text = "".join(f"{how} {address}\n" for address in addresses)
        new_path = self.cuts_path.with_suffix(".new")
        new_path.write_text(text)
        new_path.replace(self.cuts_path)

    def send_signal(self, signal_number):
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def has_ended(self):
        """Tell whether a started process has ended."""
        return self.process is not None and self.process.poll() is not None

    def stop(self):
        """Kill the process, even if it is stopped by a signal, and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


@dataclass(kw_only=True)
class SoakDeployment:
    """A store, endpoints behind proxies, and nodes that each have a proxy to the store.

    ``placements`` holds service and availability zone of each endpoint, and
    ``draining_indexes`` the indexes of the endpoints that are registered as draining.
    ``n_restarts_by_index`` counts the planned restarts of endpoints.
    Engines end when they begin to answer a prompt with the ``crashing_part``, if any,
    and endpoints under the kind and the body of ``crashing_request``. Clients send
    streams that may not be repeated with ``single_run_probability``.
    """

    folder: Path
    n_nodes: int
    n_engines: int
    first_host: int
    grace_s: float
    clock: object = field(default_factory=system_clock)
    nodes: list = field(default_factory=list)
    endpoints: list = field(default_factory=list)
    endpoint_proxies: list = field(default_factory=list)
    placements: list = field(default_factory=list)
    draining_indexes: set = field(default_factory=set)
    n_restarts_by_index: Counter = field(default_factory=Counter)
    version: int = 0
    crashing_part: str | None = None
    crashing_request: tuple = (None, b"")
    single_run_probability: float = 0.2
    keys: list = field(default_factory=lambda: ["key-0", "key-1", "key-2"])

    def start(self):
        """Start all parts without waiting until the nodes are ready."""
        self.store = MetadataStore(clock=self.clock)
        self._store_server = start_store(self.store)
        self._servers = [self._store_server]
        self.configure()
        for number in range(self.n_engines):
            self._add_endpoint(f"engine-{number}", "pool", f"zone-{number % 3}")
        for number in range(3):
            self._add_endpoint(f"app-{number}", "app", f"zone-{number % 3}")
        for number in range(self.n_nodes):
            self._add_node(number)

    def configure(self):
        """Write a new version of the configuration to the store."""
        self.version += 3
        self.write_configuration()

    def write_configuration(self):
        """Write the present version of the configuration to the store."""
        content = {
            "version": self.version,
            "routes": ROUTES,
            "services": [
                {"name": "pool", "coldPerS": 26.0, "engine": ENGINE},
                {"name": "app", "coldPerS": 0.0},
            ],
            "limits": {"idleTimeoutMs": 15_000, "headerTimeoutMs": 3000},
            "tenants": [{"name": "ws", "keys": self.keys, "priority": 1}],
        }
        self._write(names.CONFIGURATION_KEY, content)

    def _write(self, key, content):
        """Write a row unless the store has it as it is, as after a heartbeat."""
        value = json.dumps(content).encode()
        row = self.store.rows_by_key.get(key)
        if row is None or b64decode(row["value"]) != value:
            self.store.put(key, value)

    def set_crashing_part(self, part):
        """Set the part of prompts under which engines end; None is no part."""
        self.crashing_part = part
        for endpoint, (service, _) in zip(self.endpoints, self.placements, strict=True):
            if service == "pool":
                endpoint.crashing_parts = {part} if part else set()

    def set_crashing_request(self, kind, body):
        """Set the kind and the body of requests under which endpoints end."""
        self.crashing_request = kind, body
        for endpoint in self.endpoints:
            endpoint.crashing_bodies = {body} if kind else set()

    def _add_endpoint(self, name, service, zone):
        index = len(self.endpoints)
        endpoint = EndpointStandIn(
            id=name,
            clock=self.clock,
            n_events=EVENTS_PER_STREAM,
            event_interval_s=EVENT_INTERVAL_S,
            helped_event_interval_s=HELPED_EVENT_INTERVAL_S,
            fleet=self.endpoints,
            on_return=lambda: self.write_endpoint_row(index),
        )
        server = start_endpoint(endpoint)
        self._servers.append(server)
        proxy = FaultProxy(target=f"127.0.0.1:{server.server_port}")
        self.endpoints.append(endpoint)
        self.endpoint_proxies.append(proxy)
        self.placements.append((service, zone))
        self.write_endpoint_row(index)

    def write_endpoint_row(self, index):
        """Write the row of an endpoint to the store."""
        service, zone = self.placements[index]
        row = {
            "service": service,
            "address": self.endpoint_proxies[index].address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if index in self.draining_indexes else "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1
            + len(self.endpoints[index].crashes)
            + self.n_restarts_by_index[index],
        }
        self._write(names.ENDPOINT_PREFIX + self.endpoints[index].id, row)

    def _add_node(self, number):
        host = f"127.0.{self.first_host}.{number + 1}"
        store = f"127.0.0.1:{self._store_server.server_port}"
        proxy = FaultProxy(target=store)
        path = self.folder / f"node-{number}.conf"
        path.write_text(
            SETTINGS.format(
                name=f"node-{number}",
                host=host,
                store=proxy.address,
                grace_s=self.grace_s,
            )
        )
        node = NodeProcess(
            name=f"node-{number}",
            host=host,
            settings_path=path,
            store_proxy=proxy,
            log_path=self.folder / f"node-{number}.log",
            cuts_path=self.folder / f"node-{number}.cuts",
        )
        node.start()
        self.nodes.append(node)

    def stop(self):
        """Stop all node processes, proxies and stand-ins."""
        for node in self.nodes:
            node.stop()
            node.store_proxy.stop()
        for proxy in self.endpoint_proxies:
            proxy.stop()
        for server in self._servers:
            server.stop(timeout=0)
