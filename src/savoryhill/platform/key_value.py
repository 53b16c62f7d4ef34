"""Client of the platform's key-value service (etcd v3 JSON gateway).

Failures are classified by what is known of the call's effect.
``PlatformUnreachableError`` means that the call had no effect, ``OutcomeUnknownError``
that a write may have taken effect. A write that is answered 503 has an unknown outcome:
the gateway also returns 503 when the leader changes after the proposal was accepted.
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
from savoryhill.platform.rate_limit import TokenBucket, make_bucket, take_token
from savoryhill.sendonce import SendOnceClient, make_send_once_client, request_once

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
N_CONNECTIONS = 8
# Share of one of nine nodes in several hundred writes and 2000 reads per second.
WRITES_PER_S = 60.0
READS_PER_S = 200.0
MAX_BUDGET_WAIT_S = 0.5
READ_TRIES = 3
RETRY_BASE_S = 0.02
# Statuses with which the service rejects a call before executing it.
REFUSED_STATUSES = frozenset({400, 401, 403, 404, 413, 429})


def _report_nothing(name, **fields):
    """Default of ``KeyValueClient.report``."""


@dataclass(kw_only=True)
class KeyValueClient:
    """Client of the key-value service at ``address``.

    ``writes`` and ``reads`` limit the rate of this node's calls. ``counts`` holds the
    number of calls by operation and of failures by operation and cause.
    ``max_revision`` is the highest revision in any response of the cluster
    ``cluster_id`` so far; a service that is restored from a backup is another cluster,
    whose revisions begin anew. ``report`` is called with an event's name and fields
    when a response has a lower revision than an earlier one, when the cluster is
    another one, or when a watch is silent.
    """

    address: str
    transport: SendOnceClient
    clock: Clock
    random: Random
    writes: TokenBucket
    reads: TokenBucket
    report: Callable = _report_nothing
    max_revision: int = 0
    cluster_id: str = ""
    counts: Counter = field(default_factory=Counter)


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyValueResponse:
    """Response to a range read or a transaction."""

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
        Time limit for a response.
    writes_per_s, reads_per_s : float
        Rate limits of this node's calls.
    clock : Clock, optional
        The clock of the runtime; the operating system's clock by default.
    seed : int
        Seed of the jitter between attempts of a read.
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
    """Encode a key or a value in base64, as the gateway's JSON requires."""
    return b64encode(value if isinstance(value, bytes) else value.encode()).decode()


def prefix_end(key):
    """Return the exclusive end of the range of all keys that start with ``key``."""
    data = key.encode()
    return data[:-1] + bytes([data[-1] + 1])


def row_from_json(item):
    """Decode one key-value pair of a response."""
    return KeyValueRow(
        key=b64decode(item["key"]).decode(),
        value=b64decode(item.get("value", "")),
        mod_revision=int(item["mod_revision"]),
    )


def wait_for_budget(client, bucket, operation):
    """Wait until the node's rate limit allows a call, and count the call.

    Raises
    ------
    PlatformUnreachableError
        If the wait would exceed ``MAX_BUDGET_WAIT_S``.
    """
    now = client.clock.monotonic()
    wait_s = take_token(bucket, now, max_wait_s=MAX_BUDGET_WAIT_S)
    if wait_s is None:
        client.counts[operation, "budget"] += 1
        raise PlatformUnreachableError(
            f"budget of {bucket.rate_per_s:g} {operation} calls per second is exhausted"
        )
    if wait_s:
        client.clock.sleep(wait_s)
    client.counts[operation, "calls"] += 1


