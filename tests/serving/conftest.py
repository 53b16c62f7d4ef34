"""Fixtures: a store, endpoints and nodes in one process, over loopback sockets."""

import json
import os
from dataclasses import dataclass, field
from ipaddress import IPv4Address
from itertools import count

import gevent
import pytest
from gevent.event import Event
from gevent.server import StreamServer

from savoryhill.clock import system_clock
from savoryhill.platform.boot_settings import ServingSettings
from savoryhill.serving.http import encode_request
from savoryhill.serving.process import ServingNode
from savoryhill.serving.ways import connection as connection_module
from savoryhill.serving.ways.connection import open_connection
from savoryhill.soak.deployment import ENGINE, route
from savoryhill.standins.serving.endpoint import EndpointStandIn, start_endpoint
from savoryhill.standins.serving.network import REFUSE, Network, make_socket_type
from savoryhill.standins.serving.store import MetadataStore, start_store

# Each test process uses its own loopback network, so that parallel test runs on one
# machine do not use the same addresses. One run starts more nodes than the last byte
# of an address can number.
_FIRST_HOST = IPv4Address(f"127.{20 + os.getpid() % 200}.1.0")
_HOST_NUMBERS = count(2)
ENGINE_FIGURES = {**ENGINE, "slots": 4, "pairs_per_m": 0.162}


SPLIT = [{"service": "pool", "weight": 50}, {"service": "app", "weight": 50}]
STREAM_PATHS = ("/chat/", "/once/", "/plain-chat/", "/plain-once/", "/split/")
LIMITS = {"idleTimeoutMs": 15_000, "headerTimeoutMs": 3000}


def configuration(
    version=1,
    routes=None,
    keys=("key-a",),
    other_keys=(),
    limits=LIMITS,
    engine=ENGINE_FIGURES,
    left_out=(),
    **parts,
):
    """Return a configuration in the format that the operator writes.

    ``parts`` replace those of the same name; those in ``left_out`` are missing.
    """
    if routes is None:
        routes = [
            route("chat", "streaming", "pool", resumable=True),
            route("once", "streaming", "pool", resumable=False),
            route("plain-chat", "streaming", "app", resumable=True),
            route("plain-once", "streaming", "app", resumable=False),
            route("split", "streaming", "pool", resumable=True, trafficSplit=SPLIT),
            route("order", "non_idempotent", "app", attempts=1),
            route("stock", "idempotent", "app"),
        ]
    content = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "pool", "coldPerS": 26.0, "engine": engine},
            {"name": "app", "coldPerS": 0.0},
        ],
        "limits": limits,
        "tenants": [
            {"name": "ws-a", "keys": list(keys), "priority": 1},
            {"name": "ws-b", "keys": list(other_keys), "priority": 1},
        ],
    }
    content.update(parts)
    return {name: part for name, part in content.items() if name not in left_out}


class RecordedLogLines:
    """Records log events instead of writing them to standard output."""

    def __init__(self):
        self.events = []
        self.n_dropped = 0

    def write(self, event, fields):
        """Record an event."""
        self.events.append((event, fields))

    def fields_of(self, event):
        """Return the fields of each recorded event with this name."""
        return [fields for name, fields in self.events if name == event]


