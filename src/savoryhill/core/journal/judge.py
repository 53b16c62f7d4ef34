"""Judge operations against the entries of a shard."""

from savoryhill.core.journal.codec import attempt_node, join_attempt, origin_node
from savoryhill.core.journal.state import Entry

# An attempt is still considered able to end this long after its deadline, which
# covers the difference between the hosts' clocks.
CLOCK_SLACK_S = 2.0
# A process's incarnation is its start in milliseconds and rises by one with each
# refuted suspicion; a difference from here on means another process.
REFUTATIONS = 1_000
# Endings that may follow each status; everything else is ignored.
NEXT_STATUSES = {
    "reserved": frozenset({"done", "not_sent", "unknown"}),
    "unknown": frozenset({"done"}),
    "done": frozenset(),
    "not_sent": frozenset(),
}


def wall_s(state):
    """Return the wall time of the event being processed, in seconds."""
    return state.now + (state.journal.wall_offset_s or 0.0)


def attempt_of(entry):
    """Return the attempt that holds an entry."""
    return join_attempt(entry.origin, entry.request)


def may_still_end(state, entry):
    """Tell whether the attempt of a reserved entry can still end by itself."""
    if wall_s(state) > entry.deadline_wall_s + CLOCK_SLACK_S:
        return False
    node, incarnation = origin_node(entry.origin)
    if node == state.node:
        return incarnation == state.incarnation
    member = state.membership.members_by_node.get(node)
    return member is None or (
        member.status != "gone" and member.incarnation - incarnation < REFUTATIONS
    )


def judge_reservation(state, entry, operation):
    """Judge a reservation.

    Parameters
    ----------
    state : NodeState
        The node's state.
    entry : Entry or None
        What the journal holds for the key.
    operation : PendingOperation
        The reservation.

    Returns
    -------
    str or None
        The status to answer, or None if the reservation must be written.
    """
    if entry is None:
        return None
    if entry.status == "not_sent":
        # The attempt's own node has given it up, so it must not be reserved again.
        return "unavailable" if attempt_of(entry) == operation.attempt else None
    if entry.body_digest != operation.body_digest:
        return "mismatch"
    if entry.status == "reserved":
        if attempt_of(entry) == operation.attempt:
            return "reserved"
        return "running" if may_still_end(state, entry) else "unknown"
    return entry.status


def ending_has_effect(entry, operation):
    """Tell whether an ending changes an entry."""
    return (
        entry is not None
        and attempt_of(entry) == operation.attempt
        and operation.status in NEXT_STATUSES[entry.status]
    )


def may_report(sender, message):
    """Tell whether a node may report an ending.

    Only the attempt's own node knows that it sent nothing. That a call was
    executed may also be learned from the service's lookup.
    """
    return message.status == "done" or attempt_node(message.attempt)[0] == sender


def apply_row(shard, row):
    """Apply a row of a batch, in the order of the log.

    A reservation replaces what was there: its writer has judged it against all
    earlier batches, which the comparisons of its transaction prove.
    """
    if row.status == "reserved":
        put_entry(shard, row)
        return
    entry = shard.entries_by_key.get(row.key)
    if (
        entry is not None
        and (entry.origin, entry.request) == (row.origin, row.request)
        and row.status in NEXT_STATUSES[entry.status]
    ):
        entry.status = row.status
        entry.response = row.response
        shard.touched[row.key] = shard.position


def put_entry(shard, row):
    """Set the entry of a key; the newest reservation goes to the end."""
    shard.newest_s = max(shard.newest_s, row.at_s)
    shard.entries_by_key.pop(row.key, None)
    shard.entries_by_key[row.key] = Entry(
        status=row.status,
        origin=row.origin,
        request=row.request,
        body_digest=row.body_digest,
        at_s=row.at_s,
        deadline_wall_s=row.deadline_wall_s,
        response=row.response,
    )
    shard.touched[row.key] = shard.position
