import pytest

from savoryhill.bench import routing_driver as drive
from savoryhill.core.effects import CancelStream, PollLoad


def warm_driver(**more):
    driver = drive.make_driver(drive.make_configuration(n_engines=1, **more))
    drive.report_all_loads(driver)
    return driver, drive.endpoint_state(driver, "engine-0")


def cancelled_ids(effects):
    return [each.request_id for each in effects if type(each) is CancelStream]


class TestOrphans:
    def test_stream_without_a_permit_is_cancelled_after_a_grace_time(self):
        # Otherwise the streams of a crashed entry node occupy memory until they end.
        driver, _ = warm_driver()
        assert (
            cancelled_ids(drive.report_load(driver, "engine-0", streams=("lost",)))
            == []
        )
        drive.advance(driver, 2.5)
        assert (
            cancelled_ids(drive.report_load(driver, "engine-0", streams=("lost",)))
            == []
        )
        drive.advance(driver, 0.5)
        cancelled = cancelled_ids(
            drive.report_load(driver, "engine-0", streams=("lost",))
        )
        assert cancelled == ["lost"]

    def test_occupies_a_slot_and_memory_until_it_is_not_listed(self):
        driver, endpoint = warm_driver(slots=1, memory_tokens=10_000)
        drive.report_load(
            driver, "engine-0", streams=("lost",), memory_used_tokens=9_500
        )
        assert endpoint.orphan_tokens == 9_500
        assert drive.place(driver, "a") is None
        drive.report_load(driver, "engine-0", streams=())
        assert driver.replies_by_key["a", 1].status == "granted"

    def test_is_not_cancelled_after_a_late_report_of_its_entry_node(self):
        driver, _ = warm_driver()
        other, _ = warm_driver()
        reply = drive.place(other, "kept")
        drive.report_load(driver, "engine-0", streams=("kept",))
        drive.advance(driver, 2.0)
        drive.report_permits(driver, drive.make_held_permit(reply))
        for _ in range(4):
            drive.advance(driver, 1.0)
            drive.report_permits(driver, drive.make_held_permit(reply))
            assert (
                cancelled_ids(drive.report_load(driver, "engine-0", streams=("kept",)))
                == []
            )

    def test_is_not_cancelled_before_permits_are_reported_after_a_takeover(
        self, monkeypatch
    ):
        from savoryhill.core.routing import groups

        monkeypatch.setattr(groups, "took_over_at", lambda state, group: 100.0)
        driver, _ = warm_driver()
        for _ in range(7):
            drive.advance(driver, 1.0)
            assert (
                cancelled_ids(drive.report_load(driver, "engine-0", streams=("lost",)))
                == []
            )
        drive.advance(driver, 1.0)
        cancelled = cancelled_ids(
            drive.report_load(driver, "engine-0", streams=("lost",))
        )
        assert cancelled == ["lost"]

    def test_stream_listed_just_after_its_release_is_not_an_orphan(self):
        # The endpoint may have taken the load report before the release.
        driver, endpoint = warm_driver(slots=1)
        drive.release(driver, drive.place(driver, "a"))
        assert (
            cancelled_ids(drive.report_load(driver, "engine-0", streams=("a",))) == []
        )
        assert drive.place(driver, "b") is not None


class TestClosingPermits:
    def test_expired_permit_is_cancelled_before_its_memory_is_freed(self):
        driver, endpoint = warm_driver()
        drive.place(driver, "a")
        drive.report_load(driver, "engine-0", streams=("a",))
        drive.advance(driver, 5.5)
        assert (
            cancelled_ids(drive.report_load(driver, "engine-0", streams=("a",))) == []
        )
        drive.advance(driver, 3.0)
        assert cancelled_ids(drive.report_load(driver, "engine-0", streams=("a",))) == [
            "a"
        ]
        assert endpoint.used_tokens == 1_100
        drive.report_load(driver, "engine-0", streams=())
        assert endpoint.used_tokens == 0

    def test_later_attempt_on_the_same_engine_is_not_cancelled(self):
        # The engine lists both attempts under the same request identifier.
        driver, endpoint = warm_driver()
        drive.release(driver, drive.place(driver, "a"), result="broken")
        drive.place(driver, "a", attempt=2)
        for _ in range(5):
            drive.advance(driver, 1.0)
            drive.report_permits(
                driver, drive.make_held_permit(driver.replies_by_key["a", 2])
            )
            assert (
                cancelled_ids(drive.report_load(driver, "engine-0", streams=("a",)))
                == []
            )

    def test_permit_of_a_plain_service_expires_without_a_stream_list(self):
        from savoryhill.config.model import Service

        configuration = drive.make_configuration(n_engines=1, slots=1)
        service = Service(name=drive.MODEL, calls=())
        driver = drive.make_driver(
            drive.amend(configuration, models=(), services=(service,))
        )
        drive.report_all_loads(driver)
        reply = drive.place(driver, "a", prompt_tokens=0, max_tokens=0)
        for _ in range(4):
            drive.advance(driver, 1.0)
            drive.report_load(driver, "engine-0", streams=())
        assert drive.endpoint_state(driver, "engine-0").permits_by_key
        drive.advance(driver, 1.0)
        assert not drive.endpoint_state(driver, "engine-0").permits_by_key
        assert reply.status == "granted"


class TestPolls:
    # Polls of idle endpoints must not take most of a coordinator's processor time, and
    # endpoints that do not check the incarnation need recent reports.
    @pytest.mark.parametrize(("checks", "n_idle"), [(True, 2), (False, 6)])
    def test_idle_endpoints_are_polled_less_only_if_they_check_the_incarnation(
        self, checks, n_idle
    ):
        driver, _ = warm_driver(checks_incarnation=checks)
        drive.report_all_loads(driver)
        assert count_polls(driver, "engine-0") == n_idle

    def test_endpoint_with_a_permit_is_polled_at_the_full_rate(self):
        driver, _ = warm_driver()
        reply = drive.place(driver)
        drive.report_all_loads(driver)
        assert count_polls(driver, reply.endpoint) == 6


def count_polls(driver, endpoint):
    """Count polls in 3 s; an idle endpoint is polled from 2 s on, until it answers."""
    effects = drive.advance(driver, 3.0)
    return sum(type(each) is PollLoad and each.endpoint == endpoint for each in effects)