@dataclass(kw_only=True)
class Deployment:
    """The store, endpoints and nodes that a test runs."""

    store: MetadataStore
    store_address: str
    endpoints_by_id: dict = field(default_factory=dict)
    nodes: list = field(default_factory=list)
    lines: list = field(default_factory=list)
    servers: list = field(default_factory=list)
    n_requests: int = 0

    def configure(self, **fields):
        """Write a configuration to the store; return its value."""
        value = json.dumps(configuration(**fields)).encode()
        self.store.put("op/config", value)
        return value

    def configure_nodes(self, *, version, **fields):
        """Write a configuration and wait until all nodes have it in force."""
        self.configure(version=version, **fields)
        views = [node.context.cluster_view for node in self.nodes]
        wait_until(lambda: all(v.configuration.version == version for v in views))

    def add_endpoint(
        self, endpoint_id, *, service, zone="zone-a", release="v1", **fields
    ):
        """Start and register an endpoint."""
        endpoint = EndpointStandIn(
            id=endpoint_id,
            clock=system_clock(),
            fleet=self.endpoints_by_id.values(),
            **fields,
        )
        server = start_endpoint(endpoint)
        self.servers.append(server)
        self.endpoints_by_id[endpoint_id] = endpoint
        endpoint.address = f"127.0.0.1:{server.server_port}"
        self.register(endpoint_id, service=service, zone=zone, release=release)
        return endpoint

    def register(
        self,
        endpoint_id,
        *,
        service,
        zone="zone-a",
        state="ready",
        address=None,
        born=1,
        release="v1",
    ):
        """Write the store row of an endpoint, by default of a started stand-in."""
        row = {
            "service": service,
            "address": address or self.endpoints_by_id[endpoint_id].address,
            "zone": zone,
            "version": release,
            "slots": 4,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": born,
        }
        self.store.put(f"servers/{endpoint_id}", json.dumps(row).encode())

    def add_node(self, *, store_address=None, grace_s=3.0):
        """Start a node and wait until it is ready."""
        host = str(_FIRST_HOST + next(_HOST_NUMBERS))
        settings = ServingSettings(
            node=f"node-{host}",
            zone="zone-a",
            client_address=f"{host}:18080",
            readiness_address=f"{host}:18081",
            peer_address=f"{host}:18082",
            relay_address=f"{host}:18083",
            store_address=store_address or self.store_address,
            grace_s=grace_s,
            repeat_ratio=0.2,
            repeat_slack=100.0,
            repeat_window_s=10.0,
        )
        lines = RecordedLogLines()
        node = ServingNode(settings=settings, clock=system_clock(), lines=lines)
        node.start()
        self.nodes.append(node)
        self.lines.append(lines)
        wait_until(node.context.is_ready)
        return node

    def ask(self, path, **options):
        """Send a request and return ``(status, headers, body, is_complete)``."""
        connection = self.open(path, **options)
        return self.finish(connection)

    def connect(self, *, node=0):
        """Open a connection to a node as a client does."""
        address = self.nodes[node].context.settings.client_address
        return open_connection(address, timeout_s=1.0)

    def open(
        self, path, *, node=0, method=b"POST", body=b"", connection=None, **headers
    ):
        """Send a request and return the connection on which its response arrives.

        ``connection`` is one to the node that is open already.
        """
        self.n_requests += 1
        values = {
            "host": "site.example",
            "x-attempt-id": f"a{self.n_requests}",
            "x-time-remaining": "4000",
            "authorization": "Bearer key-a",
        }
        if path.startswith(STREAM_PATHS):
            values["x-token-counts"] = "1000,100"
        values.update({k.replace("_", "-"): v for k, v in headers.items()})
        pairs = [(k.encode(), v.encode()) for k, v in values.items() if v is not None]
        connection = connection or self.connect(node=node)
        message = encode_request(method, path.encode(), pairs, body)
        connection.send(message, timeout_s=1.0)
        return connection

    def finish(self, connection):
        """Read the response; return ``(status, headers, body, is_complete)``."""
        reader = connection.reader
        try:
            while not reader.complete and connection.receive(timeout_s=6.0):
                pass
        except ConnectionError:
            # The node aborted the response; the reader is not complete then.
            pass
        finally:
            connection.close()
        status = reader.head.status if reader.head else None
        headers = dict(reader.head.headers) if reader.head else {}
        return status, headers, reader.take_body(), reader.complete

    def wait_until(self, condition, *, limit_s=5.0):
        """Wait until a condition holds."""
        wait_until(condition, limit_s=limit_s)

    def stop(self):
        """Stop all nodes and servers."""
        for node in self.nodes:
            node.stop()
        for server in self.servers:
            server.stop(timeout=0)


