"""Choice of the leader, the node that schedules for all others.

Nodes are ordered by capacity, because the leader has links to all others, and then by
the revision of their registration, so that a restarted node ranks behind others of the
same capacity. The first node that can be reached is the leader.

There is no consensus: a node schedules for whichever nodes connect to it. Two leaders
at once place jobs less well but violate no rule, because the node that sends a request
checks every rule itself.
"""

# A node that could not be reached is not chosen as leader for this long.
SUSPICION_S = 3.0


def choose_leader(nodes, *, suspected_until, now):
    """Return the leader, or None if there is no candidate.

    Parameters
    ----------
    nodes : iterable of NodeRecord
        Registered nodes.
    suspected_until : dict of str to float
        Addresses that are not chosen, with the time until which this holds.
    now : float
        Time of the node's clock.

    Returns
    -------
    NodeRecord or None
        The first node in order whose address is not suspected.
    """
    candidates = [
        node for node in nodes if suspected_until.get(node.address, 0.0) <= now
    ]
    return min(
        candidates,
        key=lambda node: (-node.capacity, node.revision, node.name),
        default=None,
    )
