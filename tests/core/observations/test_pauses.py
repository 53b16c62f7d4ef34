"""Tests of the pauses that endpoints want."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryhill.core.observations.gradual_return import FIRST_INTERVAL_S
from savoryhill.core.observations.pauses import WantedPauses
from savoryhill.platform.statements import MAX_PAUSE_S, decode_statement
from savoryhill.serving.http import ResponseHead

WALL_NOW = 1_000_000_000.0


@pytest.fixture
def pauses():
    return WantedPauses()


def may_send(pauses, now, incarnation="e1@1"):
    return pauses.next_at(incarnation) <= now


class TestWantedPauses:
    def test_nothing_is_sent_until_the_end(self, pauses):
        pauses.note_refusal("e1@1", 2.0, 100.0)
        assert [may_send(pauses, at) for at in (100.0, 101.9, 102.0)] == [0, 0, 1]
        assert may_send(pauses, 100.0, "e1@2")

    def test_late_answer_does_not_shorten_it(self, pauses):
        # Guards against requests within a pause, because an answer to an earlier
        # request, or a shorter pause, arrived after it.
        pauses.note_refusal("e1@1", 2.0, 100.0)
        pauses.note_refusal("e1@1", 0.5, 100.1)
        pauses.note_accepted("e1@1", 100.2)
        assert not may_send(pauses, 101.9)

    def test_requests_return_a_few_at_a_time(self, pauses):
        # Guards against an endpoint that is brought into need again by all that has
        # waited for it.
        pauses.note_refusal("e1@1", 2.0, 100.0)
        n_sent = 0
        for step in range(100):
            now = 102.0 + 0.01 * step
            if may_send(pauses, now):
                pauses.note_sent("e1@1", now)
                n_sent += 1
        assert n_sent == math.ceil(1.0 / FIRST_INTERVAL_S)

    def test_more_and_more_return_while_they_are_accepted(self, pauses):
        pauses.note_refusal("e1@1", 2.0, 100.0)
        now, waits_s = 102.0, []
        while len(pauses):
            pauses.note_sent("e1@1", now)
            pauses.note_accepted("e1@1", now)
            waits_s.append(pauses.next_at("e1@1") - now)
            now = max(now, pauses.next_at("e1@1"))
        assert [round(wait_s, 3) for wait_s in waits_s[:-1]] == [0.2, 0.1, 0.05]
        assert may_send(pauses, now)

    def test_refusal_after_the_pause_begins_anew(self, pauses):
        pauses.note_refusal("e1@1", 2.0, 100.0)
        pauses.note_accepted("e1@1", 102.1)
        pauses.note_refusal("e1@1", 2.0, 103.0)
        assert not may_send(pauses, 104.9)
        pauses.note_sent("e1@1", 105.0)
        assert not may_send(pauses, 105.0 + FIRST_INTERVAL_S - 0.01)

    def test_endpoints_that_are_gone_are_forgotten(self, pauses):
        # Guards against memory that grows with each endpoint that was in need once.
        pauses.note_refusal("e1@1", 2.0, 100.0)
        pauses.note_refusal("e2@1", 2.0, 100.0)
        pauses.forget({"e2@1"})
        assert len(pauses) == 1


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["refused", "accepted", "accepted", "accepted", "sent"]),
        st.sampled_from(["e1@1", "e1@2"]),
        st.floats(0.0, 3.0),
        st.floats(0.0, 0.2),
    ),
    max_size=40,
)


class TestModel:
    @settings(max_examples=300, deadline=None)
    @given(steps=STEPS)
    def test_no_request_may_be_sent_within_any_pause_of_that_start(self, steps):
        # Guards against answers in any order that end a pause, and against a pause of
        # an earlier start.
        pauses, now = WantedPauses(), 100.0
        ends_at = dict.fromkeys(["e1@1", "e1@2"], 0.0)
        for what, incarnation, pause_s, passes_s in steps:
            now += passes_s
            if what == "refused":
                pauses.note_refusal(incarnation, pause_s, now)
                ends_at[incarnation] = max(ends_at[incarnation], now + pause_s)
            elif what == "accepted":
                pauses.note_accepted(incarnation, now)
            elif may_send(pauses, now, incarnation):
                pauses.note_sent(incarnation, now)
            for known, end in ends_at.items():
                assert not (may_send(pauses, now, known) and now < end)
                assert pauses.next_at(known) <= max(now, end) + FIRST_INTERVAL_S


class TestRetryAfter:
    @pytest.mark.parametrize(
        ("values", "pause_s"),
        [
            ([], 0.0),
            ([b"2"], 2.0),
            ([b" 0.25 "], 0.25),
            ([b"0"], 0.0),
            ([b"-3"], 0.0),
            ([b"nan"], 0.0),
            ([b"inf"], MAX_PAUSE_S),
            ([b"1e12"], MAX_PAUSE_S),
            ([b""], 0.0),
            ([b"soon"], 0.0),
            ([b"1", b"3", b"2"], 3.0),
            ([b"soon", b"2"], 2.0),
            ([b"Sun, 09 Sep 2001 01:46:45 GMT"], 5.0),
            ([b"Sun, 09 Sep 2001 01:46:35 GMT"], 0.0),
            ([b"Sun, 99 Sep 2001 01:46:35 GMT"], 0.0),
        ],
    )
    def test_longest_pause_that_can_be_read_counts(self, values, pause_s):
        # Guards against a malformed pause that counts as for ever, or ends the task
        # that reads it.
        headers = [(b"retry-after", value) for value in values]
        head = ResponseHead(status=503, headers=headers)
        statement = decode_statement(head, attempt_id=b"a", wall_now=WALL_NOW)
        assert statement.pause_s == pause_s

    @pytest.mark.parametrize(
        ("status", "headers", "pause_s"),
        [
            (503, [], 2.0),
            (429, [(b"x-not-executed", b"1")], 2.0),
            (500, [], 0.0),
            (200, [], 0.0),
            (503, [(b"x-attempt-id", b"other")], 0.0),
        ],
        ids=["503", "429", "own failure", "success", "answer to another"],
    )
    def test_only_refusals_of_this_request_ask_for_one(self, status, headers, pause_s):
        headers = [*headers, (b"retry-after", b"2")]
        head = ResponseHead(status=status, headers=headers)
        statement = decode_statement(head, attempt_id=b"a", wall_now=WALL_NOW)
        assert statement.pause_s == pause_s
