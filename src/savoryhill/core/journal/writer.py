"""Write journal batches by compare-and-swap and answer reservations."""

import json

from savoryhill.core.coordination.view import rendezvous_order
from savoryhill.core.effects import (
    Compare,
    KeyValueRange,
    KeyValueTransaction,
    SendPeer,
    record,
)
from savoryhill.core.events import KeyValueAnswered, Ticked
from savoryhill.core.journal.state import Entry, PendingOperation, Shard
from savoryhill.core.membership.view import live_nodes
from savoryhill.core.messages import JournalFinish, JournalReply, JournalReserve

# Two writes of a shard are at least this far apart, which bounds the write rate.
MIN_WRITE_INTERVAL_S = 0.04


def shard_of(state, key):
    """Return the shard number of a journal key."""
    return int.from_bytes(key[:4], "big") % state.active.journal.n_shards


def writer_of(state, shard_number):
    """Return the node that should write a shard; any other may, only slower."""
    return rendezvous_order(f"journal/{shard_number}", live_nodes(state))[0]


def _batch_key(shard_number, position):
    return f"/journal/{shard_number}/batch/{position:012d}"


def _encode(batch_id, operations):
    rows = [
        [
            operation.key.hex(),
            operation.status,
            operation.attempt,
            operation.body_digest.hex(),
            operation.response.decode("latin-1"),
        ]
        for operation in operations
    ]
    return json.dumps({"id": batch_id, "operations": rows}).encode()


def _apply_batch(shard, value):
    batch = json.loads(value)
    for key, status, attempt, body_digest, response in batch["operations"]:
        key = bytes.fromhex(key)
        entry = shard.entries_by_key.get(key)
        if status == "reserved":
            if entry is None or entry.status == "not_sent":
                shard.entries_by_key[key] = Entry(
                    status="reserved",
                    attempt=attempt,
                    body_digest=bytes.fromhex(body_digest),
                )
        elif entry is not None and entry.attempt == attempt:
            entry.status = status
            entry.response = response.encode("latin-1")
    return batch["id"]


def _decide(entry, operation):
    """Judge a reservation against the entry of its key."""
    if entry is None or entry.status == "not_sent":
        return None
    if entry.body_digest != operation.body_digest:
        return "mismatch"
    if entry.status == "done":
        return "done"
    if entry.attempt == operation.attempt:
        return "reserved"
    return "running"


def _answer(operation, status, response=b""):
    return SendPeer(
        to=operation.requester,
        message=JournalReply(
            request_id=operation.request_id,
            attempt=operation.attempt,
            status=status,
            response=response,
        ),
    )


def _shard(state, number):
    return state.journal.shards_by_number.setdefault(number, Shard())


def _call(state, shard, number):
    state.n_ids += 1
    shard.call_id = f"journal-{number}-{state.n_ids}"
    state.journal.shard_numbers_by_call[shard.call_id] = number
    return shard.call_id


def _advance(state, number):
    """Load the shard if needed, else write the next batch if it is time."""
    shard = _shard(state, number)
    if shard.call_id or not (shard.pending or shard.written):
        return
    if not shard.loaded:
        yield KeyValueRange(
            call_id=_call(state, shard, number),
            key=f"/journal/{number}/batch/",
            prefix=True,
        )
        return
    if state.now - shard.wrote_at < MIN_WRITE_INTERVAL_S:
        return
    batch = []
    keys_in_batch = set()
    later = []
    for operation in shard.pending:
        if operation.status != "reserved":
            batch.append(operation)
            continue
        entry = shard.entries_by_key.get(operation.key)
        decision = _decide(entry, operation)
        if decision is not None:
            yield _answer(operation, decision, entry.response)
        elif operation.key in keys_in_batch:
            later.append(operation)
        else:
            keys_in_batch.add(operation.key)
            batch.append(operation)
    shard.pending = later
    if not batch:
        return
    shard.written = batch
    shard.wrote_at = state.now
    shard.batch_id = f"{state.node}:{state.incarnation}:{state.n_ids}"
    key = _batch_key(number, shard.position + 1)
    yield KeyValueTransaction(
        call_id=_call(state, shard, number),
        compares=(Compare(key=key, mod_revision=0),),
        puts=((key, _encode(shard.batch_id, batch)),),
    )


def _on_reserve(state, event):
    message = event.message
    operation = PendingOperation(
        requester=event.sender,
        request_id=message.request_id,
        attempt=message.attempt,
        key=message.key,
        status="reserved",
        body_digest=message.body_digest,
    )
    number = shard_of(state, message.key)
    _shard(state, number).pending.append(operation)
    return _advance(state, number)


def _on_finish(state, event):
    message = event.message
    operation = PendingOperation(
        requester=event.sender,
        request_id="",
        attempt=message.attempt,
        key=message.key,
        status=message.status,
        response=message.response,
    )
    number = shard_of(state, message.key)
    _shard(state, number).pending.append(operation)
    return _advance(state, number)


def _settle(state, number, status):
    """Finish the batch in flight once it is known whether it was written."""
    shard = _shard(state, number)
    written, shard.written = shard.written, []
    if status == "written":
        _apply_batch(shard, _encode(shard.batch_id, written))
        shard.position += 1
        for operation in written:
            if operation.status == "reserved":
                yield _answer(operation, "reserved")
    else:
        shard.pending = written + shard.pending


def _on_key_value_answered(state, event):
    number = state.journal.shard_numbers_by_call.pop(event.call_id, None)
    if number is None:
        return
    shard = _shard(state, number)
    shard.call_id = ""
    if not shard.loaded:
        yield from _on_loaded(state, number, event)
    elif event.status == "ok":
        yield from _settle(state, number, "written")
    elif event.status == "unreachable":
        reserves = [op for op in shard.written if op.status == "reserved"]
        shard.written = [op for op in shard.written if op.status != "reserved"]
        yield from _settle(state, number, "not_written")
        for operation in reserves:
            yield _answer(operation, "unavailable")
    else:
        # Another writer took the position, or the answer was lost: read back.
        shard.loaded = False
    yield from _advance(state, number)


def _on_loaded(state, number, event):
    shard = _shard(state, number)
    if event.status != "ok":
        if not shard.written:
            for operation in shard.pending:
                if operation.status == "reserved":
                    yield _answer(operation, "unavailable")
            shard.pending = [op for op in shard.pending if op.status != "reserved"]
        return
    shard.loaded = True
    outcome = "not_written"
    for row in event.rows:
        position = int(row.key.rsplit("/", 1)[1])
        if position <= shard.position:
            continue
        if position == shard.position + 1 and shard.written:
            own = json.loads(row.value)["id"] == shard.batch_id
            if own:
                yield from _settle(state, number, "written")
                continue
        _apply_batch(shard, row.value)
        shard.position = position
    if shard.written:
        yield record("journal.batch_lost_race", shard=number, position=shard.position)
        yield from _settle(state, number, outcome)


def _on_tick(state, event):
    for number in tuple(state.journal.shards_by_number):
        yield from _advance(state, number)


HANDLERS = {
    JournalReserve: _on_reserve,
    JournalFinish: _on_finish,
    KeyValueAnswered: _on_key_value_answered,
    Ticked: _on_tick,
}
