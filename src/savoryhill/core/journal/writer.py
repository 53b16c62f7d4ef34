"""Write journal batches by compare-and-swap and answer reservations.

A shard has at most one call to the key-value service under way. The order of
work is: settle what is in doubt, answer what memory decides, fold, write.
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
    row_bytes,
    split_attempt,
)
from savoryhill.core.journal.judge import judge_reservation, may_report
from savoryhill.core.journal.replies import (
    answer,
    answer_from_view,
    give_up,
    known_entry,
)
from savoryhill.core.journal.state import Flight, PendingOperation, Shard
from savoryhill.core.messages import JournalFinish, JournalReply, JournalReserve
from savoryhill.errors import JournalFormatError

# Two writes of a shard are at least this far apart, which bounds the write rate.
MIN_WRITE_INTERVAL_S = 0.04
# The first operation of a batch waits this long for others. An answer waits longer,
# since repeats are answered from memory meanwhile; a key that is free again or
# needs a lookup does not.
LINGER_S = 0.005
DONE_LINGER_S = 0.5
# 64 batches of this size fit into one segment and one transaction.
MAX_BATCH_BYTES = 10_000
RETRY_BASE_S = 0.05
MAX_RETRY_S = 0.8
MAX_PENDING = 10_000
# 50,000 entries with answers of 100 bytes take 25 MB; see docs/decisions/journal.md.
MAX_ENTRIES_PER_SHARD = 50_000


def _shard(state, number):
    return state.journal.shards_by_number.setdefault(number, Shard())


def _add(state, operation):
    """Queue an operation unless it waits already or memory decides it."""
    number = keys.shard_of(state, operation.key)
    shard = _shard(state, number)
    known = [
        *shard.pending,
        *(shard.in_flight_batch.operations if shard.in_flight_batch else ()),
    ]
    same = (operation.attempt, operation.status)
    if any((other.attempt, other.status) == same for other in known):
        return
    if operation.status == "reserved":
        entry = known_entry(shard, operation.key)
        if entry is not None and entry.status == "done":
            # Final, so it is answered even while the service is out.
            yield answer(operation, judge_reservation(state, entry, operation), entry)
            return
    if len(shard.pending) >= MAX_PENDING:
        if operation.status == "reserved":
            yield answer(operation, "unavailable")
        return
    shard.pending.append(operation)
    yield from _advance(state, number)


def _on_reserve(state, event):
    message = event.message
    if state.active is None:
        # Without the number of shards nothing can be written.
        yield SendPeer(
            to=event.sender,
            message=JournalReply(
                request_id=message.request_id,
                attempt=message.attempt,
                status="unavailable",
            ),
        )
        return
    yield from _add(
        state,
        PendingOperation(
            requester=event.sender,
            request_id=message.request_id,
            attempt=message.attempt,
            key=message.key,
            status="reserved",
            arrived_at=event.at,
            body_digest=message.body_digest,
            ends_at=event.at + message.remaining_s,
        ),
    )


def _on_finish(state, event):
    message = event.message
    if state.active is None:
        return
    if not may_report(event.sender, message):
        yield record(
            "journal.ending_refused",
            sender=event.sender,
            attempt=message.attempt,
            status=message.status,
        )
        return
    yield from _add(
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
    """Take the next step of a shard if it is time."""
    shard = _shard(state, number)
    if shard.call_id or not (shard.pending or shard.in_flight_batch or shard.load):
        return
    if state.journal.wall_offset_s is None:
        return
    if state.now < shard.retry_at:
        yield from give_up(state, shard)
        yield from _wake_at(state, shard, number, shard.retry_at)
        return
    if shard.load is not None:
        yield log.read_segment(state, shard, number)
        return
    if shard.fresh and shard.in_flight_batch is None:
        yield from answer_from_view(state, shard)
    if not shard.fresh:
        yield log.read_log(state, shard, number)
    elif shard.in_flight_batch is not None:
        # Sent before with an unknown outcome, and its position is still free. The
        # same batch is sent again: whichever copy arrives, the outcome is one.
        yield _send_flight(state, shard, number)
    elif shard.pending and log.needs_fold(shard):
        transaction, meta, tail_keys = log.fold(state, shard, number)
        shard.folding = (meta, tail_keys)
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
    lasts_s = operation.ends_at - now
    return Row(
        key=operation.key,
        status=operation.status,
        origin=origin,
        request=request,
        at_s=at_s,
        deadline_wall_s=at_s + int(lasts_s) + 1 if lasts_s > 0 else 0,
        body_digest=operation.body_digest,
        response=operation.response,
    )


def _linger_s(state, operation):
    waits = operation.status == "done" and not state.draining
    return DONE_LINGER_S if waits else LINGER_S


def _write(state, shard, number):
    """Send the next batch if the oldest operation has waited long enough."""
    due = min(op.arrived_at + _linger_s(state, op) for op in shard.pending)
    due = max(due, shard.wrote_at + MIN_WRITE_INTERVAL_S)
    if state.now < due:
        yield from _wake_at(state, shard, number, due)
        return
    full = len(shard.entries_by_key) >= MAX_ENTRIES_PER_SHARD
    if full:
        log.drop_expired(state, shard)
        full = len(shard.entries_by_key) >= MAX_ENTRIES_PER_SHARD
    at_s = log.stamp_s(state, shard)
    batch, rows, later, reserved_keys, n_bytes = [], [], [], set(), 0
    for operation in shard.pending:
        if operation.status == "reserved":
            if full:
                yield answer(operation, "unavailable")
                continue
            if operation.key in reserved_keys:
                later.append(operation)
                continue
        row = _row(operation, at_s, state.now)
        n_bytes += row_bytes(row)
        if n_bytes > MAX_BATCH_BYTES and batch:
            later.append(operation)
            continue
        if operation.status == "reserved":
            reserved_keys.add(operation.key)
        batch.append(operation)
        rows.append(row)
    shard.pending = later
    if not batch:
        return
    state.n_ids += 1
    batch_id = f"{state.node}:{state.incarnation}:{state.n_ids}"
    shard.in_flight_batch = Flight(
        position=shard.position + 1,
        meta_revision=shard.meta_revision,
        batch_id=batch_id,
        value=encode_rows(batch_id, at_s, rows),
        operations=tuple(batch),
    )
    yield _send_flight(state, shard, number)


def _send_flight(state, shard, number):
    """Append the batch in flight.

    The comparison of the batch's key lets one writer take the position; that of
    the meta key keeps a position from being created again after a fold.
    """
    in_flight_batch = shard.in_flight_batch
    shard.wrote_at = state.now
    key = keys.batch_key(number, in_flight_batch.position)
    return KeyValueTransaction(
        call_id=log.start_call(state, shard, number, "append"),
        compares=(
            Compare(key=key, mod_revision=0),
            Compare(
                key=keys.meta_key(number), mod_revision=in_flight_batch.meta_revision
            ),
        ),
        puts=((key, in_flight_batch.value),),
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
        in_flight_batch, shard.in_flight_batch, shard.doubtful = (
            shard.in_flight_batch,
            None,
            False,
        )
        log.apply_batch(shard, decode_rows(in_flight_batch.value)[1])
        for operation in in_flight_batch.operations:
            entry = shard.entries_by_key.get(operation.key)
            yield answer(operation, "reserved", entry)
    elif event.status == "unreachable" and not shard.doubtful:
        # Provably without effect: the operations are pending as before.
        shard.pending = [*shard.in_flight_batch.operations, *shard.pending]
        shard.in_flight_batch = None
    else:
        # Another writer was faster, or the answer was lost: read back.
        shard.doubtful = True
        shard.fresh = False


def _on_fold_answered(shard, number, event):
    meta, tail_keys = shard.folding
    shard.folding = None
    if event.status == "ok":
        shard.confirmed_at = event.started_at
        log.on_folded(shard, meta, event.revision, tail_keys)
        yield record(
            "journal.folded",
            shard=number,
            through=meta.folded_through,
            n_bytes=meta.segments[-1].n_bytes,
            n_segments=len(meta.segments),
        )
    elif event.status != "unreachable":
        shard.fresh = False


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
        log.forget(shard)
        shard.n_failures += 1
        shard.retry_at = state.now + MAX_RETRY_S
        return
    if not complete:
        return
    shard.fresh = True
    in_flight_batch = shard.in_flight_batch
    if in_flight_batch is None:
        return
    # The position is taken or the meta key has changed, so no copy of the batch
    # can be written any more. Its operations are judged again by their attempts,
    # which a fold keeps, unlike the batch's identity.
    if (
        shard.position >= in_flight_batch.position
        or shard.meta_revision != in_flight_batch.meta_revision
    ):
        shard.in_flight_batch, shard.doubtful = None, False
        shard.pending = [*in_flight_batch.operations, *shard.pending]
        yield record(
            "journal.read_back", shard=number, position=in_flight_batch.position
        )


def _on_timer(state, event):
    kind, _, number = event.name.partition("-")
    if kind == "journal":
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
