import pytest

from savoryhill.bench import routing_driver as drive


def warm_driver(**more):
    values = {"n_engines": 1, "slots": 2, **more}
    driver = drive.make_driver(drive.make_configuration(**values))
    drive.report_all_loads(driver)
    return driver


class TestAdmission:
    def test_request_that_cannot_meet_its_deadline_is_refused_at_once(self):
        driver = warm_driver()
        reply = drive.place(driver, max_tokens=1_000, remaining_s=9.0)
        assert (reply.status, reply.endpoint) == ("refused", "")
        assert "predicted to complete in 10.0 s" in reply.detail
        assert 0.5 <= reply.retry_after_s <= 30.0

    def test_granted_work_that_no_load_report_shows_counts(self):
        # The 50k tokens granted before take half a second of prefill.
        driver = warm_driver(slots=8)
        drive.place(driver, prompt_tokens=50_000)
        drive.report_load(driver, "engine-0", streams=())
        reply = drive.place(driver, prompt_tokens=5_000, max_tokens=10, remaining_s=0.5)
        assert reply.status == "refused"

    def test_queued_work_counts(self):
        driver = warm_driver()
        for _ in range(2):
            drive.place(driver, max_tokens=1_000)
        replies = [
            drive.place(driver, max_tokens=1_000, remaining_s=30.0) for _ in range(6)
        ]
        n_refused = sum(reply is not None for reply in replies)
        # With two slots and 10 s per request, two rounds of queued requests complete
        # within 30 s.
        assert [reply is None for reply in replies[:3]] == [True] * 3
        assert n_refused >= 2

    def test_retry_after_grows_with_the_backlog(self):
        driver = warm_driver()
        for _ in range(3):
            drive.place(driver, max_tokens=500)
        first_refusal = drive.place(driver, max_tokens=3_000, remaining_s=30.0)
        for _ in range(4):
            drive.place(driver, max_tokens=500, remaining_s=25.0)
        second_refusal = drive.place(driver, max_tokens=3_000, remaining_s=30.0)
        assert first_refusal.status == second_refusal.status == "refused"
        assert second_refusal.retry_after_s > first_refusal.retry_after_s

    def test_queued_request_is_refused_when_it_will_miss_its_deadline(self):
        # A refusal at the deadline leaves the caller no time to use another service.
        driver = warm_driver()
        replies = [drive.place(driver, max_tokens=1_000) for _ in range(2)]
        assert drive.place(driver, "late", max_tokens=500, remaining_s=16.0) is None
        for _ in range(12):
            drive.advance(driver, 1.0)
            drive.report_permits(driver, *map(drive.make_held_permit, replies))
        reply = driver.replies_by_key["late", 1]
        assert reply.status == "refused"
        assert driver.now < 100.0 + 12.0 + 1e-6

    def test_placements_wait_for_the_first_load_report(self):
        driver = drive.make_driver(drive.make_configuration(n_engines=1))
        assert drive.place(driver, "a") is None
        drive.report_all_loads(driver)
        assert driver.replies_by_key["a", 1].status == "granted"

    def test_request_without_an_open_endpoint_is_refused_with_a_retry_time(self):
        driver = warm_driver()
        drive.configure(driver, drive.amend(driver.state.active, leaving=("engine-0",)))
        reply = drive.place(driver)
        assert (reply.status, reply.retry_after_s) == ("refused", 30.0)

    @pytest.mark.parametrize("policy", ["savoryhill", "random"])
    def test_total_of_the_queue_stays_finite_when_every_endpoint_closes(self, policy):
        # With infinite service times the total becomes NaN (infinity minus infinity),
        # and with it every later prediction.
        configuration = drive.make_configuration(n_engines=1, slots=1)
        driver = drive.make_driver(configuration, policy=policy)
        drive.report_all_loads(driver)
        drive.place(driver)
        for number in range(3):
            drive.place(driver, f"r{number}", remaining_s=10.0 * (number + 1))
        drive.configure(driver, drive.amend(configuration, leaving=("engine-0",)))
        drive.advance(driver, 15.0)
        group = driver.state.routing.groups_by_id["group-0"]
        assert 0 <= group.queued_service_s < 1e10

    @pytest.mark.parametrize("policy", ["savoryhill", "random"])
    def test_no_permit_is_granted_after_the_deadline(self, policy):
        configuration = drive.make_configuration(n_engines=1, slots=1)
        driver = drive.make_driver(configuration, policy=policy)
        drive.report_all_loads(driver)
        first = drive.place(driver)
        drive.place(driver, "a", remaining_s=1.5)
        driver.now += 2.0
        drive.release(driver, first)
        drive.advance(driver, 0.5)
        assert driver.replies_by_key["a", 1].status == "refused"
