"""Membership queries for other subsystems."""

from savoryhill.core.membership.evidence import evidence_window_s
from savoryhill.core.membership.state import NEVER

MASS_LOSS_WINDOW_S = 5.0
MASS_LOSS_SHARE = 0.2


def live_nodes(state):
    """Return the sorted names of all live nodes, including this one.

    Suspected and leaving nodes are left out.
    """
    nodes = {
        node
        for node, member in state.membership.members_by_node.items()
        if member.status == "live" and not member.listed_leaving
    }
    nodes.add(state.node)
    return sorted(nodes)


def known_nodes(state):
    """Return the sorted names of all nodes that count towards a majority.

    A gone member counts until it is purged, unless it announced that it was leaving.
    Otherwise the smaller side of a partition would become a majority of its own.
    """
    nodes = {
        node
        for node, member in state.membership.members_by_node.items()
        if not (member.status == "gone" and (member.left or member.listed_leaving))
    }
    nodes.add(state.node)
    return sorted(nodes)


def in_region(state, node, region):
    """Return whether a node is in a region; true if its zone or region is unknown."""
    if node == state.node:
        return state.region == region
    member = state.membership.members_by_node.get(node)
    active = state.active
    if member is None or active is None:
        return True
    zone = active.zones_by_name.get(member.zone)
    return zone is None or zone.region == region


def is_serving(state, node):
    """Return whether a node may still act: live or suspected, and not leaving."""
    if node == state.node:
        return not state.membership.leaving
    member = state.membership.members_by_node.get(node)
    return (
        member is not None
        and member.status in ("live", "suspected")
        and not member.listed_leaving
    )


def evidence_age_s_by_node(state):
    """Return the age in seconds of the newest liveness evidence of each node.

    Evidence is a message from the node itself or evidence relayed by other nodes,
    whose ages add up along the relay path. Nodes without evidence are left out.
    """
    ages_by_node = {
        node: max(0.0, state.now - member.last_heard_at)
        for node, member in state.membership.members_by_node.items()
        if member.last_heard_at != NEVER
    }
    ages_by_node[state.node] = 0.0
    return ages_by_node


def has_heard_from_majority(state, since=None):
    """Return whether there is recent evidence of more than half of the known nodes.

    Only nodes in this node's region count: groups are regional, and two regions that
    lose contact with each other could otherwise both be left without a majority.

    Parameters
    ----------
    state : NodeState
        The node's state.
    since : float, optional
        Time from which evidence counts. By default, evidence counts if it is at
        most `evidence_window_s` old.

    Returns
    -------
    bool
        True if those nodes, including this one, are a majority.
    """
    if since is None:
        since = state.now - evidence_window_s(state)
    members = state.membership.members_by_node
    n_known, n_heard = 0, 0
    for node in known_nodes(state):
        if not in_region(state, node, state.region):
            continue
        n_known += 1
        n_heard += node == state.node or members[node].last_heard_at >= since
    return 2 * n_heard > n_known


def peers_last_key_value_success_at(state):
    """Return the time of the latest known key-value success of another node."""
    members = state.membership.members_by_node.values()
    return max((member.last_key_value_success_at for member in members), default=NEVER)


def is_mass_loss(state):
    """Return whether over a fifth of the members were lost within a few seconds.

    A member counts as lost when it becomes suspected.
    """
    suspicion_times = state.membership.suspicion_times
    n_lost = sum(state.now - at <= MASS_LOSS_WINDOW_S for at in suspicion_times)
    return n_lost > max(1.0, MASS_LOSS_SHARE * len(state.membership.members_by_node))
