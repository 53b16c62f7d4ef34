"""Questions that other subjects ask of the membership."""


def live_nodes(state):
    """Return the sorted names of all nodes believed to be live."""
    members = state.membership.members_by_node
    return sorted(
        node
        for node, member in members.items()
        if member.status == "live" or node == state.node
    )
