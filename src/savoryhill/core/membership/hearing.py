"""Evidence of which nodes run, relayed in a compact form.

A node exchanges datagrams with about two others a second, so that most evidence
is relayed. ``Ping.heard`` and ``Ack.heard`` hold 4 bytes for each node: the hash
of its name (2 bytes), the age of the evidence and the age of the node's last
success with the key-value service, both in tenths of a second.
"""

import math
from functools import cache
from hashlib import blake2b

# Evidence older than this counts for nothing. It has to cover the time that
# evidence needs to spread over the largest fleet, and stay below the wait of a new
# coordinator for cold endpoints plus the time before a silent node is gone.
HEARD_WINDOW_S = 6.0
MAX_HEARD_ENTRIES = 120
KEY_VALUE_FRESH_S = 3.0
_HASH_BYTES = 2
_ENTRY_BYTES = _HASH_BYTES + 2
_MAX_TENTHS = 254
_NO_TENTHS = 255


@cache
def hash_of(node):
    """Return the hash by which evidence names a node."""
    return blake2b(node.encode(), digest_size=_HASH_BYTES).digest()


def add_hash(state, node):
    """Make a node known to relayed evidence.

    Nodes that share a hash are left out of relayed evidence: about one pair is
    expected at 340 nodes.
    """
    nodes_by_hash = state.membership.nodes_by_hash
    code = hash_of(node)
    nodes_by_hash[code] = node if nodes_by_hash.get(code, node) == node else ""


def reaches_key_value(state):
    """Tell whether this node reached the key-value service lately."""
    return state.now - state.membership.key_value_reached_at <= KEY_VALUE_FRESH_S


def note_heard(state, node, *, at, key_value_at=float("-inf")):
    """Keep evidence of a node if it is newer than what is known."""
    member = state.membership.members_by_node.get(node)
    if member is not None:
        member.heard_at = max(member.heard_at, at)
        member.key_value_at = max(member.key_value_at, key_value_at)


def _tenths(age_s):
    # Rounding up keeps the evidence from getting younger along the way.
    return math.ceil(max(0.0, age_s) * 10) if age_s < 1e6 else _NO_TENTHS


def _entry(node, heard_age_s, key_value_age_s):
    return hash_of(node) + bytes(
        (
            min(_MAX_TENTHS, _tenths(heard_age_s)),
            min(_NO_TENTHS, _tenths(key_value_age_s)),
        )
    )


def pack_heard(state):
    """Encode this node's own entry and the freshest evidence of others."""
    now = state.now
    membership = state.membership
    fresh = [
        (now - member.heard_at, member.node, now - member.key_value_at)
        for member in membership.members_by_node.values()
        if now - member.heard_at <= HEARD_WINDOW_S
    ]
    if len(fresh) >= MAX_HEARD_ENTRIES:
        fresh.sort()
        del fresh[MAX_HEARD_ENTRIES - 1 :]
    parts = [_entry(state.node, 0.0, now - membership.key_value_reached_at)]
    parts += [_entry(node, age_s, success_s) for age_s, node, success_s in fresh]
    return b"".join(parts)


def merge_heard(state, heard, *, at):
    """Take over relayed evidence that is newer than the node's own."""
    nodes_by_hash = state.membership.nodes_by_hash
    for start in range(0, len(heard) - _ENTRY_BYTES + 1, _ENTRY_BYTES):
        node = nodes_by_hash.get(heard[start : start + _HASH_BYTES])
        if not node:
            continue
        age, success_age = heard[start + _HASH_BYTES : start + _ENTRY_BYTES]
        reached_at = at - success_age / 10 if success_age != _NO_TENTHS else -1e9
        note_heard(state, node, at=at - age / 10, key_value_at=reached_at)
