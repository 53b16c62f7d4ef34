"""Tests of the limits of requests a second that endpoints name."""

import math
from random import Random

import pytest

from savoryhill.core.observations.rate_limits import (
    BURST_S,
    CONFIRMATION_INTERVAL_S,
    LIMIT_LIFETIME_S,
    PROBE_RATE_PER_S,
    RateLimiter,
    limits_in_force,
    observe_limit,
)
from savoryhill.core.observations.table import ObservationTable

SPAN_S = 4.0


@pytest.fixture
def table():
    return ObservationTable()


def name_limit(table, limit, *, now, sent_at=None, incarnation="e1@1"):
    """Merge the observations of an answer; return whether there were any."""
    observations = observe_limit(
        table,
        incarnation=incarnation,
        limit=limit,
        sent_at=now if sent_at is None else sent_at,
        now=now,
    )
    table.merge(observations, now)
    return bool(observations)


def make_limiter(limits, *, share=1.0, seed=1):
    limiter = RateLimiter(random=Random(seed), share=lambda: share)
    limiter.set_limits(limits)
    return limiter


def send_all(limiter, *, until, incarnation="e1@1", step_s=0.02):
    """Send whenever the limiter allows it; return the times."""
    times, now = [], 0.0
    while now < until:
        if limiter.wait_s(incarnation, now) <= 0.0:
            limiter.take(incarnation, now)
            times.append(now)
        now += step_s
    return times


def most_in_span(times):
    return max((sum(a <= t < a + SPAN_S for t in times) for a in times), default=0)


class TestNamedLimits:
    def test_limit_is_told_once_until_it_changes(self, table):
        assert name_limit(table, 2.0, now=10.0)
        assert not name_limit(table, 2.0, now=12.0)
        assert not name_limit(table, 2.1, now=12.0)
        assert name_limit(table, 1.0, now=12.0)
        assert limits_in_force(table, 12.0) == {"e1@1": 1.0}
        assert name_limit(table, 1.0, now=12.0 + CONFIRMATION_INTERVAL_S)

    def test_answer_without_a_limit_ends_it(self, table):
        name_limit(table, 2.0, now=10.0)
        assert not name_limit(table, math.inf, now=11.0, sent_at=9.9)
        assert limits_in_force(table, 11.0) == {"e1@1": 2.0}
        assert name_limit(table, math.inf, now=11.0, sent_at=10.5)
        assert limits_in_force(table, 11.0) == {}
        assert not name_limit(table, math.inf, now=30.0)

    def test_endpoint_that_names_none_is_not_shared(self, table):
        assert not name_limit(table, math.inf, now=10.0)

    def test_restarted_endpoint_has_no_limit_until_it_names_one(self, table):
        name_limit(table, 2.0, now=10.0)
        assert "e1@2" not in limits_in_force(table, 10.0)

    @pytest.mark.parametrize(
        ("limit", "lifetime_s"),
        [(2.0, LIMIT_LIFETIME_S), (0.0, LIMIT_LIFETIME_S), (0.02, 100.0)],
    )
    def test_limit_ends_if_it_is_not_named_again(self, table, limit, lifetime_s):
        # Guards against an endpoint that is never sent anything again, because it
        # could only say so in an answer.
        name_limit(table, limit, now=10.0)
        assert limits_in_force(table, 10.0 + lifetime_s) == {"e1@1": limit}
        assert limits_in_force(table, 10.1 + lifetime_s) == {}

    def test_two_limits_named_at_once_agree(self):
        # Guards against nodes that go on with different limits after a partition.
        first, second = ObservationTable(), ObservationTable()
        name_limit(first, 2.0, now=10.0)
        name_limit(second, 3.0, now=10.0)
        first.merge(second.all(), 10.0)
        second.merge(first.all(), 10.0)
        assert limits_in_force(first, 10.0) == limits_in_force(second, 10.0)


class TestLimiter:
    @pytest.mark.parametrize("limit", [0.1, 0.5, 1.0, 1.8, 7.0, 40.0])
    def test_requests_stay_within_the_limit(self, limit):
        times = send_all(make_limiter({"e1@1": limit}), until=40.0)
        assert most_in_span(times) <= limit * (SPAN_S + BURST_S) + 1.0
        assert len(times) >= 0.9 * limit * 40.0

    def test_endpoint_that_takes_none_is_probed(self):
        times = send_all(make_limiter({"e1@1": 0.0}), until=60.0)
        assert len(times) <= 1 + 60.0 * PROBE_RATE_PER_S

    @pytest.mark.parametrize("limit", [1e9, 2.0**53])
    def test_huge_limit_is_no_hindrance(self, limit):
        limiter = make_limiter({"e1@1": limit})
        for _ in range(1_000):
            assert limiter.wait_s("e1@1", 5.0) < 1e-3
            limiter.take("e1@1", 5.0)

    def test_endpoint_without_a_limit_has_no_wait(self):
        limiter = make_limiter({"e1@1": 1.0})
        for _ in range(100):
            limiter.take("e2@1", 5.0)
        assert limiter.wait_s("e2@1", 5.0) == 0.0

    def test_parts_of_many_nodes_stay_within_the_limit(self):
        # Guards against nodes that each send one request at once when they lose their
        # leader: together many more than the endpoint takes.
        limit, n_nodes = 2.0, 195
        times = sorted(
            at
            for seed in range(n_nodes)
            for at in send_all(
                make_limiter({"e1@1": limit}, share=1.0 / n_nodes, seed=seed),
                until=12.0,
                step_s=0.2,
            )
        )
        assert most_in_span(times) <= 1.5 * SPAN_S * limit + 5

    def test_next_leader_does_not_allow_a_second_burst(self):
        limit, ends_at = 10.0, 3.0
        first = send_all(make_limiter({"e1@1": limit}), until=ends_at)
        second = [
            ends_at + at for at in send_all(make_limiter({"e1@1": limit}), until=3.0)
        ]
        assert most_in_span(first + second) <= limit * (SPAN_S + BURST_S) + 2

    def test_first_free_endpoint_is_taken(self):
        limiter = make_limiter({"e1@1": 0.5, "e2@1": 4.0})
        limiter.take("e1@1", 1.0)
        assert limiter.take_first(["e1@1", "e2@1"], max_wait_s=0.0, now=1.0) == (
            "e2@1",
            0.0,
        )
        taken, wait_s = limiter.take_first(["e1@1", "e2@1"], max_wait_s=0.5, now=1.0)
        assert (taken, wait_s) == ("e2@1", pytest.approx(0.25))
        taken, wait_s = limiter.take_first(["e1@1"], max_wait_s=0.5, now=1.0)
        assert (taken, wait_s) == (None, pytest.approx(2.0))

    def test_limit_that_ends_is_forgotten(self):
        limiter = make_limiter({"e1@1": 0.5})
        limiter.take("e1@1", 1.0)
        limiter.set_limits({})
        assert limiter.wait_s("e1@1", 1.0) == 0.0
        limiter.set_limits({"e1@1": 0.5})
        assert limiter.wait_s("e1@1", 1.0) == 0.0
