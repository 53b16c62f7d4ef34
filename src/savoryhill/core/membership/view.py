"""Questions that other subjects ask of the membership."""

from savoryhill.core.membership.hearing import evidence_window_s
from savoryhill.core.membership.state import NEVER

MASS_LOSS_WINDOW_S = 5.0
MASS_LOSS_SHARE = 0.2


def live_nodes(state):
    """Return the sorted names of all nodes believed to be live, this one included.

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
    """Return the sorted names of all nodes that a majority is counted over.

    A gone member counts until it is forgotten, unless it announced its leaving:
    otherwise the smaller side of a partition would become a majority of itself.
    """
    nodes = {
        node
        for node, member in state.membership.members_by_node.items()
        if not (member.status == "gone" and (member.left or member.listed_leaving))
    }
    nodes.add(state.node)
    return sorted(nodes)


def in_region(state, node, region):
    """Tell whether a node belongs to a region, as far as its zone is known."""
    if node == state.node:
        return state.region == region
    member = state.membership.members_by_node.get(node)
    active = state.active
    if member is None or active is None:
        return True
    zone = active.zones_by_name.get(member.zone)
    return zone is None or zone.region == region


def is_serving(state, node):
    """Tell whether a node may still act: live or suspected, and not leaving."""
    if node == state.node:
        return not state.membership.leaving
    member = state.membership.members_by_node.get(node)
    return (
        member is not None
        and member.status in ("live", "suspected")
        and not member.listed_leaving
    )


def reachable_ages(state):
    """Return the age in seconds of the newest evidence by node.

    Evidence is a node's own message or what other nodes relay of it; ages add up
    along the way. Nodes without any evidence are left out.
    """
    ages = {
        node: max(0.0, state.now - member.last_heard_at)
        for node, member in state.membership.members_by_node.items()
        if member.last_heard_at != NEVER
    }
    ages[state.node] = 0.0
    return ages


def has_heard_from_majority(state, since=None):
    """Tell whether more than half of the known nodes were heard of lately.

    Only nodes of this node's region count: groups are regional, and two regions
    that lose contact would otherwise both be left without a majority.

    Parameters
    ----------
    state : NodeState
        The node's state.
    since : float, optional
        Count evidence from this time on; if not given, evidence within
        `heard_window_s`.

    Returns
    -------
    bool
        Whether it is a majority, this node included.
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
    """Return the time of the last known success of another node."""
    members = state.membership.members_by_node.values()
    return max((member.last_key_value_success_at for member in members), default=NEVER)


def is_mass_loss(state):
    """Tell whether over a fifth of the members were lost within a few seconds."""
    lost_at = state.membership.lost_at
    n_lost = sum(state.now - at <= MASS_LOSS_WINDOW_S for at in lost_at)
    return n_lost > max(1.0, MASS_LOSS_SHARE * len(state.membership.members_by_node))
