"""Result of a soak: what its clients and endpoints saw, and the findings."""

from collections import defaultdict
from dataclasses import dataclass

import gevent

from savoryhill.soak import (
    crash_checks,
    cut_checks,
    loss_checks,
    statement_checks,
)
from savoryhill.soak import observations as checks
from savoryhill.soak.deployment import EVENTS_PER_STREAM

# Time after the end of a disturbance that still counts as disturbed.
SETTLE_S = 3.0
REVOCATION_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
EVACUATION_BOUND_S = 5.0


@dataclass(kw_only=True)
class SoakResult:
    """Findings and request counts of one seed.

    ``n_answered`` counts responses with status 200; the counts at the end cover the
    requests that were sent in the last ``SETTLE_S`` seconds before nodes were stopped
    in turn.
    """

    seed: int
    n_requests: int
    n_answered: int
    n_answered_at_end: int
    n_sent_at_end: int
    findings: list
    folder: str


def build_result(soak, ends_at):
    """Check what clients and endpoints of a soak saw; return the result.

    Parameters
    ----------
    soak : Soak
        The soak, whose clients have ended.
    ends_at : float
        End of the quiet time, in seconds of the soak's clock.

    Returns
    -------
    SoakResult
    """
    gevent.sleep(checks.DISCONNECT_SLACK_S)
    endpoints = soak.deployment.endpoints
    arrivals, runs_by_id, ended_at_by_id = [], defaultdict(list), {}
    broken_off_at_by_id = {}
    arrival_times_by_engine = defaultdict(list)
    for endpoint, (service, _) in zip(
        endpoints, soak.deployment.placements, strict=True
    ):
        for arrival in endpoint.arrivals:
            arrivals.append((endpoint.id, arrival.attempt_id, arrival.at))
            if arrival.was_run:
                runs_by_id[arrival.attempt_id].append(arrival.at)
            if service == "pool":
                arrival_times_by_engine[endpoint.id].append(arrival.at)
        for attempt_id, at in endpoint.ended_at_by_attempt.items():
            ended_at_by_id[attempt_id] = max(at, ended_at_by_id.get(attempt_id, 0.0))
        for attempt_id, at in endpoint.broken_off_at_by_attempt.items():
            broken_off_at_by_id[attempt_id] = max(
                at, broken_off_at_by_id.get(attempt_id, 0.0)
            )
    endpoint_arrivals = [(endpoint_id, at) for endpoint_id, _, at in arrivals]

    def is_disturbed(start, end):
        return not soak.is_undisturbed(start, end)

    findings = [
        *checks.check_requests(soak.requests, runs_by_id, n_events=EVENTS_PER_STREAM),
        *checks.check_disconnects(soak.requests, ended_at_by_id),
        *checks.check_grant_rate(arrival_times_by_engine),
        *checks.check_repeats(
            soak.requests, [(attempt_id, at) for _, attempt_id, at in arrivals]
        ),
        *checks.check_revoked_keys(
            soak.requests,
            soak.revoked_at_by_key,
            bound_s=REVOCATION_BOUND_S,
            is_disturbed=is_disturbed,
        ),
        *checks.check_excluded_endpoints(
            endpoint_arrivals,
            soak.drain_spans,
            bound_s=DRAIN_BOUND_S,
            is_disturbed=is_disturbed,
            invariant="leaving endpoints get nothing",
        ),
        *checks.check_excluded_endpoints(
            endpoint_arrivals,
            soak.evacuation_spans,
            bound_s=EVACUATION_BOUND_S,
            is_disturbed=is_disturbed,
            invariant="evacuated zones get nothing",
        ),
        *checks.check_lapsed_reservations(
            [item for endpoint in endpoints for item in endpoint.lapsed],
            is_disturbed=is_disturbed,
        ),
        *checks.check_endless_responses(
            [item for endpoint in endpoints for item in endpoint.endless],
            patience_s_by_id={r.id: r.patience_s for r in soak.requests},
            is_disturbed=is_disturbed,
        ),
        *crash_checks.check_crashing_parts(
            endpoints, soak.crashing_parts, is_disturbed=is_disturbed
        ),
        *crash_checks.check_crashing_requests(
            endpoints, soak.crashing_bodies, is_disturbed=is_disturbed
        ),
        *checks.check_named_limits(soak.limit_spans, is_disturbed=is_disturbed),
        *statement_checks.check_spoken_leaves(
            soak.leaving_spans, is_disturbed=is_disturbed
        ),
        *statement_checks.check_wanted_pauses(
            soak.pause_spans,
            {r.id: (r.node, r.incarnation) for r in soak.requests},
            is_disturbed=is_disturbed,
        ),
        *cut_checks.check_cut_nodes(soak.requests, soak.cut_spans),
        *loss_checks.check_lost_requests(
            soak.requests,
            soak.stops,
            runs_by_id=runs_by_id,
            broken_off_at_by_id=broken_off_at_by_id,
            grace_s=soak.deployment.grace_s,
            has_unplanned=soak.has_unplanned,
        ),
        *_check_released_reservations(soak),
        *_check_recovery_after_faults(soak, ends_at),
    ]
    final_requests = [
        r for r in soak.requests if ends_at - SETTLE_S < r.sent_at <= ends_at
    ]
    return SoakResult(
        seed=soak.seed,
        n_requests=len(soak.requests),
        n_answered=sum(r.status == 200 for r in soak.requests),
        n_answered_at_end=sum(r.status == 200 for r in final_requests),
        n_sent_at_end=len(final_requests),
        findings=findings,
        folder=str(soak.deployment.folder),
    )


def _check_released_reservations(soak):
    gevent.sleep(4.0)
    held_reservations = [
        (endpoint.id, reservation_id)
        for endpoint in soak.deployment.endpoints
        for reservation_id in endpoint.held_reservations()
    ]
    return [
        checks.Finding(invariant="no memory is left set aside", detail=str(reservation))
        for reservation in held_reservations
    ]


def _check_recovery_after_faults(soak, ends_at):
    final_requests = [
        request
        for request in soak.requests
        if ends_at - SETTLE_S < request.sent_at <= ends_at
        and request.disconnected_at is None
        and request.key in soak.deployment.keys
    ]
    n_served = sum(request.status == 200 for request in final_requests)
    if n_served * 2 >= len(final_requests):
        return []
    detail = f"{n_served} of {len(final_requests)} requests served in the last seconds"
    return [checks.Finding(invariant="service returns after faults", detail=detail)]
