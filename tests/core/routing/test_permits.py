import pytest

from savoryhill.bench import routing_driver as drive
from savoryhill.config.model import Workspace
from savoryhill.core.events import PeerReceived, ProcessResumed
from savoryhill.core.messages import PlaceRequest
from savoryhill.core.routing import groups
from savoryhill.core.routing.permits import MAX_LOAD_REPORT_AGE_S, START_BY_S


def one_engine(*, slots=1, warm=True, reported=True, **more):
    driver = drive.make_driver(drive.make_configuration(n_engines=1, slots=slots))
    if reported:
        drive.report_load(driver, "engine-0", warm=warm, **more)
    return driver


def n_permits(driver, endpoint="engine-0"):
    return len(drive.endpoint_state(driver, endpoint).permits_by_key)


def group_of(driver):
    return groups.own_group(driver.state, "group-0")


class TestRepeatedRequest:
    def test_gets_the_same_permit(self):
        # An entry node that repeats its request because the reply was lost must not
        # take a second slot.
        driver = one_engine(slots=4)
        first = drive.place(driver, "a")
        repeated = drive.place(driver, "a")
        assert repeated == first
        assert n_permits(driver) == 1

    def test_permit_returned_as_unused_still_counts_while_the_first_reply_is_used(self):
        # The entry node runs the attempt with the first reply and releases the second.
        driver = one_engine()
        reply = drive.place(driver, "a")
        drive.place(driver, "a")
        drive.release(driver, reply, result="unused")
        assert n_permits(driver) == 1
        assert drive.place(driver, "b") is None

    def test_grant_carries_the_time_of_the_latest_request(self):
        # With the time of the first request, every grant after 2 s in the queue
        # would be released as too late to use.
        driver = one_engine()
        first = drive.place(driver, "a", asked_at=1.0)
        drive.place(driver, "b", asked_at=2.0)
        drive.place(driver, "b", asked_at=5.0)
        drive.release(driver, first)
        assert driver.replies_by_key["b", 1].asked_at == 5.0
        assert drive.place(driver, "b", asked_at=6.0).asked_at == 6.0

    def test_withdrawn_placement_leaves_the_queue_and_frees_its_permit(self):
        driver = one_engine()
        first = drive.place(driver, "a")
        drive.place(driver, "b")
        waiting = drive.PlaceReply(
            request_id="b", attempt=1, group="group-0", status="", endpoint=""
        )
        drive.release(driver, waiting, result="withdrawn")
        drive.release(driver, first, result="withdrawn")
        assert ("b", 1) not in driver.replies_by_key
        assert n_permits(driver) == 0

    def test_is_queued_only_once(self):
        driver = one_engine()
        drive.place(driver, "a")
        assert drive.place(driver, "b") is None
        assert drive.place(driver, "b") is None
        assert len(driver.state.routing.groups_by_id["group-0"].pending_by_key) == 1


class TestExpiry:
    def test_unused_permit_is_free_again_after_start_by(self):
        # Otherwise an entry node that dies before it starts the attempt would keep
        # the slot forever.
        driver = one_engine()
        drive.place(driver, "a")
        drive.advance(driver, 2.5)
        drive.report_load(driver, "engine-0", streams=())
        assert n_permits(driver) == 1
        drive.advance(driver, 0.6)
        drive.report_load(driver, "engine-0", streams=())
        drive.advance(driver, 0.3)
        assert n_permits(driver) == 0

    def test_permit_missing_from_a_report_after_start_by_ends(self):
        driver = one_engine()
        drive.place(driver, "a")
        drive.advance(driver, 1.0)
        drive.report_permits(driver)
        assert n_permits(driver) == 1
        drive.advance(driver, 1.6)
        drive.report_permits(driver)
        assert n_permits(driver) == 0

    def test_unreported_permit_is_kept_while_the_engine_lists_its_stream(self):
        # Freeing it would allow a second request on a cold endpoint.
        driver = one_engine()
        drive.place(driver, "a")
        for _ in range(4):
            drive.advance(driver, 1.0)
            drive.report_load(driver, "engine-0", streams=("a",))
        assert n_permits(driver) == 1

    def test_reported_permit_expires_after_five_seconds_without_a_report(self):
        driver = one_engine()
        reply = drive.place(driver, "a")
        for _ in range(8):
            drive.advance(driver, 1.0)
            drive.report_permits(driver, drive.make_held_permit(reply))
            drive.report_load(driver, "engine-0")
        drive.advance(driver, 4.7)
        endpoint = drive.endpoint_state(driver, "engine-0")
        assert [each.phase for each in endpoint.permits_by_key.values()] == ["held"]
        drive.advance(driver, 0.5)
        assert [each.phase for each in endpoint.permits_by_key.values()] == ["closing"]
        drive.advance(driver, 1.0)
        drive.report_load(driver, "engine-0", streams=())
        assert n_permits(driver) == 0


