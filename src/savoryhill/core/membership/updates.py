"""Merge member updates and choose those that a datagram piggybacks."""

import math

from savoryhill.core.effects import record
from savoryhill.core.membership.evidence import node_hash, register_node_hash
from savoryhill.core.membership.state import Member
from savoryhill.core.messages import MemberUpdate

# At equal incarnation the status with the higher precedence wins.
_STATUS_PRECEDENCE = {"live": 0, "leaving": 1, "suspected": 2, "gone": 3}
RETRANSMIT_FACTOR = 3
MAX_DATAGRAM_BYTES = 1200
# Upper bound for the digest, the header, the sender and the fixed part of a Ping.
_FIXED_BYTES = 160
# A word of a message takes at most 9 bytes in packed encoding.
_WORD_BYTES = 9
_UPDATE_FIXED_WORDS = 6
_SUMMARY_FIXED_WORDS = 7
MAX_SUMMARIES = 4


def make_own_update(state):
    """Build the update that this node sends on itself."""
    membership = state.membership
    return MemberUpdate(
        node=state.node,
        address=state.address,
        zone=state.zone,
        incarnation=own_incarnation(state),
        status="leaving" if membership.leaving else "live",
    )


def own_incarnation(state):
    """Return this node's incarnation as a member, at least that of its process."""
    membership = state.membership
    membership.own_incarnation = max(membership.own_incarnation, state.incarnation)
    return membership.own_incarnation


def add_member(state, member):
    """Add a member and insert it at a random position of the current probe round."""
    membership = state.membership
    membership.members_by_node[member.node] = member
    register_node_hash(state, member.node)
    position = state.random.randrange(len(membership.probe_order) + 1)
    membership.probe_order.insert(position, member.node)


def remove_member(state, node):
    """Remove a member and all state that refers to it."""
    membership = state.membership
    del membership.members_by_node[node]
    membership.nodes_by_hash.pop(node_hash(node), None)
    membership.suspected.discard(node)
    membership.n_sent_by_node.pop(node, None)
    membership.own_suspicions.pop(node, None)


def set_status(state, member, status):
    """Set a member's status, queue the update for gossip and log the change."""
    membership = state.membership
    previous = member.status
    if status == "suspected":
        membership.suspected.add(member.node)
        if previous != "suspected":
            membership.suspicion_times.append(state.now)
    else:
        membership.suspected.discard(member.node)
        membership.own_suspicions.pop(member.node, None)
    if status == "gone":
        member.left = member.left or previous == "leaving"
    elif status != "suspected":
        member.left = status == "leaving"
    member.status = status
    member.changed_at = state.now
    membership.n_sent_by_node[member.node] = 0
    if status != previous:
        yield record(
            "membership.changed",
            member=member.node,
            status=status,
            previous=previous,
            incarnation=member.incarnation,
        )


def merge_update(state, update):
    """Apply an update if it is newer than this node's view of the member."""
    if update.status not in _STATUS_PRECEDENCE:
        return
    if update.node == state.node:
        yield from _refute(state, update)
        return
    member = state.membership.members_by_node.get(update.node)
    if member is None:
        if update.status == "gone":
            return
        member = Member(
            node=update.node,
            address=update.address,
            zone=update.zone,
            incarnation=update.incarnation,
            status="",
        )
        add_member(state, member)
    else:
        known_version = (member.incarnation, _STATUS_PRECEDENCE[member.status])
        if (update.incarnation, _STATUS_PRECEDENCE[update.status]) <= known_version:
            return
        member.address = update.address
        member.zone = update.zone
        member.incarnation = update.incarnation
    yield from set_status(state, member, update.status)


def _refute(state, update):
    """Refute an update on this node itself by raising its incarnation."""
    membership = state.membership
    own = make_own_update(state)
    is_worse = _STATUS_PRECEDENCE[update.status] > _STATUS_PRECEDENCE[own.status]
    if is_worse:
        # Others still believe it, even if the update's incarnation is outdated.
        membership.refuted_at = state.now
    if update.incarnation < own.incarnation or (
        update.incarnation == own.incarnation and not is_worse
    ):
        return
    membership.own_incarnation = update.incarnation + 1
    yield record(
        "membership.refuted", status=update.status, incarnation=update.incarnation + 1
    )


def make_update(member):
    """Build an update from this node's view of a member."""
    return MemberUpdate(
        node=member.node,
        address=member.address,
        zone=member.zone,
        incarnation=member.incarnation,
        status=member.status,
    )


def _text_words(text):
    return len(text.encode()) // 8 + 1


def _update_bytes(update):
    words = _UPDATE_FIXED_WORDS + sum(
        _text_words(text)
        for text in (update.node, update.address, update.zone, update.status)
    )
    return words * _WORD_BYTES


def _summary_bytes(summary):
    words = _SUMMARY_FIXED_WORDS + _text_words(summary.group)
    return (words + _text_words(summary.holder)) * _WORD_BYTES


def _next_in_rotation(rotation, names):
    """Return the next name of a round-robin over ``names``, refilled when empty."""
    while rotation:
        name = rotation.pop()
        if name in names:
            return name
    rotation.extend(sorted(names))
    return rotation.pop()


def choose_piggyback(state, receiver, n_heard_bytes):
    """Choose the member updates and group summaries to piggyback on a datagram.

    They are chosen in this order: this node itself; the receiver if it is suspected or
    gone, so that it can refute that; group summaries in rotation; the updates that were
    sent least often; and one member in rotation, which repairs lost updates.

    Parameters
    ----------
    state : NodeState
        The node's state.
    receiver : str
        The node to which the datagram is sent.
    n_heard_bytes : int
        Size of the liveness evidence in the same datagram.

    Returns
    -------
    tuple of (tuple of MemberUpdate, tuple of GroupSummary)
        The updates and summaries that fit into `MAX_DATAGRAM_BYTES`.
    """
    membership = state.membership
    members = membership.members_by_node
    remaining_bytes = MAX_DATAGRAM_BYTES - _FIXED_BYTES - n_heard_bytes * 9 // 8
    updates = [make_own_update(state)]
    remaining_bytes -= _update_bytes(updates[0])
    chosen = {state.node}

    def try_add(node):
        nonlocal remaining_bytes
        update = make_update(members[node])
        size = _update_bytes(update)
        if node not in chosen and size <= remaining_bytes:
            remaining_bytes -= size
            chosen.add(node)
            updates.append(update)
            return True
        return False

    if receiver in members and members[receiver].status in ("suspected", "gone"):
        try_add(receiver)
    summaries = []
    by_group = membership.summaries_by_group
    for _ in range(min(MAX_SUMMARIES, len(by_group))):
        group = _next_in_rotation(membership.summary_rotation, by_group)
        size = _summary_bytes(by_group[group])
        if size <= remaining_bytes and by_group[group] not in summaries:
            remaining_bytes -= size
            summaries.append(by_group[group])
    max_sends = RETRANSMIT_FACTOR * math.ceil(math.log2(len(members) + 2))
    n_sent = membership.n_sent_by_node
    for node in sorted(n_sent, key=n_sent.get):
        if not try_add(node):
            break
        n_sent[node] += 1
        if n_sent[node] >= max_sends:
            del n_sent[node]
    if members:
        try_add(_next_in_rotation(membership.update_rotation, members))
    return tuple(updates), tuple(summaries)
