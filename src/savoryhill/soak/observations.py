"""Observations of clients and endpoints, and the invariants checked on them."""

import math
import re
from collections import Counter, defaultdict
from dataclasses import dataclass

from savoryhill.serving.reservations import RESERVATION_TTL_S

# Statuses that tell a client that its request was not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
DEADLINE_SLACK_S = 0.6
DISCONNECT_SLACK_S = 0.6
# ``coldPerS`` of the soak's configuration.
MAX_GRANTS_PER_S = 26.0
GRANT_RATE_TOLERANCE = 1.5
GRANT_SLACK = 5
REPEAT_RATIO = 0.2
REPEAT_SLACK = 100
REPEAT_WINDOW_S = 10.0
_COMMENT = re.compile(rb"^:[^\n]*\n\n", re.MULTILINE)
# Bytes without end reach their limit at once; a stalled stream ends when its client
# leaves.
ENDLESS_BOUND_S = 1.0
# What an endpoint may get in any span of this length once it has named a limit: this
# many times the limit, and some more.
LIMIT_SPAN_S = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_SLACK = 5
LIMIT_BOUND_S = 3.0
STALLED_SLACK_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ObservedRequest:
    """One request as its client observed it.

    ``status`` is None if no response began. ``was_undisturbed`` is True if no node,
    link or store was disturbed from 3 s before the request was sent to its end.
    ``disconnected_at`` is when the client deliberately disconnected, or None, and
    ``patience_s`` how long it waits for the next event of a stream.
    """

    id: str
    kind: str
    node: str
    incarnation: int
    sent_at: float
    ended_at: float
    remaining_s: float
    status: int | None
    body: bytes
    is_complete: bool
    was_undisturbed: bool
    disconnected_at: float | None = None
    key: str = ""
    patience_s: float = math.inf


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """One violation of an invariant."""

    invariant: str
    detail: str


def expected_stream(n_events):
    """Return the complete stream that an endpoint stand-in sends."""
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, n_events + 1)
    )


def check_requests(requests, runs_by_id, *, n_events):
    """Check the outcome of every request against what the endpoints ran.

    Parameters
    ----------
    requests : sequence of ObservedRequest
        All requests that clients sent.
    runs_by_id : dict of str to list of float
        Times at which endpoints began to run a request, by request id.
    n_events : int
        Number of events in a complete stream.

    Returns
    -------
    list of Finding
        The violations.
    """
    findings = []
    known_ids = {request.id for request in requests}
    full_stream = expected_stream(n_events)

    def report(invariant, request, reason):
        detail = f"{request.kind} {request.id} at {request.node}: {reason}"
        findings.append(Finding(invariant=invariant, detail=detail))

    for request in requests:
        n_runs = len(runs_by_id.get(request.id, ()))
        if request.kind in ("order", "once") and n_runs > 1:
            report("runs at most once", request, f"ran {n_runs} times")
        if request.status in NOT_RUN_STATUSES and n_runs and request.kind != "stock":
            report("not run is true", request, f"{request.status}, ran {n_runs} times")
        if request.status == 200:
            _check_response(request, full_stream, report)
        took_s = request.ended_at - request.sent_at
        late_s = took_s - request.remaining_s
        if (
            request.was_undisturbed
            and request.disconnected_at is None
            and late_s > DEADLINE_SLACK_S
        ):
            report("final answer in time", request, f"{late_s:.2f} s past its deadline")
    unknown_ids = set(runs_by_id) - known_ids
    findings += [
        Finding(invariant="nothing unasked runs", detail=f"{request_id} was never sent")
        for request_id in sorted(unknown_ids)
    ]
    return findings


def _check_response(request, full_stream, report):
    if request.kind in ("chat", "once", "huge"):
        # A stalled endpoint sends whole comments between its events.
        body = _COMMENT.sub(b"", request.body)
        if request.is_complete and body != full_stream:
            report("whole answers", request, f"complete with {body[-60:]!r}")
        elif not full_stream.startswith(body):
            report("events in order", request, f"got {body[-60:]!r}")
    elif request.is_complete and not request.body.startswith(b"done by "):
        report("whole answers", request, f"got {request.body[:60]!r}")


