from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from savoryhill.core import events
from savoryhill.core.effects import CancelAttempt, FinishRequest, SendPeer, StartAttempt
from savoryhill.core.messages import (
    JournalFinish,
    JournalReply,
    JournalReserve,
    PermitRelease,
    PlaceReply,
    PlaceRequest,
)
from savoryhill.core.requests import limits

MAX_TOKENS = 8
ENDPOINTS = {"g0": ("e0", "e1"), "g1": ("e2", "e3"), "s0": ("o0",)}
TICK_S = 0.05


def make_machine(harness_module):
    """Build a state machine that takes the part of all peers of the subsystem.

    These are coordinators, journal, endpoints and callers. The machine records what
    really happened to each request: whether an endpoint received it, which tokens
    were delivered and which permits are held.
    """

    class RequestsMachine(RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.harness = harness_module.RequestsHarness()
            self.deadlines = {}
            self.orders = set()
            self.disconnected = set()
            self.finished = {}
            self.running = {}
            self.received = set()
            self.n_started = {}
            self.delivered = {}
            self.permits = set()
            self.freed_keys = set()
            self.reserved = set()
            self.unavailable = set()
            self.n_effects_checked = 0
            self.messages = []

        def check_new_effects(self):
            effects = self.harness.effects[self.n_effects_checked :]
            self.n_effects_checked = len(self.harness.effects)
            for effect in effects:
                if isinstance(effect, StartAttempt):
                    self.on_start(effect)
                elif isinstance(effect, CancelAttempt):
                    self.running.pop(effect.request_id)
                    self.received.add(effect.request_id)
                elif isinstance(effect, FinishRequest):
                    self.on_finish(effect)
                elif isinstance(effect, SendPeer):
                    self.on_message(effect.message)

        def on_start(self, effect):
            name = effect.spec.request_id
            assert name not in self.running, "two attempts run at once"
            assert effect.from_offset == self.delivered.get(name, 0), "gap or repeat"
            assert self.harness.now <= self.deadlines[name]
            assert name not in self.finished, "work was sent after the answer"
            permit = (name, effect.attempt, effect.endpoint)
            assert permit in self.permits, "an attempt has no permit"
            self.running[name] = effect
            self.n_started[name] = self.n_started.get(name, 0) + 1
            if name in self.orders:
                assert self.n_started[name] == 1, "an order was sent twice"

        def on_finish(self, effect):
            name = effect.request_id
            assert name not in self.finished, "a caller got two answers"
            assert self.harness.now <= self.deadlines[name] + TICK_S, "late answer"
            self.finished[name] = effect
            if effect.execution == "not_run":
                assert name not in self.received, "false not_run"
                assert name not in self.running, "false not_run"
            if effect.execution == "completed" and name not in self.orders:
                assert self.delivered[name] == MAX_TOKENS, "incomplete answer"

        def on_message(self, message):
            if isinstance(message, PermitRelease) and message.endpoint:
                permit = (message.request_id, message.attempt, message.endpoint)
                assert permit in self.permits, "released a permit it did not hold"
                self.permits.remove(permit)
            elif isinstance(message, PlaceRequest | JournalReserve):
                self.messages.append(message)
            elif isinstance(message, JournalFinish) and message.status == "not_sent":
                name = message.attempt.rsplit(":", 1)[1]
                assert name not in self.received, "freed the key of a sent order"
                assert name not in self.running, "freed the key of a running order"
                self.freed_keys.add(name)

        @rule(is_order=st.booleans(), deadline_s=st.sampled_from((0.3, 2.0, 8.0)))
        def arrive(self, is_order, deadline_s):
            name = f"r{self.harness.n_requests + 1}"
            self.deadlines[name] = self.harness.now + deadline_s
            if is_order:
                self.orders.add(name)
            self.harness.arrive(
                is_order=is_order, deadline_s=deadline_s, max_tokens=MAX_TOKENS
            )
            self.check_new_effects()

        # Replies may be late, duplicated, for an outdated request or with an old fence.
        @precondition(lambda self: self.messages)
        @rule(
            data=st.data(),
            status=st.sampled_from(("granted", "granted", "refused", "moved")),
            fence=st.integers(1, 3),
            late=st.booleans(),
        )
        def reply(self, data, status, fence, late):
            index = data.draw(st.integers(0, len(self.messages) - 1))
            message = self.messages[index if late else -1]
            if isinstance(message, JournalReserve):
                name = message.request_id
                # A writer that has replied "unavailable" for a key never reserves it.
                choices = ("reserved", "reserved", "unavailable")
                if name in self.unavailable:
                    choices = ("unavailable",)
                elif name in self.reserved:
                    choices = ("reserved",)
                outcome = data.draw(st.sampled_from(choices))
                (self.reserved if outcome == "reserved" else self.unavailable).add(name)
                self.harness.receive(
                    JournalReply(
                        request_id=message.request_id,
                        attempt=message.attempt,
                        status=outcome,
                    )
                )
                self.check_new_effects()
                return
            endpoint = data.draw(st.sampled_from(ENDPOINTS[message.group]))
            permit = (message.request_id, message.attempt, endpoint)
            if status == "granted":
                if permit in self.permits:
                    return
                self.permits.add(permit)
            self.harness.receive(
                PlaceReply(
                    request_id=message.request_id,
                    attempt=message.attempt,
                    group=message.group,
                    status=status,
                    endpoint=endpoint if status == "granted" else "",
                    fence=fence,
                    asked_at=message.asked_at,
                )
            )
            self.check_new_effects()

        @precondition(lambda self: self.messages)
        @rule(data=st.data())
        def lose_message(self, data):
            message = data.draw(st.sampled_from(self.messages[-4:]))
            self.harness.feed(events.PeerUnreachable, node="other", message=message)
            self.check_new_effects()

        @precondition(lambda self: self.running)
        @rule(
            data=st.data(),
            result=st.sampled_from(
                ("completed", "broken", "silent", "refused", "not_sent")
            ),
            n_tokens=st.integers(0, MAX_TOKENS - 1),
        )
        def end(self, data, result, n_tokens):
            name = data.draw(st.sampled_from(sorted(self.running)))
            effect = self.running.pop(name)
            before = self.delivered.get(name, 0)
            if result in ("refused", "not_sent") or name in self.orders:
                n_tokens = 0
            elif result == "completed":
                n_tokens = MAX_TOKENS - before
            else:
                n_tokens = min(n_tokens, MAX_TOKENS - before)
            if result not in ("refused", "not_sent"):
                self.received.add(name)
            self.delivered[name] = before + n_tokens
            self.harness.feed(
                events.AttemptEnded,
                request_id=name,
                attempt=effect.attempt,
                result=result,
                n_tokens=n_tokens,
            )
            self.check_new_effects()

        @precondition(lambda self: set(self.deadlines) - set(self.finished))
        @rule(data=st.data())
        def caller_disconnects(self, data):
            names = sorted(set(self.deadlines) - set(self.finished))
            name = data.draw(st.sampled_from(names))
            self.disconnected.add(name)
            self.harness.feed(events.CallerGone, request_id=name)
            self.check_new_effects()

        @rule(steps=st.integers(1, 30))
        def wait(self, steps):
            for _ in range(steps):
                self.harness.advance(TICK_S)
                self.check_new_effects()

        @invariant()
        def attempts_and_retries_are_bounded(self):
            n_requests = len(self.deadlines)
            # Each retry token allows one retry, and another placement if a resume
            # could not connect.
            n_retries = sum(self.n_started.values()) - len(self.n_started)
            budget = 10.0 + limits.RETRY_TOKENS_PER_REQUEST * n_requests
            assert n_retries <= 2 * budget
            assert all(n <= limits.MAX_ATTEMPTS + 2 for n in self.n_started.values())
            assert self.harness.state.requests.retry_tokens >= 0.0

        def teardown(self):
            for _ in range(400):
                self.harness.advance(TICK_S)
                self.check_new_effects()
            for name in sorted(self.running):
                effect = self.running.pop(name)
                self.received.add(name)
                self.harness.feed(
                    events.AttemptEnded,
                    request_id=name,
                    attempt=effect.attempt,
                    result="broken",
                )
                self.check_new_effects()
            assert set(self.finished) == set(self.deadlines), "no answer"
            assert not self.permits, "permits were not given back"
            assert not self.harness.state.requests.requests_by_id
            unsent = self.orders - self.received - self.unavailable
            assert unsent <= self.freed_keys, (
                "the key of an unsent order stays reserved"
            )

    return RequestsMachine


class TestRequestsMachine:
    # Guards against late and duplicate responses, gaps in streams, leaked permits,
    # retry storms and false "not_run" outcomes for any order of replies, message
    # losses and waits.
    def test_every_request_ends_once_truthfully_and_in_time(self, harness_module):
        run_state_machine_as_test(
            make_machine(harness_module),
            settings=settings(
                max_examples=150,
                stateful_step_count=40,
                deadline=None,
                derandomize=True,
                database=None,
                suppress_health_check=list(HealthCheck),
            ),
        )