def call_once(client, operation, path, body):
    """Send one call and return its decoded response.

    Raises
    ------
    PlatformUnreachableError
        If the call provably had no effect.
    OutcomeUnknownError
        If no valid response arrived, or one with another error status, so a write may
        have taken effect.
    StaleRevisionError
        If the response has a lower revision than was known when the call was sent.
    """
    service = f"key-value service at {client.address}"
    min_revision, asked_cluster_id = client.max_revision, client.cluster_id
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
        raise PlatformUnreachableError(f"{service}: no connection: {error}") from error
    except Exception as error:
        cause = "timeout" if isinstance(error, TimeoutError) else "broken"
        client.counts[operation, cause] += 1
        raise OutcomeUnknownError(f"{service}: no answer: {error!r}") from error
    if status != 200:
        client.counts[operation, f"status_{status}"] += 1
        refused = status in REFUSED_STATUSES
        error_type = PlatformUnreachableError if refused else OutcomeUnknownError
        raise error_type(f"{service} answered {status}")
    try:
        response = json.loads(content)
        response = response.get("result", response)
        revision = int(response["header"]["revision"])
        cluster_id = str(response["header"].get("cluster_id", ""))
    except (AttributeError, ValueError, KeyError, TypeError) as error:
        client.counts[operation, "undecodable"] += 1
        raise OutcomeUnknownError(
            f"{service}: undecodable answer: {error!r}"
        ) from error
    if cluster_id not in ("", client.cluster_id):
        if client.cluster_id != asked_cluster_id:
            raise StaleRevisionError(
                f"{service} answered for cluster {cluster_id} while "
                f"{client.cluster_id} took its place"
            )
        _follow_cluster(client, cluster_id, revision)
        return response
    if revision < min_revision and client.cluster_id == asked_cluster_id:
        # Concurrent calls may be answered in any order, so the revision is compared
        # with the highest one known when this call was sent, not with the current one.
        client.counts[operation, "revision_went_back"] += 1
        client.report(
            "key_value.revision_went_back",
            revision=revision,
            known=min_revision,
            path=path,
        )
        raise StaleRevisionError(
            f"{service} answered revision {revision} after {min_revision}"
        )
    client.max_revision = max(client.max_revision, revision)
    return response


def _follow_cluster(client, cluster_id, revision):
    """Begin anew with the revisions of another cluster, such as one from a backup."""
    if client.cluster_id:
        client.report(
            "key_value.other_cluster",
            cluster=cluster_id,
            before=client.cluster_id,
            revision=revision,
            known=client.max_revision,
        )
    client.cluster_id = cluster_id
    client.max_revision = revision


def _read_with_retries(client, body):
    """Send a read, and repeat it after a jittered pause if it fails."""
    for n_failed in range(READ_TRIES):
        wait_for_budget(client, client.reads, "read")
        try:
            return call_once(client, "read", "/v3/kv/range", body)
        except (
            PlatformUnreachableError,
            OutcomeUnknownError,
            StaleRevisionError,
        ) as caught:
            error = caught
        if n_failed + 1 < READ_TRIES:
            max_pause_s = RETRY_BASE_S * 2**n_failed
            client.clock.sleep(client.random.uniform(0.0, max_pause_s))
    raise PlatformUnreachableError(str(error)) from error


def read_range(client, key, *, prefix=False, range_end=""):
    """Read one key, or all keys with a prefix, or a range of keys.

    A failed read is repeated, up to ``READ_TRIES`` sends in all.

    Parameters
    ----------
    client : KeyValueClient
        The client to use.
    key : str
        The key, the prefix or the start of the range.
    prefix : bool
        Whether ``key`` is a prefix.
    range_end : str
        First key after the range; empty if ``key`` is a key or a prefix.

    Returns
    -------
    KeyValueResponse
        The rows, in key order.

    Raises
    ------
    PlatformUnreachableError
        If no send of the read succeeded.
    """
    body = {"key": encode_base64(key)}
    if prefix:
        body["range_end"] = encode_base64(prefix_end(key))
    elif range_end:
        body["range_end"] = encode_base64(range_end)
    response = _read_with_retries(client, body)
    return KeyValueResponse(
        succeeded=True,
        revision=int(response["header"]["revision"]),
        rows=tuple(row_from_json(item) for item in response.get("kvs", ())),
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
    """Write if every comparison holds; the call is sent at most once.

    Parameters
    ----------
    client : KeyValueClient
        The client to use.
    compares : sequence of Compare
        Keys with the expected revision of their last write, 0 for an absent key.
    puts : sequence of (str, bytes)
        Keys and values to write.
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
    wait_for_budget(client, client.writes, "write")
    body = transaction_body(
        compares=compares, puts=puts, deletes=deletes, delete_ranges=delete_ranges
    )
    try:
        response = call_once(client, "write", "/v3/kv/txn", body)
    except StaleRevisionError as error:
        raise OutcomeUnknownError(str(error)) from error
    return KeyValueResponse(
        succeeded=bool(response.get("succeeded", False)),
        revision=int(response["header"]["revision"]),
    )
