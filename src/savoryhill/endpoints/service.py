"""Client of a plain service.

This module opens the connection and writes the request itself instead of using
``geventhttpclient.HTTPClient``: that client resends GET, PUT and DELETE after the
connection was closed, and raises the same timeout error whether the connection was
never made or the response never arrived. Its parser is used for the response.
"""

import re
from urllib.parse import quote

import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from savoryhill.errors import BrokenStreamError, EndpointRefusedError, NotSentError
from savoryhill.httpstatus import is_status

CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
_BLOCK_BYTES = 64 * 1024
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
# A service sets this header on a 503 that it returned without executing the call.
NOT_RUN_HEADER = "not-run"
# A gateway returns these when it lost the response of the service behind it.
UNKNOWN_OUTCOME_STATUSES = frozenset({502, 503, 504})


def call_service(address, *, method, path, body, headers, timeout_s, not_run_statuses):
    """Call a plain service once, on a connection of its own.

    Parameters
    ----------
    address : str
        ``ip:port`` of the service.
    method, path : str
        The call; the path may have a query.
    body : bytes
        Body of the request.
    headers : dict of str to str
        Headers to send.
    timeout_s : float
        Limit on connecting, and on sending and receiving together.
    not_run_statuses : collection of int
        Statuses with which the service refuses a call before executing it.

    Returns
    -------
    tuple of (int, str, bytes)
        Status, content type and body of the response.

    Raises
    ------
    NotSentError
        If the call was provably not sent: no connection was made, or a header cannot
        be encoded, so no byte was written.
    EndpointRefusedError
        If the service refused the call before executing it.
    BrokenStreamError
        If the response is missing, incomplete, too large or a gateway's error, so the
        call may have run.
    """
    response, content = _request(address, method, path, body, headers, timeout_s)
    status = response.status_code
    refused = status == 503 and response.get(NOT_RUN_HEADER) is not None
    if refused or status in not_run_statuses:
        raise EndpointRefusedError(f"service at {address} answered {status}")
    if status in UNKNOWN_OUTCOME_STATUSES:
        raise BrokenStreamError(f"{method} {path} at {address} answered {status}")
    return status, response.get("content-type", ""), content


def look_up_call(address, *, path, key, timeout_s):
    """Ask a service whether it has executed the call with an idempotency key.

    Parameters
    ----------
    address : str
        ``ip:port`` of the service.
    path : str
        The lookup path of the call.
    key : str
        The idempotency key with which the call was sent.
    timeout_s : float
        Limit on connecting, and on sending and receiving together.

    Returns
    -------
    tuple of (int, str, bytes)
        Status 200 with the response of the executed call, or 404 if no call with
        the key has been executed so far.

    Raises
    ------
    EndpointError
        If the lookup failed or was answered with another status.
    """
    headers = {"Idempotency-Key": key}
    response, content = _request(address, "GET", path, b"", headers, timeout_s)
    status = response.status_code
    if status not in (200, 404):
        raise BrokenStreamError(f"lookup at {address} answered {status}")
    return status, response.get("content-type", ""), content


def _request(address, method, path, body, headers, timeout_s):
    """Send one request on a new connection and read its response."""
    request = _encode_request(address, method, path, body, headers)
    sock = _connect(address, timeout_s)
    try:
        with gevent.Timeout(timeout_s, BrokenStreamError(f"{timeout_s:.3f} s passed")):
            sock.sendall(request)
            response = HTTPSocketResponse(sock, block_size=_BLOCK_BYTES, method=method)
            content = _read_body(response)
            if not is_status(response.status_code):
                raise BrokenStreamError(f"{response.status_code} is no status")
            return response, content
    except (OSError, HTTPParseError, BrokenStreamError) as error:
        raise BrokenStreamError(
            f"{method} {path} at {address} may have run: {error!r}"
        ) from error
    finally:
        sock.close()


def _connect(address, timeout_s):
    host, port = address.rsplit(":", 1)
    limit_s = min(CONNECT_TIMEOUT_S, timeout_s)
    if limit_s <= 0:
        raise NotSentError(f"no time was left to call the service at {address}")
    try:
        sock = socket.create_connection((host, int(port)), timeout=limit_s)
    except OSError as error:
        raise NotSentError(
            f"no connection to the service at {address}: {error!r}"
        ) from error
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _encode_request(address, method, path, body, headers):
    lines = [
        f"{method} {quote(path, safe='/?&=%+,:;@!$*~()')} HTTP/1.1",
        f"Host: {address}",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    for name, value in headers.items():
        if not _HEADER_VALUE.fullmatch(value):
            raise NotSentError(f"header {name} has characters that cannot be sent")
        lines.append(f"{name}: {value}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def _read_body(response):
    parts, n_bytes = [], 0
    while True:
        part = response.read(_BLOCK_BYTES)
        if not part:
            break
        parts.append(part)
        n_bytes += len(part)
        if n_bytes > MAX_RESPONSE_BYTES:
            raise BrokenStreamError(f"the answer exceeds {MAX_RESPONSE_BYTES} bytes")
    if not response.message_complete:
        raise BrokenStreamError("the connection closed before the answer's end")
    return b"".join(parts)
