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


def reserve(harness, name, status="reserved"):
    asked = harness.sent(JournalReserve, request_id=name)[-1]
    harness.receive(JournalReply(request_id=name, attempt=asked.attempt, status=status))


class TestDeadlines:
    # A request must not hang if neither coordinator nor journal ever replies.
    @pytest.mark.parametrize("is_order", [False, True])
    def test_a_request_that_nothing_answers_fails_by_its_deadline(
        self, harness, is_order
    ):
        name = harness.arrive(deadline_s=3.0, is_order=is_order)
        harness.advance(2.9)
        assert harness.finish_effect(name) is None
        harness.advance(0.15)
        finish = harness.finish_effect(name)
        assert (finish.status, finish.execution) == (504, "not_run")
        assert not harness.state.requests.requests_by_id

    # The caller must not have to wait for the next tick after its deadline.
    def test_the_deadline_event_ends_a_request_between_ticks(self, harness):
        name = harness.arrive(deadline_s=0.01)
        harness.now += 0.01
        harness.feed(events.DeadlineReached, request_id=name)
        assert harness.finish_effect(name).status == 504

    # Otherwise the stream would keep running on the engine after its request has ended.
    def test_a_running_stream_is_cancelled_at_the_deadline(self, harness):
        name = harness.arrive(deadline_s=1.0)
        harness.grant(name)
        harness.advance(1.1)
        assert harness.effects_of(CancelAttempt, name)
        assert harness.sent(PermitRelease, request_id=name, result="cancelled")
        assert harness.finish_effect(name).execution == "unknown"


class TestPermits:
    # Guards against using a permit that its coordinator has expired already.
    def test_a_grant_after_start_by_is_given_back(self, harness):
        name = harness.arrive()
        asked_at = harness.now
        harness.advance(permits.START_TIMEOUT_S + 0.2)
        harness.grant(name, asked_at=asked_at)
        assert harness.sent(PermitRelease, request_id=name, result="unused")
        assert not harness.effects_of(StartAttempt, name)

    # Guards against work on a grant from a coordinator that has been replaced.
    def test_a_grant_with_an_old_fence_is_given_back(self, harness):
        first, second = harness.arrive(), harness.arrive()
        harness.state.requests.max_fence_by_group.update(g0=5, g1=5)
        harness.grant(first, fence=4)
        harness.grant(second, fence=5)
        assert harness.sent(PermitRelease, request_id=first, result="unused")
        assert harness.effects_of(StartAttempt, second)

    # Guards against a permit leak when two groups grant the same request.
    def test_a_grant_for_another_attempt_is_given_back(self, harness):
        name = harness.arrive()
        asked = harness.sent(PlaceRequest, request_id=name)[-1]
        harness.receive(
            PlaceReply(
                request_id=name,
                attempt=asked.attempt + 1,
                group=asked.group,
                status="granted",
                endpoint="e0",
                fence=1,
            )
        )
        assert harness.sent(PermitRelease, request_id=name, result="unused")

    # An endpoint that was removed from the configuration between the permit request
    # and the grant made the core raise KeyError.
    def test_a_grant_on_a_removed_endpoint_is_given_back(self, harness):
        name = harness.arrive()
        harness.grant(name, endpoint="removed")
        assert harness.sent(PermitRelease, request_id=name, endpoint="removed")
        harness.advance(1.0)
        assert len(harness.sent(PlaceRequest, request_id=name)) >= 2

    # Coordinators expire permits that are not reported, also those of running streams.
    def test_held_permits_are_reported_each_second(self, harness):
        name = harness.arrive()
        harness.grant(name)
        harness.advance(3.0)
        reports = [r for r in harness.sent(PermitReport) if r.permits]
        assert 3 <= len(reports) <= 4
        assert reports[-1].permits[0].request_id == name
        harness.end(name, "completed", n_tokens=8)
        group = reports[-1].group
        harness.advance(2.0)
        assert harness.sent(PermitReport, group=group)[-1].permits == ()

    # A new coordinator waits for the reports of all nodes, also of those without
    # permits.
    def test_a_new_coordinator_gets_a_report_without_permits(self, harness):
        harness.advance(2.0)
        harness.effects.clear()
        third = harness.state.membership.members_by_node["other"]
        harness.state.membership.members_by_node["third"] = third
        harness.state.coordination.records_by_group["g0"].holder = "third"
        harness.advance(1.1)
        assert len(harness.sent(PermitReport, group="g0")) == 1

    # Grants that were in transit while the process was paused may have expired.
    def test_placements_start_again_after_a_pause(self, harness):
        name = harness.arrive()
        before = harness.sent(PlaceRequest, request_id=name)[-1]
        harness.feed(events.ProcessResumed, gap_s=2.0)
        after = harness.sent(PlaceRequest, request_id=name)[-1]
        assert after.attempt > before.attempt

    # Guards against a choice between two groups that ignores their predicted waits.
    def test_the_group_with_the_shorter_predicted_wait_is_chosen(self, harness):
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
        harness.state.membership.summaries_by_group = summaries
        names = [harness.arrive() for _ in range(10)]
        groups = {harness.sent(PlaceRequest, request_id=n)[0].group for n in names}
        assert groups == {"g1"}

    # A request to a dead coordinator must not wait for the regular retry interval.
    def test_an_undelivered_permit_request_is_repeated_soon(self, harness):
        name = harness.arrive()
        asked = harness.sent(PlaceRequest, request_id=name)[-1]
        harness.feed(events.PeerUnreachable, node="other", message=asked)
        harness.advance(0.1)
        assert len(harness.sent(PlaceRequest, request_id=name)) == 2