class TestRelease:
    @pytest.mark.parametrize("result", ["completed", "not_sent", "refused", "unused"])
    def test_ended_attempt_frees_the_slot_at_once(self, result):
        driver = one_engine()
        drive.release(driver, drive.place(driver, "a"), result=result)
        assert n_permits(driver) == 0
        assert drive.endpoint_state(driver, "engine-0").used_tokens == 0

    @pytest.mark.parametrize("result", ["broken", "silent", "cancelled"])
    def test_slot_stays_taken_until_the_engine_no_longer_lists_the_stream(self, result):
        # The engine continues to decode after the connection has broken.
        driver = one_engine()
        drive.release(driver, drive.place(driver, "a"), result=result)
        drive.advance(driver, 1.5)
        drive.report_load(driver, "engine-0", streams=("a",))
        assert n_permits(driver) == 1
        drive.report_load(driver, "engine-0", streams=())
        assert n_permits(driver) == 0

    def test_delayed_report_does_not_restore_a_released_permit(self):
        driver = one_engine()
        reply = drive.place(driver, "a")
        drive.release(driver, reply)
        drive.report_permits(driver, drive.make_held_permit(reply))
        assert n_permits(driver) == 0

    def test_sum_over_entry_nodes_stays_within_the_limit(self):
        driver = one_engine(slots=4)
        replies = [drive.place(driver, sender=f"node-{i}") for i in range(1, 9)]
        assert sum(reply is not None for reply in replies) == 4


class TestUnusedPermits:
    def test_permit_that_expired_unused_is_not_adopted_from_a_later_report(self):
        # Guards against tokens that are counted twice: once the permit has expired,
        # its tokens may be granted to a waiting request of the same workspace.
        configuration = drive.make_configuration(
            n_engines=1,
            workspaces=(
                Workspace(name="one", key_hashes=(), max_outstanding_tokens=30),
            ),
        )
        driver = drive.make_driver(configuration)
        drive.report_load(driver, "engine-0")
        size = {"prompt_tokens": 10, "max_tokens": 10}
        held = drive.make_held_permit(drive.place(driver, "a", **size), **size)
        assert drive.place(driver, "b", **size, remaining_s=60.0) is None
        drive.advance(driver, START_BY_S + MAX_LOAD_REPORT_AGE_S + 0.25)
        drive.report_load(driver, "engine-0", streams=())
        drive.advance(driver, 0.5)
        assert driver.replies_by_key["b", 1].status == "granted"
        for _ in range(20):
            drive.report_permits(driver, held)
            drive.report_load(driver, "engine-0", streams=())
            drive.advance(driver, 1.0)
            assert ("a", 1) not in group_of(driver).endpoints_by_permit

    def test_repeated_request_gets_no_permit_above_a_limit_that_fell(self):
        # Guards against two requests on a cold engine that bears one: it restarted
        # with two unused permits and does not check the incarnation.
        driver = drive.make_driver(
            drive.make_configuration(n_engines=1, checks_incarnation=False)
        )
        drive.report_load(driver, "engine-0")
        drive.place(driver, "a")
        drive.place(driver, "b")
        drive.report_load(driver, "engine-0", incarnation="2", warm=False)
        assert drive.place(driver, "a") is None
        drive.release(driver, driver.replies_by_key["b", 1], result="unused")
        assert drive.place(driver, "a").status == "granted"


