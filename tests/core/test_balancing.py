"""Choice of endpoints by the loads that they report, without a network."""

from random import Random
from types import SimpleNamespace

import pytest

from savoryhill.bench.balancing import LEADER, PRESENT, SCENARIOS, replay
from savoryhill.core.balancing import (
    REPORT_LIFETIME_S,
    EndpointLoads,
    LoadReport,
    choose_endpoint,
)

NOW = 100.0


def endpoint(name, *, zone="zone-a", born=1):
    return SimpleNamespace(id=name, zone=zone, slots=6, incarnation=f"{name}@{born}")


NEAR, OTHER = endpoint("near"), endpoint("other")
AWAY = endpoint("away", zone="zone-b")


def note(loads, about, n_running, *, n_waiting=0, n_slots=6, observed_at=NOW):
    report = LoadReport(
        n_running=n_running,
        n_waiting=n_waiting,
        n_slots=n_slots,
        observed_at=observed_at,
    )
    return loads.note_report(about.incarnation, report, NOW)


def choose(loads, *endpoints, random=None, **options):
    return choose_endpoint(
        endpoints,
        loads=loads,
        zone="zone-a",
        now=NOW,
        random=random or Random(1),
        **options,
    )


@pytest.fixture
def loads():
    return EndpointLoads()


class TestReports:
    def test_least_loaded_is_chosen(self, loads):
        note(loads, NEAR, 5)
        note(loads, OTHER, 1)
        assert choose(loads, NEAR, OTHER) is OTHER

    def test_stale_report_is_dropped(self, loads):
        # Guards against an endpoint that is avoided for what it reported long ago.
        note(loads, NEAR, 6, n_waiting=6)
        assert loads.expected_load(NEAR, NOW + REPORT_LIFETIME_S) == 0.0
        assert loads.expected_load(NEAR, NOW + 1.0) < 6.0
        assert not note(loads, OTHER, 1, observed_at=NOW - REPORT_LIFETIME_S)

    def test_older_report_does_not_replace_a_newer_one(self, loads):
        # Guards against reports that overtake each other between nodes.
        note(loads, NEAR, 5)
        assert not note(loads, NEAR, 0, observed_at=NOW - 0.1)
        assert loads.expected_load(NEAR, NOW) == 5.0

    def test_report_of_an_earlier_incarnation_does_not_count(self, loads):
        # Guards against a restarted endpoint that is taken for a full one.
        note(loads, NEAR, 6, n_waiting=6)
        assert loads.expected_load(endpoint("near", born=2), NOW) == 0.0

    @pytest.mark.parametrize(
        "fields",
        [
            {"n_running": -1},
            {"n_running": 1, "n_slots": 0},
            {"n_running": 10**15},
            {"n_running": 1, "observed_at": float("nan")},
            {"n_running": 1, "observed_at": float("-inf")},
        ],
    )
    def test_impossible_report_is_ignored(self, loads, fields):
        # Guards against a message of another node that breaks the choice.
        assert not note(loads, NEAR, **fields)
        assert loads.expected_load(NEAR, NOW) == 0.0

    def test_report_from_the_future_ends_like_others(self, loads):
        # Guards against a false age that keeps a report in force for ever.
        note(loads, NEAR, 6, observed_at=NOW + 1e6)
        assert loads.report(NEAR.incarnation, NOW + REPORT_LIFETIME_S) is None

    def test_endpoint_that_always_says_idle_is_not_overloaded(self, loads):
        # Guards against a false report that draws all requests.
        sent, random = [], Random(1)
        for _ in range(12):
            note(loads, NEAR, 0, n_slots=10**6)
            chosen = choose(loads, NEAR, OTHER, random=random)
            loads.note_sent(chosen.incarnation, NOW)
            sent.append(chosen.id)
        assert sent.count("near") == sent.count("other") == 6

    def test_endpoint_that_failed_is_taken_for_full(self, loads):
        # Guards against an endpoint that is idle because it refuses, and gets the
        # requests of busy ones.
        note(loads, NEAR, 0)
        note(loads, OTHER, 5)
        loads.note_failed(NEAR, NOW + 0.01)
        assert choose(loads, NEAR, OTHER) is OTHER

    def test_own_requests_since_the_report_are_added(self, loads):
        # Guards against a burst that all goes to the endpoint last heard to be idle.
        loads.note_sent(NEAR.incarnation, NOW - 1.0)
        note(loads, NEAR, 3)
        loads.note_sent(NEAR.incarnation, NOW + 0.1)
        assert loads.expected_load(NEAR, NOW) == 4.0

    def test_what_is_gone_is_forgotten(self, loads):
        # Guards against memory that grows with each restart of an endpoint.
        note(loads, NEAR, 3)
        loads.note_sent(OTHER.incarnation, NOW)
        loads.forget(set(), NOW)
        assert len(loads) == 1
        loads.note_ended(OTHER.incarnation)
        assert len(loads) == 0


