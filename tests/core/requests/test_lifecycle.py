import pytest

from savoryhill.core import events
from savoryhill.core.effects import CancelAttempt, StartAttempt
from savoryhill.core.messages import (
    GroupSummary,
    JournalFinish,
    JournalReply,
    JournalReserve,
    PermitRelease,
    PermitReport,
    PlaceReply,
    PlaceRequest,
)
from savoryhill.core.requests import limits, permits


def reserve(world, name, status="reserved"):
    asked = world.sent(JournalReserve, request_id=name)[-1]
    world.receive(JournalReply(request_id=name, attempt=asked.attempt, status=status))


class TestDeadlines:
    # Guards against a request that hangs because nothing ever answers it.
    @pytest.mark.parametrize("order", [False, True])
    def test_a_request_that_nothing_answers_fails_by_its_deadline(self, world, order):
        name = world.arrive(deadline_s=3.0, order=order)
        world.advance(2.9)
        assert world.finish_of(name) is None
        world.advance(0.15)
        finish = world.finish_of(name)
        assert (finish.status, finish.execution) == (504, "not_run")
        assert not world.state.requests.requests_by_id

    # Guards against an error that waits for the next tick after the deadline.
    def test_the_deadline_event_ends_a_request_between_ticks(self, world):
        name = world.arrive(deadline_s=0.01)
        world.now += 0.01
        world.feed(events.DeadlineReached, request_id=name)
        assert world.finish_of(name).status == 504

    # Guards against a running stream that outlives its request on the engine.
    def test_a_running_stream_is_cancelled_at_the_deadline(self, world):
        name = world.arrive(deadline_s=1.0)
        world.grant(name)
        world.advance(1.1)
        assert world.of(CancelAttempt, name)
        assert world.sent(PermitRelease, request_id=name, result="cancelled")
        assert world.finish_of(name).execution == "unknown"


class TestPermits:
    # Guards against the use of a permit that its coordinator has expired.
    def test_a_grant_after_start_by_is_given_back(self, world):
        name = world.arrive()
        asked_at = world.now
        world.advance(permits.START_TIMEOUT_S + 0.2)
        world.grant(name, asked_at=asked_at)
        assert world.sent(PermitRelease, request_id=name, result="unused")
        assert not world.of(StartAttempt, name)

    # Guards against work granted by a coordinator that has been replaced.
    def test_a_grant_with_an_old_fence_is_given_back(self, world):
        first, second = world.arrive(), world.arrive()
        world.state.requests.max_fence_by_group.update(g0=5, g1=5)
        world.grant(first, fence=4)
        world.grant(second, fence=5)
        assert world.sent(PermitRelease, request_id=first, result="unused")
        assert world.of(StartAttempt, second)

    # Guards against a permit that stays taken when two groups grant one request.
    def test_a_grant_for_another_attempt_is_given_back(self, world):
        name = world.arrive()
        asked = world.sent(PlaceRequest, request_id=name)[-1]
        world.receive(
            PlaceReply(
                request_id=name,
                attempt=asked.attempt + 1,
                group=asked.group,
                status="granted",
                endpoint="e0",
                fence=1,
            )
        )
        assert world.sent(PermitRelease, request_id=name, result="unused")

    # Guards against a configuration change between question and grant, which made
    # the core raise KeyError.
    def test_a_grant_on_a_removed_endpoint_is_given_back(self, world):
        name = world.arrive()
        world.grant(name, endpoint="removed")
        assert world.sent(PermitRelease, request_id=name, endpoint="removed")
        world.advance(1.0)
        assert len(world.sent(PlaceRequest, request_id=name)) >= 2

    # Guards against coordinators that expire the permits of living streams.
    def test_held_permits_are_reported_each_second(self, world):
        name = world.arrive()
        world.grant(name)
        world.advance(3.0)
        reports = [r for r in world.sent(PermitReport) if r.permits]
        assert 3 <= len(reports) <= 4
        assert reports[-1].permits[0].request_id == name
        world.end(name, "completed", n_tokens=8)
        group = reports[-1].group
        world.advance(2.0)
        assert world.sent(PermitReport, group=group)[-1].permits == ()

    # Guards against a new coordinator that waits in vain for this node's report.
    def test_a_new_coordinator_gets_a_report_without_permits(self, world):
        world.advance(2.0)
        world.effects.clear()
        third = world.state.membership.members_by_node["other"]
        world.state.membership.members_by_node["third"] = third
        world.state.coordination.records_by_group["g0"].holder = "third"
        world.advance(1.1)
        assert len(world.sent(PermitReport, group="g0")) == 1

    # Guards against grants that crossed with a pause of this process.
    def test_placements_start_again_after_a_pause(self, world):
        name = world.arrive()
        old = world.sent(PlaceRequest, request_id=name)[-1]
        world.feed(events.ProcessResumed, gap_s=2.0)
        new = world.sent(PlaceRequest, request_id=name)[-1]
        assert new.attempt > old.attempt

    # Guards against two choices that ignore the announced waits.
    def test_the_group_with_the_shorter_wait_is_asked(self, world):
        summaries = {
            group: GroupSummary(
                group=group,
                holder="other",
                fence=1,
                predicted_wait_s=wait_s,
                free_slots=1,
                version=1,
            )
            for group, wait_s in (("g0", 4.0), ("g1", 0.1))
        }
        world.state.membership.summaries_by_group = summaries
        names = [world.arrive() for _ in range(10)]
        groups = {world.sent(PlaceRequest, request_id=n)[0].group for n in names}
        assert groups == {"g1"}

    # Guards against a request that waits for a coordinator that has died.
    def test_an_unreachable_coordinator_is_asked_again_soon(self, world):
        name = world.arrive()
        asked = world.sent(PlaceRequest, request_id=name)[-1]
        world.feed(events.PeerUnreachable, node="other", message=asked)
        world.advance(0.1)
        assert len(world.sent(PlaceRequest, request_id=name)) == 2


