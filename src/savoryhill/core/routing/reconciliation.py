"""Reconcile the streams listed by an engine with the permits counted on it."""

from savoryhill.core.effects import CancelStream, record
from savoryhill.core.routing import permits

# Two report intervals and the delay of a load report: until then a stream without a
# permit may belong to an entry node whose permit report has not arrived yet.
ORPHAN_GRACE_S = 3.0
# After a takeover, the permits of the previous coordinator become known by reports
# within this time.
TAKEOVER_GRACE_S = 5.0


def reconcile(group, endpoint, event):
    """Compare a load report with the permits counted on its endpoint.

    A closing permit is freed once a report taken after its end does not list its
    stream. A stream without a permit occupies a slot and memory while it is listed,
    and is cancelled after a grace time.

    Parameters
    ----------
    group : GroupState
        The endpoint's group.
    endpoint : EndpointState
        The endpoint.
    event : LoadReported
        The load report of the endpoint.

    Returns
    -------
    list of Effect
        Cancellations and log records.
    """
    now = event.at
    listed = set(event.streams)
    effects = []
    permitted = set()
    permitted_tokens = 0
    for key, permit in tuple(endpoint.permits_by_key.items()):
        request_id = permit.request_id
        if request_id in listed:
            if permit.phase == "granted":
                permit.phase = "held"
            elif permit.phase == "closing":
                grace_over = now - permit.closing_at >= ORPHAN_GRACE_S
                if grace_over and not _has_other_attempt(endpoint, request_id):
                    effects += _cancel(endpoint, request_id, permit.entry)
            permitted.add(request_id)
            permitted_tokens += permit.prompt_tokens + permit.max_tokens
        elif (
            permit.phase == "closing"
            and now - permit.closing_at >= permits.MAX_LOAD_REPORT_AGE_S
        ):
            permits.free_permit(group, endpoint, key)
    ended_at_by_request = {
        request_id: at for (request_id, _), at in group.ended_at_by_key.items()
    }
    with_permit = {request_id for request_id, _ in group.endpoints_by_permit}
    first_listed_at_by_orphan = {}
    for stream in listed - permitted:
        ended_at = ended_at_by_request.get(stream, float("-inf"))
        if stream in with_permit or now - ended_at < ORPHAN_GRACE_S:
            # The request has a permit that is counted on other endpoints, or its
            # permit ended after the endpoint took the report.
            continue
        first_listed_at = endpoint.first_listed_at_by_orphan.get(stream, now)
        first_listed_at_by_orphan[stream] = first_listed_at
        waited_s = now - max(first_listed_at, group.took_over_at + TAKEOVER_GRACE_S)
        if waited_s >= ORPHAN_GRACE_S:
            effects += _cancel(endpoint, stream, "")
    endpoint.first_listed_at_by_orphan = first_listed_at_by_orphan
    endpoint.orphan_tokens = (
        max(0, event.memory_used_tokens - permitted_tokens)
        if first_listed_at_by_orphan
        else 0
    )
    return effects


def _has_other_attempt(endpoint, request_id):
    """Return whether another attempt of the request runs on the endpoint."""
    return any(
        permit.request_id == request_id and permit.phase != "closing"
        for permit in endpoint.permits_by_key.values()
    )


def _cancel(endpoint, request_id, entry):
    return (
        CancelStream(endpoint=endpoint.id, request_id=request_id),
        record(
            "routing.orphan_cancelled",
            endpoint=endpoint.id,
            request=request_id,
            entry=entry,
        ),
    )
