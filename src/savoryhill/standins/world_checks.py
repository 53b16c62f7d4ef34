"""Invariants that hold in every state of a world."""

from savoryhill.core.journal.codec import decode_meta, decode_rows
from savoryhill.core.journal.entry_rules import apply_row, put_entry
from savoryhill.core.journal.state import Shard


def load_durable_shard(world):
    """Rebuild journal shard 0 from the rows in the key-value store.

    Returns
    -------
    Shard
        The shard with the entries from the meta key, the segments and the batches.
    """
    shard = Shard()
    rows = {key.decode(): value for key, (value, _) in world.store.rows_by_key.items()}
    if "/journal/0/meta" in rows:
        shard.meta = decode_meta(rows["/journal/0/meta"])
    for segment in shard.meta.segments:
        value = rows[f"/journal/0/segment/{segment.last_position:012d}"]
        for row in decode_rows(value)[1]:
            put_entry(shard, row)
    shard.position = shard.meta.folded_through
    batches = sorted(key for key in rows if key.startswith("/journal/0/batch/"))
    for key in batches:
        shard.position += 1
        assert key.endswith(f"{shard.position:012d}"), f"gap in the log: {batches}"
        for row in decode_rows(rows[key])[1]:
            apply_row(shard, row)
    return shard


def find_violations(world, done_responses_by_key):
    """Check the invariants of a world.

    A key is executed at most once, a request that is reported as not run was not
    executed, and a key that is done stays done with the same response.

    Parameters
    ----------
    world : World
        The world.
    done_responses_by_key : dict of bytes to bytes
        Responses of the keys that earlier checks found done; updated.

    Returns
    -------
    list of str
        One description per violation.
    """
    violations = [
        f"key {key} was executed {count} times"
        for key, count in world.executions_by_key.items()
        if count > 1
    ]
    violations += [
        f"request {request_id} was reported as not run but was executed: "
        f"{finish.detail}"
        for request_id, finish in world.finishes.items()
        if finish.execution == "not_run" and request_id in world.executed_requests
    ]
    entries = load_durable_shard(world).entries_by_key
    for key, response in done_responses_by_key.items():
        entry = entries.get(key)
        if entry is None or (entry.status, entry.response) != ("done", response):
            violations.append(
                f"key {key} was done with {response} but its entry is now {entry}"
            )
    for key, entry in entries.items():
        if entry.status == "done":
            done_responses_by_key.setdefault(key, entry.response)
    return violations
