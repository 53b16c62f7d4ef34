"""Predict the completion time of a placement."""

from math import inf

from savoryhill.core.routing import admission, cost, oversize, placement, queue

# Service time of a placement that fits no open endpoint. It must be finite, because
# the total service time of the queue is updated by adding and subtracting.
NEVER_S = 1e9


def set_predictions(group, pending):
    """Set a placement's predicted service times on idle and on busy endpoints."""
    message = pending.message
    if pending.oversize:
        least_s = usual_s = oversize.service_s(group, message)
    else:
        least_s = admission.predict_service_s(group, message, busy=False)
        usual_s = admission.predict_service_s(group, message, busy=True)
    pending.min_service_s = min(least_s, NEVER_S)
    pending.service_s = min(usual_s, NEVER_S)


def predicted_completion_s(state, group, pending):
    """Predict the seconds to completion after all queued and granted work."""
    now = state.now
    capacity = admission.capacity_of(group, now)
    rank = queue.rank_of(state, pending)
    if rank[1] or not group.pending_by_key:
        ahead_s = group.queued_service_s
    else:
        ahead_s = sum(
            each.service_s
            for each in group.pending_by_key.values()
            if each.rank <= rank and each.deadline_at <= pending.deadline_at
        )
    long_tokens = 0
    if not pending.short:
        long_tokens = sum(
            each.message.prompt_tokens
            for each in group.pending_by_key.values()
            if not each.short
        )
    if not capacity.slots:
        # Open endpoints without a load report so far may answer the next poll.
        return pending.service_s
    wait = admission.predict_wait_s(
        capacity, ahead_s, short=pending.short, long_tokens_ahead=long_tokens
    )
    if pending.oversize:
        return wait + pending.service_s
    message = pending.message
    needed = message.prompt_tokens + message.max_tokens
    best_s = inf
    for endpoint in group.open_endpoints:
        if not endpoint.ready or needed > endpoint.hardware.memory_tokens:
            continue
        ahead = endpoint.short_backlog_tokens
        if not pending.short:
            ahead += endpoint.long_backlog_tokens
        n_cached = placement.cached_tokens(
            endpoint, message.prefix_hashes, message.prompt_tokens
        )
        seconds = cost.first_token_s(
            endpoint.cost_model, ahead + message.prompt_tokens - n_cached
        )
        batch_size = len(endpoint.permits_by_key) + 1
        seconds += cost.decode_s(endpoint.cost_model, message.max_tokens, batch_size)
        best_s = min(best_s, seconds)
    return max(best_s, wait + pending.min_service_s)
