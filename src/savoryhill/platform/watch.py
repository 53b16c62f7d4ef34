"""Watches and leases of the key-value service."""

import json

from geventhttpclient import HTTPClient

from savoryhill.errors import (
    OutcomeUnknownError,
    PlatformUnreachableError,
    StaleRevisionError,
    WatchSilentError,
)
from savoryhill.platform.key_value import (
    CONNECT_TIMEOUT_S,
    call_once,
    encode_base64,
    prefix_end,
    row_from_json,
    wait_for_budget,
)


def watch(client, key, *, start_revision, timeout_s, prefix=False):
    """Yield rows as they are written.

    A watch counts as one read in the rate limit. Rows with a lower revision than one
    already delivered are reported and skipped.

    Parameters
    ----------
    client : KeyValueClient
        Provides the address; the watch uses a connection of its own.
    key : str
        The key or the prefix to watch.
    start_revision : int
        First revision to deliver.
    timeout_s : float
        Limit on silence. The watch requests progress notifications, so a watch
        without any line for this long is broken, not idle.
    prefix : bool
        Whether ``key`` is a prefix.

    Yields
    ------
    KeyValueRow
        Each write, in the order of revisions.

    Raises
    ------
    WatchSilentError
        If the watch was silent for longer than ``timeout_s``.
    PlatformUnreachableError
        If it was refused, cancelled or broken.
    """
    wait_for_budget(client, client.reads, "watch")
    host, port = client.address.rsplit(":", 1)
    http = HTTPClient(
        host,
        int(port),
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=timeout_s,
    )
    create = {
        "key": encode_base64(key),
        "start_revision": str(start_revision),
        "progress_notify": True,
    }
    if prefix:
        create["range_end"] = encode_base64(prefix_end(key))
    body = json.dumps({"create_request": create}).encode()
    headers = {"Content-Type": "application/json"}
    try:
        response = http.post("/v3/watch", body=body, headers=headers)
        if response.status_code != 200:
            raise PlatformUnreachableError(
                f"watch of {key!r} was answered {response.status_code}"
            )
        yield from _read_rows(client, key, response)
    except PlatformUnreachableError:
        client.counts["watch", "refused"] += 1
        raise
    except TimeoutError as error:
        client.counts["watch", "silent"] += 1
        client.report("key_value.watch_silent", key=key, limit_s=timeout_s)
        raise WatchSilentError(
            f"watch of {key!r} was silent for {timeout_s:g} s"
        ) from error
    except Exception as error:
        client.counts["watch", "broken"] += 1
        raise PlatformUnreachableError(f"watch of {key!r} ended: {error!r}") from error
    finally:
        http.close()


def _read_rows(client, key, response):
    last_revision = 0
    while line := response.readline(b"\n"):
        result = json.loads(line)["result"]
        if result.get("canceled"):
            raise PlatformUnreachableError(
                f"watch of {key!r} was cancelled, revisions before "
                f"{result.get('compact_revision', 'unknown')} are compacted"
            )
        for event in result.get("events", ()):
            row = row_from_json(event["kv"])
            if row.mod_revision < last_revision:
                client.counts["watch", "revision_went_back"] += 1
                client.report(
                    "key_value.revision_went_back",
                    revision=row.mod_revision,
                    known=last_revision,
                    path="/v3/watch",
                )
                continue
            last_revision = row.mod_revision
            yield row


def grant_lease(client, *, ttl_s):
    """Create a lease.

    Returns
    -------
    int
        The id of the lease.

    Raises
    ------
    PlatformUnreachableError, OutcomeUnknownError
        If no valid response arrived, or the rate limit is exhausted.
    """
    wait_for_budget(client, client.writes, "write")
    response = _lease_call(client, "/v3/lease/grant", {"TTL": str(ttl_s), "ID": "0"})
    return int(response["ID"])


def renew_lease(client, lease):
    """Renew a lease; return its remaining seconds, or 0 if it has expired."""
    wait_for_budget(client, client.writes, "write")
    response = _lease_call(client, "/v3/lease/keepalive", {"ID": str(lease)})
    return int(response.get("TTL", 0))


def _lease_call(client, path, body):
    try:
        return call_once(client, "write", path, body)
    except StaleRevisionError as error:
        raise OutcomeUnknownError(str(error)) from error
