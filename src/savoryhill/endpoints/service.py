"""Client of a plain service."""

from savoryhill.errors import (
    BrokenStreamError,
    EndpointRefusedError,
    NotConnectedError,
    NotSentError,
)
from savoryhill.sendonce import connect_once, request_once

CONNECT_TIMEOUT_S = 1.0
# A gateway gives these when it has lost the answer of the service behind it.
NOT_RUN_HEADER = "not-run"
UNKNOWN_OUTCOME_STATUSES = frozenset({502, 503, 504})


def call_service(address, *, method, path, body, headers, timeout_s, not_run_statuses):
    """Call a plain service once, on a connection of its own.

    Parameters
    ----------
    address : str
        ``ip:port`` of the service.
    method, path : str
        The call.
    body : bytes
        The caller's body.
    headers : dict of str to str
        Headers to send.
    timeout_s : float
        Limit for the answer.
    not_run_statuses : collection of int
        Statuses by which the service refuses before it executes.

    Returns
    -------
    tuple of (int, str, bytes)
        Status, content type and body of the answer.

    Raises
    ------
    NotSentError
        If the service provably did not receive the call.
    EndpointRefusedError
        If the service refused the call before executing it.
    BrokenStreamError
        If the answer is missing, incomplete or that of a gateway, so the call
        may have run.
    """
    status, received, content = _request(
        address, method, path, body=body, headers=headers, timeout_s=timeout_s
    )
    if status in not_run_statuses or (status == 503 and NOT_RUN_HEADER in received):
        raise EndpointRefusedError(f"service at {address} answered {status}")
    if status in UNKNOWN_OUTCOME_STATUSES:
        raise BrokenStreamError(f"{method} {path} at {address} answered {status}")
    return status, received.get("content-type", ""), content


def look_up_call(address, *, path, key, timeout_s):
    """Ask a service whether a key was executed.

    Parameters
    ----------
    address : str
        ``ip:port`` of the service.
    path : str
        The lookup path of the call.
    key : str
        The key the call was sent with.
    timeout_s : float
        Limit for the answer.

    Returns
    -------
    tuple of (int, str, bytes)
        Status 200 with the answer of the executed call, or 404 if the key was
        not executed so far.

    Raises
    ------
    EndpointError
        If the service did not answer or gave another status.
    """
    status, received, content = _request(
        address,
        "GET",
        path,
        body=b"",
        headers={"Idempotency-Key": key},
        timeout_s=timeout_s,
    )
    if status not in (200, 404):
        raise BrokenStreamError(f"lookup at {address} answered {status}")
    return status, received.get("content-type", ""), content


def _request(address, method, path, *, body, headers, timeout_s):
    client = connect_once(
        address, connect_timeout_s=CONNECT_TIMEOUT_S, timeout_s=timeout_s
    )
    try:
        return request_once(client, method, path, body=body, headers=headers)
    except NotConnectedError as error:
        raise NotSentError(f"service at {address}: no connection: {error}") from error
    except Exception as error:
        raise BrokenStreamError(f"{method} {path} at {address}: {error!r}") from error
    finally:
        client.http.close()
