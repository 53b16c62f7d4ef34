"""Adapt how many endpoints of a group may take long prompts.

Long prompts go to the first endpoints of ``open_endpoints``, which is ordered by
memory, largest first. The boundary between them and the other endpoints follows
the load on both sides.
"""

ADAPT_INTERVAL_S = 1.0
# The endpoints for short prompts count as busy above the high share of used slots.
# Below the low share one of them can be given to long prompts.
HIGH_OCCUPANCY = 0.8
LOW_OCCUPANCY = 0.5
# The endpoints for long prompts count as busy above this mean backlog.
HIGH_LONG_BACKLOG_S = 1.0


def initial_boundary(n_open):
    """Return the initial number of endpoints for long prompts."""
    return max(1, (n_open + 1) // 2)


def _occupancy(endpoints):
    n_slots = sum(endpoint.limit for endpoint in endpoints)
    n_permits = sum(len(endpoint.permits_by_key) for endpoint in endpoints)
    return n_permits / n_slots if n_slots else 0.0


def adapt_boundary(group, now):
    """Move the boundary by at most one endpoint per second.

    At least one endpoint takes long prompts and at least one does not, unless the
    group has only one open endpoint.
    """
    n_open = len(group.open_endpoints)
    highest = max(1, n_open - 1)
    group.n_long_endpoints = min(group.n_long_endpoints, highest)
    if now - group.boundary_adapted_at < ADAPT_INTERVAL_S or n_open < 2:
        return
    group.boundary_adapted_at = now
    long_endpoints = group.open_endpoints[: group.n_long_endpoints]
    short_endpoints = group.open_endpoints[group.n_long_endpoints :]
    backlog_s = sum(
        endpoint.long_backlog_tokens / endpoint.cost_model.prefill_tokens_per_s
        for endpoint in long_endpoints
    ) / len(long_endpoints)
    n_pending_long = n_pending_short = 0
    for pending in group.pending_by_key.values():
        if pending.short:
            n_pending_short += 1
        else:
            n_pending_long += 1
    short_occupancy = _occupancy(short_endpoints)
    is_long_busy = n_pending_long > 0 or backlog_s > HIGH_LONG_BACKLOG_S
    is_short_busy = n_pending_short > 0 or short_occupancy > HIGH_OCCUPANCY
    if is_long_busy and short_occupancy < LOW_OCCUPANCY and not n_pending_short:
        group.n_long_endpoints = min(highest, group.n_long_endpoints + 1)
    elif is_short_busy and not is_long_busy and group.n_long_endpoints > 1:
        group.n_long_endpoints -= 1