class ScriptedEndpoint:
    """Sends the same bytes in answer to every request, until the caller closes.

    It closes the connection after ``first`` if ``repeated`` is None.
    """

    def __init__(self, *, first, repeated, interval_s=0.0):
        self.first = first
        self.repeated = repeated
        self.interval_s = interval_s
        self.n_requests = 0
        self.requests = []
        self.n_sent_bytes = 0
        self.n_closed = 0
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def _serve(self, sock, _address):
        received = b""
        while b"\r\n\r\n" not in received:
            data = sock.recv(65_536)
            if not data:
                # A node may connect only to see whether the endpoint is there.
                return
            received += data
        self.n_requests += 1
        self.requests.append(received)
        _, _, rest = received.partition(b"x-attempt-id: ")
        try:
            sock.sendall(self.first.replace(b"%b", rest.split(b"\r\n")[0]))
            while self.repeated is not None:
                sock.sendall(self.repeated)
                self.n_sent_bytes += len(self.repeated)
                gevent.sleep(self.interval_s)
        except OSError:
            self.n_closed += 1


def wait_until(condition, *, limit_s=5.0):
    """Wait until a condition holds."""
    with gevent.Timeout(limit_s, AssertionError(f"{condition} did not hold in time")):
        while not condition():
            gevent.sleep(0.005)


class PausedClock:
    """A clock that only the test advances."""

    def __init__(self):
        self.now = 100.0
        self._sleepers = []

    def monotonic(self):
        """Return the time, in seconds."""
        return self.now

    def sleep(self, seconds):
        """Suspend the calling greenlet until the test has advanced the clock."""
        wakes_at, woken = self.now + seconds, Event()
        self._sleepers.append((wakes_at, woken))
        woken.wait()

    def advance(self, seconds):
        """Advance the time and wake the greenlets whose sleep has ended."""
        self.now += seconds
        due = [item for item in self._sleepers if item[0] <= self.now]
        self._sleepers = [item for item in self._sleepers if item[0] > self.now]
        for _, woken in due:
            woken.set()

    def n_sleepers(self):
        """Return how many greenlets sleep on this clock."""
        return len(self._sleepers)


@pytest.fixture(name="wait_until")
def fixture_wait_until():
    """The function that waits until a condition holds."""
    return wait_until


@pytest.fixture
def network(monkeypatch):
    """A network that the test cuts."""
    network = Network()
    monkeypatch.setattr(connection_module.gsocket, "socket", make_socket_type(network))
    return network


@pytest.fixture
def add_cut_node(deployment, network):
    """Start two nodes, of which the second reaches endpoints through the first only."""

    def add(addresses):
        for _ in range(2):
            deployment.add_node()
        views = [node.context.cluster_view for node in deployment.nodes]
        wait_until(lambda: all(len(view.nodes_by_name) == 2 for view in views))
        host = deployment.nodes[1].context.settings.peer_address.rsplit(":", 1)[0]
        network.cut(host, addresses, REFUSE)

    return add


@pytest.fixture
def clock():
    """A paused clock."""
    return PausedClock()


@pytest.fixture
def deployment():
    """A store with a configuration and one node; the test adds endpoints."""
    store = MetadataStore(clock=system_clock())
    server = start_store(store)
    running = Deployment(
        store=store,
        store_address=f"127.0.0.1:{server.server_port}",
        servers=[server],
    )
    running.configure()
    yield running
    running.stop()


@pytest.fixture(name="scripted_endpoint")
def fixture_scripted_endpoint():
    """The class of endpoints that send the same bytes in answer to every request."""
    return ScriptedEndpoint


@pytest.fixture
def start_scripted(deployment):
    """Start a scripted endpoint and register it."""

    def start(endpoint_id, *, service, **script):
        endpoint = ScriptedEndpoint(**script)
        deployment.servers.append(endpoint.server)
        deployment.register(endpoint_id, service=service, address=endpoint.address)
        return endpoint

    return start
