"""The contents of the platform stand-in's key-value service, without I/O."""

from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import dataclass, field

MAX_VALUE_BYTES = 1_000_000
MAX_TRANSACTION_OPERATIONS = 128
MAX_REQUEST_BYTES = 1_500_000
MAX_HISTORY = 10_000


class RefusedRequest(ValueError):
    """The service refuses a request before it executes it."""


@dataclass(kw_only=True)
class StoreState:
    """Rows with the revision of their last write, leases and listeners.

    ``listeners`` are called with revision, key and value, which is None for a
    deletion.
    """

    revision: int = 1
    rows_by_key: dict[bytes, tuple[bytes, int]] = field(default_factory=dict)
    leases_by_id: dict[int, list] = field(default_factory=dict)
    lease_ids_by_key: dict[bytes, int] = field(default_factory=dict)
    history: list[tuple[int, bytes, bytes | None]] = field(default_factory=list)
    listeners: list[Callable] = field(default_factory=list)


def matches(key, start, end):
    """Tell whether a key lies in a range; an empty end means one key."""
    return key == start if not end else start <= key < end


def kv_json(key, value, revision):
    """Encode a row as the gateway does."""
    return {
        "key": b64encode(key).decode(),
        "value": b64encode(value).decode(),
        "mod_revision": str(revision),
    }


def _header(store):
    return {"revision": str(store.revision)}


def _write(store, key, value):
    store.lease_ids_by_key.pop(key, None)
    if value is None:
        store.rows_by_key.pop(key, None)
    else:
        store.rows_by_key[key] = (value, store.revision)
    store.history.append((store.revision, key, value))
    del store.history[:-MAX_HISTORY]
    for listener in list(store.listeners):
        listener(store.revision, key, value)


def apply_range(store, body):
    """Answer a range request given as decoded JSON."""
    start = b64decode(body["key"])
    end = b64decode(body.get("range_end", ""))
    rows = sorted(
        (key, row) for key, row in store.rows_by_key.items() if matches(key, start, end)
    )
    return {
        "header": _header(store),
        "kvs": [kv_json(key, value, revision) for key, (value, revision) in rows],
        "count": str(len(rows)),
    }


def _holds(store, compare):
    key = b64decode(compare["key"])
    _, revision = store.rows_by_key.get(key, (b"", 0))
    return revision == int(compare.get("mod_revision", 0))


def apply_transaction(store, body):
    """Apply a transaction given as decoded JSON.

    Raises
    ------
    RefusedRequest
        If a value or the number of operations exceeds its limit.
    """
    succeeded = all(_holds(store, compare) for compare in body.get("compare", ()))
    operations = body.get("success" if succeeded else "failure", ())
    if len(operations) > MAX_TRANSACTION_OPERATIONS:
        raise RefusedRequest(f"{len(operations)} operations in a transaction")
    puts = [each["request_put"] for each in operations if "request_put" in each]
    values = [b64decode(put.get("value", "")) for put in puts]
    if any(len(value) > MAX_VALUE_BYTES for value in values):
        raise RefusedRequest("value is too large")
    if sum(map(len, values)) > MAX_REQUEST_BYTES:
        raise RefusedRequest("request is too large")
    if operations:
        store.revision += 1
    for put, value in zip(puts, values, strict=True):
        key = b64decode(put["key"])
        _write(store, key, value)
        if int(put.get("lease", 0)):
            store.lease_ids_by_key[key] = int(put["lease"])
    for operation in operations:
        if "request_delete_range" in operation:
            request = operation["request_delete_range"]
            start = b64decode(request["key"])
            end = b64decode(request.get("range_end", ""))
            for key in [k for k in store.rows_by_key if matches(k, start, end)]:
                _write(store, key, None)
    return {"header": _header(store), "succeeded": succeeded, "responses": []}


def grant(store, ttl_s, now):
    """Grant a lease that ends ``ttl_s`` from now."""
    store.revision += 1
    lease = store.revision
    store.leases_by_id[lease] = [ttl_s, now + ttl_s]
    return {"header": _header(store), "ID": str(lease), "TTL": str(ttl_s)}


def keep_alive(store, lease, now):
    """Renew a lease; an expired one is answered with a TTL of 0."""
    expire(store, now)
    held = store.leases_by_id.get(lease)
    if held is not None:
        held[1] = now + held[0]
    ttl_s = held[0] if held is not None else 0
    return {"result": {"header": _header(store), "ID": str(lease), "TTL": str(ttl_s)}}


def revoke(store, lease):
    """End a lease and delete its keys."""
    if store.leases_by_id.pop(lease, None) is not None:
        keys = [key for key, held in store.lease_ids_by_key.items() if held == lease]
        if keys:
            store.revision += 1
        for key in keys:
            _write(store, key, None)
    return {"header": _header(store)}


def expire(store, now):
    """End every lease whose time is over."""
    for lease, (_, ends_at) in list(store.leases_by_id.items()):
        if ends_at <= now:
            revoke(store, lease)
