"""Orders to engines that set memory aside."""

import json

from savoryhill.errors import EndpointError, EndpointRefusedError
from savoryhill.platform import names
from savoryhill.serving.http import encode_request, open_connection

CONNECT_TIMEOUT_S = 0.3
ORDER_TIMEOUT_S = 0.5


def reserve_memory(endpoint, *, reservation, n_tokens, hold_s):
    """Reserve memory at an engine, or renew a reservation of the same id.

    Parameters
    ----------
    endpoint : Endpoint
        The engine.
    reservation : str
        Id of the reservation.
    n_tokens : int
        Memory, in tokens.
    hold_s : float
        Seconds until the engine frees it by itself.

    Raises
    ------
    EndpointError
        If the engine did not confirm it. It may be held all the same.
    """
    body = {
        "operation": "reserve",
        "id": reservation,
        "tokens": n_tokens,
        "holdMs": int(hold_s * 1000),
    }
    status = _order(endpoint, body)
    if status != 200:
        raise EndpointRefusedError(f"{endpoint.id} answered a reservation {status}")


def release_memory(endpoint, *, reservation):
    """End a reservation.

    Raises
    ------
    EndpointError
        If the engine did not confirm it; the reservation then ends by itself.
    """
    status = _order(endpoint, {"operation": "release", "id": reservation})
    if status not in (200, 202):
        raise EndpointRefusedError(f"{endpoint.id} answered a release {status}")


def _order(endpoint, body):
    content = json.dumps(body).encode()
    headers = [
        (b"host", endpoint.address.encode()),
        (b"content-type", b"application/json"),
        (names.EXPECTED_ENDPOINT, endpoint.id.encode()),
    ]
    message = encode_request(b"POST", names.ORDER_PATH, headers, content)
    connection = open_connection(endpoint.address, timeout_s=CONNECT_TIMEOUT_S)
    try:
        connection.send(message, timeout_s=ORDER_TIMEOUT_S)
        while not connection.reader.complete:
            if not connection.receive(timeout_s=ORDER_TIMEOUT_S):
                break
        if not connection.reader.complete:
            raise EndpointError(f"{endpoint.id} ended the connection")
        return connection.reader.head.status
    except OSError as error:
        raise EndpointError(f"{endpoint.id}: {error!r}") from error
    finally:
        connection.close()


def helper_entry(endpoint, reservation=None):
    """Return how an engine names a helper, with the reservation that it fills."""
    if reservation is None:
        return endpoint.address
    return f"{endpoint.address}/{reservation}"
