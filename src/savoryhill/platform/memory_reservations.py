"""Memory reservations at engines."""

import json

from savoryhill.errors import (
    EndpointError,
    EndpointRefusedError,
    MalformedMessageError,
)
from savoryhill.platform import names
from savoryhill.serving.http import encode_request

CONNECT_TIMEOUT_S = 0.3
ORDER_TIMEOUT_S = 0.5
# Turned away without a look at what the engine holds.
BUSY_STATUSES = (429, 503)


def reserve_memory(endpoint, *, reservation, n_tokens, hold_s, on_head, connect):
    """Reserve memory at an engine, or renew the reservation with the same id.

    Parameters
    ----------
    endpoint : Endpoint
        The engine.
    reservation : str
        Id of the reservation.
    n_tokens : int
        Amount of memory, in tokens.
    hold_s : float
        Seconds after which the engine frees the memory unless it is renewed.
    on_head : callable
        Called with the head of the answer and the engine.
    connect : callable
        ``connect(endpoint, timeout_s=...)`` opens a connection to the engine.

    Raises
    ------
    EndpointError
        If the engine did not confirm the reservation. It may exist nevertheless. An
        `EndpointRefusedError` tells that the engine does not hold it.
    """
    body = {
        "operation": "reserve",
        "id": reservation,
        "tokens": n_tokens,
        "holdMs": int(hold_s * 1000),
    }
    head = _send_order(endpoint, body, connect)
    on_head(head, endpoint)
    if head.status != 200:
        kind = EndpointError if head.status in BUSY_STATUSES else EndpointRefusedError
        raise kind(f"{endpoint.id} answered a reservation {head.status}")


def release_memory(endpoint, *, reservation, on_head, connect):
    """Release a reservation; the callables are as for `reserve_memory`.

    Raises
    ------
    EndpointError
        If the engine did not confirm the release. The reservation then lasts until it
        expires.
    """
    body = {"operation": "release", "id": reservation}
    head = _send_order(endpoint, body, connect)
    on_head(head, endpoint)
    if head.status not in (200, 202):
        raise EndpointRefusedError(f"{endpoint.id} answered a release {head.status}")


def _send_order(endpoint, body, connect):
    content = json.dumps(body).encode()
    headers = [
        (b"host", endpoint.address.encode()),
        (b"content-type", b"application/json"),
        (names.EXPECTED_ENDPOINT, endpoint.id.encode()),
    ]
    message = encode_request(b"POST", names.ORDER_PATH, headers, content)
    connection = connect(endpoint, timeout_s=CONNECT_TIMEOUT_S)
    try:
        connection.send(message, timeout_s=ORDER_TIMEOUT_S)
        connection.receive_all(timeout_s=ORDER_TIMEOUT_S)
        return connection.reader.head
    except (OSError, MalformedMessageError) as error:
        raise EndpointError(f"{endpoint.id}: {error!r}") from error
    finally:
        connection.close()


def helper_entry(endpoint, reservation=None):
    """Return the entry of the helpers header for an engine and its reservation."""
    if reservation is None:
        return endpoint.address
    return f"{endpoint.address}/{reservation}"
