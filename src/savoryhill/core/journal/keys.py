"""Keys of the journal in the key-value service and the writers of its shards."""

from savoryhill.core.coordination.view import rendezvous_order
from savoryhill.core.membership.view import live_nodes


def shard_of(state, key):
    """Return the shard number of a journal key."""
    return int.from_bytes(key[:4], "big") % state.active.journal.n_shards


def writer_of(state, shard_number, rank=0):
    """Return the node that should write a shard; any other may, but more slowly.

    Parameters
    ----------
    state : NodeState
        The node's state.
    shard_number : int
        The shard.
    rank : int
        0 for the first candidate; higher ranks are asked if it does not reply.

    Returns
    -------
    str
        Name of a live node.
    """
    candidates = rendezvous_order(f"journal/{shard_number}", live_nodes(state))
    return candidates[rank % len(candidates)]


def batch_key(shard_number, position):
    """Return the key of the batch at a position."""
    return f"/journal/{shard_number}/batch/{position:012d}"


def segment_key(shard_number, last_position):
    """Return the key of the segment whose last position is given."""
    return f"/journal/{shard_number}/segment/{last_position:012d}"


def meta_key(shard_number):
    """Return a shard's meta key, which sorts directly after its batches."""
    return f"/journal/{shard_number}/meta"


def log_end(shard_number):
    """Return the exclusive end of the key range of all batches and the meta key."""
    return meta_key(shard_number) + "\0"
