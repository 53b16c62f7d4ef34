"""Tests of the decision whether a silent run is left for a repeat."""

from dataclasses import replace

import pytest

from savoryhill.core.observations.signs_of_life import MAX_ENDPOINTS, SignsOfLife
from savoryhill.core.silence import (
    Denial,
    RepeatSituation,
    answer_timeout_s,
    find_denial,
    remaining_answer_s,
)

GRANTED = RepeatSituation(
    may_send=True,
    needed_s=1.0,
    due_in_s=8.0,
    stops_in_s=float("inf"),
    is_suspect=False,
    other_ids=frozenset(("e1", "e2")),
)


class TestFindDenial:
    @pytest.mark.parametrize(
        ("changes", "denial"),
        [
            ({}, None),
            ({"may_send": False}, Denial.ATTEMPTS),
            ({"due_in_s": 0.9}, Denial.DEADLINE),
            ({"stops_in_s": 0.9}, Denial.STOP),
            ({"due_in_s": 0.5, "stops_in_s": 0.9}, Denial.DEADLINE),
            ({"is_suspect": True}, Denial.CRASHES),
            ({"other_ids": frozenset()}, Denial.NO_OTHER),
            ({"paused_ids": frozenset(("e1", "e2"))}, Denial.PAUSED),
            ({"paused_ids": frozenset(("e1",))}, None),
            ({"failed_ids": frozenset(("e1", "e2"))}, Denial.FAILED),
            (
                {"paused_ids": frozenset(("e1",)), "failed_ids": frozenset(("e2",))},
                Denial.FAILED,
            ),
        ],
    )
    def test_each_reason_denies_a_repeat(self, changes, denial):
        assert find_denial(replace(GRANTED, **changes)) is denial


class TestTimes:
    def test_short_deadline_leaves_time_for_the_repeat(self):
        # Guards against a repeat that is asked for when no time is left for it.
        assert answer_timeout_s(usual_s=0.3, time_left_s=1.6) == pytest.approx(1.0)
        assert answer_timeout_s(usual_s=0.3, time_left_s=9.0) == pytest.approx(1.4)
        assert answer_timeout_s(usual_s=2.0, time_left_s=3.0) == pytest.approx(4.0)

    def test_rest_of_an_answer(self):
        assert remaining_answer_s(answer_s=2.0, written_s=0.5) == 1.5
        assert remaining_answer_s(answer_s=2.0, written_s=3.0) == 0.0
        assert remaining_answer_s(answer_s=None, written_s=0.5) == 0.5


class TestSignsOfLife:
    def test_endpoint_is_heard_after_the_silence_began(self):
        signs = SignsOfLife()
        signs.note("e1@1", 5.0)
        assert signs.was_heard_after("e1@1", 4.9)
        assert not signs.was_heard_after("e1@1", 5.0)
        assert not signs.was_heard_after("e1@2", 4.9)

    def test_number_of_endpoints_is_bounded(self):
        signs = SignsOfLife()
        for number in range(MAX_ENDPOINTS + 1):
            signs.note(f"e{number}@1", 5.0)
        assert not signs.was_heard_after("e0@1", 4.0)
        assert signs.was_heard_after(f"e{MAX_ENDPOINTS}@1", 4.0)
