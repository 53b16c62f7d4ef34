"""Read the log of a shard and fold its batches into segments.

Folding compacts the log: a segment replaces the batches since the last fold.
"""

from savoryhill.core.effects import Compare, KeyValueRange, KeyValueTransaction
from savoryhill.core.journal import keys
from savoryhill.core.journal.codec import (
    Row,
    decode_meta,
    decode_rows,
    encode_meta,
    encode_rows,
    encoded_row_size,
)
from savoryhill.core.journal.entry_rules import apply_row, put_entry, wall_s
from savoryhill.core.journal.state import Meta, Segment, SegmentLoad
from savoryhill.errors import JournalFormatError

FOLD_BATCHES = 64
MAX_SEGMENT_BYTES = 900_000
# A last segment below this size is merged with the next batches, so that a new
# writer has few segments to read. Each byte is rewritten about four times.
MERGE_BELOW_BYTES = 225_000
MAX_MERGED_BYTES = MAX_SEGMENT_BYTES - 50_000
MAX_DROPPED_SEGMENTS = 20
# Entries are kept for the retention time multiplied by this factor, which covers
# the clock skew between hosts.
RETENTION_SLACK = 1.1


def start_call(state, shard, number, call):
    """Register a call to the key-value service and return its id."""
    state.n_ids += 1
    shard.call = call
    shard.call_id = f"journal-{number}-{state.n_ids}"
    state.journal.shard_numbers_by_call[shard.call_id] = number
    return shard.call_id


def read_log(state, shard, number):
    """Read the batches after the last one applied and the meta key in one call."""
    return KeyValueRange(
        call_id=start_call(state, shard, number, "log"),
        key=keys.batch_key(number, shard.position + 1),
        range_end=keys.log_end(number),
    )


def read_segment(state, shard, number):
    """Read the next segment of the load under way."""
    last_position = shard.load.segments[0].last_position
    return KeyValueRange(
        call_id=start_call(state, shard, number, "segment"),
        key=keys.segment_key(number, last_position),
    )


def write_time_s(state, shard):
    """Return the wall time to write, which never decreases within a shard.

    Otherwise a host whose clock is behind would write entries that seem expired.
    """
    return max(int(wall_s(state)), shard.newest_s)


def retention_cutoff_s(state, shard):
    """Return the wall time before which entries have expired."""
    kept_s = state.active.journal.retention_s * RETENTION_SLACK
    return min(wall_s(state), shard.newest_s) - kept_s


def on_log(shard, number, rows, *, started_at):
    """Apply the result of `read_log`, or start to load the segments it requires.

    ``started_at`` is the time at which the read began.

    Returns
    -------
    bool
        True if everything up to the end of the log is applied, False if segments
        must be read first.

    Raises
    ------
    JournalFormatError
        If a value cannot be decoded or a batch is missing.
    """
    meta, meta_revision, batches = Meta(), 0, []
    for row in rows:
        if row.key == keys.meta_key(number):
            meta, meta_revision = decode_meta(row.value), row.mod_revision
        else:
            batches.append((int(row.key.rpartition("/")[2]), row.value))
    if meta.folded_through > shard.position:
        missing = [s for s in meta.segments if s.last_position > shard.position]
        shard.load = SegmentLoad(
            meta=meta,
            meta_revision=meta_revision,
            segments=missing,
            batches=batches,
            started_at=started_at,
        )
        return False
    _apply_log(shard, meta, meta_revision, batches)
    shard.confirmed_at = started_at
    return True


def on_segment(state, shard, rows):
    """Apply the result of `read_segment`.

    Returns
    -------
    bool
        True if everything up to the end of the log is applied.

    Raises
    ------
    JournalFormatError
        If the segment cannot be decoded.
    """
    load = shard.load
    if not rows:
        # The segment was replaced after the meta key was read: start again with the
        # meta key.
        shard.load = None
        return False
    _, entries = decode_rows(rows[0].value)
    oldest_s = retention_cutoff_s(state, shard)
    shard.position = load.segments.pop(0).last_position
    for row in entries:
        if row.at_s >= oldest_s:
            put_entry(shard, row)
    if load.segments:
        return False
    shard.load = None
    shard.position = load.meta.folded_through
    _apply_log(shard, load.meta, load.meta_revision, load.batches)
    shard.last_segment_keys = frozenset(row.key for row in entries)
    shard.confirmed_at = load.started_at
    return True


