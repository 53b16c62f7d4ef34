"""What callers and back ends saw, and the promises that it must keep."""

from collections import Counter, defaultdict
from dataclasses import dataclass

PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
ANSWER_SLACK_S = 0.6
GONE_SLACK_S = 0.6
COLD_PER_S = 26.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5
REPEAT_RATIO = 0.2
REPEAT_SLACK = 100
REPEAT_WINDOW_S = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Asked:
    """One request as its client saw it.

    ``status`` is None if no answer began. ``was_calm`` tells whether neither its node
    nor its endpoints or the store were disturbed from 3 s before it to its end.
    ``left_at`` is when the client left by its own will, or None.
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
    was_calm: bool
    left_at: float | None = None
    key: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """One broken promise."""

    promise: str
    detail: str


def pieces(n_events):
    """Return the whole stream that an endpoint stand-in sends."""
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, n_events + 1)
    )


def check_requests(asked, runs_by_id, *, n_events):
    """Check every request against what endpoints ran.

    Parameters
    ----------
    asked : sequence of Asked
        All requests.
    runs_by_id : dict of str to list of float
        Times at which endpoints began to run each request.
    n_events : int
        Events of a whole stream.

    Returns
    -------
    list of Finding
        What was broken.
    """
    findings = []
    known = {request.id for request in asked}
    whole = pieces(n_events)

    def broken(promise, request, what):
        detail = f"{request.kind} {request.id} at {request.node}: {what}"
        findings.append(Finding(promise=promise, detail=detail))

    for request in asked:
        n_runs = len(runs_by_id.get(request.id, ()))
        if request.kind in ("order", "once") and n_runs > 1:
            broken("runs at most once", request, f"ran {n_runs} times")
        if request.status in PROMISES_NOT_RUN and n_runs and request.kind != "stock":
            broken("not run is true", request, f"{request.status}, ran {n_runs} times")
        if request.status == 200:
            _check_answer(request, whole, broken)
        took_s = request.ended_at - request.sent_at
        late_s = took_s - request.remaining_s
        if request.was_calm and request.left_at is None and late_s > ANSWER_SLACK_S:
            broken("final answer in time", request, f"{late_s:.2f} s past its deadline")
    unknown = set(runs_by_id) - known
    findings += [
        Finding(promise="nothing unasked runs", detail=f"{name} was never sent")
        for name in sorted(unknown)
    ]
    return findings


def _check_answer(request, whole, broken):
    if request.kind in ("chat", "once", "huge"):
        if request.is_complete and request.body != whole:
            broken("whole answers", request, f"complete with {request.body[-60:]!r}")
        elif not whole.startswith(request.body):
            broken("events in order", request, f"got {request.body[-60:]!r}")
    elif request.is_complete and not request.body.startswith(b"done by "):
        broken("whole answers", request, f"got {request.body[:60]!r}")


def check_departures(asked, ended_at_by_id):
    """Check that endpoints stop soon after a client has left in calm times."""
    findings = []
    for request in asked:
        if request.left_at is None or not request.was_calm:
            continue
        longer_s = ended_at_by_id.get(request.id, 0.0) - request.left_at
        if longer_s > GONE_SLACK_S:
            detail = f"{request.id} went on for {longer_s:.2f} s"
            findings.append(Finding(promise="work ends with its client", detail=detail))
    return findings


def check_cold_limit(arrivals_by_endpoint):
    """Check the requests that each engine got in any second."""
    limit = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
    findings = []
    for endpoint, times in arrivals_by_endpoint.items():
        times = sorted(times)
        start = 0
        for end, at in enumerate(times):
            while times[start] <= at - 1.0:
                start += 1
            if end - start + 1 > limit:
                detail = f"{endpoint} got {end - start + 1} requests in a second"
                findings.append(Finding(promise="cold limit", detail=detail))
                break
    return findings


def check_repeats(asked, arrivals):
    """Check the repeated sends of all nodes in any window.

    ``arrivals`` holds pairs of a request's id and the time of its arrival.
    """
    first_seen = set()
    repeats = []
    for name, at in sorted(arrivals, key=lambda item: item[1]):
        if name in first_seen:
            repeats.append(at)
        first_seen.add(name)
    sent = sorted(request.sent_at for request in asked)
    for at in repeats:
        n_repeats = sum(at - REPEAT_WINDOW_S < other <= at for other in repeats)
        n_sent = sum(at - 2 * REPEAT_WINDOW_S < other <= at for other in sent)
        if n_repeats > REPEAT_RATIO * n_sent + REPEAT_SLACK:
            detail = f"{n_repeats} repeats beside {n_sent} requests"
            return [Finding(promise="budget of repeats", detail=detail)]
    return []


def check_keys(asked, revoked_at_by_key, *, bound_s, disturbed):
    """Check that a removed key stays refused.

    A node refuses it within ``bound_s`` in calm times, and one that has refused it
    does not accept it again. ``disturbed`` tells whether a span was disturbed.
    """
    findings = []
    refused = defaultdict(lambda: float("inf"))
    for request in sorted(asked, key=lambda r: r.sent_at):
        revoked_at = revoked_at_by_key.get(request.key)
        if revoked_at is None:
            continue
        where = (request.key, request.node, request.incarnation)
        # Before its removal a key may be refused because it is not in force yet.
        if request.status == 401 and request.sent_at > revoked_at:
            refused[where] = min(refused[where], request.ended_at)
        if request.status != 200:
            continue
        if request.sent_at > refused[where]:
            findings.append(_key_finding("configuration never goes back", request))
        late = request.sent_at > revoked_at + bound_s
        if late and not disturbed(revoked_at - 3.0, request.ended_at):
            findings.append(_key_finding("configuration in force in time", request))
    return findings


def _key_finding(promise, request):
    return Finding(promise=promise, detail=f"{request.id} served with {request.key}")


def check_closed_targets(arrivals, closed_since, *, bound_s, disturbed, promise):
    """Check that nothing is sent to endpoints after they were closed.

    Parameters
    ----------
    arrivals : sequence of (str, float)
        Endpoint and time of each arrival.
    closed_since : sequence of (str, float, float)
        Endpoint and the span in which it was closed.
    bound_s : float
        Seconds within which it must hold in calm times.
    disturbed : callable
        Tells whether a span was disturbed.
    promise : str
        Name of the promise.
    """
    late = Counter()
    for endpoint, start, end in closed_since:
        for name, at in arrivals:
            if name != endpoint or not start + bound_s < at < end:
                continue
            if not disturbed(start - 3.0, at):
                late[endpoint] += 1
    return [
        Finding(promise=promise, detail=f"{endpoint} got {n} requests too late")
        for endpoint, n in late.items()
    ]
