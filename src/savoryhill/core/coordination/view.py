"""Queries about coordinators for other subsystems."""

from functools import lru_cache
from hashlib import blake2b

from savoryhill.core.coordination.state import Candidates
from savoryhill.core.membership.view import in_region, is_serving, live_nodes


# Holds one entry per pair of key and node: 75 groups times 340 nodes, and the shards.
@lru_cache(maxsize=65_536)
def _rendezvous_weight(key, node):
    return blake2b(f"{key}\0{node}".encode(), digest_size=8).digest()


def rendezvous_order(key, nodes):
    """Order nodes by rendezvous hashing (highest random weight first).

    Parameters
    ----------
    key : str
        Key to assign to a node.
    nodes : iterable of str
        Candidate nodes.

    Returns
    -------
    list of str
        All candidates; removing one does not change the order of the others.
    """
    return sorted(nodes, key=lambda node: _rendezvous_weight(key, node), reverse=True)


def eligible_nodes(state):
    """Return the live nodes of this node's region that may coordinate groups."""
    return tuple(
        node
        for node in live_nodes(state)
        if in_region(state, node, state.region)
        and (node != state.node or is_serving(state, node))
    )


def current_candidates(state):
    """Return the candidate cache, emptied if the set of eligible nodes has changed.

    Returns
    -------
    Candidates
        Cache to pass to `candidate_among`; valid while one event is handled.
    """
    nodes = eligible_nodes(state)
    if state.coordination.candidates.nodes != nodes:
        state.coordination.candidates = Candidates(nodes=nodes)
    return state.coordination.candidates


def candidate_among(candidates, group):
    """Return the first candidate for a group in rendezvous order, or None."""
    by_group = candidates.nodes_by_group
    if group not in by_group:
        by_group[group] = max(
            candidates.nodes,
            key=lambda node: _rendezvous_weight(group, node),
            default=None,
        )
    return by_group[group]


def candidate_of(state, group, *, without=None):
    """Return the live node of this region that should coordinate a group, or None.

    Parameters
    ----------
    state : NodeState
        State of this node.
    group : str
        Group identifier.
    without : str, optional
        Node to leave out.

    Returns
    -------
    str or None
        First eligible node in rendezvous order.
    """
    if without is None:
        return candidate_among(current_candidates(state), group)
    nodes = [node for node in eligible_nodes(state) if node != without]
    return max(nodes, key=lambda node: _rendezvous_weight(group, node), default=None)


def holder_of(state, group):
    """Return the node that coordinates a group, or None if it is not known.

    A provisional coordinator is returned while the holder named in the record is not
    serving. Callers that get None retry after a second.
    """
    if group in state.coordination.roles_by_group:
        return state.node
    record = state.coordination.records_by_group.get(group)
    if record is None:
        return None
    for node in (record.holder, record.provisional_holder):
        if node and node != state.node and is_serving(state, node):
            return node
    return None


def fence_of(state, group):
    """Return the highest known fencing number of a group, or 0 if none is known."""
    record = state.coordination.records_by_group.get(group)
    return record.fence if record is not None else 0


def may_grant(state, group):
    """Tell whether this node coordinates a group and may grant permits now.

    The lease must not have expired and no hand-over may be in progress. Also true for
    a provisional coordinator, whose grants are restricted (see `is_provisional`).
    """
    role = state.coordination.roles_by_group.get(group)
    return (
        role is not None
        and state.now < role.lease_expires_at
        and state.now >= role.handed_over_until
    )


def took_over_at(state, group):
    """Return when a new holder's waiting time for cold endpoints starts.

    Returns
    -------
    float
        Seconds of the runtime clock. The current time until it is confirmed that the
        previous holder has stopped; minus infinity if this node does not hold the
        group or the group had no previous holder.
    """
    role = state.coordination.roles_by_group.get(group)
    if role is None:
        return float("-inf")
    if not role.confirmed:
        return state.now
    return role.took_over_at


def is_provisional(state, group):
    """Tell whether this node is the provisional coordinator of a group.

    A provisional coordinator acts during an outage and does not hold the record.
    """
    role = state.coordination.roles_by_group.get(group)
    return role is not None and role.provisional
