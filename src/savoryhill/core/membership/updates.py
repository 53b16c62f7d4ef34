"""Merge member updates and choose which ones a datagram carries."""

import math

from savoryhill.core.effects import record
from savoryhill.core.membership.hearing import hash_of, register_node_hash
from savoryhill.core.membership.state import Member
from savoryhill.core.messages import MemberUpdate

# At equal incarnation the later status wins.
_RANKS = {"live": 0, "leaving": 1, "suspected": 2, "gone": 3}
SENDS_PER_UPDATE_FACTOR = 3
MAX_DATAGRAM_BYTES = 1200
# Digest, header, sender and the fixed part of a Ping, with room to spare.
_FIXED_BYTES = 160
# A packed word takes at most 9 bytes.
_WORD_BYTES = 9
_UPDATE_FIXED_WORDS = 6
_SUMMARY_FIXED_WORDS = 7
MAX_SUMMARIES = 4


def own_update(state):
    """Return what this node tells of itself."""
    membership = state.membership
    return MemberUpdate(
        node=state.node,
        address=state.address,
        zone=state.zone,
        incarnation=own_incarnation(state),
        status="leaving" if membership.leaving else "live",
    )


def own_incarnation(state):
    """Return the incarnation under which this node is a member."""
    membership = state.membership
    membership.own_incarnation = max(membership.own_incarnation, state.incarnation)
    return membership.own_incarnation


def add_member(state, member):
    """Add a member; its first probe is due at a random place of the round."""
    membership = state.membership
    membership.members_by_node[member.node] = member
    register_node_hash(state, member.node)
    position = state.random.randrange(len(membership.probe_order) + 1)
    membership.probe_order.insert(position, member.node)


def remove_member(state, node):
    """Forget a member."""
    membership = state.membership
    del membership.members_by_node[node]
    membership.nodes_by_hash.pop(hash_of(node), None)
    membership.suspected.discard(node)
    membership.n_sent_by_node.pop(node, None)
    membership.own_suspicions.pop(node, None)


def set_status(state, member, status):
    """Change a member's status, spread the change and record it."""
    membership = state.membership
    previous = member.status
    if status == "suspected":
        membership.suspected.add(member.node)
        if previous != "suspected":
            membership.lost_at.append(state.now)
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
    """Apply an update if it is newer than what this node believes."""
    if update.status not in _RANKS:
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
        known = (member.incarnation, _RANKS[member.status])
        if (update.incarnation, _RANKS[update.status]) <= known:
            return
        member.address = update.address
        member.zone = update.zone
        member.incarnation = update.incarnation
    yield from set_status(state, member, update.status)


def _refute(state, update):
    """Answer an update on this node itself with a higher incarnation."""
    membership = state.membership
    own = own_update(state)
    wrong = _RANKS[update.status] > _RANKS[own.status]
    if wrong:
        # Others still believe it, whatever the incarnation.
        membership.refuted_at = state.now
    if update.incarnation < own.incarnation or (
        update.incarnation == own.incarnation and not wrong
    ):
        return
    membership.own_incarnation = update.incarnation + 1
    yield record(
        "membership.refuted", status=update.status, incarnation=update.incarnation + 1
    )


def update_of(member):
    """Return what this node believes of a member."""
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
    """Return the next name of a rotation over ``names``, refilled when empty."""
    while rotation:
        name = rotation.pop()
        if name in names:
            return name
    rotation.extend(sorted(names))
    return rotation.pop()


def choose_content(state, receiver, n_heard_bytes):
    """Choose the member updates and group summaries of a datagram.

    In this order: this node itself, the receiver if it is wrongly believed not to
    run, group summaries in rotation, the updates sent least often, and members in
    rotation for repair.

    Parameters
    ----------
    state : NodeState
        The node's state.
    receiver : str
        The node that the datagram goes to.
    n_heard_bytes : int
        Size of the evidence in the same datagram.

    Returns
    -------
    tuple of (tuple of MemberUpdate, tuple of GroupSummary)
        What fits under `MAX_DATAGRAM_BYTES`.
    """
    membership = state.membership
    members = membership.members_by_node
    left_bytes = MAX_DATAGRAM_BYTES - _FIXED_BYTES - n_heard_bytes * 9 // 8
    updates = [own_update(state)]
    left_bytes -= _update_bytes(updates[0])
    chosen = {state.node}

    def add(node):
        nonlocal left_bytes
        update = update_of(members[node])
        size = _update_bytes(update)
        if node not in chosen and size <= left_bytes:
            left_bytes -= size
            chosen.add(node)
            updates.append(update)
            return True
        return False

    if receiver in members and members[receiver].status in ("suspected", "gone"):
        add(receiver)
    summaries = []
    by_group = membership.summaries_by_group
    for _ in range(min(MAX_SUMMARIES, len(by_group))):
        group = _next_in_rotation(membership.summary_rotation, by_group)
        size = _summary_bytes(by_group[group])
        if size <= left_bytes and by_group[group] not in summaries:
            left_bytes -= size
            summaries.append(by_group[group])
    n_sends = SENDS_PER_UPDATE_FACTOR * math.ceil(math.log2(len(members) + 2))
    n_sent = membership.n_sent_by_node
    for node in sorted(n_sent, key=n_sent.get):
        if not add(node):
            break
        n_sent[node] += 1
        if n_sent[node] >= n_sends:
            del n_sent[node]
    if members:
        add(_next_in_rotation(membership.rotation, members))
    return tuple(updates), tuple(summaries)
