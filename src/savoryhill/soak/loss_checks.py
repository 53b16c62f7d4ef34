"""Checks that a node which stops loses no request that it has passed on."""

from savoryhill.soak.observations import Finding

# Time before a request in which nothing else may have been disturbed, and how long
# after the end of the grace period a stop still counts.
CONTACT_S = 3.0
AFTER_GRACE_S = 1.0
# A request that was sent no later than this after SIGTERM may still run, and be cut,
# in the last sixth of the grace period.
LATE_SEND_S = 3.0
LAST_SHARE = 1 / 6
# Statuses of a node that has no answer for a request which an endpoint has run.
NO_ANSWER_STATUSES = frozenset((502, 504))


def check_lost_requests(
    requests, stops, *, runs_by_id, broken_off_at_by_id, grace_s, has_unplanned
):
    """Check that requests which were passed on around SIGTERM are answered.

    Not counted are requests whose last run the endpoint broke off, whose deadline was
    reached, whose client left, or that were sent at most ``LATE_SEND_S`` after SIGTERM
    and ran into the last sixth of the grace period.

    Parameters
    ----------
    requests : sequence of ObservedRequest
        All requests that clients sent.
    stops : sequence of tuple
        Node, incarnation and time of each SIGTERM.
    runs_by_id : dict of str to list of float
        Times at which endpoints began to run a request, by request id.
    broken_off_at_by_id : dict of str to float
        When an endpoint broke off a request the last time, by request id.
    grace_s : float
        Seconds from SIGTERM after which a node is ended.
    has_unplanned : callable
        Takes a node and the start and the end of a span; tells whether the node, a
        link of it or the store was disturbed by something other than SIGTERM.

    Returns
    -------
    list of Finding
        One per request that was lost.
    """
    findings = []
    for request in requests:
        stopped_at = _find_stop(request, stops, grace_s)
        runs = runs_by_id.get(request.id)
        if stopped_at is None or not runs or not _has_no_answer(request):
            continue
        if request.disconnected_at is not None:
            continue
        if request.ended_at >= request.sent_at + request.remaining_s:
            continue
        if broken_off_at_by_id.get(request.id, 0.0) >= max(runs):
            continue
        ended_after_s = request.ended_at - stopped_at
        sent_after_s = request.sent_at - stopped_at
        if sent_after_s <= LATE_SEND_S and ended_after_s >= (1 - LAST_SHARE) * grace_s:
            continue
        if has_unplanned(request.node, request.sent_at - CONTACT_S, request.ended_at):
            continue
        findings.append(
            Finding(
                invariant="stopping nodes lose no requests",
                detail=f"{request.kind} {request.id} at {request.node}, sent "
                f"{sent_after_s:+.2f} s and without an answer {ended_after_s:+.2f} s "
                f"after SIGTERM, status {request.status}, {len(runs)} runs",
            )
        )
    return findings


def _find_stop(request, stops, grace_s):
    """Return the time of the SIGTERM beside which a request ended, or None."""
    for node, incarnation, at in stops:
        is_same = (node, incarnation) == (request.node, request.incarnation)
        if is_same and at <= request.ended_at <= at + grace_s + AFTER_GRACE_S:
            return at
    return None


def _has_no_answer(request):
    return not request.is_complete or request.status in NO_ANSWER_STATUSES