class TestZones:
    def test_own_zone_is_preferred_unless_clearly_busier(self, loads):
        note(loads, NEAR, 1, observed_at=NOW - 0.1)
        assert choose(loads, NEAR, AWAY, counts_all=True) is NEAR
        note(loads, NEAR, 4)
        assert choose(loads, NEAR, AWAY, counts_all=True) is AWAY

    def test_without_a_free_slot_another_zone_is_chosen(self, loads):
        # Guards against requests that wait although a slot is free in another zone.
        note(loads, NEAR, 6)
        note(loads, AWAY, 5)
        assert choose(loads, NEAR, AWAY) is AWAY

    def test_unheard_endpoint_of_a_full_zone_is_not_taken_for_idle(self, loads):
        # Guards against nodes that hear from few of many endpoints.
        note(loads, NEAR, 6, n_waiting=6)
        note(loads, AWAY, 3)
        assert choose(loads, NEAR, OTHER, AWAY) is AWAY


class TestReplay:
    @pytest.mark.parametrize("name", ["65 nodes, 3 endpoints", "burst in all zones"])
    def test_share_beside_free_slots_falls_to_a_tenth(self, name):
        # Guards against requests that wait or are refused beside free slots, which is
        # a third to a half of them if each node counts only its own.
        (scenario,) = (each for each in SCENARIOS if each.name == name)
        before = replay(scenario, PRESENT)
        after = replay(scenario, f"{LEADER}, reports")
        assert after.misplaced_share <= before.misplaced_share / 10
        assert after.n_refused <= before.n_refused
        assert after.wait_s(0.99) <= before.wait_s(0.99)

    def test_nodes_without_a_leader_are_better_off_as_well(self):
        (scenario,) = (each for each in SCENARIOS if each.name == "all cut off")
        before, after = replay(scenario, PRESENT), replay(scenario, LEADER)
        assert after.misplaced_share <= 0.6 * before.misplaced_share
        assert after.n_refused <= before.n_refused / 2

    @pytest.mark.parametrize("way", [f"{LEADER}, reports", "own reports, refusals"])
    def test_endpoint_that_refuses_all_gets_less(self, way):
        # Guards against loads that take an endpoint which refuses for an idle one.
        (scenario,) = (each for each in SCENARIOS if each.name == "refusing endpoint")
        before, after = replay(scenario, PRESENT), replay(scenario, way)
        assert after.n_refused <= 0.9 * before.n_refused

    def test_loss_of_the_leader_is_better_than_no_leader(self):
        # Guards against a new leader that harms until it has counted all requests.
        by_name = {each.name: each for each in SCENARIOS}
        lost = replay(by_name["leader lost"], f"{LEADER}, reports")
        never = replay(by_name["all cut off"], f"{LEADER}, reports")
        assert lost.misplaced_share <= never.misplaced_share / 2
        assert lost.n_refused <= never.n_refused

    def test_zones_are_kept_while_they_have_room(self):
        (calm,) = (each for each in SCENARIOS if each.name == "calm")
        after = replay(calm, f"{LEADER}, reports")
        assert after.n_in_zone >= 0.98 * after.n_calls
