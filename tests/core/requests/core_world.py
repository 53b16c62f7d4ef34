"""The requests subject; the test plays the other subjects and the endpoints."""

from types import SimpleNamespace

from savoryhill.config import model
from savoryhill.core import events, requests
from savoryhill.core.coordination.state import CoordinatorRecord
from savoryhill.core.effects import FinishRequest, SendPeer, StartAttempt, StopNode
from savoryhill.core.journal import entry as journal
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


class World:
    """The subject's state with everything it has asked for so far."""

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

        def note(state, event):
            self.effects.append(SendPeer(to=state.node, message=event.message))
            return ()

        # The journal's entry side carries reservations and endings for requests;
        # this node may itself be the writer, whose part the test plays.
        writer = SimpleNamespace(HANDLERS={JournalReserve: note, JournalFinish: note})
        self.handlers = merge_handlers((writer, journal, requests))

    def feed(self, kind, **fields):
        new = reduce(self.state, kind(at=self.now, **fields), self.handlers)
        self.effects += new
        return new

    def receive(self, message, *, sender="other"):
        return self.feed(events.PeerReceived, sender=sender, message=message)

    def advance(self, seconds):
        new = []
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            new += self.feed(events.Ticked)
        return new

    def arrive(self, *, deadline_s=10.0, order=False, max_tokens=8, prompt=100):
        self.n_requests += 1
        name = f"r{self.n_requests}"
        spec = RequestSpec(
            request_id=name,
            workspace="w",
            kind="completion",
            target="orders" if order else "assistant",
            is_model=not order,
            prompt_tokens=0 if order else prompt,
            max_tokens=0 if order else max_tokens,
            deadline_at=self.now + deadline_s,
            idempotent=not order,
            journal_key=name.encode().rjust(16, b"k") if order else b"",
            body_digest=b"d" if order else b"",
        )
        self.feed(events.RequestArrived, spec=spec)
        return name

    def grant(self, name, *, fence=1, endpoint=None, asked_at=None):
        """Grant the latest placement that the request asked for."""
        asked = self.sent(PlaceRequest, request_id=name)[-1]
        chosen = endpoint or {"g0": "e0", "g1": "e2", "s0": "o0"}[asked.group]
        self.receive(
            PlaceReply(
                request_id=name,
                attempt=asked.attempt,
                group=asked.group,
                status="granted",
                endpoint=chosen,
                fence=fence,
                incarnation="i1",
                asked_at=asked.asked_at if asked_at is None else asked_at,
            )
        )

    def end(self, name, result, **fields):
        started = self.of(StartAttempt, name)[-1]
        return self.feed(
            events.AttemptEnded,
            request_id=name,
            attempt=started.attempt,
            result=result,
            **fields,
        )

    def sent(self, kind, **fields):
        messages = [e.message for e in self.effects if isinstance(e, SendPeer)]
        return [
            message
            for message in messages
            if isinstance(message, kind)
            and all(getattr(message, key) == value for key, value in fields.items())
        ]

    def of(self, kind, name):
        found = [e for e in self.effects if isinstance(e, kind)]
        if kind is StartAttempt:
            return [e for e in found if e.spec.request_id == name]
        return [e for e in found if e.request_id == name]

    def finish_of(self, name):
        finishes = self.of(FinishRequest, name)
        assert len(finishes) <= 1, "a caller got two answers"
        return finishes[0] if finishes else None

    @property
    def stopped(self):
        return any(isinstance(e, StopNode) for e in self.effects)
