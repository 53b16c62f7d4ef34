"""Liveness evidence: encoding, relaying and merging.

Evidence of a node is the time at which a message from it was last received. A node
exchanges datagrams with only about two others per second, so most evidence is
relayed. ``Ping.heard`` and ``Ack.heard`` hold 4 bytes per node: a hash of its name
(2 bytes), the age of the evidence and the age of the node's last success with the
key-value service (1 byte each, in tenths of a second).
"""

import math
from functools import cache
from hashlib import blake2b

# Evidence older than the window is ignored. A coordinator that is cut off can extend
# its lease for at most one window, so the window equals the lease in a small fleet
# and grows only with the time that evidence takes to spread: 6.1 s at 340 nodes.
EVIDENCE_WINDOW_S = 3.0
SMALL_FLEET_NODES = 9
EVIDENCE_WINDOW_S_PER_DOUBLING = 0.6
MAX_EVIDENCE_ENTRIES = 120
KEY_VALUE_SUCCESS_MAX_AGE_S = 3.0
_HASH_BYTES = 2
_ENTRY_BYTES = _HASH_BYTES + 2
_MAX_ENCODED_AGE = 254
_AGE_UNKNOWN = 255


@cache
def node_hash(node):
    """Return the hash that identifies a node in relayed evidence."""
    return blake2b(node.encode(), digest_size=_HASH_BYTES).digest()


def evidence_window_s(state):
    """Return the maximum age of evidence in seconds for this number of nodes."""
    n_nodes = len(state.membership.members_by_node) + 1
    doublings = math.log2(max(1.0, n_nodes / SMALL_FLEET_NODES))
    return EVIDENCE_WINDOW_S + EVIDENCE_WINDOW_S_PER_DOUBLING * doublings


def register_node_hash(state, node):
    """Register a node's hash, so that relayed evidence of the node is accepted.

    Relayed evidence of nodes that share a hash is ignored; about one such pair is
    expected at 340 nodes.
    """
    nodes_by_hash = state.membership.nodes_by_hash
    key = node_hash(node)
    nodes_by_hash[key] = node if nodes_by_hash.get(key, node) == node else ""


def has_recent_key_value_success(state):
    """Return whether this node has reached the key-value service recently."""
    return (
        state.now - state.membership.key_value_reached_at <= KEY_VALUE_SUCCESS_MAX_AGE_S
    )


def record_evidence(state, node, *, at, last_key_value_success_at=float("-inf")):
    """Record evidence of a member if it is newer than what is known."""
    member = state.membership.members_by_node.get(node)
    if member is not None:
        member.last_heard_at = max(member.last_heard_at, at)
        member.last_key_value_success_at = max(
            member.last_key_value_success_at, last_key_value_success_at
        )


def _encode_age(age_s):
    # Rounded up, so that relayed evidence never appears younger than it is.
    return math.ceil(max(0.0, age_s) * 10) if age_s < 1e6 else _AGE_UNKNOWN


def _encode_entry(node, heard_age_s, key_value_age_s):
    return node_hash(node) + bytes(
        (
            min(_MAX_ENCODED_AGE, _encode_age(heard_age_s)),
            min(_AGE_UNKNOWN, _encode_age(key_value_age_s)),
        )
    )


def encode_evidence(state, receiver):
    """Encode the evidence of this node, the receiver and the freshest other nodes.

    The receiver's entry tells it that its own messages arrive here.
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
    if len(fresh) > MAX_EVIDENCE_ENTRIES - 2:
        fresh.sort()
        del fresh[MAX_EVIDENCE_ENTRIES - 2 :]
    entries = [_encode_entry(state.node, 0.0, now - membership.key_value_reached_at)]
    member = membership.members_by_node.get(receiver)
    if member is not None:
        entries.append(
            _encode_entry(
                receiver,
                now - member.last_heard_at,
                now - member.last_key_value_success_at,
            )
        )
    entries += [
        _encode_entry(node, age_s, success_age_s)
        for age_s, node, success_age_s in fresh
    ]
    return b"".join(entries)


def merge_evidence(state, heard, *, at):
    """Merge relayed evidence that is newer than what this node knows.

    This node's own entry tells when the sender last heard from it.
    """
    membership = state.membership
    nodes_by_hash = membership.nodes_by_hash
    own_hash = node_hash(state.node)
    for start in range(0, len(heard) - _ENTRY_BYTES + 1, _ENTRY_BYTES):
        key = heard[start : start + _HASH_BYTES]
        age_tenths, success_age_tenths = heard[
            start + _HASH_BYTES : start + _ENTRY_BYTES
        ]
        if key == own_hash:
            membership.heard_by_others_at = max(
                membership.heard_by_others_at, at - age_tenths / 10
            )
            continue
        node = nodes_by_hash.get(key)
        if not node:
            continue
        last_success_at = (
            at - success_age_tenths / 10 if success_age_tenths != _AGE_UNKNOWN else -1e9
        )
        record_evidence(
            state,
            node,
            at=at - age_tenths / 10,
            last_key_value_success_at=last_success_at,
        )
