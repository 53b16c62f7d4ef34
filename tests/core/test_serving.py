"""Repeats and final answers of one request, and the budget of repeats."""

import pytest

from savoryhill.core.serving import AttemptHistory, RepeatBudget


class TestAttempts:
    def test_refusals_are_no_attempts(self):
        # Guards against a long prompt that is given up because some of the engines
        # that were to read it were leaving.
        history = AttemptHistory(may_repeat=True, max_attempts=2, n_refused=8)
        assert history.may_send()

    def test_refusals_end(self):
        history = AttemptHistory(may_repeat=True, max_attempts=2, n_refused=40)
        assert not history.may_send()

    @pytest.mark.parametrize("n_refused", [0, 3])
    def test_work_that_may_have_run_is_not_sent_again(self, n_refused):
        history = AttemptHistory(
            may_repeat=False, max_attempts=2, n_runs=1, n_refused=n_refused
        )
        assert not history.may_send()

    @pytest.mark.parametrize(
        ("n_runs", "is_late", "status"),
        [(0, True, 503), (1, False, 502), (1, True, 504)],
    )
    def test_only_work_that_did_not_run_is_said_not_to_have_run(
        self, n_runs, is_late, status
    ):
        history = AttemptHistory(may_repeat=False, max_attempts=1, n_runs=n_runs)
        assert history.failure_status(is_late=is_late) == status


class TestRepeatBudget:
    def test_requests_are_forgotten_without_any_repeat(self):
        # Guards against a scheduling node whose memory grows with every job while
        # no send is repeated.
        budget = RepeatBudget(window_s=10.0)
        for n in range(1_000):
            budget.note_request(float(n))
        assert len(budget.requests) <= 11
