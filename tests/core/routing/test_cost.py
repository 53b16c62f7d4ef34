import pytest

from savoryhill.bench import routing_driver as drive
from savoryhill.config.model import Hardware
from savoryhill.core.routing import cost

HARDWARE = Hardware(
    name="kind",
    prefill_tokens_per_s=100_000.0,
    decode_tokens_per_s=100.0,
    memory_tokens=600_000,
    slots=16,
)


@pytest.fixture
def cost_model():
    return cost.new_cost_model(HARDWARE)


class TestCostModel:
    def test_starts_with_the_rates_of_the_configuration(self, cost_model):
        assert cost.first_token_s(cost_model, 100_000) == pytest.approx(1.01)
        assert cost.decode_s(cost_model, 100, 1) == pytest.approx(1.0)
        assert cost.decode_s(cost_model, 100, 16) == pytest.approx(1.0)

    def test_learns_the_prefill_rate(self, cost_model):
        for _ in range(60):
            cost.observe_prefill(cost_model, 20_000, 0.8 + cost_model.overhead_s)
        assert cost_model.prefill_tokens_per_s == pytest.approx(25_000, rel=0.02)

    def test_learns_the_decode_rate_by_batch_size(self, cost_model):
        for round_number in range(300):
            batch = 1 + round_number % 12
            cost.observe_decode(cost_model, batch, 0.008 + 0.002 * batch)
        assert cost.decode_s(cost_model, 1, 2) == pytest.approx(0.012, rel=0.05)
        assert cost.decode_s(cost_model, 1, 12) == pytest.approx(0.032, rel=0.05)

    def test_one_stalled_stream_does_not_invalidate_the_model(self, cost_model):
        cost.observe_prefill(cost_model, 20_000, 3_600.0)
        cost.observe_decode(cost_model, 4, 600.0)
        assert cost_model.prefill_tokens_per_s > 80_000
        assert cost.decode_s(cost_model, 1, 4) < 0.02

    @pytest.mark.parametrize("seconds", [0.0, -1.0])
    def test_missing_observations_change_nothing(self, cost_model, seconds):
        cost.observe_prefill(cost_model, 20_000, seconds)
        cost.observe_decode(cost_model, 4, seconds)
        assert cost_model == cost.new_cost_model(HARDWARE)

    def test_slope_is_kept_while_the_batch_size_hardly_varies(self, cost_model):
        # With a slope fitted to noise around one batch size, an empty engine was
        # predicted to be ten times as fast as it is.
        for round_number in range(300):
            odd = round_number % 2
            cost.observe_decode(cost_model, 8 + 0.5 * odd, 0.02 + 0.002 * odd)
        assert cost.decode_s(cost_model, 1, 8) == pytest.approx(0.021, rel=0.05)
        assert cost.decode_s(cost_model, 1, 1) > 0.01


class TestLoadReports:
    def test_missing_reports_do_not_stop_grants(self):
        driver = drive.make_driver(drive.make_configuration(n_engines=2))
        drive.report_all_loads(driver)
        drive.report_poll_failure(driver, "engine-0")
        drive.advance(driver, 30.0)
        assert drive.place(driver) is not None

    def test_endpoint_is_not_used_after_two_lost_polls_until_it_answers(self):
        driver = drive.make_driver(drive.make_configuration(n_engines=1))
        drive.report_all_loads(driver)
        drive.report_poll_failure(driver, "engine-0")
        drive.report_poll_failure(driver, "engine-0")
        assert drive.place(driver, "a") is None
        drive.report_all_loads(driver)
        assert driver.replies_by_key["a", 1].status == "granted"

    def test_granted_work_counts_although_a_late_report_does_not_list_it(self):
        # The report was taken before the grant.
        driver = drive.make_driver(drive.make_configuration(n_engines=2))
        drive.report_all_loads(driver)
        first = drive.place(driver, prompt_tokens=3_900)
        drive.report_load(driver, first.endpoint, streams=())
        assert drive.place(driver).endpoint != first.endpoint

    def test_learned_rate_changes_the_choice(self):
        driver = drive.make_driver(drive.make_configuration(n_engines=2))
        drive.report_all_loads(driver)
        for _ in range(30):
            reply = drive.place(driver, prompt_tokens=3_000, avoid=("engine-1",))
            drive.release(driver, reply, first_token_s=0.3, duration_s=1.3)
            drive.advance(driver, 1.0)
        assert drive.place(driver).endpoint == "engine-1"
