"""What endpoints say of themselves in the heads of their answers."""

import math
from dataclasses import dataclass
from email.utils import parsedate_to_datetime

from savoryhill.platform import names
from savoryhill.platform.headers import (
    matches_attempt_id,
    named_limit,
    reported_load,
    was_not_run,
)

# Status of an endpoint that is not the one to which the request was sent.
OTHER_INSTANCE_STATUS = 421
UNAVAILABLE_STATUS = 503
RETRY_AFTER = b"retry-after"
LEAVING = b"1"
# A longer pause is taken for this one; an endpoint that starts again has none.
MAX_PAUSE_S = 3_600.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointStatement:
    """What an endpoint says of itself in one answer.

    ``is_leaving`` tells that it accepts no new requests any more and ends soon.
    ``pause_s`` is for how long it wants nothing from this node, in seconds; 0 if it
    does not say. ``limit_per_s`` is the requests a second that it takes from all nodes,
    infinite if it names none, and None if it names no number. ``is_refusal`` tells that
    it turned the request away, ``is_accepted`` that it took it. ``load`` holds its
    running and waiting requests and its slots, if it tells them.
    """

    is_leaving: bool = False
    is_refusal: bool = False
    is_accepted: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None
    load: tuple[int, int, int] | None = None


def decode_statement(head, *, attempt_id, wall_now):
    """Decode what an endpoint says in an answer, or return None.

    Parameters
    ----------
    head : ResponseHead
        Head of the answer.
    attempt_id : bytes or None
        Id of the request that was sent.
    wall_now : float
        Seconds since 1970; a pause may be given as a date.

    Returns
    -------
    EndpointStatement or None
        None if the answer is that of another endpoint. One to another request, which
        an endpoint may have written again, says at most that it leaves.
    """
    if head.status == OTHER_INSTANCE_STATUS:
        return None
    is_leaving = any(
        name == names.ENDPOINT_LEAVING and value.strip() == LEAVING
        for name, value in head.headers
    )
    if not matches_attempt_id(head, attempt_id):
        return EndpointStatement(is_leaving=is_leaving)
    is_refusal = head.status == UNAVAILABLE_STATUS or was_not_run(head)
    return EndpointStatement(
        is_leaving=is_leaving,
        is_refusal=is_refusal,
        is_accepted=not is_refusal,
        pause_s=_decode_pause_s(head, wall_now) if is_refusal else 0.0,
        limit_per_s=named_limit(head),
        load=reported_load(head),
    )


def _decode_pause_s(head, wall_now):
    """Return the longest pause that a refusal names, or 0."""
    values = [value for name, value in head.headers if name == RETRY_AFTER]
    pauses_s = [_parse_pause_s(value, wall_now) for value in values]
    return min(MAX_PAUSE_S, max(pauses_s, default=0.0))


def _parse_pause_s(value, wall_now):
    """Return seconds, which may have a fraction, or the time until a date; else 0."""
    text = value.decode("latin-1").strip()
    try:
        seconds = float(text)
    except ValueError:
        seconds = _seconds_until(text, wall_now)
    return seconds if seconds > 0.0 and not math.isnan(seconds) else 0.0


def _seconds_until(text, wall_now):
    try:
        return parsedate_to_datetime(text).timestamp() - wall_now
    except (ValueError, OverflowError):
        return 0.0