class TestSilenceLimit:
    # Guards against a short request that waits for its deadline on a dead engine.
    @pytest.mark.parametrize(("prompt", "limit_s"), [(100, 1.5), (12_000, 10.0)])
    def test_a_short_prompt_waits_less_for_its_first_token(
        self, world, prompt, limit_s
    ):
        name = world.arrive(prompt=prompt, deadline_s=60.0)
        world.grant(name)
        assert world.of(StartAttempt, name)[-1].first_token_limit_s == limit_s

    # Guards against a slow first token that fails a request whose attempt cannot be
    # repeated any more.
    def test_without_retry_tokens_the_limit_is_long(self, world):
        world.state.requests.retry_tokens = 0.0
        name = world.arrive(deadline_s=60.0)
        world.grant(name)
        assert world.of(StartAttempt, name)[-1].first_token_limit_s == 10.0

    def test_a_resumed_stream_is_given_up_soon(self, world):
        name = world.arrive(prompt=50_000, deadline_s=60.0)
        world.grant(name)
        world.end(name, "broken", n_tokens=2)
        assert world.of(StartAttempt, name)[-1].first_token_limit_s == 1.5


class TestRetries:
    # Guards against a fourth attempt and against a "not run" after a break.
    def test_three_attempts_and_then_unknown(self, world):
        name = world.arrive()
        world.grant(name)
        world.end(name, "broken", detail="reset")
        world.end(name, "broken", detail="reset")
        world.advance(0.2)
        world.grant(name)
        world.end(name, "broken", detail="reset")
        assert len(world.of(StartAttempt, name)) == 3
        assert world.finish_of(name).execution == "unknown"

    # Guards against a request that fails because three engines in a row had just
    # restarted and refused it, and against one that is refused for ever.
    def test_refused_attempts_are_bounded_apart_and_not_run(self, world):
        name = world.arrive(deadline_s=60.0)
        before = world.state.requests.retry_tokens
        for _ in range(limits.MAX_REFUSED_ATTEMPTS):
            world.advance(1.0)
            world.grant(name)
            world.end(name, "refused", detail="busy")
            assert world.finish_of(name) is None
        world.advance(1.0)
        world.grant(name)
        world.end(name, "refused", detail="busy")
        assert len(world.of(StartAttempt, name)) == limits.MAX_REFUSED_ATTEMPTS + 1
        assert world.finish_of(name).execution == "not_run"
        assert world.state.requests.retry_tokens == before

    # Guards against a break that starts the answer again from its beginning.
    def test_a_break_resumes_here_first_and_then_elsewhere(self, world):
        name = world.arrive()
        world.grant(name)
        world.end(name, "silent", n_tokens=3)
        resumed = world.of(StartAttempt, name)[-1]
        first = world.of(StartAttempt, name)[0]
        assert (resumed.endpoint, resumed.from_offset) == (first.endpoint, 3)
        world.end(name, "not_sent", detail="refused")
        assert world.sent(PlaceRequest, request_id=name)[-1].avoid == (first.endpoint,)
        world.advance(0.2)
        world.grant(name)
        assert world.of(StartAttempt, name)[-1].from_offset == 3

    # Guards against retries that multiply the load of a failing deployment.
    def test_the_retry_budget_bounds_all_requests_together(self, world):
        for _ in range(300):
            name = world.arrive(deadline_s=60.0)
            world.grant(name)
            for _ in range(2):
                if world.finish_of(name) is None:
                    world.end(name, "broken")
            world.advance(0.1)
        attempts = [e for e in world.effects if isinstance(e, StartAttempt)]
        retries = len(attempts) - 300
        assert retries <= 10 + 300 * limits.RETRY_TOKENS_PER_REQUEST

    # Guards against a refusal that is repeated to every group at once.
    def test_a_refusal_goes_to_another_group_after_a_wait(self, world):
        name = world.arrive()
        for _ in range(2):
            asked = world.sent(PlaceRequest, request_id=name)[-1]
            world.receive(
                PlaceReply(
                    request_id=name,
                    attempt=asked.attempt,
                    group=asked.group,
                    status="refused",
                    retry_after_s=7.0,
                )
            )
            world.advance(0.1)
        asked = {p.group for p in world.sent(PlaceRequest, request_id=name)}
        finish = world.finish_of(name)
        assert asked == {"g0", "g1"}
        assert (finish.execution, finish.retry_after_s) == ("not_run", 7.0)


