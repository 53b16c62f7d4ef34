"""Evidence of which nodes run, relayed in a compact form.

A node exchanges datagrams with about two others a second, so that most evidence
is relayed. ``Ping.heard`` and ``Ack.heard`` hold 4 bytes for each node: the hash
of its name (2 bytes), the age of the evidence and the age of the node's last
success with the key-value service, both in tenths of a second.
"""

import math
from functools import cache
from hashlib import blake2b

# Evidence older than the window counts for nothing. A holder that is cut off extends
# its tenure for at most one window, so the window is the tenure in a small fleet and
# grows only with the time that evidence needs to spread: 6.1 s at 340 nodes.
HEARD_WINDOW_S = 3.0
SMALL_FLEET_NODES = 9
HEARD_WINDOW_S_PER_DOUBLING = 0.6
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


def evidence_window_s(state):
    """Return the age in seconds up to which evidence counts."""
    n_nodes = len(state.membership.members_by_node) + 1
    doublings = math.log2(max(1.0, n_nodes / SMALL_FLEET_NODES))
    return HEARD_WINDOW_S + HEARD_WINDOW_S_PER_DOUBLING * doublings


def register_node_hash(state, node):
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


def note_heard(state, node, *, at, last_key_value_success_at=float("-inf")):
    """Keep evidence of a node if it is newer than what is known."""
    member = state.membership.members_by_node.get(node)
    if member is not None:
        member.last_heard_at = max(member.last_heard_at, at)
        member.last_key_value_success_at = max(
            member.last_key_value_success_at, last_key_value_success_at
        )


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


def pack_heard(state, receiver):
    """Encode the entries of this node and the receiver and the freshest others.

    The receiver's entry tells it that its own messages arrive.
    """
    now = state.now
    membership = state.membership
    window_s = evidence_window_s(state)
    fresh = [
        (
            now - member.last_heard_at,
            member.node,
            now - member.last_key_value_success_at,
        )
        for member in membership.members_by_node.values()
        if now - member.last_heard_at <= window_s and member.node != receiver
    ]
    if len(fresh) > MAX_HEARD_ENTRIES - 2:
        fresh.sort()
        del fresh[MAX_HEARD_ENTRIES - 2 :]
    parts = [_entry(state.node, 0.0, now - membership.key_value_reached_at)]
    member = membership.members_by_node.get(receiver)
    if member is not None:
        parts.append(
            _entry(
                receiver,
                now - member.last_heard_at,
                now - member.last_key_value_success_at,
            )
        )
    parts += [_entry(node, age_s, success_s) for age_s, node, success_s in fresh]
    return b"".join(parts)


def merge_heard(state, heard, *, at):
    """Take over relayed evidence that is newer than the node's own."""
    membership = state.membership
    nodes_by_hash = membership.nodes_by_hash
    own_hash = hash_of(state.node)
    for start in range(0, len(heard) - _ENTRY_BYTES + 1, _ENTRY_BYTES):
        code = heard[start : start + _HASH_BYTES]
        age, success_age = heard[start + _HASH_BYTES : start + _ENTRY_BYTES]
        if code == own_hash:
            membership.heard_by_others_at = max(
                membership.heard_by_others_at, at - age / 10
            )
            continue
        node = nodes_by_hash.get(code)
        if not node:
            continue
        reached_at = at - success_age / 10 if success_age != _NO_TENTHS else -1e9
        note_heard(state, node, at=at - age / 10, last_key_value_success_at=reached_at)