class TestFirstTokenLimit:
    # A short request on a dead engine must be retried well before its deadline.
    @pytest.mark.parametrize(("prompt", "limit_s"), [(100, 1.5), (12_000, 10.0)])
    def test_a_short_prompt_waits_less_for_its_first_token(
        self, harness, prompt, limit_s
    ):
        name = harness.arrive(prompt=prompt, deadline_s=60.0)
        harness.grant(name)
        assert harness.effects_of(StartAttempt, name)[-1].first_token_limit_s == limit_s

    # Without a retry token an early end of the attempt would fail the request.
    def test_without_retry_tokens_the_limit_is_long(self, harness):
        harness.state.requests.retry_tokens = 0.0
        name = harness.arrive(deadline_s=60.0)
        harness.grant(name)
        assert harness.effects_of(StartAttempt, name)[-1].first_token_limit_s == 10.0

    def test_a_resumed_stream_has_a_short_limit(self, harness):
        name = harness.arrive(prompt=50_000, deadline_s=60.0)
        harness.grant(name)
        harness.end(name, "broken", n_tokens=2)
        assert harness.effects_of(StartAttempt, name)[-1].first_token_limit_s == 1.5


class TestRetries:
    # Guards against a fourth attempt, and against a false "not_run": the broken
    # attempts may have been executed.
    def test_after_three_broken_attempts_the_outcome_is_unknown(self, harness):
        name = harness.arrive()
        harness.grant(name)
        harness.end(name, "broken", detail="reset")
        harness.end(name, "broken", detail="reset")
        harness.advance(0.2)
        harness.grant(name)
        harness.end(name, "broken", detail="reset")
        assert len(harness.effects_of(StartAttempt, name)) == 3
        assert harness.finish_effect(name).execution == "unknown"

    # Refusals by three engines that had just restarted used up all attempts of a
    # request. They have a limit of their own, so that refusals cannot go on for ever.
    def test_refused_attempts_have_a_separate_limit_and_end_as_not_run(self, harness):
        name = harness.arrive(deadline_s=60.0)
        before = harness.state.requests.retry_tokens
        for _ in range(limits.MAX_REFUSED_ATTEMPTS):
            harness.advance(1.0)
            harness.grant(name)
            harness.end(name, "refused", detail="busy")
            assert harness.finish_effect(name) is None
        harness.advance(1.0)
        harness.grant(name)
        harness.end(name, "refused", detail="busy")
        assert (
            len(harness.effects_of(StartAttempt, name))
            == limits.MAX_REFUSED_ATTEMPTS + 1
        )
        assert harness.finish_effect(name).execution == "not_run"
        assert harness.state.requests.retry_tokens == before

    # Guards against a retry that starts the response again from its beginning.
    def test_a_broken_stream_resumes_in_place_first_and_then_elsewhere(self, harness):
        name = harness.arrive()
        harness.grant(name)
        harness.end(name, "silent", n_tokens=3)
        resumed = harness.effects_of(StartAttempt, name)[-1]
        first = harness.effects_of(StartAttempt, name)[0]
        assert (resumed.endpoint, resumed.from_offset) == (first.endpoint, 3)
        harness.end(name, "not_sent", detail="refused")
        assert harness.sent(PlaceRequest, request_id=name)[-1].avoid == (
            first.endpoint,
        )
        harness.advance(0.2)
        harness.grant(name)
        assert harness.effects_of(StartAttempt, name)[-1].from_offset == 3

    # Guards against a retry storm that multiplies the load of a failing deployment.
    def test_the_retry_budget_bounds_all_requests_together(self, harness):
        for _ in range(300):
            name = harness.arrive(deadline_s=60.0)
            harness.grant(name)
            for _ in range(2):
                if harness.finish_effect(name) is None:
                    harness.end(name, "broken")
            harness.advance(0.1)
        attempts = [e for e in harness.effects if isinstance(e, StartAttempt)]
        retries = len(attempts) - 300
        assert retries <= 10 + 300 * limits.RETRY_TOKENS_PER_REQUEST

    # A refused request must not be sent to all other groups at once.
    def test_a_refused_request_tries_another_group_after_a_backoff(self, harness):
        name = harness.arrive()
        for _ in range(2):
            asked = harness.sent(PlaceRequest, request_id=name)[-1]
            harness.receive(
                PlaceReply(
                    request_id=name,
                    attempt=asked.attempt,
                    group=asked.group,
                    status="refused",
                    retry_after_s=7.0,
                )
            )
            harness.advance(0.1)
        asked = {p.group for p in harness.sent(PlaceRequest, request_id=name)}
        finish = harness.finish_effect(name)
        assert asked == {"g0", "g1"}
        assert (finish.execution, finish.retry_after_s) == ("not_run", 7.0)