def check_disconnects(requests, ended_at_by_id):
    """Check that endpoints stop working soon after their client disconnected.

    Only requests at undisturbed times are checked.
    """
    findings = []
    for request in requests:
        if request.disconnected_at is None or not request.was_undisturbed:
            continue
        overrun_s = ended_at_by_id.get(request.id, 0.0) - request.disconnected_at
        if overrun_s > DISCONNECT_SLACK_S:
            detail = f"{request.id} went on for {overrun_s:.2f} s"
            findings.append(
                Finding(invariant="work ends with its client", detail=detail)
            )
    return findings


def check_grant_rate(arrivals_by_endpoint):
    """Check the number of requests that each engine received in any one second."""
    limit = MAX_GRANTS_PER_S * GRANT_RATE_TOLERANCE + GRANT_SLACK
    findings = []
    for endpoint, times in arrivals_by_endpoint.items():
        times = sorted(times)
        start = 0
        for end, at in enumerate(times):
            while times[start] <= at - 1.0:
                start += 1
            if end - start + 1 > limit:
                detail = f"{endpoint} got {end - start + 1} requests in a second"
                findings.append(Finding(invariant="cold limit", detail=detail))
                break
    return findings


def check_repeats(requests, arrivals):
    """Check the number of repeated sends of all nodes in any window.

    Parameters
    ----------
    requests : sequence of ObservedRequest
        All requests that clients sent.
    arrivals : sequence of (str, float)
        Request id and time of each arrival at an endpoint.
    """
    seen_ids = set()
    repeat_times = []
    for request_id, at in sorted(arrivals, key=lambda arrival: arrival[1]):
        if request_id in seen_ids:
            repeat_times.append(at)
        seen_ids.add(request_id)
    send_times = sorted(request.sent_at for request in requests)
    for at in repeat_times:
        n_repeats = sum(at - REPEAT_WINDOW_S < other <= at for other in repeat_times)
        n_sent = sum(at - 2 * REPEAT_WINDOW_S < other <= at for other in send_times)
        if n_repeats > REPEAT_RATIO * n_sent + REPEAT_SLACK:
            detail = f"{n_repeats} repeats beside {n_sent} requests"
            return [Finding(invariant="budget of repeats", detail=detail)]
    return []


def check_revoked_keys(requests, revoked_at_by_key, *, bound_s, is_disturbed):
    """Check that a revoked key is refused and stays refused.

    At undisturbed times a node refuses the key within ``bound_s`` of its revocation,
    and a node that has refused it does not accept it again before a restart.

    Parameters
    ----------
    requests : sequence of ObservedRequest
        All requests that clients sent.
    revoked_at_by_key : dict of str to float
        Time of revocation, by key.
    bound_s : float
        Seconds within which a revocation takes effect at undisturbed times.
    is_disturbed : callable
        Tells whether a span of time was disturbed.

    Returns
    -------
    list of Finding
        The violations.
    """
    findings = []
    first_refusal_at = defaultdict(lambda: float("inf"))
    for request in sorted(requests, key=lambda r: r.sent_at):
        revoked_at = revoked_at_by_key.get(request.key)
        if revoked_at is None:
            continue
        key_and_process = (request.key, request.node, request.incarnation)
        # Before its revocation, a key may be refused because it is not in force yet.
        if request.status == 401 and request.sent_at > revoked_at:
            first_refusal_at[key_and_process] = min(
                first_refusal_at[key_and_process], request.ended_at
            )
        if request.status != 200:
            continue
        if request.sent_at > first_refusal_at[key_and_process]:
            findings.append(
                _revoked_key_finding("configuration never goes back", request)
            )
        is_late = request.sent_at > revoked_at + bound_s
        if is_late and not is_disturbed(revoked_at - 3.0, request.ended_at):
            findings.append(
                _revoked_key_finding("configuration in force in time", request)
            )
    return findings


def _revoked_key_finding(invariant, request):
    return Finding(
        invariant=invariant, detail=f"{request.id} served with {request.key}"
    )


