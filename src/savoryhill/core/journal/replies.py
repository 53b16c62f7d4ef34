"""Reply to reservations and outcomes from a node's view of the log."""

from dataclasses import replace

from savoryhill.core.effects import SendPeer
from savoryhill.core.journal.entry_rules import (
    attempt_of,
    outcome_changes_entry,
    reservation_status,
)
from savoryhill.core.messages import JournalReply

# A reply from memory needs a view of the log that is at most this old, unless its
# status is "done" or "reserved".
MAX_VIEW_AGE_S = 1.0
# The reply to a reservation that could not be written for this long is "unavailable".
UNAVAILABLE_AFTER_S = 0.5
MAX_WAITING_OUTCOMES = 1_000


def make_reply(operation, status, entry=None):
    """Return the effect that replies to the requester of an operation."""
    ending = "" if operation.status == "reserved" else operation.status
    if ending:
        status = "recorded"
    done = status == "done" and entry is not None
    return SendPeer(
        to=operation.requester,
        message=JournalReply(
            request_id=operation.request_id,
            attempt=operation.attempt,
            status=status,
            response=entry.response if done else b"",
            earlier=attempt_of(entry) if entry is not None else "",
            ending=ending,
        ),
    )


def known_entry(shard, key):
    """Return the entry of a key, as done if that is known but not yet written."""
    entry = shard.entries_by_key.get(key)
    if entry is None or entry.status not in ("reserved", "unknown"):
        return entry
    waiting = [
        *shard.pending,
        *(shard.in_flight_batch.operations if shard.in_flight_batch else ()),
    ]
    for operation in waiting:
        if operation.status == "done" and outcome_changes_entry(entry, operation):
            return replace(entry, status="done", response=operation.response)
    return entry


def reply_from_view(state, shard):
    """Reply to pending operations that the entries in memory decide."""
    abandoned = {
        operation.attempt
        for operation in shard.pending
        if operation.status == "not_sent"
    }
    still_pending = []
    for operation in shard.pending:
        entry = shard.entries_by_key.get(operation.key)
        if operation.status != "reserved":
            if outcome_changes_entry(entry, operation):
                still_pending.append(operation)
            elif shard.confirmed_at >= operation.arrived_at:
                yield make_reply(operation, "recorded")
            else:
                # Another writer may have written the reservation since the log was
                # last read.
                shard.is_current = False
                still_pending.append(operation)
            continue
        if operation.attempt in abandoned:
            yield make_reply(operation, "unavailable")
            continue
        status = reservation_status(state, entry, operation)
        is_recent = operation.arrived_at - shard.confirmed_at <= MAX_VIEW_AGE_S
        if status is None:
            still_pending.append(operation)
        elif is_recent or status in ("done", "reserved"):
            yield make_reply(operation, status, entry)
        else:
            shard.is_current = False
            still_pending.append(operation)
    shard.pending = still_pending


def reply_to_overdue(state, shard):
    """Reply to reservations that have waited too long for the key-value service.

    None of them was ever sent, so none can be written later. If the entry of a key
    is in memory, the reply has its status. Memory may be out of date, so a key that
    seems to be free is answered with "unavailable".
    """
    still_pending, n_outcomes = [], 0
    for operation in shard.pending:
        waited_s = state.now - operation.arrived_at
        if operation.status != "reserved":
            n_outcomes += 1
            # The entry node keeps each outcome and sends it again.
            if n_outcomes <= MAX_WAITING_OUTCOMES:
                still_pending.append(operation)
            continue
        if waited_s < UNAVAILABLE_AFTER_S and shard.n_failures < 3:
            still_pending.append(operation)
            continue
        entry = known_entry(shard, operation.key)
        status = reservation_status(state, entry, operation)
        yield make_reply(operation, status or "unavailable", entry if status else None)
    shard.pending = still_pending
