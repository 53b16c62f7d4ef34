"""Run of a soak: injects faults, runs clients and checks the observations."""

import json
import signal
import tempfile
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import gevent

from savoryhill.clock import system_clock
from savoryhill.platform import names
from savoryhill.serving.ways.connection import open_connection
from savoryhill.soak.clients import Client
from savoryhill.soak.deployment import GRACES_S, SoakDeployment
from savoryhill.soak.plan import STOP_PHASE_S, make_plan
from savoryhill.soak.proxy import PASS
from savoryhill.soak.result import EVACUATION_BOUND_S, SETTLE_S, build_result
from savoryhill.standins.serving.network import HANG, REFUSE, RESET

RESTART_INTERVAL_S = 0.4
START_TIMEOUT_S = 20.0
COPY_INTERVAL_S = 1.0
# The store is restored from the oldest copy that is kept.
MAX_COPIES = 5
# Versions that are in force when the store loses them, and how long before they are
# written.
N_LOST_VERSIONS = 20
LOST_VERSIONS_SPAN_S = 0.5
CRASHING_KINDS = ("chat", "order", "once", "stock")
NAMED_LIMITS_PER_S = (0.5, 1.0, 3.0)
WANTED_PAUSE_S = 2.0
CUTS = (HANG, RESET, REFUSE)
# Clients leave a little after they may, by the way to them and their own timers.
MAX_EXTRA_PATIENCE_S = 0.3
# Share of the streams of engines that may not be repeated while nodes are stopped in
# turn: it is these that a node which stops could end too early.
STOP_PHASE_SINGLE_RUN_PROBABILITY = 0.7
STORE_FAULT_MODES = {
    "store_silent": "silent",
    "store_busy": "busy",
    "store_reset": "reset",
    "store_lost": "lost",
}


