"""Harness around the requests subsystem.

The test takes the part of the other subsystems and of the endpoints. An order is a
non-idempotent call to the service ``orders``.
"""

from types import SimpleNamespace

from savoryhill.config import model
from savoryhill.core import events, requests
from savoryhill.core.coordination.state import CoordinatorRecord
from savoryhill.core.effects import FinishRequest, SendPeer, StartAttempt, StopNode
from savoryhill.core.journal import entry_node as journal
from savoryhill.core.membership.state import Member
from savoryhill.core.messages import (
    JournalFinish,
    JournalReserve,
    PlaceReply,
    PlaceRequest,
    RequestSpec,
)
from savoryhill.core.reducer import merge_handlers, reduce
from savoryhill.core.state import new_state

GROUPS = ("g0", "g1")
ENDPOINTS = ("e0", "e1", "e2", "e3")
TICK_S = 0.05


def make_configuration():
    endpoints = tuple(
        model.Endpoint(
            id=name,
            address="127.0.0.1:1",
            zone="zone-a",
            group=GROUPS[number // 2],
            hardware="fast",
        )
        for number, name in enumerate(ENDPOINTS)
    )
    groups = tuple(
        model.Group(
            id=group,
            target="assistant",
            region="south",
            endpoints=tuple(e.id for e in endpoints if e.group == group),
        )
        for group in GROUPS
    )
    orders = model.Group(id="s0", target="orders", region="south", endpoints=("o0",))
    return model.Configuration(
        revision=1,
        zones=(model.Zone(name="zone-a", region="south"),),
        hardware=(
            model.Hardware(
                name="fast",
                prefill_tokens_per_s=10_000.0,
                decode_tokens_per_s=100.0,
                memory_tokens=1_000_000,
                slots=8,
            ),
        ),
        endpoints=(
            *endpoints,
            model.Endpoint(
                id="o0",
                address="127.0.0.1:1",
                zone="zone-a",
                group="s0",
                hardware="fast",
            ),
        ),
        groups=(*groups, orders),
        models=(model.Model(name="assistant", version="1"),),
        kinds=(model.RequestKind(name="completion", deadline_s=10.0),),
    )


class RequestsHarness:
    """Node state, virtual clock and all effects returned so far."""

    def __init__(self, *, seed=7, coordinator="other"):
        self.state = new_state(
            node="entry",
            zone="zone-a",
            region="south",
            address="127.0.0.1:1",
            incarnation=1,
            seed=seed,
        )
        self.state.configuration.active = make_configuration()
        self.state.membership.members_by_node[coordinator] = Member(
            node=coordinator, address="127.0.0.1:2"
        )
        for group in (*GROUPS, "s0"):
            self.state.coordination.records_by_group[group] = CoordinatorRecord(
                holder=coordinator, fence=1
            )
        self.now = 100.0
        self.n_requests = 0
        self.effects = []

        def record_message(state, event):
            self.effects.append(SendPeer(to=state.node, message=event.message))
            return ()

        # The journal's entry side sends reservations and outcomes. This node may be
        # the writer itself; these handlers stand in for it and only record messages.
        writer = SimpleNamespace(
            HANDLERS={JournalReserve: record_message, JournalFinish: record_message}
        )
        self.handlers = merge_handlers((writer, journal, requests))

    def feed(self, event_type, **fields):
        new_effects = reduce(
            self.state, event_type(at=self.now, **fields), self.handlers
        )
        self.effects += new_effects
        return new_effects

    def receive(self, message, *, sender="other"):
        return self.feed(events.PeerReceived, sender=sender, message=message)

    def advance(self, seconds):
        new_effects = []
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            new_effects += self.feed(events.Ticked)
        return new_effects

    def arrive(self, *, deadline_s=10.0, is_order=False, max_tokens=8, prompt=100):
        self.n_requests += 1
        name = f"r{self.n_requests}"
        spec = RequestSpec(
            request_id=name,
            workspace="w",
            kind="completion",
            target="orders" if is_order else "assistant",
            is_model=not is_order,
            prompt_tokens=0 if is_order else prompt,
            max_tokens=0 if is_order else max_tokens,
            deadline_at=self.now + deadline_s,
            idempotent=not is_order,
            journal_key=name.encode().rjust(16, b"k") if is_order else b"",
            body_digest=b"d" if is_order else b"",
        )
        self.feed(events.RequestArrived, spec=spec)
        return name

    def grant(self, name, *, fence=1, endpoint=None, asked_at=None):
        """Grant the latest placement for which the request asked."""
        placement = self.sent(PlaceRequest, request_id=name)[-1]
        granted = endpoint or {"g0": "e0", "g1": "e2", "s0": "o0"}[placement.group]
        self.receive(
            PlaceReply(
                request_id=name,
                attempt=placement.attempt,
                group=placement.group,
                status="granted",
                endpoint=granted,
                fence=fence,
                incarnation="i1",
                asked_at=placement.asked_at if asked_at is None else asked_at,
            )
        )

    def end(self, name, result, **fields):
        started = self.effects_of(StartAttempt, name)[-1]
        return self.feed(
            events.AttemptEnded,
            request_id=name,
            attempt=started.attempt,
            result=result,
            **fields,
        )

    def sent(self, message_type, **fields):
        messages = [e.message for e in self.effects if isinstance(e, SendPeer)]
        return [
            message
            for message in messages
            if isinstance(message, message_type)
            and all(getattr(message, key) == value for key, value in fields.items())
        ]

    def effects_of(self, effect_type, name):
        found = [e for e in self.effects if isinstance(e, effect_type)]
        if effect_type is StartAttempt:
            return [e for e in found if e.spec.request_id == name]
        return [e for e in found if e.request_id == name]

    def finish_effect(self, name):
        finishes = self.effects_of(FinishRequest, name)
        assert len(finishes) <= 1, "a caller got two answers"
        return finishes[0] if finishes else None

    @property
    def stopped(self):
        return any(isinstance(e, StopNode) for e in self.effects)
