"""Runs a soak: faults from outside, clients, and the checks of what they saw."""

import json
import signal
import tempfile
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import gevent

from savoryhill.clock import system_clock
from savoryhill.platform import names
from savoryhill.serving.http import open_connection
from savoryhill.soak import observations as seen
from savoryhill.soak.clients import Client
from savoryhill.soak.deployment import N_EVENTS, SoakDeployment
from savoryhill.soak.plan import make_plan
from savoryhill.soak.proxy import PASS

RESTART_S = 0.4
START_LIMIT_S = 20.0
# Disturbances still count this long after they end.
CALM_AFTER_S = 3.0
KEY_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
EVACUATION_BOUND_S = 5.0
STORE_FAULTS = {
    "store_silent": "silent",
    "store_busy": "busy",
    "store_reset": "reset",
    "store_lost": "lost",
}


@dataclass(kw_only=True)
class SoakResult:
    """Findings of one seed, and how much was seen."""

    seed: int
    n_requests: int
    n_answered: int
    n_answered_at_end: int
    n_asked_at_end: int
    findings: list
    folder: str


@dataclass(kw_only=True)
class Soak:
    """One running soak; ``disturbances`` holds spans in which something is wrong."""

    seed: int
    length_s: float
    deployment: SoakDeployment
    clock: object = field(default_factory=system_clock)
    asked: list = field(default_factory=list)
    disturbances: list = field(default_factory=list)
    revoked_at_by_key: dict = field(default_factory=dict)
    draining: list = field(default_factory=list)
    evacuated: list = field(default_factory=list)
    spawned: list = field(default_factory=list)

    def is_calm(self, start, end):
        """Tell whether nothing was disturbed in a span."""
        return not any(
            begin < end and start < finish + CALM_AFTER_S
            for begin, finish in self.disturbances
        )

    def run(self):
        """Run the plan and the clients, and return the findings."""
        started = self.clock.monotonic()
        ends_at = started + self.length_s
        random = Random(f"clients/{self.seed}")
        clients = [
            Client(
                number=number,
                deployment=self.deployment,
                random=Random(random.random()),
                clock=self.clock,
                asked=self.asked,
                is_calm=self.is_calm,
            )
            for number in range(6 * len(self.deployment.nodes))
        ]
        running = [gevent.spawn(client.run, ends_at) for client in clients]
        keeper = gevent.spawn(self._keep_running)
        for fault in make_plan(self.seed, length_s=self.length_s):
            gevent.sleep(max(0.0, started + fault.at_s - self.clock.monotonic()))
            self.spawned.append(gevent.spawn(self._apply, fault))
        gevent.joinall(running)
        gevent.joinall(self.spawned)
        keeper.kill()
        return self._result(ends_at)

    def _keep_running(self):
        """Start processes again that have ended, as the platform does."""
        while True:
            gevent.sleep(RESTART_S)
            for node in self.deployment.nodes:
                if node.has_ended():
                    self._disturb(1.5)
                    node.start()

    def _disturb(self, length_s):
        now = self.clock.monotonic()
        self.disturbances.append((now, now + length_s))

    # Faults.

    def _apply(self, fault):
        kind = fault.kind
        nodes = self.deployment.nodes
        node = nodes[fault.target % len(nodes)]
        if kind in ("kill", "pause", "term", "reload"):
            self._signal(node, kind, fault.length_s)
        elif kind.startswith("store_link_"):
            self._switch(node.store_proxy, kind[len("store_link_") :], fault.length_s)
        elif kind.startswith("endpoint_link_"):
            proxies = self.deployment.endpoint_proxies
            proxy = proxies[fault.target % len(proxies)]
            self._switch(proxy, kind[len("endpoint_link_") :], fault.length_s)
        elif kind.startswith("store_"):
            self._disturb_store(kind, fault.length_s)
        elif kind.startswith("endpoint_"):
            endpoints = self.deployment.endpoints
            endpoint = endpoints[fault.target % len(endpoints)]
            endpoint.faults.append(kind[len("endpoint_") :])
        else:
            getattr(self, f"_{kind}")(fault)

    def _signal(self, node, kind, length_s):
        if kind == "reload":
            node.send(signal.SIGHUP)
            return
        self._disturb(length_s + 2.0)
        if kind == "kill":
            node.send(signal.SIGKILL)
        elif kind == "term":
            node.send(signal.SIGTERM)
            self._disturb(5.0)
        else:
            node.send(signal.SIGSTOP)
            gevent.sleep(length_s)
            node.send(signal.SIGCONT)

    def _switch(self, proxy, mode, length_s):
        self._disturb(length_s)
        proxy.set_mode(mode)
        gevent.sleep(length_s)
        proxy.set_mode(PASS)

    def _disturb_store(self, kind, length_s):
        store = self.deployment.store
        self._disturb(length_s)
        if kind == "store_forgets":
            store.compact_history()
        elif kind == "store_slow":
            store.delay_s = 0.3
            gevent.sleep(length_s)
            store.delay_s = 0.0
        elif kind == "store_lapses":
            self._lapse(length_s)
        else:
            store.fault = STORE_FAULTS[kind]
            gevent.sleep(length_s)
            store.fault = None

    def _lapse(self, length_s):
        """Take the store away; the rows of endpoints lapse and come back later."""
        store = self.deployment.store
        store.fault = "busy"
        gevent.sleep(length_s)
        for endpoint in self.deployment.endpoints:
            store.remove(names.ENDPOINT_PREFIX + endpoint.id)
        store.fault = None
        self._disturb(2.0)
        gevent.sleep(1.0)
        for index in range(len(self.deployment.endpoints)):
            self.deployment.register(index)

    # Changes.

    def _revoke(self, _fault):
        """Replace a key, so that there is always one to revoke."""
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
        if index in deployment.draining:
            return
        start = self.clock.monotonic()
        deployment.draining.add(index)
        deployment.register(index)
        gevent.sleep(fault.length_s + 3.0)
        name = deployment.endpoints[index].id
        self.draining.append((name, start, self.clock.monotonic()))
        deployment.draining.discard(index)
        deployment.register(index)

    def _evacuate(self, fault):
        zone = f"zone-{fault.target % 3}"
        key = names.EVACUATION_PREFIX + zone
        if key in self.deployment.store.rows_by_key:
            return
        start = self.clock.monotonic()
        self.deployment.store.put(key, json.dumps({}).encode())
        gevent.sleep(fault.length_s + EVACUATION_BOUND_S)
        end = self.clock.monotonic()
        self.deployment.store.remove(key)
        for endpoint, (_, where) in zip(
            self.deployment.endpoints, self.deployment.services, strict=True
        ):
            if where == zone:
                self.evacuated.append((endpoint.id, start, end))

    # Checks.

    def _result(self, ends_at):
        gevent.sleep(seen.GONE_SLACK_S)
        endpoints = self.deployment.endpoints
        arrivals, runs_by_id, ended = [], defaultdict(list), {}
        times_by_engine = defaultdict(list)
        for endpoint, (service, _) in zip(
            endpoints, self.deployment.services, strict=True
        ):
            for arrival in endpoint.arrivals:
                arrivals.append((endpoint.id, arrival.attempt_id, arrival.at))
                if arrival.was_run:
                    runs_by_id[arrival.attempt_id].append(arrival.at)
                if service == "pool":
                    times_by_engine[endpoint.id].append(arrival.at)
            for name, at in endpoint.ended_at_by_attempt.items():
                ended[name] = max(at, ended.get(name, 0.0))
        by_endpoint = [(endpoint, at) for endpoint, _, at in arrivals]

        def disturbed(start, end):
            return not self.is_calm(start, end)

        findings = [
            *seen.check_requests(self.asked, runs_by_id, n_events=N_EVENTS),
            *seen.check_departures(self.asked, ended),
            *seen.check_cold_limit(times_by_engine),
            *seen.check_repeats(self.asked, [(name, at) for _, name, at in arrivals]),
            *seen.check_keys(
                self.asked,
                self.revoked_at_by_key,
                bound_s=KEY_BOUND_S,
                disturbed=disturbed,
            ),
            *seen.check_closed_targets(
                by_endpoint,
                self.draining,
                bound_s=DRAIN_BOUND_S,
                disturbed=disturbed,
                promise="leaving endpoints get nothing",
            ),
            *seen.check_closed_targets(
                by_endpoint,
                self.evacuated,
                bound_s=EVACUATION_BOUND_S,
                disturbed=disturbed,
                promise="evacuated zones get nothing",
            ),
            *self._check_memory(),
            *self._check_recovery(ends_at),
        ]
        last = [r for r in self.asked if r.sent_at > ends_at - CALM_AFTER_S]
        return SoakResult(
            seed=self.seed,
            n_requests=len(self.asked),
            n_answered=sum(r.status == 200 for r in self.asked),
            n_answered_at_end=sum(r.status == 200 for r in last),
            n_asked_at_end=len(last),
            findings=findings,
            folder=str(self.deployment.folder),
        )

    def _check_memory(self):
        gevent.sleep(4.0)
        held = [
            (endpoint.id, reservation)
            for endpoint in self.deployment.endpoints
            for reservation in endpoint.held_reservations()
        ]
        return [
            seen.Finding(promise="no memory is left set aside", detail=str(item))
            for item in held
        ]

    def _check_recovery(self, ends_at):
        last = [
            request
            for request in self.asked
            if request.sent_at > ends_at - CALM_AFTER_S
            and request.left_at is None
            and request.key in self.deployment.keys
        ]
        n_served = sum(request.status == 200 for request in last)
        if n_served * 2 >= len(last):
            return []
        detail = f"{n_served} of {len(last)} requests served in the last seconds"
        return [seen.Finding(promise="service returns after faults", detail=detail)]


def run_soak(seed, *, length_s, n_nodes, n_engines, first_host=20):
    """Run one seed.

    Parameters
    ----------
    seed : int
        Seed of the plan and of the clients.
    length_s : float
        Length in seconds, with the quiet time at the end.
    n_nodes, n_engines : int
        Sizes; each node is a process.
    first_host : int
        Third number of the nodes' loopback addresses; soaks that run at the same time
        need different ones.

    Returns
    -------
    SoakResult
        The findings; the logs stay in its folder.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    deployment = SoakDeployment(
        folder=folder, n_nodes=n_nodes, n_engines=n_engines, first_host=first_host
    )
    deployment.start()
    try:
        _await_ready(deployment)
        return Soak(seed=seed, length_s=length_s, deployment=deployment).run()
    finally:
        deployment.stop()


def _await_ready(deployment):
    with gevent.Timeout(START_LIMIT_S):
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
        # Not listening yet, or a start that is still under way.
        return False
