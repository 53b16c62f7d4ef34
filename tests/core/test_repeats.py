"""Tests of the limits on repeated sends and of the final status of a request."""

import pytest

from savoryhill.core.repeats import AttemptHistory, RepeatBudget


class TestAttemptHistory:
    def test_refused_sends_do_not_count_as_attempts(self):
        # A long prompt must not fail because several of the engines chosen for its
        # prefill were leaving.
        history = AttemptHistory(may_repeat=True, max_attempts=2, n_refused=8)
        assert history.may_send()

    def test_number_of_refused_sends_is_limited(self):
        history = AttemptHistory(may_repeat=True, max_attempts=2, n_refused=40)
        assert not history.may_send()

    @pytest.mark.parametrize("n_refused", [0, 3])
    def test_request_that_may_have_run_is_not_repeated(self, n_refused):
        history = AttemptHistory(
            may_repeat=False, max_attempts=2, n_runs=1, n_refused=n_refused
        )
        assert not history.may_send()

    @pytest.mark.parametrize(
        ("n_runs", "is_late", "status"),
        [(0, True, 503), (1, False, 502), (1, True, 504)],
    )
    def test_503_is_returned_only_if_the_request_did_not_run(
        self, n_runs, is_late, status
    ):
        history = AttemptHistory(may_repeat=False, max_attempts=1, n_runs=n_runs)
        assert history.failure_status(is_late=is_late) == status


class TestRepeatBudget:
    def test_expired_requests_are_dropped_without_repeats(self):
        # Requests were dropped only when a repeat was attempted, so the memory of the
        # leader grew with every job while nothing was repeated.
        budget = RepeatBudget(window_s=10.0)
        for n in range(1_000):
            budget.note_request(float(n))
        assert len(budget.request_times) <= 11

    def test_repeat_that_was_not_sent_is_given_back(self):
        # Guards against a withdrawn repeat that keeps others from being made.
        budget = RepeatBudget(window_s=10.0)
        assert budget.try_repeat(0.0, ratio=0.2, slack=1.0)
        assert not budget.try_repeat(0.1, ratio=0.2, slack=1.0)
        budget.give_back()
        assert budget.try_repeat(0.2, ratio=0.2, slack=1.0)
        budget.give_back()
        budget.give_back()
        assert not budget.repeat_times
