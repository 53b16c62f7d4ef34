"""Cluster of real reducers with a simulated network, key-value service and clock."""

import heapq
from dataclasses import dataclass, field
from random import Random

import pytest

from savoryhill.config.model import Configuration, Group, Zone
from savoryhill.core import effects, events
from savoryhill.core.coordination.view import (
    fence_of,
    is_provisional,
    may_grant,
    took_over_at,
)
from savoryhill.core.reducer import reduce
from savoryhill.core.state import new_state

ZONES = ("zone-a", "zone-b", "zone-c")
TICK_S = 0.1
CALL_TIMEOUT_S = 2.0
COLD_WAIT_S = 5.0
START_BY_S = 2.0


@dataclass(kw_only=True)
class FakeKeyValue:
    """In-memory key-value service with transactions and injectable faults."""

    revision: int = 1
    rows_by_key: dict = field(default_factory=dict)
    down: bool = False
    hangs: bool = False
    cut_off: set = field(default_factory=set)
    lose_next_answers: int = 0
    n_reads: int = 0
    n_writes: int = 0

    def call(self, effect):
        if isinstance(effect, effects.KeyValueRange):
            self.n_reads += effect.key.startswith("/coordinator/")
            rows = tuple(
                events.KeyValueRow(key=key, value=value, mod_revision=revision)
                for key, (value, revision) in sorted(self.rows_by_key.items())
                if key == effect.key or (effect.prefix and key.startswith(effect.key))
            )
            return "ok", rows
        self.n_writes += 1
        for compare in effect.compares:
            _, revision = self.rows_by_key.get(compare.key, (b"", 0))
            if revision != compare.mod_revision:
                return "conflict", ()
        self.revision += 1
        for key, value in effect.puts:
            self.rows_by_key[key] = (value, self.revision)
        return "ok", ()