class TestTakeover:
    @pytest.fixture
    def taken_over(self, monkeypatch):
        monkeypatch.setattr(groups, "took_over_at", lambda state, group: 100.0)
        return one_engine(warm=False)

    def test_cold_endpoint_gets_no_permit_for_five_seconds(self, taken_over):
        # A permit of the previous coordinator may still be used on the only slot.
        assert drive.place(taken_over, "a") is None
        drive.advance(taken_over, 4.5)
        assert n_permits(taken_over) == 0
        drive.advance(taken_over, 1.0)
        assert n_permits(taken_over) == 1

    def test_cold_endpoint_is_used_once_all_live_nodes_have_reported(self, taken_over):
        assert drive.place(taken_over, "a") is None
        drive.report_permits(taken_over, sender=drive.NODE)
        assert n_permits(taken_over) == 0
        drive.report_permits(taken_over, sender=drive.ENTRY)
        assert n_permits(taken_over) == 1

    def test_reported_permits_count_on_warm_endpoints(self, monkeypatch):
        first = one_engine(slots=2)
        held = [drive.make_held_permit(drive.place(first, name)) for name in "ab"]
        monkeypatch.setattr(groups, "took_over_at", lambda state, group: 100.0)
        second = one_engine(slots=2)
        drive.report_permits(second, held[0])
        assert drive.place(second, "c") is not None
        assert drive.place(second, "d") is None
        # A permit that becomes known later is counted even above the limit.
        drive.report_permits(second, *held)
        assert n_permits(second) == 3

    def test_raised_fence_keeps_the_known_permits_counted(self):
        # Guards against a provisional coordinator that drops its own permits when it
        # obtains the record of the group.
        driver = one_engine(slots=2)
        drive.place(driver, "a")
        drive.make_coordinator(driver, "group-0", fence=5)
        assert drive.place(driver, "b").fence == 5
        assert drive.place(driver, "c") is None

    def test_nothing_is_granted_or_repeated_after_the_lease(self):
        # Another node may have taken over without knowing permits granted now.
        driver = one_engine(slots=3)
        drive.place(driver, "a")
        drive.make_coordinator(driver, "group-0", fence=1, lease_expires_at=driver.now)
        assert drive.place(driver, "a") is None
        assert drive.place(driver, "b") is None
        drive.make_coordinator(driver, "group-0", fence=1)
        drive.advance(driver, 0.25)
        assert driver.replies_by_key["b", 1].status == "granted"

    def test_unconfirmed_coordinator_does_not_use_cold_endpoints(self, monkeypatch):
        # Its wait starts when it is certain that the previous holder has stopped.
        monkeypatch.setattr(groups, "took_over_at", lambda state, group: state.now)
        driver = one_engine(warm=False)
        drive.place(driver, "a")
        drive.advance(driver, 10.0)
        assert n_permits(driver) == 0

    def test_resumed_process_drops_its_permits(self):
        driver = one_engine()
        drive.place(driver, "a")
        drive.apply(driver, ProcessResumed(at=driver.now, gap_s=3.0))
        assert driver.state.routing.groups_by_id == {}

    def test_provisional_coordinator_uses_half_of_a_warm_and_none_of_a_cold_endpoint(
        self, monkeypatch
    ):
        monkeypatch.setattr(groups, "is_provisional", lambda state, group: True)
        warm, cold = one_engine(slots=6), one_engine(slots=6, warm=False)
        assert sum(drive.place(warm) is not None for _ in range(6)) == 3
        assert drive.place(cold) is None

    def test_former_coordinator_answers_pending_placements_as_moved(self):
        driver = one_engine()
        drive.place(driver, "a")
        drive.place(driver, "b")
        drive.replace_coordinator(driver, "group-0")
        drive.advance(driver, 0.25)
        assert driver.replies_by_key["b", 1].status == "moved"
        assert drive.place(driver, "c").status == "moved"


class TestClosedEndpoints:
    @pytest.mark.parametrize(
        "change", [{"withdrawn": ("zone-0",)}, {"leaving": ("engine-0",)}]
    )
    def test_get_no_permit_from_the_moment_the_revision_is_in_force(self, change):
        configuration = drive.make_configuration(n_engines=2, slots=1)
        driver = drive.make_driver(configuration)
        drive.report_all_loads(driver)
        drive.place(driver, "a")
        drive.place(driver, "b")
        drive.place(driver, "c")
        drive.configure(driver, drive.amend(configuration, **change))
        drive.release(driver, driver.replies_by_key["a", 1])
        drive.release(driver, driver.replies_by_key["b", 1])
        assert driver.replies_by_key["c", 1].endpoint == "engine-1"
        assert drive.place(driver, "d") is None

    def test_repeated_request_does_not_renew_a_permit_on_a_closed_endpoint(self):
        # Every repetition would extend the time in which the permit can be used.
        driver = one_engine()
        drive.place(driver, "a")
        drive.configure(driver, drive.amend(driver.state.active, withdrawn=("zone-0",)))
        assert drive.place(driver, "a") is None

    def test_queued_requests_are_refused_when_the_last_zone_is_withdrawn(self):
        driver = one_engine()
        drive.place(driver, "a")
        drive.place(driver, "b")
        drive.configure(driver, drive.amend(driver.state.active, withdrawn=("zone-0",)))
        reply = driver.replies_by_key["b", 1]
        assert (reply.status, reply.retry_after_s) == ("refused", 30.0)

    def test_request_for_an_unknown_group_is_answered_as_moved(self):
        driver = one_engine()
        drive.apply(
            driver,
            PeerReceived(
                at=driver.now,
                sender=drive.ENTRY,
                message=PlaceRequest(
                    request_id="x",
                    attempt=1,
                    group="no-such-group",
                    workspace="one",
                    kind="completion",
                    prompt_tokens=1,
                    max_tokens=1,
                    remaining_s=1.0,
                ),
            ),
        )
        assert driver.replies_by_key["x", 1].status == "moved"
