"""Client of the platform's key-value service (etcd v3 JSON gateway).

Every failure is classified by what it proves. ``PlatformUnreachableError`` means
that the call had no effect; ``OutcomeUnknownError`` that a write may have taken
effect. A status of 503 proves nothing for a write: the gateway also gives it when
a leader changes after the proposal was accepted.
"""

import json
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from savoryhill.clock import Clock, system_clock
from savoryhill.core.events import KeyValueRow
from savoryhill.errors import (
    NotConnectedError,
    OutcomeUnknownError,
    PlatformUnreachableError,
    StaleRevisionError,
)
from savoryhill.platform.budget import TokenBucket, make_bucket, take_token
from savoryhill.sendonce import SendOnceClient, make_send_once_client, request_once

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
N_CONNECTIONS = 8
# Several hundred writes and two thousand reads a second, divided by nine nodes.
WRITES_PER_S = 60.0
READS_PER_S = 200.0
MAX_BUDGET_WAIT_S = 0.5
READ_TRIES = 3
RETRY_BASE_S = 0.02
# Statuses by which the service refuses a call before it executes it.
REFUSED_STATUSES = frozenset({400, 401, 403, 404, 413, 429})


def _report_nothing(name, **fields):
    """Default of ``KeyValueClient.report``."""


@dataclass(kw_only=True)
class KeyValueClient:
    """Connections to the key-value service at ``ip:port``.

    ``counts`` holds calls by operation and failures by operation and cause.
    ``max_revision`` is the highest revision any answer carried. ``report`` is
    called with an event's name and fields when an answer contradicts an earlier
    one.
    """

    address: str
    transport: SendOnceClient
    clock: Clock
    random: Random
    writes: TokenBucket
    reads: TokenBucket
    report: Callable = _report_nothing
    max_revision: int = 0
    counts: Counter = field(default_factory=Counter)


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyValueResponse:
    """The answer to a range or a transaction."""

    succeeded: bool
    revision: int
    rows: tuple[KeyValueRow, ...] = ()


def make_key_value_client(
    address,
    *,
    timeout_s=CALL_TIMEOUT_S,
    writes_per_s=WRITES_PER_S,
    reads_per_s=READS_PER_S,
    clock=None,
    seed=0,
    report=_report_nothing,
):
    """Build a client; no connection is opened before the first call.

    Parameters
    ----------
    address : str
        ``ip:port`` of the service.
    timeout_s : float
        Limit for an answer.
    writes_per_s, reads_per_s : float
        Budget of this node.
    clock : Clock, optional
        The runtime's clock, that of the operating system if not given.
    seed : int
        Seed of the jitter between retries.
    report : callable
        Called with an event's name and its fields.

    Returns
    -------
    KeyValueClient
        The client.
    """
    return KeyValueClient(
        address=address,
        transport=make_send_once_client(
            address,
            connect_timeout_s=min(CONNECT_TIMEOUT_S, timeout_s),
            timeout_s=timeout_s,
            concurrency=N_CONNECTIONS,
        ),
        clock=clock or system_clock(),
        random=Random(f"{address}/{seed}"),
        writes=make_bucket(writes_per_s),
        reads=make_bucket(reads_per_s),
        report=report,
    )


def encode_base64(value):
    """Encode a key or a value as the gateway's JSON does."""
    return b64encode(value if isinstance(value, bytes) else value.encode()).decode()


def prefix_end(key):
    """Return the end of the range of all keys that start with ``key``."""
    data = key.encode()
    return data[:-1] + bytes([data[-1] + 1])


def row_from_json(item):
    """Decode one key-value pair of an answer."""
    return KeyValueRow(
        key=b64decode(item["key"]).decode(),
        value=b64decode(item.get("value", "")),
        mod_revision=int(item["mod_revision"]),
    )


def spend(client, bucket, operation):
    """Wait for the node's budget.

    Raises
    ------
    PlatformUnreachableError
        If the budget is exhausted for longer than ``MAX_BUDGET_WAIT_S``.
    """
    now = client.clock.monotonic()
    wait_s = take_token(bucket, now, max_wait_s=MAX_BUDGET_WAIT_S)
    if wait_s is None:
        client.counts[operation, "budget"] += 1
        raise PlatformUnreachableError(
            f"budget of {bucket.rate_per_s:g} {operation} calls a second is exhausted"
        )
    if wait_s:
        client.clock.sleep(wait_s)
    client.counts[operation, "calls"] += 1


