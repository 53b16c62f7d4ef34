"""Answer reservations and endings from what a node knows of the log."""

from dataclasses import replace

from savoryhill.core.effects import SendPeer
from savoryhill.core.journal.judge import (
    attempt_of,
    ending_has_effect,
    judge_reservation,
)
from savoryhill.core.messages import JournalReply

# An answer from memory other than "done" needs a view of the log this recent.
MAX_VIEW_AGE_S = 1.0
# A reservation that could not be written for this long is answered "unavailable".
UNAVAILABLE_AFTER_S = 0.5
MAX_WAITING_ENDINGS = 1_000


def answer(operation, status, entry=None):
    """Answer the requester of an operation."""
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
        if operation.status == "done" and ending_has_effect(entry, operation):
            return replace(entry, status="done", response=operation.response)
    return entry


def answer_from_view(state, shard):
    """Answer pending operations that the entries in memory decide."""
    given_up = {op.attempt for op in shard.pending if op.status == "not_sent"}
    later = []
    for operation in shard.pending:
        entry = shard.entries_by_key.get(operation.key)
        if operation.status != "reserved":
            if ending_has_effect(entry, operation):
                later.append(operation)
            elif shard.confirmed_at >= operation.arrived_at:
                yield answer(operation, "recorded")
            else:
                # Another writer may have written the reservation meanwhile.
                shard.fresh = False
                later.append(operation)
            continue
        if operation.attempt in given_up:
            yield answer(operation, "unavailable")
            continue
        status = judge_reservation(state, entry, operation)
        recent = operation.arrived_at - shard.confirmed_at <= MAX_VIEW_AGE_S
        if status is None:
            later.append(operation)
        elif recent or status in ("done", "reserved"):
            yield answer(operation, status, entry)
        else:
            shard.fresh = False
            later.append(operation)
    shard.pending = later


def give_up(state, shard):
    """Answer reservations that have waited too long for the service.

    None of them was ever sent, so none can be written later. One whose key is
    known is answered from memory, which may be old: it is not said to be free.
    """
    later, n_endings = [], 0
    for operation in shard.pending:
        waited_s = state.now - operation.arrived_at
        if operation.status != "reserved":
            n_endings += 1
            # The entry node keeps every ending and sends it again.
            if n_endings <= MAX_WAITING_ENDINGS:
                later.append(operation)
            continue
        if waited_s < UNAVAILABLE_AFTER_S and shard.n_failures < 3:
            later.append(operation)
            continue
        entry = known_entry(shard, operation.key)
        status = judge_reservation(state, entry, operation)
        yield answer(operation, status or "unavailable", entry if status else None)
    shard.pending = later