class TestOrders:
    def started(self, harness, **fields):
        name = harness.arrive(is_order=True, **fields)
        reserve(harness, name)
        harness.grant(name)
        return name

    # Guards against an order that is lost or repeated when its caller disconnects.
    def test_an_order_continues_after_its_caller_disconnects(self, harness):
        name = self.started(harness)
        harness.feed(events.CallerGone, request_id=name)
        harness.end(name, "completed", status=201)
        assert not harness.effects_of(CancelAttempt, name)
        assert harness.sent(JournalFinish)[-1].status == "done"

    # Guards against a false "not_run" and against losing the late response.
    def test_a_response_after_the_deadline_is_still_journaled(self, harness):
        name = self.started(harness, deadline_s=1.0)
        harness.advance(1.1)
        finish = harness.finish_effect(name)
        assert (finish.status, finish.execution) == (504, "unknown")
        harness.end(name, "completed", status=201)
        assert harness.sent(JournalFinish)[-1].status == "done"
        assert not harness.state.requests.requests_by_id

    def test_a_broken_order_is_unknown_and_never_sent_again(self, harness):
        name = self.started(harness)
        harness.end(name, "broken", detail="reset")
        assert harness.finish_effect(name).execution == "unknown"
        assert len(harness.effects_of(StartAttempt, name)) == 1
        assert harness.sent(JournalFinish)[-1].status == "unknown"

    def test_an_order_that_was_not_sent_frees_its_key(self, harness):
        name = self.started(harness)
        harness.end(name, "not_sent", detail="refused")
        assert harness.finish_effect(name).execution == "not_run"
        assert harness.sent(JournalFinish)[-1].status == "not_sent"

    # A reservation that is confirmed after its request has ended must not keep the
    # key reserved.
    def test_a_late_reservation_is_freed(self, harness):
        name = harness.arrive(is_order=True, deadline_s=1.0)
        harness.advance(1.1)
        harness.effects.clear()
        attempt = f"entry:1:{name}"
        harness.receive(
            JournalReply(request_id=name, attempt=attempt, status="reserved")
        )
        assert harness.sent(JournalFinish)[-1].status == "not_sent"


class TestAdmission:
    # A node that is cut off from the other nodes must not start new work.
    def test_an_isolated_node_refuses_new_requests_as_not_run(self, harness):
        harness.state.configuration.isolated = True
        name = harness.arrive()
        assert harness.finish_effect(name).execution == "not_run"
        assert not harness.sent(PlaceRequest)

    # Guards against a shutdown that cuts off requests or never ends.
    def test_a_drain_ends_after_the_last_request(self, harness):
        name = harness.arrive()
        harness.grant(name)
        harness.feed(events.DrainRequested)
        late = harness.arrive()
        assert harness.finish_effect(late).execution == "not_run"
        assert not harness.stopped
        harness.end(name, "completed", n_tokens=8)
        assert harness.stopped

    # The placement of a disconnected caller must not stay in its coordinator's queue.
    def test_the_placement_of_a_disconnected_caller_is_withdrawn(self, harness):
        name = harness.arrive()
        harness.feed(events.CallerGone, request_id=name)
        assert harness.sent(PermitRelease, request_id=name, result="withdrawn")
        harness.grant(name)
        assert harness.sent(PermitRelease, request_id=name, result="unused")
