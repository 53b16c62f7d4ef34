from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    initialize,
    invariant,
    multiple,
    rule,
)

from savoryhill.bench import routing_driver as drive
from savoryhill.config.model import Workspace
from savoryhill.core.effects import CancelStream
from savoryhill.core.routing import groups
from savoryhill.core.routing.permits import START_BY_S

COLD_SLOTS = 1
SLOTS = 6
MEMORY = 50_000
LIMIT = 30_000
ENTRIES = ("node-1", "node-2")
ENGINES = tuple(f"engine-{number}" for number in range(4))
RESULTS = ("completed", "unused", "not_sent", "refused", "broken", "cancelled")


TOOK_OVER_AT = groups.took_over_at


class Engine:
    def __init__(self):
        self.number = 1
        self.warm = True
        self.streams = set()


class RoutingMachine(RuleBasedStateMachine):
    """Entry nodes, engines and operators act on one coordinator in any order."""

    grants = Bundle("grants")

    @initialize(
        target=grants,
        n_engines=st.sampled_from((1, 1, 4)),
        checks=st.booleans(),
        cold=st.booleans(),
    )
    def start(self, n_engines, checks, cold):
        # A single engine meets the same endpoint in every rule; four can hold
        # an oversize prompt.
        self.configuration = drive.make_configuration(
            n_engines=n_engines,
            n_zones=2,
            slots=SLOTS,
            cold_slots=COLD_SLOTS,
            memory_tokens=MEMORY,
            checks_incarnation=checks,
            workspaces=(
                Workspace(name="one", key_hashes=(), weight=2.0),
                Workspace(name="two", key_hashes=(), max_outstanding_tokens=LIMIT),
            ),
        )
        self.checks = checks
        self.driver = drive.make_driver(self.configuration, entries=ENTRIES)
        self.engines = {each: Engine() for each in ENGINES[:n_engines]}
        self.held = {}
        self.asked = {}
        self.use_by = {}
        self.n_seen = 0
        self.taken_over_at = float("-inf")
        groups.took_over_at = lambda state, group: self.taken_over_at
        for engine in self.engines.values():
            engine.warm = not cold
        self.poll_all()
        return self.granted()

    def group(self):
        return groups.own_group(self.driver.state, "group-0")

    def granted(self):
        """Check every reply since the last call; return the new grants."""
        new = []
        for effect in self.driver.effects[self.n_seen :]:
            if type(effect) is CancelStream:
                self.engines[effect.endpoint].streams.discard(effect.request_id)
            reply = getattr(effect, "message", None)
            if getattr(reply, "status", "") != "granted":
                continue
            sender, _, _, deadline_at = self.asked[reply.request_id]
            assert self.driver.now <= deadline_at, "granted after its deadline"
            for part in reply.parts or (reply,):
                account = drive.account_of(self.driver, part.endpoint)
                assert account.open, f"grant on the closed {account.id}"
                n_counted = len(account.permits_by_key)
                assert n_counted <= account.limit, f"{account.id} above its limit"
                if not account.warm:
                    assert n_counted <= COLD_SLOTS
                assert account.used_tokens <= MEMORY
            if reply.request_id not in self.held:
                new.append(reply)
            self.held[reply.request_id] = reply
            self.use_by[reply.request_id] = self.driver.now + START_BY_S
            assert effect.to == sender
        self.n_seen = len(self.driver.effects)
        return multiple(*new)

    @rule(
        target=grants,
        workspace=st.sampled_from(("one", "two", "three")),
        sender=st.sampled_from(ENTRIES),
        prompt_tokens=st.sampled_from((10, 1_000, 3_900, 12_000, 70_000)),
        remaining_s=st.sampled_from((0.5, 20.0, 60.0, 60.0)),
        n_requests=st.integers(1, 4),
        starts=st.booleans(),
    )
    def place(self, workspace, sender, prompt_tokens, remaining_s, n_requests, starts):
        grants = ()
        for _ in range(n_requests):
            request_id = f"r{len(self.asked)}"
            deadline_at = self.driver.now + remaining_s
            self.asked[request_id] = sender, workspace, prompt_tokens, deadline_at
            drive.place(
                self.driver,
                request_id,
                sender=sender,
                workspace=workspace,
                prompt_tokens=prompt_tokens,
                remaining_s=remaining_s,
            )
            grants += tuple(self.granted())
            if starts and request_id in self.held:
                self.run_one(self.held[request_id])
        return multiple(*grants)

    @rule(target=grants, data=st.data())
    def ask_again(self, data):
        if not self.asked:
            return multiple()
        request_id = data.draw(st.sampled_from(sorted(self.asked)))
        sender, workspace, prompt_tokens, deadline_at = self.asked[request_id]
        if deadline_at <= self.driver.now or request_id in self.held:
            return multiple()
        drive.place(
            self.driver,
            request_id,
            sender=sender,
            workspace=workspace,
            prompt_tokens=prompt_tokens,
            remaining_s=deadline_at - self.driver.now,
        )
        return self.granted()

    @rule(grant=grants)
    def run(self, grant):
        self.run_one(grant)

    def run_one(self, grant):
        """Use a permit: an engine that checks refuses another incarnation."""
        in_time = self.driver.now <= self.use_by[grant.request_id]
        if grant.request_id not in self.held or not in_time:
            return
        for part in grant.parts or (grant,):
            engine = self.engines[part.endpoint]
            if not self.checks or part.incarnation == str(engine.number):
                engine.streams.add(grant.request_id)
                if self.checks and not engine.warm:
                    assert len(engine.streams) <= COLD_SLOTS, "cold engine fails"

    @rule(target=grants, grant=consumes(grants), result=st.sampled_from(RESULTS))
    def release(self, grant, result):
        if self.held.pop(grant.request_id, None) is None:
            return multiple()
        if result != "broken":
            for engine in self.engines.values():
                engine.streams.discard(grant.request_id)
        drive.release(
            self.driver,
            grant,
            result=result,
            sender=self.asked[grant.request_id][0],
            n_tokens=50,
            first_token_s=0.05,
            duration_s=0.6,
        )
        return self.granted()

    @rule(target=grants, sender=st.sampled_from((*ENTRIES, drive.NODE)))
    def report(self, sender):
        held = [
            drive.held_of(
                reply,
                prompt_tokens=self.asked[request_id][2],
                workspace=self.asked[request_id][1],
            )
            for request_id, reply in self.held.items()
            if self.asked[request_id][0] == sender
        ]
        drive.report(self.driver, *held, sender=sender)
        return self.granted()

    def poll_all(self):
        for endpoint, engine in self.engines.items():
            drive.load(
                self.driver,
                endpoint,
                incarnation=str(engine.number),
                warm=engine.warm,
                streams=tuple(sorted(engine.streams)),
            )

    @rule(target=grants)
    def poll(self):
        self.poll_all()
        return self.granted()

    @rule(target=grants, seconds=st.sampled_from((0.25, 1.0, 3.0, 6.0)))
    def wait(self, seconds):
        grants = ()
        for _ in range(int(seconds / 0.25)):
            drive.advance(self.driver, 0.25)
            grants += tuple(self.granted())
        return multiple(*grants)

    @rule(
        target=grants,
        withdrawn=st.sets(st.sampled_from(("zone-0", "zone-1")), max_size=1),
        leaving=st.sets(st.sampled_from(ENGINES), max_size=1),
    )
    def configure(self, withdrawn, leaving):
        active = self.driver.state.active
        drive.configure(
            self.driver, drive.amend(active, withdrawn=withdrawn, leaving=leaving)
        )
        return self.granted()

    @rule(
        what=st.sampled_from(("restart", "warm", "take over", "kill")),
        number=st.integers(0, 3),
    )
    def disturb(self, what, number):
        engine = list(self.engines.values())[number % len(self.engines)]
        if what == "restart":
            engine.number += 1
            engine.warm = False
            engine.streams.clear()
        elif what == "warm":
            engine.warm = True
        elif what == "take over":
            # Another process of the same name becomes the coordinator.
            self.taken_over_at = self.driver.now
            self.driver.state.routing.groups_by_id.clear()
            self.group()
        else:
            # The permits of an entry node are never reported or released again.
            sender = ENTRIES[number % len(ENTRIES)]
            for request_id in list(self.held):
                if self.asked[request_id][0] == sender:
                    del self.held[request_id]

    @invariant()
    def totals_match_the_permits(self):
        if not hasattr(self, "driver"):
            return
        group = self.group()
        outstanding = {}
        for account in group.accounts_by_endpoint.values():
            permits = account.permits_by_key.values()
            sizes = [each.prompt_tokens + each.max_tokens for each in permits]
            assert account.used_tokens == sum(sizes)
            assert account.n_long == sum(not each.short for each in permits)
            for permit, size in zip(permits, sizes, strict=True):
                known = outstanding.get(permit.workspace, 0)
                outstanding[permit.workspace] = known + size
            pending = sum(p.uncached_tokens for p in permits if not p.first_token_seen)
            assert account.pending_short_tokens + account.pending_long_tokens == pending
        assert group.outstanding_by_workspace == outstanding
        assert outstanding.get("two", 0) <= LIMIT

    @invariant()
    def nothing_waits_past_its_deadline(self):
        if not hasattr(self, "driver"):
            return
        for waiting in self.group().waiting_by_key.values():
            assert waiting.deadline_at > self.driver.now - 0.5

    def teardown(self):
        """After everyone has gone, no memory and no stream is left."""
        groups.took_over_at = TOOK_OVER_AT
        if not hasattr(self, "driver"):
            return
        self.held.clear()
        for _ in range(14):
            self.wait(1.0)
            self.held.clear()
            self.poll_all()
        self.wait(60.0)
        self.held.clear()
        for _ in range(14):
            self.wait(1.0)
            self.poll_all()
        group = self.group()
        assert group.waiting_by_key == {}
        assert not any(engine.streams for engine in self.engines.values())
        for account in group.accounts_by_endpoint.values():
            assert (account.used_tokens, account.orphan_tokens) == (0, 0)
        assert group.oversize_key is None


RoutingMachine.TestCase.settings = settings(
    max_examples=250, stateful_step_count=50, derandomize=True, deadline=None
)
TestRoutingMachine = RoutingMachine.TestCase
