"""Reconcile the streams that an engine lists with the permits on it."""

from savoryhill.core.effects import CancelStream, record
from savoryhill.core.routing import permits

# A stream without a permit may belong to a holder whose report is on its way:
# two report intervals and the lag of a load report.
ORPHAN_GRACE_S = 3.0
# After a takeover, permits of the earlier coordinator become known by reports.
TAKEOVER_GRACE_S = 5.0


def reconcile(group, account, event):
    """Compare a load report with the permits on its endpoint.

    A closing permit is freed once a report taken after its end does not list
    its stream. Streams without a permit take a slot and memory until they are
    gone, and are cancelled after a grace time.

    Parameters
    ----------
    group : GroupState
        The endpoint's group.
    account : EndpointAccount
        The endpoint.
    event : LoadReported
        Its load report.

    Returns
    -------
    list of Effect
        Cancellations and records.
    """
    now = event.at
    listed = set(event.streams)
    effects = []
    known = set()
    known_tokens = 0
    for key, permit in tuple(account.permits_by_key.items()):
        request_id = permit.request_id
        if request_id in listed:
            if permit.phase == "granted":
                permit.phase = "held"
            elif permit.phase == "closing":
                grace_over = now - permit.closing_at >= ORPHAN_GRACE_S
                if grace_over and not _runs_elsewhere(account, request_id):
                    effects += _cancel(account, request_id, permit.entry)
            known.add(request_id)
            known_tokens += permit.prompt_tokens + permit.max_tokens
        elif (
            permit.phase == "closing" and now - permit.closing_at >= permits.LOAD_LAG_S
        ):
            permits.free_permit(group, account, key)
    ended_at_by_request = {
        request_id: at for (request_id, _), at in group.dropped_at_by_key.items()
    }
    living = {request_id for request_id, _ in group.endpoints_by_permit}
    orphans = {}
    for stream in listed - known:
        ended_at = ended_at_by_request.get(stream, float("-inf"))
        if stream in living or now - ended_at < ORPHAN_GRACE_S:
            # A part of a permit held elsewhere, or a stream that ended after
            # the endpoint took the report.
            continue
        first = account.first_listed_by_orphan.get(stream, now)
        orphans[stream] = first
        waited_s = now - max(first, group.took_over_at + TAKEOVER_GRACE_S)
        if waited_s >= ORPHAN_GRACE_S:
            effects += _cancel(account, stream, "")
    account.first_listed_by_orphan = orphans
    account.orphan_tokens = (
        max(0, event.memory_used_tokens - known_tokens) if orphans else 0
    )
    return effects


def _runs_elsewhere(account, request_id):
    """Whether a later attempt of a request runs on the same endpoint."""
    return any(
        permit.request_id == request_id and permit.phase != "closing"
        for permit in account.permits_by_key.values()
    )


def _cancel(account, request_id, entry):
    return (
        CancelStream(endpoint=account.id, request_id=request_id),
        record(
            "routing.orphan_cancelled",
            endpoint=account.id,
            request=request_id,
            entry=entry,
        ),
    )
