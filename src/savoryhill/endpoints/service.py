"""Client of a plain service."""

from geventhttpclient import HTTPClient

from savoryhill.errors import BrokenStreamError, EndpointRefusedError, NotSentError

CONNECT_TIMEOUT_S = 1.0


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
        If the answer is missing or incomplete, so the call may have run.
    """
    host, port = address.rsplit(":", 1)
    http = HTTPClient(
        host,
        int(port),
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=timeout_s,
    )
    try:
        response = http.request(method, path, body=body, headers=headers)
        content = bytes(response.read())
        status = response.status_code
        content_type = response.get("content-type", "application/octet-stream")
    except ConnectionRefusedError as error:
        raise NotSentError(f"service at {address} refused the connection") from error
    except Exception as error:
        raise BrokenStreamError(f"{method} {path} at {address}: {error!r}") from error
    finally:
        http.close()
    if status in not_run_statuses:
        raise EndpointRefusedError(f"service at {address} answered {status}")
    return status, content_type, content