def call_once(client, operation, path, body):
    """Send one call and return its decoded answer; see the module's errors."""
    place = f"key-value service at {client.address}"
    floor = client.max_revision
    try:
        status, _, content = request_once(
            client.transport,
            "POST",
            path,
            body=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
        )
    except NotConnectedError as error:
        client.counts[operation, "not_connected"] += 1
        raise PlatformUnreachableError(f"{place}: no connection: {error}") from error
    except Exception as error:
        cause = "timeout" if isinstance(error, TimeoutError) else "broken"
        client.counts[operation, cause] += 1
        raise OutcomeUnknownError(f"{place}: no answer: {error!r}") from error
    if status != 200:
        client.counts[operation, f"status_{status}"] += 1
        refused = status in REFUSED_STATUSES
        kind = PlatformUnreachableError if refused else OutcomeUnknownError
        raise kind(f"{place} answered {status}")
    try:
        answer = json.loads(content)
        answer = answer.get("result", answer)
        revision = int(answer["header"]["revision"])
    except (ValueError, KeyError, TypeError) as error:
        client.counts[operation, "undecodable"] += 1
        raise OutcomeUnknownError(f"{place}: undecodable answer: {error!r}") from error
    if revision < floor:
        # Two calls in flight may be answered in either order, so the answer is
        # compared with what was known when this call was sent.
        client.counts[operation, "revision_went_back"] += 1
        client.report(
            "key_value.revision_went_back", revision=revision, known=floor, path=path
        )
        raise StaleRevisionError(f"{place} answered revision {revision} after {floor}")
    client.max_revision = max(client.max_revision, revision)
    return answer


def _read(client, body):
    """Send a read, again after a jittered pause if it fails."""
    for n_failed in range(READ_TRIES):
        spend(client, client.reads, "read")
        try:
            return call_once(client, "read", "/v3/kv/range", body)
        except (PlatformUnreachableError, OutcomeUnknownError, StaleRevisionError) as e:
            error = e
        if n_failed + 1 < READ_TRIES:
            limit_s = RETRY_BASE_S * 2**n_failed
            client.clock.sleep(client.random.uniform(0.0, limit_s))
    raise PlatformUnreachableError(str(error)) from error


def read_range(client, key, *, prefix=False, range_end=""):
    """Read one key, or all keys with a prefix, or a range of keys.

    A failed read is tried again, ``READ_TRIES`` times in all.

    Parameters
    ----------
    client : KeyValueClient
        The connection.
    key : str
        The key, the prefix or the start of the range.
    prefix : bool
        Whether ``key`` is a prefix.
    range_end : str
        First key after the range; empty if ``key`` is a key or a prefix.

    Returns
    -------
    KeyValueResponse
        The rows in the order of their keys.

    Raises
    ------
    PlatformUnreachableError
        If the service did not answer.
    """
    body = {"key": encode_base64(key)}
    if prefix:
        body["range_end"] = encode_base64(prefix_end(key))
    elif range_end:
        body["range_end"] = encode_base64(range_end)
    answer = _read(client, body)
    return KeyValueResponse(
        succeeded=True,
        revision=int(answer["header"]["revision"]),
        rows=tuple(row_from_json(item) for item in answer.get("kvs", ())),
    )


def transaction_body(*, compares, puts=(), deletes=(), delete_ranges=()):
    """Build the JSON body of a transaction; see `transact`."""
    return {
        "compare": [
            {
                "key": encode_base64(compare.key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(compare.mod_revision),
            }
            for compare in compares
        ],
        "success": [
            {"request_put": {"key": encode_base64(key), "value": encode_base64(value)}}
            for key, value in puts
        ]
        + [{"request_delete_range": {"key": encode_base64(key)}} for key in deletes]
        + [
            {
                "request_delete_range": {
                    "key": encode_base64(start),
                    "range_end": encode_base64(end),
                }
            }
            for start, end in delete_ranges
        ],
    }


def transact(client, *, compares, puts=(), deletes=(), delete_ranges=()):
    """Write if every comparison holds. The call is sent once.

    Parameters
    ----------
    client : KeyValueClient
        The connection.
    compares : sequence of Compare
        Keys with the revision of their last write, 0 for absent.
    puts : sequence of (str, bytes)
        What to write.
    deletes : sequence of str
        Keys to delete.
    delete_ranges : sequence of (str, str)
        Ranges of keys to delete, the end excluded.

    Returns
    -------
    KeyValueResponse
        ``succeeded`` tells whether the comparisons held.

    Raises
    ------
    PlatformUnreachableError
        If the transaction provably had no effect.
    OutcomeUnknownError
        If it may have taken effect.
    """
    spend(client, client.writes, "write")
    body = transaction_body(
        compares=compares, puts=puts, deletes=deletes, delete_ranges=delete_ranges
    )
    try:
        answer = call_once(client, "write", "/v3/kv/txn", body)
    except StaleRevisionError as error:
        raise OutcomeUnknownError(str(error)) from error
    return KeyValueResponse(
        succeeded=bool(answer.get("succeeded", False)),
        revision=int(answer["header"]["revision"]),
    )
