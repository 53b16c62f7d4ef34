"""Grant, queue or refuse placement requests."""

from math import inf

from savoryhill.core.effects import SendPeer, record
from savoryhill.core.messages import PlaceReply, PromptPart
from savoryhill.core.routing import (
    admission,
    baselines,
    fairness,
    oversize,
    placement,
    predictions,
    queue,
)
from savoryhill.core.routing.groups import grant_limits
from savoryhill.core.routing.permits import (
    START_BY_S,
    add_permit,
    endpoints_with_permit,
)
from savoryhill.core.routing.replies import build_reply, refuse, refuse_too_large
from savoryhill.core.routing.state import PendingPlacement, Permit

# Pending placements tried per pass; the rest of the queue waits for the next event.
MAX_PLACEMENTS_SCANNED = 12


def repeat_grant(state, group, message, sender):
    """Answer a repeated request for a permit that is already granted.

    Returns
    -------
    list of Effect
        The same permit again; a refusal if the permit has expired meanwhile; nothing
        while the coordinator may not grant, an endpoint of the permit is closed or
        its limit has fallen below the permits counted on it.
    """
    now = state.now
    key = message.request_id, message.attempt
    endpoints = endpoints_with_permit(group, key)
    permit = endpoints[-1].permits_by_key[key]
    if permit.phase == "closing":
        return [
            build_reply(
                message,
                sender,
                group,
                "refused",
                detail="the permit of this attempt has expired",
                retry_after_s=1.0,
            )
        ]
    may_repeat = grant_limits(state, group) is not None
    if not may_repeat or not all(map(_is_within_limit, endpoints)):
        # The entry node repeats its request later; the permit expires unused.
        return []
    for endpoint in endpoints:
        each = endpoint.permits_by_key[key]
        each.entry = sender
        each.use_by = now + START_BY_S
        each.reported_at = max(each.reported_at, now)
        each.n_replies += 1
    parts = ()
    if len(endpoints) > 1:
        parts = tuple(
            PromptPart(
                endpoint=endpoint.id,
                n_tokens=endpoint.permits_by_key[key].prompt_tokens,
                incarnation=endpoint.incarnation,
            )
            for endpoint in endpoints
        )
    return [_grant_reply(group, message, sender, endpoints[-1], permit, parts)]


def _is_within_limit(endpoint):
    return endpoint.open and len(endpoint.permits_by_key) <= endpoint.limit


def _grant_reply(group, message, sender, endpoint, permit, parts=()):
    return SendPeer(
        to=sender,
        message=PlaceReply(
            request_id=message.request_id,
            attempt=message.attempt,
            group=message.group,
            status="granted",
            endpoint=endpoint.id,
            fence=group.fence,
            incarnation=endpoint.incarnation,
            priority=permit.priority,
            cached_tokens=permit.cached_tokens,
            parts=parts,
            asked_at=message.asked_at,
        ),
    )


def place_new(state, group, message, sender):
    """Place a new request at once, queue it or refuse it.

    Returns
    -------
    list of Effect
        The reply; empty while the request is queued.
    """
    now = state.now
    pending = PendingPlacement(
        sender=sender,
        message=message,
        arrived_at=now,
        deadline_at=now + message.remaining_s,
        short=message.prompt_tokens < group.configuration.policy.short_prompt_tokens,
    )
    replies = refuse_too_large(group, pending)
    if replies:
        return replies
    limits = grant_limits(state, group)
    if limits and not group.pending_by_key:
        granted = _try_place(state, group, pending, *limits)
        if granted:
            group.counter_floor = max(
                group.counter_floor,
                group.counters_by_workspace.get(message.workspace, 0.0),
            )
            return granted
    return _enqueue(state, group, pending)


def _enqueue(state, group, pending):
    predictions.set_predictions(group, pending)
    if state.routing.policy == "savoryhill":
        remaining_s = pending.message.remaining_s
        predicted_s = predictions.predicted_completion_s(state, group, pending)
        if predicted_s > remaining_s:
            return refuse(
                group,
                pending,
                f"predicted to complete in {predicted_s:.1f} s, after its deadline"
                if predicted_s < predictions.NEVER_S
                else "no endpoint is open for it",
                admission.retry_after_s(predicted_s, remaining_s),
                "deadline",
            )
    queue.push(state, group, pending)
    return grant_pending(state, group) if len(group.pending_by_key) > 1 else []


