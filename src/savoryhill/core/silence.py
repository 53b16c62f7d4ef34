"""Whether a run that has fallen silent is left for a repeat on another endpoint.

Pure functions of what a node knows. A silence is no reason to end a run: its endpoint
may read a long prompt again, or be busy. So the run goes on until a repeat has been
granted, its client leaves or its deadline has passed.
"""

from dataclasses import dataclass
from enum import StrEnum

# The first event is late after this constant plus a multiple of the predicted time. A
# sound endpoint may be silent for a second or a little more.
MIN_SILENCE_S = 1.4
FIRST_EVENT_FACTOR = 2.0
# Later events are late after this multiple of the gap that the route allows.
GAP_FACTOR = 4.0
# How long a denied repeat is not asked for again.
ASK_AGAIN_S = 1.0
# Bound of a repeat's wait for an endpoint. Meanwhile it holds a part of the budget,
# which requests need whose run has failed.
MAX_QUESTION_S = 0.5


class Denial(StrEnum):
    """Why a repeat is not granted."""

    ATTEMPTS = "the route allows no other run"
    DEADLINE = "a repeat could not be complete before the deadline"
    STOP = "a repeat could not be complete before the node stops"
    CRASHES = "the request may end endpoints"
    NO_OTHER = "there is no other endpoint"
    PAUSED = "the other endpoints want a pause"
    FAILED = "the other endpoints failed lately"
    FULL = "no other endpoint was free soon"
    UNDECIDED = "the question for one was still open"
    LIMITED = "the other endpoints have named limits, which are used up"
    BUDGET = "the budget of repeats is used up"


@dataclass(frozen=True, kw_only=True, slots=True)
class RepeatSituation:
    """What decides whether a repeat is asked for while a run is silent.

    ``may_send`` tells whether the route allows another run, ``needed_s`` how long a
    repeat would take, ``due_in_s`` and ``stops_in_s`` how much time is left until the
    response is due and until the node stops. ``is_suspect`` tells whether the request
    may end endpoints, ``other_ids`` names those that may run it besides the silent one,
    ``paused_ids`` and ``failed_ids`` those that want a pause or failed lately.
    """

    may_send: bool
    needed_s: float
    due_in_s: float
    stops_in_s: float
    is_suspect: bool
    other_ids: frozenset[str]
    paused_ids: frozenset[str] = frozenset()
    failed_ids: frozenset[str] = frozenset()


def find_denial(situation):
    """Return why a repeat can't be granted, or None if it may be.

    The budget of repeats and the limits of endpoints are not decided here, as asking
    for them takes a part of them.

    Returns
    -------
    Denial or None
        The first reason, in an order that asks for the least.
    """
    if not situation.may_send:
        return Denial.ATTEMPTS
    if situation.stops_in_s < min(situation.needed_s, situation.due_in_s):
        return Denial.STOP
    if situation.due_in_s < situation.needed_s:
        return Denial.DEADLINE
    if situation.is_suspect:
        return Denial.CRASHES
    if not situation.other_ids:
        return Denial.NO_OTHER
    if situation.other_ids <= situation.paused_ids:
        return Denial.PAUSED
    if situation.other_ids <= situation.paused_ids | situation.failed_ids:
        return Denial.FAILED
    return None


def first_event_timeout_s(predicted_first_s):
    """Return the seconds after which a run without a first event is suspicious."""
    return MIN_SILENCE_S + FIRST_EVENT_FACTOR * predicted_first_s


def gap_timeout_s(max_gap_s):
    """Return the seconds after which a run without a further event is suspicious."""
    return max(MIN_SILENCE_S, GAP_FACTOR * max_gap_s)


def answer_timeout_s(*, usual_s, time_left_s):
    """Return the seconds after which an answer that must be complete is suspicious.

    Load pattern: calls with short deadlines. If there is no time for a sound endpoint's
    silence and a repeat, the repeat is asked for earlier.
    """
    patient_s = FIRST_EVENT_FACTOR * usual_s
    return max(patient_s, min(MIN_SILENCE_S, time_left_s - patient_s))


def remaining_answer_s(*, answer_s, written_s):
    """Return the seconds that the rest of a stream takes to be written.

    Parameters
    ----------
    answer_s : float or None
        Seconds that the whole takes; None if it is not known. The rest then counts as
        long as what has been written.
    written_s : float
        Seconds for which events have been written.
    """
    return written_s if answer_s is None else max(0.0, answer_s - written_s)
