import pytest

from savoryhill.bench import routing_driver as drive


def cold_engine(*, slots=8, cold_slots=1, **more):
    driver = drive.make_driver(
        drive.make_configuration(
            n_engines=1, slots=slots, cold_slots=cold_slots, **more
        )
    )
    drive.report_load(driver, "engine-0", warm=False)
    return driver, drive.endpoint_state(driver, "engine-0")


def complete(driver, n_completions, *, first_token_s=0.02):
    for _ in range(n_completions):
        reply = drive.place(driver)
        drive.release(
            driver, reply, first_token_s=first_token_s, duration_s=1.0, n_tokens=100
        )


class TestColdStart:
    def test_cold_endpoint_never_has_more_permits_than_its_cold_limit(self):
        driver, _ = cold_engine(cold_slots=2)
        replies = [drive.place(driver) for _ in range(5)]
        assert sum(reply is not None for reply in replies) == 2

    def test_limit_doubles_after_enough_good_completions(self):
        driver, endpoint = cold_engine()
        drive.report_load(driver, "engine-0", warm=True)
        limits = []
        for n_completions in (2, 4, 8, 16):
            complete(driver, n_completions)
            limits.append(endpoint.limit)
        assert limits == [2, 4, 8, 8]

    def test_completions_do_not_raise_the_limit_while_the_endpoint_reports_cold(
        self,
    ):
        # A cold engine failed at its second concurrent request although three requests
        # had succeeded before.
        driver, endpoint = cold_engine()
        complete(driver, 20)
        assert endpoint.limit == 1
        drive.report_load(driver, "engine-0", warm=True)
        complete(driver, 1)
        assert endpoint.limit == 2

    def test_endpoint_that_is_warm_in_its_first_report_has_its_full_limit(self):
        driver, endpoint = cold_engine()
        other = drive.make_driver(drive.make_configuration(n_engines=1))
        drive.report_load(other, "engine-0", warm=True)
        assert drive.endpoint_state(other, "engine-0").limit == 8


class TestLimitReset:
    @pytest.fixture
    def warm(self):
        driver = drive.make_driver(drive.make_configuration(n_engines=1))
        drive.report_load(driver, "engine-0")
        return driver, drive.endpoint_state(driver, "engine-0")

    def test_new_incarnation_resets_the_limit_even_if_it_reports_that_it_is_warm(
        self, warm
    ):
        driver, endpoint = warm
        drive.report_load(driver, "engine-0", incarnation="2")
        assert endpoint.limit == 1

    def test_report_that_the_endpoint_is_cold_resets_the_limit(self, warm):
        driver, endpoint = warm
        drive.report_load(driver, "engine-0", warm=False)
        assert endpoint.limit == 1

    def test_refusal_resets_and_stops_grants_until_the_next_load_report(self, warm):
        # Grants for the old incarnation would only cause more refusals.
        driver, endpoint = warm
        drive.release(driver, drive.place(driver), result="refused")
        assert endpoint.limit == 1
        assert drive.place(driver, "a") is None
        drive.report_load(driver, "engine-0", incarnation="2", warm=False)
        assert driver.replies_by_key["a", 1].incarnation == "2"

    def test_late_first_token_resets_the_limit(self, warm):
        driver, endpoint = warm
        complete(driver, 1, first_token_s=3.0)
        assert endpoint.limit == 1

    def test_missing_first_token_resets_the_limit_before_the_request_ends(self, warm):
        driver, endpoint = warm
        reply = drive.place(driver)
        drive.advance(driver, 1.0)
        drive.report_permits(driver, drive.make_held_permit(reply))
        assert endpoint.limit == 8
        drive.advance(driver, 1.5)
        drive.report_permits(driver, drive.make_held_permit(reply))
        assert endpoint.limit == 1

    def test_long_prompt_delayed_by_short_ones_is_not_late(self, warm):
        # Short prompts are prefilled first. Their prefill time must be added to the
        # prediction, or every long prompt appears to be late.
        driver, endpoint = warm
        long = drive.place(driver, "long", prompt_tokens=50_000)
        for _ in range(200):
            short = drive.place(driver, prompt_tokens=3_000)
            drive.release(driver, short, n_tokens=1, first_token_s=0.03)
        drive.release(driver, long, first_token_s=6.0, duration_s=7.0)
        assert endpoint.limit == 8

    def test_permits_of_the_old_incarnation_stay_counted_if_it_is_not_checked(self):
        # The restarted engine would accept them in addition to new permits, above its
        # cold limit.
        driver = drive.make_driver(
            drive.make_configuration(n_engines=1, checks_incarnation=False)
        )
        drive.report_load(driver, "engine-0")
        drive.place(driver, "a")
        drive.report_load(driver, "engine-0", incarnation="2", warm=False)
        assert drive.place(driver, "b") is None

    def test_permits_of_the_old_incarnation_end_if_it_is_checked(self, warm):
        driver, endpoint = warm
        drive.place(driver, "a")
        drive.report_load(driver, "engine-0", incarnation="2", warm=False, streams=())
        assert drive.place(driver, "b").incarnation == "2"


class TestWarmUp:
    def test_cold_endpoint_gets_work_although_warm_ones_are_predicted_faster(self):
        # Without requests the endpoint stays cold as long as the others have capacity.
        driver = drive.make_driver(drive.make_configuration(n_engines=4))
        drive.report_all_loads(driver)
        drive.report_load(driver, "engine-2", incarnation="2", warm=False)
        drive.endpoint_state(driver, "engine-2").cost_model.prefill_tokens_per_s /= 10
        endpoints = [drive.place(driver).endpoint for _ in range(6)]
        assert endpoints.count("engine-2") == 1
        drive.release(driver, driver.replies_by_key["request-1", 1])
        assert "engine-2" in [drive.place(driver).endpoint for _ in range(2)]
