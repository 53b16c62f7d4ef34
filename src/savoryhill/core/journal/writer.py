"""Write journal batches by compare-and-swap and reply to reservations.

Each shard has at most one call to the key-value service under way. The order of work
is: settle a batch whose result is unknown, reply to the operations that memory
decides, fold, write.
"""

from savoryhill.core.effects import (
    Compare,
    KeyValueTransaction,
    Observe,
    SendPeer,
    SetTimer,
    record,
)
from savoryhill.core.events import KeyValueAnswered, Ticked, TimerFired
from savoryhill.core.journal import keys, log
from savoryhill.core.journal.codec import (
    Row,
    decode_rows,
    encode_rows,
    encoded_row_size,
    split_attempt,
)
from savoryhill.core.journal.entry_rules import may_report_outcome, reservation_status
from savoryhill.core.journal.replies import (
    known_entry,
    make_reply,
    reply_from_view,
    reply_to_overdue,
)
from savoryhill.core.journal.state import InFlightBatch, PendingOperation, Shard
from savoryhill.core.messages import JournalFinish, JournalReply, JournalReserve
from savoryhill.errors import JournalFormatError

# Minimum interval between two writes of a shard, which bounds the write rate.
MIN_WRITE_INTERVAL_S = 0.04
# Time that the first operation of a batch waits for others. "done" outcomes wait
# longer, since repeats are answered from memory in the meantime. "not_sent", which
# frees a key, and "unknown", which requires a lookup, do not.
LINGER_S = 0.005
DONE_LINGER_S = 0.5
# 64 batches of this size fit into one segment and one transaction.
MAX_BATCH_BYTES = 10_000
RETRY_BASE_S = 0.05
MAX_RETRY_S = 0.8
MAX_PENDING = 10_000
# 50,000 entries with responses of 100 bytes take 25 MB; see docs/decisions/journal.md.
MAX_ENTRIES_PER_SHARD = 50_000


def _shard(state, number):
    return state.journal.shards_by_number.setdefault(number, Shard())


def _queue_operation(state, operation):
    """Queue an operation unless it is already queued or memory decides it."""
    number = keys.shard_of(state, operation.key)
    shard = _shard(state, number)
    queued = [
        *shard.pending,
        *(shard.in_flight_batch.operations if shard.in_flight_batch else ()),
    ]
    identity = (operation.attempt, operation.status)
    if any((other.attempt, other.status) == identity for other in queued):
        return
    if operation.status == "reserved":
        entry = known_entry(shard, operation.key)
        if entry is not None and entry.status == "done":
            # "done" is final, so no view of the log is needed and the reply is sent
            # even while the key-value service is unavailable.
            yield make_reply(
                operation, reservation_status(state, entry, operation), entry
            )
            return
    if len(shard.pending) >= MAX_PENDING:
        if operation.status == "reserved":
            yield make_reply(operation, "unavailable")
        return
    shard.pending.append(operation)
    yield from _advance(state, number)


def _on_reserve(state, event):
    message = event.message
    if state.active is None:
        # The number of shards is not known yet, so nothing can be written.
        yield SendPeer(
            to=event.sender,
            message=JournalReply(
                request_id=message.request_id,
                attempt=message.attempt,
                status="unavailable",
            ),
        )
        return
    yield from _queue_operation(
        state,
        PendingOperation(
            requester=event.sender,
            request_id=message.request_id,
            attempt=message.attempt,
            key=message.key,
            status="reserved",
            arrived_at=event.at,
            body_digest=message.body_digest,
            deadline_at=event.at + message.remaining_s,
        ),
    )


def _on_finish(state, event):
    message = event.message
    if state.active is None:
        return
    if not may_report_outcome(event.sender, message):
        yield record(
            "journal.ending_refused",
            sender=event.sender,
            attempt=message.attempt,
            status=message.status,
        )
        return
    yield from _queue_operation(
        state,
        PendingOperation(
            requester=event.sender,
            request_id="",
            attempt=message.attempt,
            key=message.key,
            status=message.status,
            arrived_at=event.at,
            response=message.response,
        ),
    )


