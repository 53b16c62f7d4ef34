"""Checks that what ends endpoints is soon kept away from them."""

from savoryhill.platform import names
from savoryhill.soak.observations import Finding

# Endpoints that end before all nodes must know why, how soon they must, and how many
# requests may reach endpoints later.
CERTAIN_CRASHES = 5
CRASH_BOUND_S = 3.0
MAX_LATER_ARRIVALS = 3


def check_crashing_parts(endpoints, parts, *, is_disturbed):
    """Check that parts under which engines end reach no engine.

    Parameters
    ----------
    endpoints : sequence of EndpointStandIn
        Endpoints with the requests that reached them.
    parts : sequence of str
        Parts of prompts under which engines ended, at some time.
    is_disturbed : callable
        Takes the start and the end of a span; at disturbed times nodes may know less.

    Returns
    -------
    list of Finding
        The violations.
    """
    return _check(
        endpoints,
        parts,
        has_subject=lambda arrival, part: part in _shared_parts(arrival),
        invariant="crashing parts reach no engine",
        is_disturbed=is_disturbed,
    )


def check_crashing_requests(endpoints, bodies, *, is_disturbed):
    """Check that requests under which endpoints end reach no endpoint.

    ``bodies`` holds their bodies; the others are the parameters of
    `check_crashing_parts`.
    """
    return _check(
        endpoints,
        bodies,
        has_subject=lambda arrival, body: arrival.body == body,
        invariant="crashing requests reach no endpoint",
        is_disturbed=is_disturbed,
    )


def _check(endpoints, subjects, *, has_subject, invariant, is_disturbed):
    findings = []
    for subject in subjects:
        arrivals = [
            arrival
            for endpoint in endpoints
            for arrival in endpoint.arrivals
            if has_subject(arrival, subject)
        ]
        ids = {arrival.attempt_id for arrival in arrivals}
        crashed_at = sorted(
            at
            for endpoint in endpoints
            for attempt_id, at in endpoint.crashes
            if attempt_id in ids
        )
        if len(crashed_at) < CERTAIN_CRASHES:
            continue
        known_at = crashed_at[CERTAIN_CRASHES - 1] + CRASH_BOUND_S
        n_later = sum(
            arrival.at > known_at
            and not is_disturbed(arrival.at - CRASH_BOUND_S, arrival.at)
            for arrival in arrivals
        )
        if n_later > MAX_LATER_ARRIVALS:
            detail = f"{n_later} with {subject!r}, {len(crashed_at)} endpoints ended"
            findings.append(Finding(invariant=invariant, detail=detail))
    return findings


def _shared_parts(arrival):
    parts = dict(arrival.headers).get(names.PROMPT_PARTS, b"").decode("latin-1")
    return [part.partition(":")[0] for part in parts.split(",")[:-1]]
