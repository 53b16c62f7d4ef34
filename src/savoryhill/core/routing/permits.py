"""Grant, renew, expire and release permits.

A permit counts against its endpoint's limits from the grant until it is certain
that the endpoint no longer runs its stream.
"""

from savoryhill.core.routing import cold_start, cost, fairness
from savoryhill.core.routing.state import Permit

START_BY_S = 2.0
EXPIRE_AFTER_S = 5.0
# A load report may have been taken this long before its arrival.
MAX_LOAD_REPORT_AGE_S = 1.0
# A report that left the entry node before `use_by` may arrive this much later.
MAX_REPORT_DELAY_S = 0.5
# Results after which it is certain that the endpoint does not run the request.
ENDED_RESULTS = frozenset(("completed", "not_sent", "refused", "unused", "withdrawn"))
ENDED_PERMIT_RETENTION_S = 10.0


def add_permit(group, endpoint, permit):
    """Count a permit on an endpoint.

    Parameters
    ----------
    group : GroupState
        The endpoint's group.
    endpoint : EndpointState
        The endpoint.
    permit : Permit
        The permit, not yet known on this endpoint.
    """
    key = permit.request_id, permit.attempt
    n_tokens = permit.prompt_tokens + permit.max_tokens
    # An empty backlog is not updated before every placement. Without this update the
    # time since the last one would count as prefill time of the new prompt.
    cost.update_backlog(endpoint, permit.granted_at)
    endpoint.permits_by_key[key] = permit
    endpoint.used_tokens += n_tokens
    endpoint.predicted_end_sum += permit.predicted_end_at
    if permit.short:
        endpoint.pending_short_tokens += permit.uncached_tokens
        endpoint.short_backlog_tokens += permit.uncached_tokens
        endpoint.short_tokens_granted += permit.uncached_tokens
    else:
        endpoint.n_long += 1
        endpoint.pending_long_tokens += permit.uncached_tokens
        endpoint.long_backlog_tokens += permit.uncached_tokens
    group.endpoints_by_permit[key] = (
        *group.endpoints_by_permit.get(key, ()),
        endpoint.id,
    )
    if n_tokens:
        fairness.add_outstanding(group, permit.workspace, n_tokens)


def free_permit(group, endpoint, key):
    """Stop counting a permit on one endpoint."""
    permit = endpoint.permits_by_key.pop(key, None)
    if permit is None:
        return
    n_tokens = permit.prompt_tokens + permit.max_tokens
    endpoint.used_tokens -= n_tokens
    endpoint.predicted_end_sum -= permit.predicted_end_at
    if not permit.short:
        endpoint.n_long -= 1
    _mark_prefilled(endpoint, permit)
    remaining_ids = tuple(
        each for each in group.endpoints_by_permit.get(key, ()) if each != endpoint.id
    )
    if remaining_ids:
        group.endpoints_by_permit[key] = remaining_ids
    else:
        group.endpoints_by_permit.pop(key, None)
        if group.oversize_key == key:
            group.oversize_key = None
    if n_tokens:
        fairness.add_outstanding(group, permit.workspace, -n_tokens)


def _mark_prefilled(endpoint, permit):
    """Remove a permit's prompt from the endpoint's outstanding prefill work."""
    if permit.first_token_seen:
        return
    permit.first_token_seen = True
    if permit.short:
        endpoint.pending_short_tokens -= permit.uncached_tokens
        endpoint.short_backlog_tokens = min(
            endpoint.short_backlog_tokens, endpoint.pending_short_tokens
        )
    else:
        endpoint.pending_long_tokens -= permit.uncached_tokens
        endpoint.long_backlog_tokens = min(
            endpoint.long_backlog_tokens, endpoint.pending_long_tokens
        )


def endpoints_with_permit(group, key):
    """Return the states of all endpoints on which a permit is counted."""
    states = group.states_by_endpoint
    return [
        states[endpoint_id]
        for endpoint_id in group.endpoints_by_permit.get(key, ())
        if endpoint_id in states
    ]


def close(group, endpoint, permit, now):
    """Close a permit whose stream the endpoint may still run.

    The permit stays counted until a load report no longer lists the stream. The
    endpoints of a plain service do not list their calls, so there the slot is freed
    at once.
    """
    if not group.is_model:
        free_permit(group, endpoint, (permit.request_id, permit.attempt))
    elif permit.phase != "closing":
        permit.phase = "closing"
        permit.closing_at = now


def expire(group, now):
    """Expire permits that their entry nodes have not reported in time.

    A permit that was never reported counts as unused once a load report taken
    after its ``use_by`` does not list its stream.

    Returns
    -------
    list of Permit
        The expired permits.
    """
    expired = []
    for endpoint in group.states_by_endpoint.values():
        for key, permit in tuple(endpoint.permits_by_key.items()):
            if permit.phase == "closing":
                continue
            if now - permit.reported_at >= EXPIRE_AFTER_S:
                expired.append(permit)
                close(group, endpoint, permit, now)
            elif (
                group.is_model
                and permit.phase == "granted"
                and endpoint.load_reported_at >= permit.use_by + MAX_LOAD_REPORT_AGE_S
            ):
                # A load report that lists the stream would have set the phase to
                # ``held``.
                expired.append(permit)
                group.ended_at_by_key[key] = now
                free_permit(group, endpoint, key)
    return expired