def check_lapsed_reservations(lapsed, *, is_disturbed):
    """Check that no reservation expires under a stream that uses it.

    Parameters
    ----------
    lapsed : iterable of (str, float)
        Attempt id of each stream that an endpoint cut for it, and when.
    is_disturbed : callable
        Tells whether a span, from start to end, overlaps a disturbance. A node or link
        in trouble may fail to renew for as long as a reservation lasts.

    Returns
    -------
    list of Finding
    """
    return [
        Finding(
            invariant="reservations outlast their streams",
            detail=f"{attempt_id} was cut at {at:.2f}",
        )
        for attempt_id, at in lapsed
        if not is_disturbed(at - RESERVATION_TTL_S, at)
    ]


def check_endless_responses(endless, *, patience_s_by_id, is_disturbed):
    """Check that nodes close the connections of responses that have no end.

    Parameters
    ----------
    endless : iterable of (str, str, float, float)
        Fault of the endpoint, attempt id, and start and end of each such response.
    patience_s_by_id : dict of str to float
        How long the client of an attempt waits for an event, in seconds.
    is_disturbed : callable
        Tells whether a span, from start to end, overlaps a disturbance.

    Returns
    -------
    list of Finding
    """
    findings = []
    for fault, attempt_id, started_at, ended_at in endless:
        bound_s = ENDLESS_BOUND_S
        if fault == "stalled":
            bound_s = patience_s_by_id[attempt_id] + STALLED_SLACK_S
        lasted_s = ended_at - started_at
        if lasted_s > bound_s and not is_disturbed(started_at, ended_at):
            findings.append(
                Finding(
                    invariant="responses without an end are cut",
                    detail=f"{fault} of {attempt_id} lasted {lasted_s:.2f} s",
                )
            )
    return findings


def check_excluded_endpoints(arrivals, exclusions, *, bound_s, is_disturbed, invariant):
    """Check that endpoints receive nothing while they are excluded from routing.

    Parameters
    ----------
    arrivals : sequence of (str, float)
        Endpoint id and time of each arrival.
    exclusions : sequence of (str, float, float)
        Endpoint id, and start and end of the span in which it was excluded.
    bound_s : float
        Seconds within which an exclusion takes effect at undisturbed times.
    is_disturbed : callable
        Tells whether a span of time was disturbed.
    invariant : str
        Name of the invariant in the findings.

    Returns
    -------
    list of Finding
        One per endpoint that received requests too late.
    """
    n_late_by_endpoint = Counter()
    for endpoint, start, end in exclusions:
        for name, at in arrivals:
            if name != endpoint or not start + bound_s < at < end:
                continue
            if not is_disturbed(start - 3.0, at):
                n_late_by_endpoint[endpoint] += 1
    return [
        Finding(invariant=invariant, detail=f"{endpoint} got {n} requests too late")
        for endpoint, n in n_late_by_endpoint.items()
    ]


def check_named_limits(limit_spans, *, is_disturbed):
    """Check what endpoints get while they name a limit of requests a second.

    Parameters
    ----------
    limit_spans : sequence of tuple
        Endpoint stand-in, limit, and start and end of the span in which it named it.
    is_disturbed : callable
        Takes the start and the end of a span.

    Returns
    -------
    list of Finding
        The violations.
    """
    findings = []
    for endpoint, limit, start, end in limit_spans:
        arrivals = [
            arrival
            for arrival in endpoint.arrivals
            if start <= arrival.at <= end and arrival.was_run
        ]
        known_from = (arrivals[0].at if arrivals else end) + LIMIT_BOUND_S
        times = [
            arrival.at
            for arrival in arrivals
            if arrival.at >= known_from
            and not is_disturbed(arrival.at - LIMIT_BOUND_S, arrival.at)
        ]
        most = max(
            (sum(at <= t < at + LIMIT_SPAN_S for t in times) for at in times),
            default=0,
        )
        if most > LIMIT_TOLERANCE * LIMIT_SPAN_S * limit + LIMIT_SLACK:
            detail = f"{endpoint.id} named {limit:g} a second and got {most} in 4 s"
            findings.append(Finding(invariant="named limits are kept", detail=detail))
    return findings