class TestOrders:
    def started(self, world, **fields):
        name = world.arrive(order=True, **fields)
        reserve(world, name)
        world.grant(name)
        return name

    # Guards against an order that is lost or repeated when its caller goes.
    def test_an_order_runs_to_its_end_without_its_caller(self, world):
        name = self.started(world)
        world.feed(events.CallerGone, request_id=name)
        world.end(name, "completed", status=201)
        assert not world.of(CancelAttempt, name)
        assert world.sent(JournalFinish)[-1].status == "done"

    # Guards against a false "not run", and against an answer that is lost.
    def test_an_answer_after_the_deadline_is_still_journaled(self, world):
        name = self.started(world, deadline_s=1.0)
        world.advance(1.1)
        finish = world.finish_of(name)
        assert (finish.status, finish.execution) == (504, "unknown")
        world.end(name, "completed", status=201)
        assert world.sent(JournalFinish)[-1].status == "done"
        assert not world.state.requests.requests_by_id

    def test_a_broken_order_is_unknown_and_never_sent_again(self, world):
        name = self.started(world)
        world.end(name, "broken", detail="reset")
        assert world.finish_of(name).execution == "unknown"
        assert len(world.of(StartAttempt, name)) == 1
        assert world.sent(JournalFinish)[-1].status == "unknown"

    def test_an_order_that_was_not_sent_frees_its_key(self, world):
        name = self.started(world)
        world.end(name, "not_sent", detail="refused")
        assert world.finish_of(name).execution == "not_run"
        assert world.sent(JournalFinish)[-1].status == "not_sent"

    # Guards against a key that stays reserved because the reservation was
    # confirmed after its request had ended.
    def test_a_late_reservation_is_freed(self, world):
        name = world.arrive(order=True, deadline_s=1.0)
        world.advance(1.1)
        world.effects.clear()
        attempt = f"entry:1:{name}"
        world.receive(JournalReply(request_id=name, attempt=attempt, status="reserved"))
        assert world.sent(JournalFinish)[-1].status == "not_sent"


class TestAdmission:
    # Guards against new work on a node that is cut off from the others.
    def test_an_isolated_node_refuses_new_work_as_not_run(self, world):
        world.state.configuration.isolated = True
        name = world.arrive()
        assert world.finish_of(name).execution == "not_run"
        assert not world.sent(PlaceRequest)

    # Guards against a shutdown that cuts requests or never ends.
    def test_a_drain_ends_after_the_last_request(self, world):
        name = world.arrive()
        world.grant(name)
        world.feed(events.DrainRequested)
        late = world.arrive()
        assert world.finish_of(late).execution == "not_run"
        assert not world.stopped
        world.end(name, "completed", n_tokens=8)
        assert world.stopped

    # Guards against a placement that stays in its queue for a caller who left.
    def test_a_caller_who_leaves_takes_its_placement_back(self, world):
        name = world.arrive()
        world.feed(events.CallerGone, request_id=name)
        assert world.sent(PermitRelease, request_id=name, result="withdrawn")
        world.grant(name)
        assert world.sent(PermitRelease, request_id=name, result="unused")
