"""Tests of the decision what may have ended endpoints that ended together."""

import pytest

from savoryhill.core.observations.crashes import (
    MIN_CRASHES,
    find_crashing_parts,
    observe_crash,
    observe_start,
    recall_starts,
)
from savoryhill.core.observations.doubts import (
    DOUBT_DELAY_S,
    FIRST_RETRY_DELAY_S,
    MIN_CRASHES_OF_PART,
    MIN_CRASHES_OF_REQUEST,
    find_doubts,
)
from savoryhill.core.observations.table import ObservationTable

AT = 100.0
LATER = AT + DOUBT_DELAY_S + 0.1


@pytest.fixture
def table():
    return ObservationTable()


def end_together(
    table, parts, *, n=MIN_CRASHES_OF_PART, now=AT, first=0, release="", workspace="ws"
):
    """Merge the crashes of engines that end within milliseconds."""
    for number in range(first, first + n):
        ended_at = now + 0.001 * (number - first)
        crashes = observe_crash(
            table,
            parts=parts,
            source=f"e{number}",
            workspace=workspace,
            sent_at=now - 0.1,
            now=ended_at,
            release=release,
        )
        table.merge(crashes, ended_at)


def bear(table, parts, *, now, release=""):
    table.merge(
        observe_start(
            table, parts=parts, source="e99", sent_at=AT, now=now, release=release
        ),
        now,
    )


def doubts(table, now=LATER):
    return find_doubts(table, find_crashing_parts(table, now), now)


class TestEvidence:
    def test_engines_that_end_together_bring_doubt(self, table):
        # Guards against a part that ends as many engines as come with it at once, time
        # and again.
        end_together(table, ["dead"])
        assert set(doubts(table)) == {"dead"}
        assert not find_crashing_parts(table, LATER)

    def test_few_engines_bring_none(self, table):
        end_together(table, ["aa"], n=MIN_CRASHES_OF_PART - 1)
        end_together(table, ["request-a"], n=MIN_CRASHES_OF_REQUEST - 1)
        assert not doubts(table)

    def test_request_is_in_doubt_after_fewer(self, table):
        end_together(table, ["request-a"], n=MIN_CRASHES_OF_REQUEST)
        assert set(doubts(table)) == {"request-a"}

    def test_repeats_of_what_ended_are_not_held_up(self, table):
        # Guards against sound requests that wait although their zone alone failed.
        end_together(table, ["aa"])
        assert not doubts(table, AT + DOUBT_DELAY_S / 2)

    def test_part_that_is_borne_is_not_in_doubt(self, table):
        end_together(table, ["aa"])
        bear(table, ["aa"], now=AT + 0.5)
        assert not doubts(table)

    def test_tries_in_succession_end_the_doubt(self, table):
        end_together(table, ["dead"])
        for number in range(MIN_CRASHES - 1):
            end_together(table, ["dead"], n=1, first=20 + number, now=LATER + number)
        now = LATER + MIN_CRASHES
        assert set(find_crashing_parts(table, now)) == {"dead"}
        assert not doubts(table, now)

    def test_what_is_known_to_end_engines_explains_their_end(self, table):
        for number in range(MIN_CRASHES_OF_PART):
            end_together(table, ["dead", "aa"], n=1, first=number, now=AT - 9 + number)
        end_together(table, ["dead"], n=1, first=9, now=AT)
        assert set(find_crashing_parts(table, LATER)) == {"dead"}
        assert not doubts(table)

    def test_the_most_frequent_part_is_in_doubt_alone(self, table):
        # Guards against holding up what only stood beside the part at fault.
        end_together(table, ["dead", "aa"])
        end_together(table, ["dead"], first=MIN_CRASHES_OF_PART, n=1)
        assert set(doubts(table)) == {"dead"}

    def test_parts_that_were_in_all_crashes_are_in_doubt_together(self, table):
        end_together(table, ["dead", "aa"])
        assert doubts(table)["dead"].parts == {"dead", "aa"}
        bear(table, ["aa"], now=AT + 0.5)
        assert doubts(table)["dead"].parts == {"dead"}


class TestScope:
    def test_one_workspace_cannot_hold_up_others(self, table):
        end_together(table, ["aa"], workspace="ws-a")
        assert not doubts(table)["aa"].binds("ws-b")
        end_together(table, ["aa"], first=9, n=1, workspace="ws-b")
        assert doubts(table)["aa"].binds("ws-c")

    def test_release_that_has_borne_it_is_named(self, table):
        # Guards against sound requests that are held up where they are borne.
        end_together(table, ["aa"], release="v2")
        assert doubts(table)["aa"].sound_releases == frozenset()
        bear(table, ["aa"], now=AT + 0.5, release="v1")
        assert doubts(table)["aa"].sound_releases == {"v1"}


class TestTries:
    def test_first_ones_follow_at_once(self, table):
        end_together(table, ["dead"])
        end_together(table, ["dead"], first=9, now=LATER)
        doubt = doubts(table, LATER)["dead"]
        assert doubt.next_try_at() <= LATER + 0.1

    def test_part_that_was_borne_lately_is_tried_less_and_less_often(self, table):
        # Guards against a part that was sound before, and then ends engine after engine
        # for as long as that counts in its favour.
        news = observe_crash(
            table, parts=["aa"], source="e50", workspace="ws", sent_at=AT, now=AT
        )
        table.merge(news, AT)
        recalled = recall_starts(
            table, crashes=news, started_at_by_part={("aa", ""): AT - 1.0}, now=AT
        )
        table.merge(recalled, AT)
        for number in range(MIN_CRASHES):
            end_together(table, ["aa"], first=8 * number, now=AT + number)
        for factor in (1, 2):
            doubt = doubts(table)["aa"]
            delay_s = doubt.next_try_at() - doubt.last_crash_at
            assert delay_s == pytest.approx(factor * FIRST_RETRY_DELAY_S)
            end_together(table, ["aa"], first=40, n=1, now=LATER + MIN_CRASHES)
