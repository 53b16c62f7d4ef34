"""Choice of the leader, the node that schedules for all others.

Nodes are ordered by capacity, because the leader has links to all others, and then by
the revision of their registration, so that a restarted node ranks behind others of the
same capacity. The first node that can be reached is the leader.

There is no consensus: a node schedules for whichever nodes connect to it. Two leaders
at once place jobs less well but violate no rule, because the node that sends a request
checks every rule itself.
"""

# A node that could not be reached is not chosen as leader for this long, and for twice
# as long after each further failure under the same registration: the registration of a
# node that lost power remains until its lease expires.
SUSPICION_S = 3.0
MAX_SUSPICION_S = 24.0


def suspicion_s(n_failures):
    """Return how long a node is not chosen as leader, in seconds.

    Parameters
    ----------
    n_failures : int
        Failures to reach the node under its present registration, at least 1.
    """
    return min(MAX_SUSPICION_S, SUSPICION_S * 2 ** (n_failures - 1))


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
