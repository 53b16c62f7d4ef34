"""Questions that other subjects ask of the coordination."""

from functools import lru_cache
from hashlib import blake2b

from savoryhill.core.coordination.state import Candidates
from savoryhill.core.membership.view import in_region, is_serving, live_nodes


# One weight for each pair of group and node: 75 groups times 340 nodes, and shards.
@lru_cache(maxsize=65_536)
def _weight(key, node):
    return blake2b(f"{key}\0{node}".encode(), digest_size=8).digest()


def rendezvous_order(key, nodes):
    """Order nodes by their hash with a key, the best candidate first.

    Parameters
    ----------
    key : str
        What is to be assigned.
    nodes : iterable of str
        The candidates.

    Returns
    -------
    list of str
        All candidates; removing one leaves the order of the others.
    """
    return sorted(nodes, key=lambda node: _weight(key, node), reverse=True)


def eligible_nodes(state):
    """Return the live nodes of this node's region that may coordinate groups."""
    return tuple(
        node
        for node in live_nodes(state)
        if in_region(state, node, state.region)
        and (node != state.node or is_serving(state, node))
    )


def current_candidates(state):
    """Return the candidates by group, which are kept while the nodes are the same.

    Returns
    -------
    Candidates
        For `candidate_among`; valid within one event.
    """
    nodes = eligible_nodes(state)
    if state.coordination.candidates.nodes != nodes:
        state.coordination.candidates = Candidates(nodes=nodes)
    return state.coordination.candidates


def candidate_among(candidates, group):
    """Return the first of the candidates in rendezvous order, or None."""
    by_group = candidates.nodes_by_group
    if group not in by_group:
        by_group[group] = max(
            candidates.nodes, key=lambda node: _weight(group, node), default=None
        )
    return by_group[group]


def candidate_of(state, group, *, without=None):
    """Return the live node of the region that should coordinate a group, or None.

    Parameters
    ----------
    state : NodeState
        The node's state.
    group : str
        The group.
    without : str, optional
        A node that is left out.

    Returns
    -------
    str or None
        The first live node in rendezvous order.
    """
    if without is None:
        return candidate_among(current_candidates(state), group)
    nodes = [node for node in eligible_nodes(state) if node != without]
    return max(nodes, key=lambda node: _weight(group, node), default=None)


def holder_of(state, group):
    """Return the node that coordinates a group, or None if that is not sure.

    A provisional coordinator counts while the holder of the record is not there.
    Whoever gets None asks again after a second.
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
    """Return the highest fencing number known of a group, 0 if none is."""
    record = state.coordination.records_by_group.get(group)
    return record.fence if record is not None else 0


def may_grant(state, group):
    """Tell whether this node coordinates a group now and its tenure runs.

    True for a provisional coordinator as well; `is_provisional` tells what it
    must not grant.
    """
    role = state.coordination.roles_by_group.get(group)
    return (
        role is not None
        and state.now < role.tenure_ends_at
        and state.now >= role.handed_over_until
    )


def took_over_at(state, group):
    """Return the time from which a new holder counts its wait for cold endpoints.

    Returns
    -------
    float
        Seconds of the runtime clock. The present time while it is not confirmed
        that the previous holder has stopped; minus infinity if this node does not
        hold the group or if the group had no holder before.
    """
    role = state.coordination.roles_by_group.get(group)
    if role is None:
        return float("-inf")
    if not role.confirmed:
        return state.now
    return role.took_over_at


def is_provisional(state, group):
    """Tell whether this node coordinates a group without holding its record."""
    role = state.coordination.roles_by_group.get(group)
    return role is not None and role.provisional