def apply_report(group, sender, message, now):
    """Renew the permits that an entry node reports, and adopt unknown ones.

    Permits of this entry node that it does not report are freed as unused once
    they can no longer be used.

    Returns
    -------
    list of EndpointState
        Endpoints whose first token is far later than predicted.
    """
    late = []
    listed = set()
    group.reported_at_by_entry[sender] = now
    for held in message.permits:
        key = held.request_id, held.attempt
        listed.add(key)
        if key in group.ended_at_by_key:
            # Remembered for as long as it is reported; otherwise it would be adopted
            # after its tokens have been granted to another request.
            del group.ended_at_by_key[key]
            group.ended_at_by_key[key] = now
            continue
        endpoints = endpoints_with_permit(group, key)
        if not endpoints:
            _adopt_permit(group, sender, held, now)
            continue
        for endpoint in endpoints:
            permit = endpoint.permits_by_key[key]
            permit.reported_at = now
            permit.phase = "held"
            if held.first_token_seen:
                _mark_prefilled(endpoint, permit)
            elif (
                group.is_model
                and not permit.lateness_recorded
                and not permit.first_token_seen
                and len(endpoints) == 1
                and cold_start.is_first_token_late(
                    permit, endpoint, now - permit.granted_at
                )
            ):
                permit.lateness_recorded = True
                late.append(endpoint)
    for endpoint in group.states_by_endpoint.values():
        for key, permit in tuple(endpoint.permits_by_key.items()):
            if (
                permit.entry == sender
                and permit.phase == "granted"
                and key not in listed
                and now >= permit.use_by + MAX_REPORT_DELAY_S
            ):
                group.ended_at_by_key[key] = now
                free_permit(group, endpoint, key)
    return late


def _adopt_permit(group, sender, held, now):
    """Add a permit granted by a previous coordinator, or one that was not reported."""
    parts = held.parts or ()
    sizes = [(part.endpoint, part.n_tokens) for part in parts] or [
        (held.endpoint, held.prompt_tokens)
    ]
    for endpoint_id, n_tokens in sizes:
        endpoint = group.states_by_endpoint.get(endpoint_id)
        if endpoint is None:
            continue
        is_last = endpoint_id == held.endpoint
        add_permit(
            group,
            endpoint,
            Permit(
                request_id=held.request_id,
                attempt=held.attempt,
                entry=sender,
                workspace=held.workspace,
                prompt_tokens=n_tokens,
                max_tokens=held.max_tokens if is_last else 0,
                granted_at=now,
                reported_at=now,
                use_by=now,
                phase="held",
                short=n_tokens < group.configuration.policy.short_prompt_tokens,
                first_token_seen=held.first_token_seen,
                lateness_recorded=True,
                uncached_tokens=0 if held.first_token_seen else n_tokens,
                predicted_end_at=now
                + cost.decode_s(endpoint.cost_model, held.max_tokens, 1),
            ),
        )
    if len(sizes) > 1:
        group.oversize_key = held.request_id, held.attempt


def release(group, message, now):
    """Apply a release to every endpoint on which the permit is counted.

    Parameters
    ----------
    group : GroupState
        The permit's group.
    message : PermitRelease
        The release with the observations of the entry node.
    now : float
        Time of the event.

    Returns
    -------
    list of (EndpointState, Permit)
        The endpoints on which the permit was counted, with its permit on each;
        empty for an unknown permit.
    """
    key = message.request_id, message.attempt
    group.ended_at_by_key[key] = now
    released = []
    for endpoint in endpoints_with_permit(group, key):
        permit = endpoint.permits_by_key[key]
        released.append((endpoint, permit))
        if message.result in ENDED_RESULTS:
            free_permit(group, endpoint, key)
        else:
            close(group, endpoint, permit, now)
    return released


def learn_costs(endpoint, permit, message):
    """Update an endpoint's cost model from a completed single-endpoint permit.

    Returns
    -------
    bool
        Whether the first token came far later than predicted.
    """
    seconds = message.first_token_s
    if seconds <= 0:
        if not permit.prompt_tokens and not permit.max_tokens:
            cost.observe_service(endpoint.cost_model, message.duration_s)
        return False
    late = not permit.lateness_recorded and cold_start.is_first_token_late(
        permit, endpoint, seconds
    )
    work = permit.ahead_tokens + permit.uncached_tokens
    if not permit.short:
        work += endpoint.short_tokens_granted - permit.short_tokens_at_grant
    cost.observe_prefill(endpoint.cost_model, work, seconds)
    if message.n_tokens > 1:
        token_s = (message.duration_s - seconds) / (message.n_tokens - 1)
        mean_batch_size = (permit.batch_size + len(endpoint.permits_by_key) + 1) / 2
        cost.observe_decode(endpoint.cost_model, mean_batch_size, token_s)
    return late


def purge_ended_permits(group, now):
    """Purge ended permits that no delayed report can contain any more."""
    ended_at_by_key = group.ended_at_by_key
    while ended_at_by_key:
        key = next(iter(ended_at_by_key))
        if now - ended_at_by_key[key] < ENDED_PERMIT_RETENTION_S:
            return
        del ended_at_by_key[key]


def drop_permits_on_restart(group, endpoint, now):
    """Free the permits of an endpoint process that has been replaced.

    An endpoint that checks the incarnation refuses requests with a permit for the
    old one. Any other endpoint may still accept them, so there the permits stay
    counted until their entry nodes release them.
    """
    for key, permit in tuple(endpoint.permits_by_key.items()):
        if endpoint.checks_incarnation or permit.phase == "closing":
            group.ended_at_by_key[key] = now
            free_permit(group, endpoint, key)
