"""Summaries of a coordinator's groups, which other nodes use to choose a group."""

from math import inf

from savoryhill.core.messages import GroupSummary
from savoryhill.core.routing import admission

# Sent instead of infinity when no endpoint of the group is usable.
NO_ENDPOINT_WAIT_S = 1_000.0


def update_summary(group, now):
    """Update a group's predicted wait and free slots."""
    capacity = admission.capacity_of(group, now)
    wait = admission.predict_wait_s(capacity, group.queued_service_s, short=True)
    group.predicted_wait_s = NO_ENDPOINT_WAIT_S if wait == inf else wait
    group.free_slots = sum(
        max(0, endpoint.limit - len(endpoint.permits_by_key))
        for endpoint in group.open_endpoints
        if endpoint.ready
    )
    group.summary_version += 1


def own_summaries(state):
    """Return the summaries of all groups that this node coordinates.

    Parameters
    ----------
    state : NodeState
        The node's state.

    Returns
    -------
    tuple of GroupSummary
        One for each own group, as of its last periodic check.
    """
    return tuple(
        GroupSummary(
            group=group.id,
            holder=state.node,
            fence=group.fence,
            predicted_wait_s=group.predicted_wait_s,
            free_slots=group.free_slots,
            version=group.summary_version,
        )
        for group in state.routing.groups_by_id.values()
    )