def _advance(state, number):
    """Take the next step of a shard if one is due."""
    shard = _shard(state, number)
    if shard.call_id or not (shard.pending or shard.in_flight_batch or shard.load):
        return
    if state.journal.wall_offset_s is None:
        return
    if state.now < shard.retry_at:
        yield from reply_to_overdue(state, shard)
        yield from _wake_at(state, shard, number, shard.retry_at)
        return
    if shard.load is not None:
        yield log.read_segment(state, shard, number)
        return
    if shard.is_current and shard.in_flight_batch is None:
        yield from reply_from_view(state, shard)
    if not shard.is_current:
        yield log.read_log(state, shard, number)
    elif shard.in_flight_batch is not None:
        # The batch was sent before with an unknown result, and its position is still
        # free. The same batch is sent again: at most one copy can be written, and
        # either copy has the same effect.
        yield _send_batch(state, shard, number)
    elif shard.pending and log.needs_fold(shard):
        transaction, meta, last_segment_keys = log.fold(state, shard, number)
        shard.pending_fold = (meta, last_segment_keys)
        yield transaction
    elif shard.pending:
        yield from _write(state, shard, number)


def _wake_at(state, shard, number, at):
    if shard.timer_at <= at:
        return
    shard.timer_at = at
    yield SetTimer(name=f"journal-{number}", delay_s=max(0.0, at - state.now))


def _row(operation, at_s, now):
    origin, request = split_attempt(operation.attempt)
    remaining_s = operation.deadline_at - now
    return Row(
        key=operation.key,
        status=operation.status,
        origin=origin,
        request=request,
        at_s=at_s,
        deadline_wall_s=at_s + int(remaining_s) + 1 if remaining_s > 0 else 0,
        body_digest=operation.body_digest,
        response=operation.response,
    )


def _linger_s(state, operation):
    may_wait = operation.status == "done" and not state.draining
    return DONE_LINGER_S if may_wait else LINGER_S


def _write(state, shard, number):
    """Send the next batch once a pending operation has waited long enough."""
    due_at = min(
        operation.arrived_at + _linger_s(state, operation)
        for operation in shard.pending
    )
    due_at = max(due_at, shard.last_write_at + MIN_WRITE_INTERVAL_S)
    if state.now < due_at:
        yield from _wake_at(state, shard, number, due_at)
        return
    is_full = len(shard.entries_by_key) >= MAX_ENTRIES_PER_SHARD
    if is_full:
        log.drop_expired(state, shard)
        is_full = len(shard.entries_by_key) >= MAX_ENTRIES_PER_SHARD
    at_s = log.write_time_s(state, shard)
    batch, rows, still_pending, reserved_keys, n_bytes = [], [], [], set(), 0
    for operation in shard.pending:
        if operation.status == "reserved":
            if is_full:
                yield make_reply(operation, "unavailable")
                continue
            if operation.key in reserved_keys:
                still_pending.append(operation)
                continue
        row = _row(operation, at_s, state.now)
        n_bytes += encoded_row_size(row)
        if n_bytes > MAX_BATCH_BYTES and batch:
            still_pending.append(operation)
            continue
        if operation.status == "reserved":
            reserved_keys.add(operation.key)
        batch.append(operation)
        rows.append(row)
    shard.pending = still_pending
    if not batch:
        return
    state.n_ids += 1
    batch_id = f"{state.node}:{state.incarnation}:{state.n_ids}"
    shard.in_flight_batch = InFlightBatch(
        position=shard.position + 1,
        meta_revision=shard.meta_revision,
        batch_id=batch_id,
        value=encode_rows(batch_id, at_s, rows),
        operations=tuple(batch),
    )
    yield _send_batch(state, shard, number)


def _send_batch(state, shard, number):
    """Append the batch in flight to the log.

    The comparison of the batch's key lets only one writer take the position. The
    comparison of the meta key prevents a folded position from being created again.
    """
    batch = shard.in_flight_batch
    shard.last_write_at = state.now
    key = keys.batch_key(number, batch.position)
    return KeyValueTransaction(
        call_id=log.start_call(state, shard, number, "append"),
        compares=(
            Compare(key=key, mod_revision=0),
            Compare(key=keys.meta_key(number), mod_revision=batch.meta_revision),
        ),
        puts=((key, batch.value),),
    )


