"""Which node schedules.

The nodes are ordered by capacity, because the one that schedules has links to all
others, and then by the revision of their registration, so a node that starts again
goes behind its equals. The first one that can be reached schedules. Nothing is agreed
on: a node asked by another one schedules for it, and two nodes that schedule at once
place less well but break no promise, because the node that sends a request checks
every rule itself.
"""

# A node that could not be reached is not asked again for this long.
SUSPICION_S = 3.0


def choose_leader(nodes, *, suspected_until, now):
    """Return the node that schedules, or None if none is known.

    Parameters
    ----------
    nodes : iterable of NodeRecord
        Registered nodes.
    suspected_until : dict of str to float
        Addresses that could not be reached, with the end of the suspicion.
    now : float
        Time of the node's clock.

    Returns
    -------
    NodeRecord or None
        The first node that is not suspected.
    """
    candidates = [
        node for node in nodes if suspected_until.get(node.address, 0.0) <= now
    ]
    return min(
        candidates,
        key=lambda node: (-node.capacity, node.revision, node.name),
        default=None,
    )
