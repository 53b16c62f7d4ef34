"""Client of the platform's key-value service (etcd v3 JSON gateway)."""

import json
from base64 import b64decode, b64encode
from dataclasses import dataclass

from geventhttpclient import HTTPClient

from savoryhill.core.events import KeyValueRow
from savoryhill.errors import OutcomeUnknownError, PlatformUnreachableError

CALL_TIMEOUT_S = 2.0


@dataclass(kw_only=True)
class KeyValueClient:
    """Connections to the key-value service at ``ip:port``."""

    address: str
    http: HTTPClient


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyValueAnswer:
    """The answer to a range or a transaction."""

    succeeded: bool
    revision: int
    rows: tuple[KeyValueRow, ...] = ()


def connect_key_value(address, *, timeout_s=CALL_TIMEOUT_S):
    """Build a client; no connection is opened before the first call."""
    host, port = address.rsplit(":", 1)
    http = HTTPClient(
        host,
        int(port),
        concurrency=8,
        connection_timeout=timeout_s,
        network_timeout=timeout_s,
    )
    return KeyValueClient(address=address, http=http)


def _text(value):
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


def _call(client, path, body):
    payload = json.dumps(body).encode()
    try:
        response = client.http.post(
            path, body=payload, headers={"Content-Type": "application/json"}
        )
        status, content = response.status_code, bytes(response.read())
    except ConnectionRefusedError as error:
        raise PlatformUnreachableError(
            f"key-value service at {client.address} refused the connection"
        ) from error
    except Exception as error:
        raise OutcomeUnknownError(
            f"no answer from the key-value service at {client.address}: {error!r}"
        ) from error
    if status in (429, 503):
        raise PlatformUnreachableError(
            f"key-value service at {client.address} answered {status}"
        )
    if status != 200:
        raise OutcomeUnknownError(
            f"key-value service at {client.address} answered {status}"
        )
    return json.loads(content)


def read_range(client, key, *, prefix=False):
    """Read one key, or all keys with a prefix.

    Parameters
    ----------
    client : KeyValueClient
        The connection.
    key : str
        The key or the prefix.
    prefix : bool
        Whether ``key`` is a prefix.

    Returns
    -------
    KeyValueAnswer
        The rows in the order of their keys.

    Raises
    ------
    PlatformUnreachableError, OutcomeUnknownError
        If the service did not answer.
    """
    body = {"key": _text(key)}
    if prefix:
        body["range_end"] = _text(prefix_end(key))
    answer = _call(client, "/v3/kv/range", body)
    return KeyValueAnswer(
        succeeded=True,
        revision=int(answer["header"]["revision"]),
        rows=tuple(row_from_json(item) for item in answer.get("kvs", ())),
    )


def transact(client, *, compares, puts=(), deletes=()):
    """Write if every comparison holds.

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

    Returns
    -------
    KeyValueAnswer
        ``succeeded`` tells whether the comparisons held.

    Raises
    ------
    PlatformUnreachableError
        If the transaction provably had no effect.
    OutcomeUnknownError
        If it may have taken effect.
    """
    body = {
        "compare": [
            {
                "key": _text(compare.key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(compare.mod_revision),
            }
            for compare in compares
        ],
        "success": [
            {"request_put": {"key": _text(key), "value": _text(value)}}
            for key, value in puts
        ]
        + [{"request_delete_range": {"key": _text(key)}} for key in deletes],
    }
    answer = _call(client, "/v3/kv/txn", body)
    return KeyValueAnswer(
        succeeded=bool(answer.get("succeeded", False)),
        revision=int(answer["header"]["revision"]),
    )


def watch(client, key, *, start_revision, timeout_s):
    """Yield rows of a key as they are written.

    Parameters
    ----------
    client : KeyValueClient
        Gives the address; the watch uses a connection of its own.
    key : str
        The key to watch.
    start_revision : int
        First revision of interest.
    timeout_s : float
        A watch silent for this long ends, so that the caller can read again.

    Yields
    ------
    KeyValueRow
        Each write of the key.
    """
    host, port = client.address.rsplit(":", 1)
    http = HTTPClient(
        host, int(port), connection_timeout=CALL_TIMEOUT_S, network_timeout=timeout_s
    )
    body = {
        "create_request": {"key": _text(key), "start_revision": str(start_revision)}
    }
    try:
        response = http.post("/v3/watch", body=json.dumps(body).encode())
        while True:
            line = response.readline(b"\n")
            if not line:
                return
            for event in json.loads(line)["result"].get("events", ()):
                yield row_from_json(event["kv"])
    except Exception as error:
        raise PlatformUnreachableError(f"watch of {key!r} ended: {error!r}") from error
    finally:
        http.close()
