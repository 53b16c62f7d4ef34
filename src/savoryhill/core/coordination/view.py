"""Questions that other subjects ask of the coordination."""

from hashlib import blake2b

from savoryhill.core.membership.view import live_nodes


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

    def weight(node):
        return blake2b(f"{key}\0{node}".encode(), digest_size=8).digest()

    return sorted(nodes, key=weight, reverse=True)


def holder_of(state, group):
    """Return the node that coordinates a group, or None if none is known."""
    record = state.coordination.records_by_group.get(group)
    if record is not None:
        return record.holder
    ordered = rendezvous_order(group, live_nodes(state))
    return ordered[0] if ordered else None


def fence_of(state, group):
    """Return the fencing number of a group, 0 if none is known."""
    record = state.coordination.records_by_group.get(group)
    return record.fence if record is not None else 0


def took_over_at(state, group):
    """Return when this node became the group's coordinator, in seconds.

    Minus infinity means that there was no earlier holder to wait for.
    """
    return float("-inf")


def is_provisional(state, group):
    """Return whether this node coordinates a group without its record."""
    return False