def grant_pending(state, group):
    """Grant permits to pending placements while endpoints have capacity.

    Returns
    -------
    list of Effect
        The replies.
    """
    effects = []
    if not group.pending_by_key:
        return effects
    limits = grant_limits(state, group)
    if limits is None:
        return effects
    provisional, withhold_cold = limits
    is_fifo = state.routing.policy != "savoryhill"
    progress = True
    while progress and group.pending_by_key and _has_free_slot(group):
        progress = False
        # If a placement does not fit, no larger one of the same class fits either.
        smallest_failed_by_class = {}
        for n_scanned, pending in enumerate(queue.candidates_in_order(group)):
            if n_scanned >= MAX_PLACEMENTS_SCANNED:
                break
            message = pending.message
            needed = message.prompt_tokens + message.max_tokens
            placement_class = (
                pending.short,
                pending.aged,
                pending.oversize,
                message.avoid,
                message.workspace,
            )
            if needed >= smallest_failed_by_class.get(placement_class, inf):
                continue
            granted = _try_place(state, group, pending, provisional, withhold_cold)
            if granted:
                queue.remove(group, pending)
                fairness.raise_counter_floor(group, queue.pending_workspaces(group))
                effects += granted
                progress = True
                break
            smallest_failed_by_class[placement_class] = needed
            if is_fifo:
                break
            if pending.oversize:
                if group.oversize_key is None:
                    oversize.reserve_endpoints(group, pending)
            elif pending.aged:
                oversize.reserve_endpoints(group, pending, n_endpoints=1)
    return effects


def _has_free_slot(group):
    for endpoint in group.open_endpoints:
        if endpoint.ready and len(endpoint.permits_by_key) < endpoint.limit:
            return True
    return False


def _try_place(state, group, pending, provisional, withhold_cold):
    """Return the effects of granting a permit, or None if none can be granted."""
    message = pending.message
    now = state.now
    needed = message.prompt_tokens + message.max_tokens
    if not fairness.within_limit(group, message.workspace, needed):
        return None
    if pending.oversize:
        parts = oversize.plan_parts(
            group, message, provisional=provisional, withhold_cold=withhold_cold
        )
        return _grant_parts(state, group, pending, parts) if parts else None
    if state.routing.policy == "savoryhill":
        candidate = placement.choose_endpoint(
            group,
            message,
            short=pending.short,
            aged=pending.aged,
            now=now,
            remaining_s=pending.deadline_at - now,
            provisional=provisional,
            withhold_cold=withhold_cold,
            key=(message.request_id, message.attempt),
        )
    elif pending.deadline_at <= now:
        return None
    else:
        candidate = baselines.choose_baseline(
            state, group, message, provisional=provisional, withhold_cold=withhold_cold
        )
    if candidate is None:
        return None
    return _grant(state, group, pending, candidate)


def _grant(state, group, pending, candidate):
    message = pending.message
    endpoint = candidate.endpoint
    now = state.now
    is_default_policy = state.routing.policy == "savoryhill"
    charged = fairness.weighted_tokens(candidate.uncached_tokens, message.max_tokens)
    permit = Permit(
        request_id=message.request_id,
        attempt=message.attempt,
        entry=pending.sender,
        workspace=message.workspace,
        prompt_tokens=message.prompt_tokens,
        max_tokens=message.max_tokens,
        granted_at=now,
        reported_at=now,
        use_by=now + START_BY_S,
        short=pending.short,
        uncached_tokens=candidate.uncached_tokens,
        ahead_tokens=candidate.ahead_tokens,
        short_tokens_at_grant=endpoint.short_tokens_granted,
        predicted_first_token_s=candidate.first_token_s,
        predicted_end_at=now + candidate.completion_s,
        batch_size=len(endpoint.permits_by_key) + 1,
        priority=placement.SHORT_PRIORITY
        if pending.short or not is_default_policy
        else placement.LONG_PRIORITY,
        cached_tokens=message.prompt_tokens - candidate.uncached_tokens,
        charged_tokens=charged,
    )
    group.ended_at_by_key.pop((message.request_id, message.attempt), None)
    add_permit(group, endpoint, permit)
    fairness.charge(group, message.workspace, charged)
    if message.prefix_hashes and is_default_policy:
        placement.record_placed_prefixes(endpoint, message.prefix_hashes, now)
    return [_grant_reply(group, message, pending.sender, endpoint, permit)]


def _grant_parts(state, group, pending, parts):
    """Grant one permit that is counted on every endpoint of an oversize prompt."""
    message = pending.message
    now = state.now
    key = message.request_id, message.attempt
    group.ended_at_by_key.pop(key, None)
    charged = fairness.weighted_tokens(message.prompt_tokens, message.max_tokens)
    predicted_end_at = now + oversize.service_s(group, message)
    for part in parts:
        endpoint = group.states_by_endpoint[part.endpoint]
        is_last = part is parts[-1]
        permit = Permit(
            request_id=message.request_id,
            attempt=message.attempt,
            entry=pending.sender,
            workspace=message.workspace,
            prompt_tokens=part.n_tokens,
            max_tokens=message.max_tokens if is_last else 0,
            granted_at=now,
            reported_at=now,
            use_by=now + START_BY_S,
            short=False,
            lateness_recorded=True,
            uncached_tokens=part.n_tokens,
            predicted_end_at=predicted_end_at,
            priority=placement.LONG_PRIORITY,
            charged_tokens=charged if is_last else 0.0,
        )
        add_permit(group, endpoint, permit)
    group.oversize_key = key
    fairness.charge(group, message.workspace, charged)
    return [
        _grant_reply(group, message, pending.sender, endpoint, permit, parts),
        record(
            "routing.oversize_granted",
            request=message.request_id,
            endpoints=",".join(part.endpoint for part in parts),
            tokens=message.prompt_tokens,
        ),
    ]
