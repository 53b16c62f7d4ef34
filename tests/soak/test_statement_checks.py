"""Tests of the soak's checks of what endpoints say of themselves."""

from types import SimpleNamespace

import pytest

from savoryhill.soak.statement_checks import check_spoken_leaves, check_wanted_pauses

SPAN = (10.0, 20.0)


def endpoint(*arrivals, said_at=(), crashes=()):
    return SimpleNamespace(
        id="e",
        crashes=[("r", at) for at in crashes],
        said_leaving_at=list(said_at),
        arrivals=[SimpleNamespace(at=at, attempt_id=f"r{at:g}") for at in arrivals],
    )


def is_undisturbed(_start, _end):
    return False


class TestSpokenLeaves:
    @pytest.mark.parametrize(
        ("standin", "is_found"),
        [
            (endpoint(11.0, 13.5, said_at=[11.0]), True),
            (endpoint(11.0, 12.5, said_at=[11.0]), False),
            (endpoint(11.0, 13.1, said_at=[13.1]), False),
            (endpoint(11.0, 15.0), False),
            (endpoint(11.0, 15.0, said_at=[11.0], crashes=[14.0]), False),
            (endpoint(11.0, 20.5, said_at=[11.0]), False),
        ],
        ids=["late", "in time", "left unanswered", "never said", "ended", "after"],
    )
    def test_time_counts_from_the_first_answer(self, standin, is_found):
        # Guards against a check that finds nothing, and against one that counts from a
        # request which the endpoint has left without an answer.
        found = check_spoken_leaves([(standin, *SPAN)], is_disturbed=is_undisturbed)
        assert len(found) == is_found


class TestWantedPauses:
    @pytest.mark.parametrize(
        ("times", "is_found"),
        [
            ((11.0, 11.6, 11.8, 12.2), True),
            ((11.0, 11.6, 11.8), False),
            ((11.0, 11.2, 11.3, 11.4), False),
            ((11.0, 13.1, 13.2, 13.3), False),
        ],
        ids=["three within", "two within", "in time to act", "after the pause"],
    )
    def test_requests_of_one_node_within_a_pause_are_counted(self, times, is_found):
        node_by_id = {f"r{at:g}": "node-1" for at in times}
        found = check_wanted_pauses(
            [(endpoint(*times), 2.0, *SPAN)], node_by_id, is_disturbed=is_undisturbed
        )
        assert len(found) == is_found
