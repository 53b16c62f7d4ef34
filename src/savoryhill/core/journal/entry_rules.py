"""Decide reservations and outcomes against the entries of a shard."""

from savoryhill.core.journal.codec import attempt_node, join_attempt, origin_node
from savoryhill.core.journal.state import Entry

# An attempt may still finish until this long after its deadline, which covers the
# clock skew between hosts.
MAX_CLOCK_SKEW_S = 2.0
# A process's incarnation is its start time in milliseconds plus one for each
# suspicion that it refuted. A difference of at least this much means that the
# process was restarted.
MAX_REFUTATIONS = 1_000
# Outcomes that may follow each status; all others are ignored.
NEXT_STATUSES = {
    "reserved": frozenset({"done", "not_sent", "unknown"}),
    "unknown": frozenset({"done"}),
    "done": frozenset(),
    "not_sent": frozenset(),
}


def wall_s(state):
    """Return the wall time of the current event in seconds."""
    return state.now + (state.journal.wall_offset_s or 0.0)


def attempt_of(entry):
    """Return the attempt that holds an entry's key."""
    return join_attempt(entry.origin, entry.request)


def may_still_finish(state, entry):
    """Tell whether the attempt of a reserved entry may still finish by itself."""
    if wall_s(state) > entry.deadline_wall_s + MAX_CLOCK_SKEW_S:
        return False
    node, incarnation = origin_node(entry.origin)
    if node == state.node:
        return incarnation == state.incarnation
    member = state.membership.members_by_node.get(node)
    return member is None or (
        member.status != "gone" and member.incarnation - incarnation < MAX_REFUTATIONS
    )


def reservation_status(state, entry, operation):
    """Return the status with which to answer a reservation.

    Parameters
    ----------
    state : NodeState
        The node's state.
    entry : Entry or None
        The journal's entry for the key.
    operation : PendingOperation
        The reservation.

    Returns
    -------
    str or None
        The status, or None if the key is free and the reservation must be written.
    """
    if entry is None:
        return None
    if entry.status == "not_sent":
        # The attempt's own node abandoned it, so it must not be reserved again.
        return "unavailable" if attempt_of(entry) == operation.attempt else None
    if entry.body_digest != operation.body_digest:
        return "mismatch"
    if entry.status == "reserved":
        if attempt_of(entry) == operation.attempt:
            return "reserved"
        return "running" if may_still_finish(state, entry) else "unknown"
    return entry.status


def outcome_changes_entry(entry, operation):
    """Tell whether an outcome changes an entry."""
    return (
        entry is not None
        and attempt_of(entry) == operation.attempt
        and operation.status in NEXT_STATUSES[entry.status]
    )


def may_report_outcome(sender, message):
    """Tell whether a node may report an outcome.

    Only the attempt's own node knows that the call was not sent or that its result
    is unknown. Any node may report that a call was executed, because it can learn
    this from a lookup at the service.
    """
    return message.status == "done" or attempt_node(message.attempt)[0] == sender


def apply_row(shard, row):
    """Apply a row of a batch; rows must be applied in the order of the log.

    A reservation replaces the entry of its key. Its writer checked it against all
    earlier batches: otherwise the comparisons of its transaction would have failed.
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
        shard.change_positions_by_key[row.key] = shard.position


def put_entry(shard, row):
    """Replace the entry of a key and move it to the end, as the newest."""
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
    shard.change_positions_by_key[row.key] = shard.position