class Cluster:
    """Nodes with real reducers; ``settle`` advances the virtual time."""

    def __init__(self, n_nodes, *, seed=1, n_groups=3, names=None):
        self.random = Random(seed)
        self.now = 100.0
        self.scheduled_calls = []
        self.n_scheduled = 0
        self.key_value = FakeKeyValue()
        self.states_by_node = {}
        self.incarnations = {}
        self.held_events = {}
        self.blocked_links = set()
        self.loss = 0.0
        self.sent = []
        self.records = []
        self.last_cold_grants = {}
        self.fences_by_node = {}
        self.holders_by_fence = {}
        self.configuration = Configuration(
            revision=1,
            zones=tuple(Zone(name=zone, region="south") for zone in ZONES),
            groups=tuple(
                Group(id=f"group-{n}", target="assistant", region="south", endpoints=())
                for n in range(n_groups)
            ),
        )
        self.names = names or [f"node-{number}" for number in range(n_nodes)]
        for name in self.names:
            self.start(name)

    # Start, stop and fault injection

    def start(self, name):
        incarnation = self.incarnations[name] = self.incarnations.get(name, 1000) + 1000
        number = self.names.index(name)
        state = new_state(
            node=name,
            zone=ZONES[number % 3],
            region="south",
            address=f"10.0.0.{number}:7000",
            incarnation=incarnation,
            seed=self.random.randrange(2**32),
        )
        state.now = self.now
        self.states_by_node[name] = state
        self.held_events.pop(name, None)
        for key in [key for key in self.fences_by_node if key[0] == name]:
            del self.fences_by_node[key]
        self.apply(name, incarnation, lambda: self.host_list())
        self.apply(
            name,
            incarnation,
            lambda: events.ConfigurationRead(
                at=self.now, configuration=self.configuration, source="file"
            ),
        )
        self.schedule(
            self.now + self.random.uniform(0, TICK_S), self.tick, name, incarnation
        )

    def host_list(self, leaving=()):
        addresses = {name: f"10.0.0.{n}:7000" for n, name in enumerate(self.names)}
        return events.HostsListed(
            at=self.now, addresses_by_node=addresses, leaving=frozenset(leaving)
        )

    def kill(self, name):
        del self.states_by_node[name]
        self.held_events.pop(name, None)

    def pause(self, name):
        self.held_events.setdefault(name, [])

    def resume(self, name):
        held = self.held_events.pop(name, None) or []
        # Events that were buffered during the pause are processed before the next tick.
        for make_event in held:
            self.apply(name, self.incarnations[name], make_event)

    def partition(self, *sides):
        self.blocked_links = {
            (sender, receiver)
            for side in sides
            for other_side in sides
            if side is not other_side
            for sender in side
            for receiver in other_side
        }

    # Simulation

    def schedule(self, at, call, *arguments):
        self.n_scheduled += 1
        heapq.heappush(self.scheduled_calls, (at, self.n_scheduled, call, arguments))

    def settle(self, seconds):
        ends_at = self.now + seconds
        while self.scheduled_calls and self.scheduled_calls[0][0] <= ends_at:
            self.now, _, call, arguments = heapq.heappop(self.scheduled_calls)
            call(*arguments)
        self.now = ends_at

    def tick(self, name, incarnation):
        if self.incarnations[name] != incarnation or name not in self.states_by_node:
            return
        if name not in self.held_events:
            self.apply(name, incarnation, lambda: events.Ticked(at=self.now))
        self.schedule(self.now + TICK_S, self.tick, name, incarnation)

    def apply(self, name, incarnation, make_event):
        if self.incarnations[name] != incarnation or name not in self.states_by_node:
            return
        if name in self.held_events:
            self.held_events[name].append(make_event)
            return
        state = self.states_by_node[name]
        for effect in reduce(state, make_event()):
            self.execute(name, incarnation, effect)
        self.check(name, state)

    def execute(self, name, incarnation, effect):
        if isinstance(effect, effects.SendDatagram | effects.SendPeer):
            self.sent.append((self.now, name, effect))
            self.deliver(name, effect)
        elif isinstance(effect, effects.KeyValueRange | effects.KeyValueTransaction):
            self.call_key_value(name, incarnation, effect)
        elif isinstance(effect, effects.Record):
            self.records.append((self.now, name, effect.name, dict(effect.fields)))

    def deliver(self, sender, effect):
        if (sender, effect.to) in self.blocked_links:
            return
        if self.random.random() < self.loss or effect.to not in self.states_by_node:
            return

        def make_event():
            return events.PeerReceived(
                at=self.now, sender=sender, message=effect.message
            )

        delay_s = self.random.uniform(0.001, 0.01)
        receiver = self.incarnations[effect.to]
        self.schedule(self.now + delay_s, self.apply, effect.to, receiver, make_event)

    def call_key_value(self, name, incarnation, effect):
        started_at = self.now

        def answer(status, rows=()):
            return lambda: events.KeyValueAnswered(
                at=self.now,
                call_id=effect.call_id,
                status=status,
                started_at=started_at,
                rows=rows,
            )

        def serve():
            service = self.key_value
            if service.down or name in service.cut_off:
                status, delay_s = "unreachable", 0.01
                if service.hangs:
                    status, delay_s = "unknown", CALL_TIMEOUT_S
                rows = ()
            else:
                status, rows = service.call(effect)
                delay_s = self.random.uniform(0.001, 0.01)
                if service.lose_next_answers:
                    service.lose_next_answers -= 1
                    status, rows, delay_s = "unknown", (), CALL_TIMEOUT_S
            self.schedule(
                self.now + delay_s, self.apply, name, incarnation, answer(status, rows)
            )

        self.schedule(self.now + self.random.uniform(0.001, 0.01), serve)

    # Invariants and state queries

    def check(self, name, state):
        for group in self.configuration.groups_by_id:
            fence = fence_of(state, group)
            known = self.fences_by_node.get((name, group), 0)
            assert fence >= known, f"fence of {group} on {name}: {known} to {fence}"
            self.fences_by_node[name, group] = fence
            role = state.coordination.roles_by_group.get(group)
            if role is None or role.provisional:
                continue
            holder = self.holders_by_fence.setdefault((group, role.fence), name)
            assert holder == name, f"{group} fence {role.fence}: {holder} and {name}"
            held_s = state.now - took_over_at(state, group)
            if may_grant(state, group) and held_s >= COLD_WAIT_S:
                self.check_cold_grant(name, group)

    def check_cold_grant(self, name, group):
        last_node, last_at = self.last_cold_grants.get(group, (name, self.now))
        # A permit may still be used for START_BY_S after it was granted.
        assert last_node == name or self.now - last_at >= START_BY_S, (
            f"{group}: {name} may fill a cold endpoint {self.now - last_at:.2f} s "
            f"after {last_node}"
        )
        self.last_cold_grants[group] = (name, self.now)

    def holders(self, group, *, provisional=False):
        return [
            name
            for name, state in self.states_by_node.items()
            if name not in self.held_events
            and may_grant(state, group)
            and is_provisional(state, group) == provisional
        ]

    def statuses(self, of):
        return {
            name: state.membership.members_by_node[of].status
            for name, state in self.states_by_node.items()
            if name != of
        }


@pytest.fixture
def make_cluster():
    return Cluster