def _on_key_value_answered(state, event):
    number = state.journal.shard_numbers_by_call.pop(event.call_id, None)
    if number is None:
        return
    shard = _shard(state, number)
    call, shard.call, shard.call_id = shard.call, "", ""
    if event.status in ("ok", "conflict"):
        shard.n_failures = 0
        shard.retry_at = float("-inf")
    else:
        shard.n_failures += 1
        limit_s = min(MAX_RETRY_S, RETRY_BASE_S * 2**shard.n_failures)
        shard.retry_at = state.now + state.random.uniform(limit_s / 2, limit_s)
        yield Observe(
            metric="journal_call_failed",
            value=1.0,
            labels=(("call", call), ("status", event.status)),
        )
    if call == "append":
        yield from _on_appended(state, shard, event)
    elif call == "fold":
        yield from _on_fold_answered(shard, number, event)
    elif event.status == "ok":
        yield from _on_read(state, shard, number, call, event)
    yield from _advance(state, number)


def _on_appended(state, shard, event):
    if event.status == "ok":
        shard.confirmed_at = event.started_at
        batch, shard.in_flight_batch, shard.may_be_written = (
            shard.in_flight_batch,
            None,
            False,
        )
        log.apply_batch(shard, decode_rows(batch.value)[1])
        for operation in batch.operations:
            entry = shard.entries_by_key.get(operation.key)
            yield make_reply(operation, "reserved", entry)
    elif event.status == "unreachable" and not shard.may_be_written:
        # The batch was certainly not written: its operations are pending again.
        shard.pending = [*shard.in_flight_batch.operations, *shard.pending]
        shard.in_flight_batch = None
    else:
        # Another writer took the position or the response was lost: read the log.
        shard.may_be_written = True
        shard.is_current = False


def _on_fold_answered(shard, number, event):
    meta, last_segment_keys = shard.pending_fold
    shard.pending_fold = None
    if event.status == "ok":
        shard.confirmed_at = event.started_at
        log.on_folded(shard, meta, event.revision, last_segment_keys)
        yield record(
            "journal.folded",
            shard=number,
            through=meta.folded_through,
            n_bytes=meta.segments[-1].n_bytes,
            n_segments=len(meta.segments),
        )
    elif event.status != "unreachable":
        shard.is_current = False


def _on_read(state, shard, number, call, event):
    try:
        if call == "log":
            complete = log.on_log(
                shard, number, event.rows, started_at=event.started_at
            )
        else:
            complete = log.on_segment(state, shard, event.rows)
    except JournalFormatError as error:
        yield record("journal.damaged", shard=number, detail=str(error))
        log.reset_shard(shard)
        shard.n_failures += 1
        shard.retry_at = state.now + MAX_RETRY_S
        return
    if not complete:
        return
    shard.is_current = True
    batch = shard.in_flight_batch
    if batch is None:
        return
    # If the position is taken or the meta key has changed, no copy of the batch can
    # be written any more. Its operations are decided again by their attempts, which a
    # fold preserves, unlike the identity of the batch.
    if shard.position >= batch.position or shard.meta_revision != batch.meta_revision:
        shard.in_flight_batch, shard.may_be_written = None, False
        shard.pending = [*batch.operations, *shard.pending]
        yield record("journal.read_back", shard=number, position=batch.position)


def _on_timer(state, event):
    subsystem, _, number = event.name.partition("-")
    if subsystem == "journal":
        _shard(state, int(number)).timer_at = float("inf")
        yield from _advance(state, int(number))


def _on_tick(state, event):
    if event.wall_s:
        state.journal.wall_offset_s = event.wall_s - event.at
    for number in tuple(state.journal.shards_by_number):
        yield from _advance(state, number)


HANDLERS = {
    JournalReserve: _on_reserve,
    JournalFinish: _on_finish,
    KeyValueAnswered: _on_key_value_answered,
    TimerFired: _on_timer,
    Ticked: _on_tick,
}
