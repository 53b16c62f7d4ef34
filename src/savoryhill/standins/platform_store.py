"""In-memory store of the platform stand-in's key-value service, without I/O."""

from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import dataclass, field

MAX_VALUE_BYTES = 1_000_000
MAX_TRANSACTION_OPERATIONS = 128
MAX_REQUEST_BYTES = 1_500_000
MAX_HISTORY = 10_000


class RequestRefusedError(ValueError):
    """Raised when the service refuses a request without executing it."""


@dataclass(kw_only=True)
class StoreState:
    """Rows, leases, history and listeners of the key-value service.

    ``rows_by_key`` holds each value with the revision of its last write, and
    ``leases_by_id`` each lease's TTL and the time at which it expires. Listeners are
    called with the revision, the key and the value, which is None for a deletion.
    A store that is restored from a backup has another ``cluster_id``.
    """

    revision: int = 1
    cluster_id: int = 1
    rows_by_key: dict[bytes, tuple[bytes, int]] = field(default_factory=dict)
    leases_by_id: dict[int, list] = field(default_factory=dict)
    lease_ids_by_key: dict[bytes, int] = field(default_factory=dict)
    history: list[tuple[int, bytes, bytes | None]] = field(default_factory=list)
    listeners: list[Callable] = field(default_factory=list)


def is_in_range(key, start, end):
    """Tell whether a key is in a range; an empty ``end`` means the key ``start``."""
    return key == start if not end else start <= key < end


def encode_row(key, value, revision):
    """Encode a row in the JSON form of the key-value API."""
    return {
        "key": b64encode(key).decode(),
        "value": b64encode(value).decode(),
        "mod_revision": str(revision),
    }


def _header(store):
    return {"revision": str(store.revision), "cluster_id": str(store.cluster_id)}


def _write_row(store, key, value):
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
    """Return the response to a range request, given as decoded JSON."""
    start = b64decode(body["key"])
    end = b64decode(body.get("range_end", ""))
    rows = sorted(
        (key, row)
        for key, row in store.rows_by_key.items()
        if is_in_range(key, start, end)
    )
    return {
        "header": _header(store),
        "kvs": [encode_row(key, value, revision) for key, (value, revision) in rows],
        "count": str(len(rows)),
    }


def _condition_holds(store, compare):
    key = b64decode(compare["key"])
    _, revision = store.rows_by_key.get(key, (b"", 0))
    return revision == int(compare.get("mod_revision", 0))


def apply_transaction(store, body):
    """Apply a transaction, given as decoded JSON, and return the response.

    Raises
    ------
    RequestRefusedError
        If the number of operations, a value or the whole request is over its limit.
    """
    succeeded = all(
        _condition_holds(store, compare) for compare in body.get("compare", ())
    )
    operations = body.get("success" if succeeded else "failure", ())
    if len(operations) > MAX_TRANSACTION_OPERATIONS:
        raise RequestRefusedError(f"{len(operations)} operations in a transaction")
    puts = [op["request_put"] for op in operations if "request_put" in op]
    values = [b64decode(put.get("value", "")) for put in puts]
    if any(len(value) > MAX_VALUE_BYTES for value in values):
        raise RequestRefusedError("value is too large")
    if sum(map(len, values)) > MAX_REQUEST_BYTES:
        raise RequestRefusedError("request is too large")
    if operations:
        store.revision += 1
    for put, value in zip(puts, values, strict=True):
        key = b64decode(put["key"])
        _write_row(store, key, value)
        if int(put.get("lease", 0)):
            store.lease_ids_by_key[key] = int(put["lease"])
    for operation in operations:
        if "request_delete_range" in operation:
            request = operation["request_delete_range"]
            start = b64decode(request["key"])
            end = b64decode(request.get("range_end", ""))
            for key in [
                key for key in store.rows_by_key if is_in_range(key, start, end)
            ]:
                _write_row(store, key, None)
    return {"header": _header(store), "succeeded": succeeded, "responses": []}


def grant_lease(store, ttl_s, now):
    """Grant a lease that expires ``ttl_s`` seconds from now."""
    store.revision += 1
    lease = store.revision
    store.leases_by_id[lease] = [ttl_s, now + ttl_s]
    return {"header": _header(store), "ID": str(lease), "TTL": str(ttl_s)}


def renew_lease(store, lease, now):
    """Renew a lease; the response has a TTL of 0 if the lease has expired."""
    expire_leases(store, now)
    ttl_and_expiry = store.leases_by_id.get(lease)
    if ttl_and_expiry is not None:
        ttl_and_expiry[1] = now + ttl_and_expiry[0]
    ttl_s = ttl_and_expiry[0] if ttl_and_expiry is not None else 0
    return {"result": {"header": _header(store), "ID": str(lease), "TTL": str(ttl_s)}}


def revoke_lease(store, lease):
    """Revoke a lease and delete the keys attached to it."""
    if store.leases_by_id.pop(lease, None) is not None:
        keys = [key for key, owner in store.lease_ids_by_key.items() if owner == lease]
        if keys:
            store.revision += 1
        for key in keys:
            _write_row(store, key, None)
    return {"header": _header(store)}


def expire_leases(store, now):
    """Revoke every lease that has expired."""
    for lease, (_, expires_at) in list(store.leases_by_id.items()):
        if expires_at <= now:
            revoke_lease(store, lease)
