"""Queue of the pending placements of a group.

Placements are served in order of their rank: by the priority of their request kind,
then short and aged ones before long ones. Among equal ranks the workspace with the
lowest virtual counter comes first, and within a workspace the earliest deadline.
"""

import heapq
from dataclasses import replace

# A long request that has waited this long, or for this share of the time to its
# deadline, is served like a short one.
AGING_S = 4.0
AGING_SHARE = 0.25
MAX_CANDIDATES_PER_WORKSPACE = 4


def rank_of(state, pending):
    """Return the rank of a placement; lower ranks are served earlier."""
    kind = state.active.kinds_by_name.get(pending.message.kind)
    size_rank = 0 if pending.short or pending.aged else 1
    if kind is None:
        return 0.0, size_rank
    if state.active.policy.prefer == "answered_weighted":
        return kind.priority - kind.answered_weight, size_rank
    return float(kind.priority), size_rank


def push(state, group, pending):
    """Add a placement to the queue."""
    is_fifo = state.routing.policy != "savoryhill"
    pending.rank = (0.0, 0) if is_fifo else rank_of(state, pending)
    heaps = group.heaps_by_rank.setdefault(pending.rank, {})
    # Oversize prompts have a heap of their own, because they are divided: they may
    # fit although smaller prompts before them do not.
    heap_key = ("", False) if is_fifo else (pending.message.workspace, pending.oversize)
    if heap_key not in heaps:
        heaps[heap_key] = []
    group.n_pushed += 1
    sort_key = pending.arrived_at if is_fifo else pending.deadline_at
    heapq.heappush(heaps[heap_key], (sort_key, group.n_pushed, pending))
    group.pending_by_key[pending.key] = pending
    group.queued_service_s += pending.service_s


def _unlink(group, pending):
    if group.pending_by_key.pop(pending.key, None) is None:
        return False
    pending.removed = True
    group.queued_service_s -= pending.service_s
    return True


def remove(group, pending):
    """Remove a placement from the queue; its heap entry is deleted later."""
    if not _unlink(group, pending):
        return
    if not group.pending_by_key:
        group.queued_service_s = 0.0
        group.heaps_by_rank.clear()
    if group.reservation is not None and group.reservation.key == pending.key:
        group.reservation = None


def candidates_in_order(group):
    """Yield the next candidates for a grant in order, a few of each workspace."""
    counters = group.counters_by_workspace
    for rank in sorted(group.heaps_by_rank):
        heaps = group.heaps_by_rank[rank]
        for heap_key, heap in tuple(heaps.items()):
            while heap and heap[0][2].removed:
                heapq.heappop(heap)
            if not heap:
                del heaps[heap_key]
        for heap_key in sorted(heaps, key=lambda each: counters.get(each[0], 0.0)):
            heap = heaps[heap_key]
            if len(heap) == 1:
                yield heap[0][2]
                continue
            for _, _, pending in heapq.nsmallest(MAX_CANDIDATES_PER_WORKSPACE, heap):
                if not pending.removed:
                    yield pending


def pending_workspaces(group):
    """Return the workspaces that have placements in the queue."""
    return {
        workspace for heaps in group.heaps_by_rank.values() for workspace, _ in heaps
    }


def all_in_order(group):
    """Return all pending placements by rank and deadline, regardless of workspace."""
    return sorted(
        group.pending_by_key.values(), key=lambda each: (each.rank, each.deadline_at)
    )


def promote_aged(state, group, now):
    """Give long placements that have waited long enough the rank of short ones."""
    for pending in tuple(group.pending_by_key.values()):
        if pending.short or pending.aged:
            continue
        limit_s = min(AGING_S, AGING_SHARE * pending.message.remaining_s)
        if now - pending.arrived_at >= limit_s:
            _unlink(group, pending)
            push(state, group, replace(pending, aged=True, removed=False))
