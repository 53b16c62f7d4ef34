import dataclasses

import pytest

from savoryhill.bench import routing_driver as drive
from savoryhill.bench.rollout import run_rollout
from savoryhill.config.model import Model
from savoryhill.core.effects import PollLoad, SendOrder
from savoryhill.core.events import OrderAnswered
from savoryhill.core.routing import model_rollout


def outdated_driver(*, n_engines=20, rate=10.0, checks_fencing=True):
    configuration = drive.make_configuration(n_engines=n_engines)
    policy = type(configuration.policy)(weight_loads_per_s=rate)
    endpoints = tuple(
        dataclasses.replace(each, checks_fencing=checks_fencing)
        for each in configuration.endpoints
    )
    configuration = dataclasses.replace(
        configuration,
        policy=policy,
        endpoints=endpoints,
        models=(Model(name=drive.MODEL, version="2"),),
    )
    driver = drive.make_driver(configuration)
    drive.report_all_loads(driver, version="1")
    return driver


def sent_orders(effects):
    return [each for each in effects if type(each) is SendOrder]


def answer(driver, order, status):
    drive.apply(
        driver,
        OrderAnswered(
            at=driver.now,
            order_id=order.order_id,
            endpoint=order.endpoint,
            model=order.model,
            version=order.version,
            status=status,
        ),
    )


class TestWaves:
    def test_one_engine_is_updated_first_then_a_limited_share(self):
        # If all engines of a model load at once, none is left to serve requests.
        driver = outdated_driver()
        (first,) = sent_orders(drive.advance(driver, 10.0))
        answer(driver, first, "ok")
        assert sent_orders(drive.advance(driver, 5.0)) == []
        drive.report_load(driver, first.endpoint, version="2")
        assert len(sent_orders(drive.advance(driver, 10.0))) == 2

    def test_every_order_carries_the_fence_of_the_first_group(self):
        driver = outdated_driver()
        drive.make_coordinator(driver, "group-0", fence=9)
        (first,) = sent_orders(drive.advance(driver, 2.0))
        assert first.fence == 9

    def test_only_the_coordinator_of_the_first_group_sends_orders(self):
        driver = outdated_driver()
        drive.replace_coordinator(driver, "group-0")
        assert sent_orders(drive.advance(driver, 10.0)) == []

    def test_rate_limit_of_the_weight_store_is_kept(self):
        driver = outdated_driver(n_engines=600, rate=0.1)
        (first,) = sent_orders(drive.advance(driver, 2.0))
        drive.report_load(driver, first.endpoint, version="2")
        assert len(sent_orders(drive.advance(driver, 30.0))) == 3

    def test_engines_of_other_coordinators_are_polled_only_while_outdated(self):
        driver = outdated_driver()
        drive.replace_coordinator(driver, "group-2")
        other_ids = set(driver.state.active.groups_by_id["group-2"].endpoints)

        def polled_ids(seconds):
            effects = drive.advance(driver, seconds)
            return {each.endpoint for each in effects if type(each) is PollLoad}

        assert other_ids <= polled_ids(2.0)
        drive.report_all_loads(driver, version="2")
        assert not other_ids & polled_ids(10.0)

    def test_engines_with_the_configured_version_get_no_order(self):
        driver = outdated_driver()
        drive.report_all_loads(driver, version="2")
        assert sent_orders(drive.advance(driver, 10.0)) == []

    def test_order_without_an_outcome_fails_after_the_timeout(self):
        driver = outdated_driver()
        sent_orders(drive.advance(driver, 2.0))
        drive.advance(driver, model_rollout.ORDER_TIMEOUT_S + 2.0, step_s=1.0)
        assert driver.state.routing.rollouts_by_model[drive.MODEL].broken


class TestBrokenRollout:
    def test_stops_after_the_first_engine_fails_until_the_version_changes(self):
        # Otherwise a broken version reaches every engine before an operator reacts.
        driver = outdated_driver()
        (first,) = sent_orders(drive.advance(driver, 2.0))
        answer(driver, first, "failed")
        assert sent_orders(drive.advance(driver, 60.0)) == []
        fixed = (Model(name=drive.MODEL, version="3"),)
        drive.configure(driver, drive.amend(driver.state.active, models=fixed))
        assert [each.version for each in sent_orders(drive.advance(driver, 2.0))] == [
            "3"
        ]

    def test_single_failure_late_in_a_rollout_does_not_stop_it(self):
        driver = outdated_driver()
        has_failed = False
        for _ in range(60):
            for order in sent_orders(drive.advance(driver, 1.0)):
                n_ok = sum(
                    each == "2"
                    for each in driver.state.routing.versions_by_endpoint.values()
                )
                if n_ok >= 10 and not has_failed:
                    has_failed = True
                    answer(driver, order, "failed")
                else:
                    drive.report_load(driver, order.endpoint, version="2")
        versions = list(driver.state.routing.versions_by_endpoint.values())
        assert has_failed
        assert versions.count("2") == 19

    @pytest.mark.parametrize(
        ("limited", "expected"), [(True, (19, 1, True)), (False, (0, 20, False))]
    )
    def test_limits_protect_the_engines_from_a_broken_version(self, limited, expected):
        result = run_rollout(broken=True, limited=limited)
        found = result["least_serving"], result["lost"], result["marked_broken"]
        assert found == expected


class TestNewIssuer:
    @pytest.mark.parametrize(("checks_fencing", "n_sent"), [(True, 1), (False, 0)])
    def test_waits_for_orders_of_the_previous_issuer_without_fencing(
        self, monkeypatch, checks_fencing, n_sent
    ):
        # An engine that does not check the fence would execute a delayed order of the
        # previous issuer after the new one.
        driver = outdated_driver(checks_fencing=checks_fencing)
        now = driver.now
        monkeypatch.setattr(model_rollout, "took_over_at", lambda state, group: now)
        assert len(sent_orders(drive.advance(driver, 4.0))) == n_sent
        assert len(sent_orders(drive.advance(driver, 3.0))) == 1 - n_sent

    def test_provisional_coordinator_sends_no_orders(self, monkeypatch):
        driver = outdated_driver()
        monkeypatch.setattr(model_rollout, "is_provisional", lambda state, group: True)
        assert sent_orders(drive.advance(driver, 10.0)) == []

    def test_engine_gets_another_order_after_a_stale_answer(self):
        driver = outdated_driver()
        (first,) = sent_orders(drive.advance(driver, 2.0))
        answer(driver, first, "stale")
        assert len(sent_orders(drive.advance(driver, 3.0))) == 1
