"""Replay of plain calls on many nodes, without a network, for ways to balance them.

Run as ``python -m savoryhill.bench.balancing``. Each way sees the same arrivals. A
request is misplaced if it waits or is refused on an endpoint while another one of the
service has a free slot.
"""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random
from types import SimpleNamespace

from savoryhill.core.balancing import (
    FAILURE_S,
    EndpointLoads,
    LoadReport,
    choose_endpoint,
)

ZONES = ("zone-a", "zone-b", "zone-c")
SLOTS = 6
# Requests that wait on an endpoint before it refuses the next one.
MAX_WAITING = 6
CALL_S = 0.15
# One way between a node and an endpoint, or between two nodes.
HOP_S = 0.001
# From the loss of a leader until all nodes have a new one.
LEADERLESS_S = 1.0
# The first request of a node after the loss waits for a reply.
REPLY_TIMEOUT_S = 0.03
PRESENT = "own running"
LEADER = "leader's count"
WAYS = (
    PRESENT,
    "random",
    "two choices",
    "own reports",
    "own reports, refusals",
    "shared reports",
    "shared reports, refusals",
    "shared reports, weights",
    "shared counts",
    LEADER,
    "leader's count, reports",
)


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A load: ``calls_per_s`` by phase, each of ``phase_s`` seconds.

    In the phases of ``moved_phases``, all calls come to nodes of one zone. Endpoints
    have speeds from 1 to ``slowest``; one is 4 times slower in the second half if
    ``has_slow_endpoint``. ``cut_share`` of the nodes has no links to others.
    ``share_s`` is the age of a shared report when the other nodes get it. The leader is
    lost at ``lost_at_s``: nodes choose by themselves until there is a new one, which
    knows nothing. With ``has_refusing_endpoint``, one endpoint refuses all calls and
    says that it is idle.
    """

    name: str
    n_nodes: int = 65
    n_endpoints: int = 3
    calls_per_s: tuple[float, ...] = (8.0, 80.0, 8.0, 60.0)
    moved_phases: tuple[int, ...] = ()
    phase_s: float = 5.0
    slowest: float = 1.5
    has_slow_endpoint: bool = False
    cut_share: float = 0.0
    share_s: float = 0.1
    call_s: float = CALL_S
    lost_at_s: float = inf
    has_refusing_endpoint: bool = False


SCENARIOS = (
    Scenario(name="calm", calls_per_s=(8.0,) * 12),
    Scenario(name="65 nodes, 3 endpoints", moved_phases=(1,)),
    Scenario(name="the same, 0.5 s old", moved_phases=(1,), share_s=0.5),
    Scenario(name="the same, 3 s old", moved_phases=(1,), share_s=2.9),
    Scenario(name="burst in all zones", calls_per_s=(8.0, 100.0, 8.0, 80.0)),
    Scenario(name="slow endpoint", has_slow_endpoint=True, calls_per_s=(40.0,) * 4),
    Scenario(name="refusing endpoint", has_refusing_endpoint=True),
    Scenario(name="leader lost", moved_phases=(1,), lost_at_s=7.5),
    Scenario(name="a third cut off", moved_phases=(1,), cut_share=1 / 3),
    Scenario(name="all cut off", moved_phases=(1,), cut_share=1.0),
    Scenario(
        name="340 nodes, 12 endpoints",
        n_nodes=340,
        n_endpoints=12,
        calls_per_s=(40.0, 300.0, 40.0, 300.0),
        moved_phases=(1,),
        phase_s=3.0,
        share_s=0.2,
    ),
    Scenario(
        name="340 nodes, 60 endpoints",
        n_nodes=340,
        n_endpoints=60,
        calls_per_s=(200.0, 1500.0, 200.0),
        moved_phases=(1,),
        phase_s=2.0,
        share_s=0.7,
    ),
    Scenario(
        name="engines, no leader",
        n_nodes=36,
        n_endpoints=60,
        calls_per_s=(40.0, 80.0, 40.0),
        phase_s=10.0,
        cut_share=1.0,
        call_s=3.0,
    ),
)


@dataclass(kw_only=True)
class Outcome:
    """What became of the calls of a replay; ``n_misplaced`` includes refused ones."""

    n_calls: int = 0
    n_misplaced: int = 0
    n_refused: int = 0
    n_in_zone: int = 0
    waits_s: list = field(default_factory=list)

    @property
    def misplaced_share(self):
        """Return the share that waited or was refused beside a free slot."""
        return self.n_misplaced / max(1, self.n_calls)

    def wait_s(self, quantile):
        """Return a quantile of the time in which calls waited, in seconds."""
        waits_s = sorted(self.waits_s)
        return waits_s[min(len(waits_s) - 1, int(quantile * len(waits_s)))]


@dataclass(kw_only=True)
class _Endpoint:
    id: str
    zone: str
    slowness: float
    slots: int = SLOTS
    n_running: int = 0
    waiting: deque = field(default_factory=deque)
    ejected_until: dict = field(default_factory=dict)

    @property
    def incarnation(self):
        return f"{self.id}@1"

    def has_free_slot(self):
        return self.n_running < self.slots


def _arrivals(scenario, random):
    """Yield the time, the node and the work of each call, the same for each way."""
    for phase, per_s in enumerate(scenario.calls_per_s):
        now, end = phase * scenario.phase_s, (phase + 1) * scenario.phase_s
        while (now := now + random.expovariate(per_s)) < end:
            node = random.randrange(scenario.n_nodes)
            if phase in scenario.moved_phases:
                node -= node % len(ZONES)
            yield now, node, random.expovariate(1 / scenario.call_s)


def replay(scenario, way, *, seed=1):
    """Replay a scenario with a way to balance.

    Parameters
    ----------
    scenario : Scenario
        The load.
    way : str
        One of ``WAYS``.
    seed : int
        Seed of arrivals and choices.

    Returns
    -------
    Outcome
        What became of the calls.
    """
    arrivals = _arrivals(scenario, Random(seed))
    random = Random(seed + 1)
    endpoints = [
        _Endpoint(
            id=f"app-{number}",
            zone=ZONES[number % len(ZONES)],
            slowness=1 + (scenario.slowest - 1) * number / (scenario.n_endpoints - 1),
        )
        for number in range(scenario.n_endpoints)
    ]
    nodes = [
        SimpleNamespace(
            zone=ZONES[number % len(ZONES)],
            loads=EndpointLoads(),
            is_cut=random.random() < scenario.cut_share,
            knows_of_loss=False,
        )
        for number in range(scenario.n_nodes)
    ]
    central, next_central = EndpointLoads(), EndpointLoads()
    outcome = Outcome()
    events, numbers = [], count()

    def at(time, handle, *args):
        heappush(events, (time, next(numbers), handle, args))

    def leader_loads(node, now):
        """Return what the leader of a node counts, or None without one."""
        if not way.startswith(LEADER) or node.is_cut:
            return None
        if now < scenario.lost_at_s:
            return central
        has_new = now >= scenario.lost_at_s + LEADERLESS_S
        return next_central if has_new else None

    def choose(node, now):
        counted, zone = leader_loads(node, now), node.zone
        loads = node.loads if counted is None else counted
        if way == PRESENT:
            return min(
                endpoints,
                key=lambda e: (
                    loads.n_running(e.incarnation) + 2 * (e.zone != zone),
                    random.random(),
                ),
            )
        if way == "random":
            local = [e for e in endpoints if e.zone == zone]
            return random.choice(local or endpoints)
        if way.endswith("weights"):
            # Many nodes that know the same spread their calls over the free slots.
            weights = [
                max(0.05, 1 - loads.expected_load(e, now) / e.slots)
                * (1.0 if e.zone == zone else 0.5)
                for e in endpoints
            ]
            return random.choices(endpoints, weights)[0]
        candidates = endpoints
        if way == "two choices":
            candidates = random.sample(endpoints, min(2, len(endpoints)))
        elif way.endswith("refusals"):
            candidates = [
                e for e in endpoints if e.ejected_until.get(id(node), 0.0) <= now
            ] or endpoints
        return choose_endpoint(
            candidates,
            loads=loads,
            zone=zone,
            now=now,
            random=random,
            counts_all=counted is not None or way == "shared counts",
        )

    def call(now, node, work_s):
        if leader_loads(node, now) is not None:
            at(now + HOP_S, grant, node, work_s)
            return
        delay_s = 0.0
        if way.startswith(LEADER) and not node.is_cut and not node.knows_of_loss:
            node.knows_of_loss = True
            delay_s = REPLY_TIMEOUT_S
        at(now + delay_s, send, node, None, work_s)

    def grant(now, node, work_s):
        endpoint, counted = choose(node, now), leader_loads(node, now)
        if counted is not None:
            counted.note_sent(endpoint.incarnation, now)
        at(now + HOP_S, send, node, endpoint, work_s, counted)

    def send(now, node, endpoint, work_s, counted=None):
        endpoint = endpoint or choose(node, now)
        outcome.n_calls += 1
        outcome.n_in_zone += endpoint.zone == node.zone
        node.loads.note_sent(endpoint.incarnation, now)
        if way == "shared counts" and not node.is_cut:
            at(now + scenario.share_s, tell_others, node, endpoint, True)
        at(now + HOP_S, reach, node, endpoint, work_s, counted)

    def tell_others(now, sender, endpoint, is_sent):
        for node in nodes:
            if node is sender or node.is_cut:
                continue
            if is_sent:
                node.loads.note_sent(endpoint.incarnation, now)
            else:
                node.loads.note_ended(endpoint.incarnation)

    def reach(now, node, endpoint, work_s, counted):
        if scenario.has_refusing_endpoint and endpoint is endpoints[0]:
            outcome.n_misplaced += 1
            refuse(now, node, endpoint, counted)
            return
        if endpoint.has_free_slot():
            outcome.waits_s.append(0.0)
            start(now, node, endpoint, work_s, counted)
            return
        outcome.n_misplaced += any(other.has_free_slot() for other in endpoints)
        if len(endpoint.waiting) < MAX_WAITING:
            endpoint.waiting.append((now, node, work_s, counted))
            return
        refuse(now, node, endpoint, counted)

    def refuse(now, node, endpoint, counted):
        outcome.n_refused += 1
        endpoint.ejected_until[id(node)] = now + 0.1
        if way.endswith("refusals") or way.startswith(LEADER):
            at(now + 2 * HOP_S, note_failed, node, endpoint)
        answer(now, node, endpoint, counted)
        if way == f"{LEADER}, reports" and counted is not None:
            counted.note_sent(endpoint.incarnation, now)
            at(now + FAILURE_S, end_failure, endpoint, counted)

    def note_failed(now, node, endpoint):
        node.loads.note_failed(endpoint, now)

    def end_failure(now, endpoint, counted):
        counted.note_ended(endpoint.incarnation)

    def start(now, node, endpoint, work_s, counted):
        endpoint.n_running += 1
        slowness = endpoint.slowness
        n_phases = len(scenario.calls_per_s)
        if scenario.has_slow_endpoint and endpoint is endpoints[0]:
            slowness *= 4 if now > n_phases * scenario.phase_s / 2 else 1
        at(now + work_s * slowness, end, node, endpoint, counted)

    def end(now, node, endpoint, counted):
        endpoint.n_running -= 1
        if endpoint.waiting:
            since, next_node, work_s, next_counted = endpoint.waiting.popleft()
            outcome.waits_s.append(now - since)
            start(now, next_node, endpoint, work_s, next_counted)
        answer(now, node, endpoint, counted)

    def answer(now, node, endpoint, counted):
        report = LoadReport(
            n_running=endpoint.n_running,
            n_waiting=len(endpoint.waiting),
            n_slots=endpoint.slots,
            observed_at=now,
        )
        at(now + HOP_S, receive, node, endpoint, report, counted)

    def receive(now, node, endpoint, report, counted):
        node.loads.note_ended(endpoint.incarnation)
        if counted is not None:
            at(now + HOP_S, end_grant, node, endpoint, report, counted)
        if way == "shared counts" and not node.is_cut:
            at(now + scenario.share_s, tell_others, node, endpoint, False)
        if way not in (PRESENT, "shared counts"):
            node.loads.note_report(endpoint.incarnation, report, now)
        if way.startswith("shared reports") and not node.is_cut:
            at(now + scenario.share_s, share, endpoint, report)

    def end_grant(now, node, endpoint, report, counted):
        counted.note_ended(endpoint.incarnation)
        present = leader_loads(node, now)
        if way != LEADER and present is not None:
            present.note_report(endpoint.incarnation, report, now)

    def share(now, endpoint, report):
        for node in nodes:
            if not node.is_cut:
                node.loads.note_report(endpoint.incarnation, report, now)

    for time, number, work_s in arrivals:
        at(time, call, nodes[number], work_s)
    while events:
        now, _, handle, args = heappop(events)
        handle(now, *args)
    return outcome


def main():
    """Print the figures of all scenarios and ways as a table."""
    print("| load | way | misplaced | refused | in zone | wait p99, ms |")
    print("| --- | --- | --- | --- | --- | --- |")
    for scenario in SCENARIOS:
        for way in WAYS:
            outcome = replay(scenario, way)
            print(
                f"| {scenario.name} | {way} | {outcome.misplaced_share:.4f} "
                f"| {outcome.n_refused / outcome.n_calls:.4f} "
                f"| {outcome.n_in_zone / outcome.n_calls:.2f} "
                f"| {1000 * outcome.wait_s(0.99):.0f} |"
            )


if __name__ == "__main__":
    main()