def _apply_log(shard, meta, meta_revision, batches):
    if meta_revision != shard.meta_revision:
        shard.meta, shard.meta_revision = meta, meta_revision
        shard.last_segment_keys = None
        _drop_folded_changes(shard)
    for position, value in batches:
        if position <= shard.position:
            continue
        if position != shard.position + 1:
            raise JournalFormatError(
                f"batch {shard.position + 1} is missing before batch {position}"
            )
        _, rows = decode_rows(value)
        apply_batch(shard, rows)


def apply_batch(shard, rows):
    """Apply the batch at the next position."""
    shard.position += 1
    for row in rows:
        apply_row(shard, row)


def _drop_folded_changes(shard):
    """Drop the recorded changes that a segment now covers."""
    folded_through = shard.meta.folded_through
    shard.change_positions_by_key = {
        key: position
        for key, position in shard.change_positions_by_key.items()
        if position > folded_through
    }


def reset_shard(shard):
    """Reset the view of a shard whose log could not be decoded."""
    shard.position, shard.meta, shard.meta_revision = 0, Meta(), 0
    shard.entries_by_key.clear()
    shard.change_positions_by_key.clear()
    shard.last_segment_keys, shard.load, shard.is_current = None, None, False


def needs_fold(shard):
    """Tell whether enough batches were written since the last fold."""
    return shard.position - shard.meta.folded_through >= FOLD_BATCHES


def drop_expired(state, shard):
    """Drop expired entries from memory, oldest first; return their number."""
    oldest_s = retention_cutoff_s(state, shard)
    expired = []
    for key, entry in shard.entries_by_key.items():
        if entry.at_s >= oldest_s:
            break
        expired.append(key)
    for key in expired:
        del shard.entries_by_key[key]
        shard.change_positions_by_key.pop(key, None)
    return len(expired)


def fold(state, shard, number):
    """Replace the batches since the last fold with a segment.

    The transaction compares and changes the meta key. A writer that only knows an
    earlier revision of it therefore cannot create a folded position again.

    Returns
    -------
    tuple of (KeyValueTransaction, Meta, frozenset of bytes)
        The transaction, and the contents of the meta key and the keys in the last
        segment once the transaction has succeeded.
    """
    drop_expired(state, shard)
    oldest_s = retention_cutoff_s(state, shard)
    kept = list(shard.meta.segments)
    dropped = []
    while kept and len(dropped) < MAX_DROPPED_SEGMENTS and kept[0].newest_s < oldest_s:
        dropped.append(kept.pop(0))
    row_keys = set(shard.change_positions_by_key)
    if kept and shard.last_segment_keys is not None:
        n_bytes = sum(encoded_row_size(_row(shard, key)) for key in row_keys)
        last = kept[-1]
        if (
            last.n_bytes < MERGE_BELOW_BYTES
            and last.n_bytes + n_bytes < MAX_MERGED_BYTES
        ):
            dropped.append(kept.pop())
            row_keys |= shard.last_segment_keys
    rows = [_row(shard, key) for key in row_keys if key in shard.entries_by_key]
    rows.sort(key=lambda row: (row.at_s, row.key))
    identity = f"{state.node}:{state.incarnation}:{shard.position}"
    value = encode_rows(identity, write_time_s(state, shard), rows)
    segment = Segment(
        last_position=shard.position,
        n_bytes=len(value),
        newest_s=max((row.at_s for row in rows), default=0),
    )
    meta = Meta(folded_through=shard.position, segments=(*kept, segment))
    first = shard.meta.folded_through + 1
    transaction = KeyValueTransaction(
        call_id=start_call(state, shard, number, "fold"),
        compares=(
            Compare(key=keys.meta_key(number), mod_revision=shard.meta_revision),
        ),
        puts=(
            (keys.segment_key(number, shard.position), value),
            (keys.meta_key(number), encode_meta(meta)),
        ),
        deletes=tuple(keys.segment_key(number, s.last_position) for s in dropped),
        delete_ranges=(
            (
                keys.batch_key(number, first),
                keys.batch_key(number, shard.position + 1),
            ),
        ),
    )
    return transaction, meta, frozenset(row.key for row in rows)


def on_folded(shard, meta, meta_revision, last_segment_keys):
    """Adopt the new meta key and last segment after a successful fold."""
    shard.meta, shard.meta_revision = meta, meta_revision
    shard.last_segment_keys = last_segment_keys
    _drop_folded_changes(shard)


def _row(shard, key):
    entry = shard.entries_by_key[key]
    return Row(
        key=key,
        status=entry.status,
        origin=entry.origin,
        request=entry.request,
        at_s=entry.at_s,
        deadline_wall_s=entry.deadline_wall_s,
        body_digest=entry.body_digest,
        response=entry.response,
    )