@dataclass(kw_only=True)
class Soak:
    """One running soak.

    ``disturbances`` holds the start and end of each span in which a node, a link or
    the store is disturbed, and ``unplanned`` the node (None for all), start and end of
    each one that is no SIGTERM; ``stops`` holds node, incarnation and time of these.
    ``drain_spans`` and ``evacuation_spans`` hold an endpoint
    id, and start and end of the span in which the endpoint was excluded.
    """

    seed: int
    length_s: float
    deployment: SoakDeployment
    clock: object = field(default_factory=system_clock)
    requests: list = field(default_factory=list)
    disturbances: list = field(default_factory=list)
    unplanned: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    revoked_at_by_key: dict = field(default_factory=dict)
    drain_spans: list = field(default_factory=list)
    evacuation_spans: list = field(default_factory=list)
    crashing_parts: list = field(default_factory=list)
    crashing_bodies: list = field(default_factory=list)
    limit_spans: list = field(default_factory=list)
    leaving_spans: list = field(default_factory=list)
    pause_spans: list = field(default_factory=list)
    cut_spans: list = field(default_factory=list)
    evacuation_keys: set = field(default_factory=set)
    store_copies: deque = field(default_factory=lambda: deque(maxlen=MAX_COPIES))
    fault_greenlets: list = field(default_factory=list)

    def is_undisturbed(self, start, end):
        """Tell whether a span overlaps no disturbance or its settling time."""
        return not any(
            disturbed_from < end and start < disturbed_until + SETTLE_S
            for disturbed_from, disturbed_until in self.disturbances
        )

    def has_unplanned(self, node, start, end):
        """Tell whether a node, a link of it or the store was disturbed unplanned."""
        return any(
            other in (None, node) and disturbed_from < end and start < disturbed_until
            for other, disturbed_from, disturbed_until in self.unplanned
        )

    def run(self):
        """Run the plan and the clients, and return the result."""
        started_at = self.clock.monotonic()
        ends_at = started_at + self.length_s
        patience_random = Random(f"patience/{self.seed}")
        random = Random(f"clients/{self.seed}")
        clients = [
            Client(
                number=number,
                deployment=self.deployment,
                random=Random(random.random()),
                clock=self.clock,
                requests=self.requests,
                is_undisturbed=self.is_undisturbed,
                extra_patience_s=patience_random.uniform(0.0, MAX_EXTRA_PATIENCE_S),
            )
            for number in range(6 * len(self.deployment.nodes))
        ]
        client_greenlets = [
            gevent.spawn(client.run, ends_at + STOP_PHASE_S) for client in clients
        ]
        background = [
            gevent.spawn(self._restart_ended_nodes),
            gevent.spawn(self._copy_store),
        ]
        gevent.spawn_later(self.length_s, self._begin_stop_phase)
        for fault in make_plan(self.seed, length_s=self.length_s):
            gevent.sleep(max(0.0, started_at + fault.at_s - self.clock.monotonic()))
            self.fault_greenlets.append(gevent.spawn(self._apply, fault))
        gevent.joinall(client_greenlets)
        gevent.joinall(self.fault_greenlets)
        gevent.killall(background)
        return build_result(self, ends_at)

    def _begin_stop_phase(self):
        self.deployment.single_run_probability = STOP_PHASE_SINGLE_RUN_PROBABILITY

    def _restart_ended_nodes(self):
        """Restart node processes that have ended, as the platform does."""
        while True:
            gevent.sleep(RESTART_INTERVAL_S)
            for node in self.deployment.nodes:
                if node.has_ended():
                    is_stopped = any(
                        stop[:2] == (node.name, node.incarnation) for stop in self.stops
                    )
                    self._record_disturbance(1.5, node=node.name, is_planned=is_stopped)
                    node.start()

    def _copy_store(self):
        while True:
            self.store_copies.append(self.deployment.store.copy())
            gevent.sleep(COPY_INTERVAL_S)

    def _record_disturbance(self, length_s, *, node=None, is_planned=False):
        """Record a disturbance from now on, of one node or of all."""
        now = self.clock.monotonic()
        self.disturbances.append((now, now + length_s))
        if not is_planned:
            self.unplanned.append((node, now, now + length_s))

    # Faults.

    def _apply(self, fault):
        kind = fault.kind
        nodes = self.deployment.nodes
        node = nodes[fault.target % len(nodes)]
        if kind in ("kill", "pause", "term", "reload"):
            self._signal_node(node, kind, fault.length_s)
        elif kind.startswith("store_link_"):
            mode = kind[len("store_link_") :]
            self._disturb_link(node.store_proxy, mode, fault.length_s, node.name)
        elif kind.startswith("endpoint_link_"):
            proxies = self.deployment.endpoint_proxies
            proxy = proxies[fault.target % len(proxies)]
            self._disturb_link(proxy, kind[len("endpoint_link_") :], fault.length_s)
        elif kind.startswith("store_"):
            self._disturb_store(kind, fault.length_s)
        elif kind.startswith("endpoint_"):
            endpoints = self.deployment.endpoints
            endpoint = endpoints[fault.target % len(endpoints)]
            endpoint.faults.append(kind[len("endpoint_") :])
        else:
            getattr(self, f"_{kind}")(fault)

    def _signal_node(self, node, kind, length_s):
        if kind == "reload":
            node.send_signal(signal.SIGHUP)
            return
        is_planned = kind == "term"
        self._record_disturbance(length_s + 2.0, node=node.name, is_planned=is_planned)
        if kind == "kill":
            node.send_signal(signal.SIGKILL)
        elif kind == "term":
            now = self.clock.monotonic()
            self.stops.append((node.name, node.incarnation, now))
            node.send_signal(signal.SIGTERM)
            self._record_disturbance(self.deployment.grace_s + 1.0, is_planned=True)
        else:
            node.send_signal(signal.SIGSTOP)
            gevent.sleep(length_s)
            node.send_signal(signal.SIGCONT)

    def _disturb_link(self, proxy, mode, length_s, node=None):
        self._record_disturbance(length_s, node=node)
        proxy.set_mode(mode)
        gevent.sleep(length_s)
        proxy.set_mode(PASS)

    def _disturb_store(self, kind, length_s):
        store = self.deployment.store
        self._record_disturbance(length_s)
        if kind == "store_forgets":
            store.compact_history()
        elif kind == "store_slow":
            store.delay_s = 0.3
            gevent.sleep(length_s)
            store.delay_s = 0.0
        elif kind == "store_lapses":
            self._expire_endpoint_rows(length_s)
        else:
            store.fault = STORE_FAULT_MODES[kind]
            gevent.sleep(length_s)
            store.fault = None

    def _expire_endpoint_rows(self, length_s):
        """Make the store unavailable, then remove the endpoints' rows as if expired.

        The rows are written again 1 s after the store is back.
        """
        store = self.deployment.store
        store.fault = "busy"
        gevent.sleep(length_s)
        for endpoint in self.deployment.endpoints:
            store.remove(names.ENDPOINT_PREFIX + endpoint.id)
        store.fault = None
        self._record_disturbance(2.0)
        gevent.sleep(1.0)
        for index in range(len(self.deployment.endpoints)):
            self.deployment.write_endpoint_row(index)

    def _restoration(self, fault):
        """Restore the store from a copy; its writers then write what they had again."""
        deployment, store = self.deployment, self.deployment.store
        self._record_disturbance(fault.length_s)
        copy = self.store_copies[0]
        for _ in range(N_LOST_VERSIONS):
            deployment.configure()
        gevent.sleep(LOST_VERSIONS_SPAN_S)
        store.fault = "reset"
        gevent.sleep(fault.length_s)
        store.restore(copy)
        self.store_copies.clear()
        self.store_copies.append(store.copy())
        store.fault = None
        deployment.write_configuration()
        in_copy = {
            key for key in store.rows_by_key if key.startswith(names.EVACUATION_PREFIX)
        }
        for key in in_copy - self.evacuation_keys:
            store.remove(key)
        for key in self.evacuation_keys - in_copy:
            store.put(key, json.dumps({}).encode())
        for index in range(len(deployment.endpoints)):
            deployment.write_endpoint_row(index)

    # Changes.

    def _revoke(self, _fault):
        """Replace a key, so that there is always one left to revoke."""
        deployment = self.deployment
        if len(deployment.keys) > 1:
            key = deployment.keys.pop()
            deployment.keys.insert(0, f"key-{deployment.version}")
            deployment.configure()
            self.revoked_at_by_key[key] = self.clock.monotonic()

    def _configure(self, _fault):
        self.deployment.configure()

    def _drain(self, fault):
        deployment = self.deployment
        index = fault.target % len(deployment.endpoints)
        if index in deployment.draining_indexes:
            return
        start = self.clock.monotonic()
        deployment.draining_indexes.add(index)
        deployment.write_endpoint_row(index)
        gevent.sleep(fault.length_s + 3.0)
        endpoint_id = deployment.endpoints[index].id
        self.drain_spans.append((endpoint_id, start, self.clock.monotonic()))
        deployment.draining_indexes.discard(index)
        deployment.write_endpoint_row(index)

    def _evacuate(self, fault):
        zone = f"zone-{fault.target % 3}"
        key = names.EVACUATION_PREFIX + zone
        if key in self.evacuation_keys:
            return
        start = self.clock.monotonic()
        self.evacuation_keys.add(key)
        self.deployment.store.put(key, json.dumps({}).encode())
        gevent.sleep(fault.length_s + EVACUATION_BOUND_S)
        end = self.clock.monotonic()
        self.evacuation_keys.discard(key)
        self.deployment.store.remove(key)
        for endpoint, (_, endpoint_zone) in zip(
            self.deployment.endpoints, self.deployment.placements, strict=True
        ):
            if endpoint_zone == zone:
                self.evacuation_spans.append((endpoint.id, start, end))

    def _crashing_part(self, fault):
        deployment = self.deployment
        part = f"dead{len(self.crashing_parts)}"
        self.crashing_parts.append(part)
        deployment.set_crashing_part(part)
        gevent.sleep(fault.length_s)
        deployment.set_crashing_part(None)

    def _crashing_request(self, fault):
        kind = CRASHING_KINDS[fault.target % len(CRASHING_KINDS)]
        body = b"dead%d" % len(self.crashing_bodies)
        self.crashing_bodies.append(body)
        self.deployment.set_crashing_request(kind, body)
        gevent.sleep(fault.length_s)
        self.deployment.set_crashing_request(None, b"")

    def _named_limit(self, fault):
        endpoints = self.deployment.endpoints
        endpoint = endpoints[fault.target % len(endpoints)]
        limit = NAMED_LIMITS_PER_S[fault.target % len(NAMED_LIMITS_PER_S)]
        start = self.clock.monotonic()
        endpoint.named_limit = f"{limit:g}"
        gevent.sleep(fault.length_s)
        endpoint.named_limit = None
        self.limit_spans.append((endpoint, limit, start, self.clock.monotonic()))

    def _spoken_leave(self, fault):
        """Have an endpoint say that it leaves, which the store does not, then restart.

        It goes on serving meanwhile.
        """
        index = fault.target % len(self.deployment.endpoints)
        endpoint = self.deployment.endpoints[index]
        start = self.clock.monotonic()
        endpoint.is_leaving = True
        gevent.sleep(fault.length_s)
        self.leaving_spans.append((endpoint, start, self.clock.monotonic()))
        endpoint.is_leaving = False
        self.deployment.n_restarts_by_index[index] += 1
        self.deployment.write_endpoint_row(index)

    def _wanted_pause(self, fault):
        """Have an endpoint turn all requests away and name a pause."""
        endpoints = self.deployment.endpoints
        endpoint = endpoints[fault.target % len(endpoints)]
        start = self.clock.monotonic()
        endpoint.wanted_pause = f"{WANTED_PAUSE_S:g}"
        gevent.sleep(fault.length_s)
        self.pause_spans.append(
            (endpoint, WANTED_PAUSE_S, start, self.clock.monotonic())
        )
        endpoint.wanted_pause = None

    def _node_cut(self, fault):
        """Cut a node off from all endpoints or, each fourth time, from some."""
        nodes, proxies = self.deployment.nodes, self.deployment.endpoint_proxies
        node = nodes[fault.target // 4 % len(nodes)]
        is_partial = fault.target % 4 == 3
        addresses = [proxy.address for proxy in proxies[:: 2 if is_partial else 1]]
        start = self.clock.monotonic()
        # What runs on the node breaks off.
        self._record_disturbance(0.0, node=node.name)
        self.unplanned.append((node.name, start, start + fault.length_s))
        node.cut(CUTS[fault.target % len(CUTS)], addresses)
        gevent.sleep(fault.length_s)
        node.cut("", ())
        if not is_partial:
            self.cut_spans.append((node.name, start, self.clock.monotonic()))

    def _silent_spell(self, fault):
        endpoints = self.deployment.endpoints
        endpoint = endpoints[fault.target % len(endpoints)]
        until = self.clock.monotonic() + fault.length_s
        endpoint.silent_until = max(endpoint.silent_until, until)

    def _engine_pause(self, fault):
        """Have one engine pause, every second one, or all endpoints of a service."""
        endpoints = self.deployment.endpoints
        service = "app" if fault.target % 4 == 3 else "pool"
        paused = [
            endpoint
            for endpoint, (other, _) in zip(
                endpoints, self.deployment.placements, strict=True
            )
            if other == service
        ]
        if fault.target % 4 == 0:
            paused = [paused[fault.target // 4 % len(paused)]]
        elif fault.target % 4 == 1:
            paused = paused[::2]
        until = self.clock.monotonic() + fault.length_s
        for endpoint in paused:
            endpoint.silent_until = max(endpoint.silent_until, until)


def run_soak(seed, *, length_s, n_nodes, n_engines, first_host=20):
    """Start a deployment and run one seed against it.

    Parameters
    ----------
    seed : int
        Seed of the plan and of the clients' requests.
    length_s : float
        Length in seconds, including the quiet time at the end.
    n_nodes, n_engines : int
        Size of the deployment; each node is a process of its own.
    first_host : int
        Third number of the nodes' loopback addresses. Soaks that run at the same time
        need different values.

    Returns
    -------
    SoakResult
        The findings and counts; the logs of the nodes remain in ``folder``.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    deployment = SoakDeployment(
        folder=folder,
        n_nodes=n_nodes,
        n_engines=n_engines,
        first_host=first_host,
        grace_s=GRACES_S[seed % len(GRACES_S)],
    )
    deployment.start()
    try:
        _wait_until_ready(deployment)
        return Soak(seed=seed, length_s=length_s, deployment=deployment).run()
    finally:
        deployment.stop()


def _wait_until_ready(deployment):
    with gevent.Timeout(START_TIMEOUT_S):
        for node in deployment.nodes:
            while not _is_ready(node.host):
                gevent.sleep(0.05)


def _is_ready(host):
    try:
        connection = open_connection(f"{host}:18081", timeout_s=0.5)
        try:
            connection.send(
                b"GET " + names.READINESS_PATH + b" HTTP/1.1\r\nhost: x\r\n\r\n",
                timeout_s=0.5,
            )
            while connection.reader.head is None:
                if not connection.receive(timeout_s=0.5):
                    return False
            return connection.reader.head.status == 200
        finally:
            connection.close()
    except Exception:
        # The node is not listening yet or is still starting.
        return False
