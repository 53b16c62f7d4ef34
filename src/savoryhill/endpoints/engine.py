"""Client of a model engine."""

import json
from dataclasses import dataclass
from urllib.parse import quote

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from savoryhill.errors import BrokenStreamError, EndpointRefusedError, NotSentError

CONNECT_TIMEOUT_S = 1.0
_EVENT_SEPARATOR = b"\n\n"
_DATA_PREFIX = b"data: "
CONTROL_TIMEOUT_S = 2.0
# An order to load a model takes minutes.
ORDER_TIMEOUT_S = 600.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Chunk:
    """Part of a completion; ``offset`` counts tokens from the completion's start."""

    request_id: str
    offset: int
    n_tokens: int
    text: str


def _make_http_client(address, *, timeout_s):
    host, port = address.rsplit(":", 1)
    return HTTPClient(
        host,
        int(port),
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=timeout_s,
    )


def _headers(**fields):
    headers = {"Content-Type": "application/json"}
    for name, value in fields.items():
        if value not in ("", None):
            headers["X-" + name.replace("_", "-").title()] = str(value)
    return headers


def stream_completion(
    address, *, body, request_id, fence, incarnation, priority, from_offset, gap_limit_s
):
    """Run a completion on an engine and yield its chunks.

    Parameters
    ----------
    address : str
        ``ip:port`` of the engine.
    body : dict
        The OpenAI-compatible request.
    request_id : str
        Id of the request, checked on every chunk.
    fence : int
        Fencing token of the permit.
    incarnation : str
        The engine process that the permit was granted for.
    priority : int
        Requests with a lower number run first.
    from_offset : int
        Number of tokens of the completion that the caller already has.
    gap_limit_s : float
        A stream that is silent for this long counts as broken; None for no limit.

    Yields
    ------
    Chunk
        The chunks of the completion, in order.

    Raises
    ------
    NotSentError
        If the engine provably did not receive the request.
    EndpointRefusedError
        If the engine refused the request before running it.
    BrokenStreamError
        If the stream broke, was silent for too long, or carried another
        request's chunks.
    """
    http = _make_http_client(address, timeout_s=gap_limit_s)
    payload = json.dumps({**body, "stream": True}).encode()
    headers = _headers(
        request_id=request_id,
        fence=fence,
        incarnation=incarnation,
        priority=priority,
        resume_offset=from_offset,
    )
    try:
        response = http.post("/v1/completions", body=payload, headers=headers)
        if response.status_code in (409, 412, 429, 503):
            detail = bytes(response.read()).decode("utf-8", "replace")
            raise EndpointRefusedError(f"{response.status_code}: {detail}")
        if response.status_code != 200:
            raise BrokenStreamError(f"engine answered {response.status_code}")
        yield from _chunks(response, request_id)
    except ConnectionRefusedError as error:
        raise NotSentError(f"engine at {address} refused the connection") from error
    except (OSError, HTTPParseError, ValueError, KeyError, TypeError) as error:
        raise BrokenStreamError(f"stream from {address}: {error!r}") from error
    finally:
        http.close()


def _chunks(response, request_id):
    decode_json = json.loads
    while True:
        # Each event ends with an empty line. Reading up to the two-byte separator takes
        # one call into the parser per event instead of two.
        event = bytes(response.readline(_EVENT_SEPARATOR))
        data = event.strip().removeprefix(_DATA_PREFIX)
        if data == b"[DONE]":
            return
        if not data:
            if event:
                continue
            raise BrokenStreamError("the stream ended without its last event")
        item = decode_json(data)
        if item["id"] != request_id:
            raise BrokenStreamError(f"chunk of request {item['id']!r} on this stream")
        yield Chunk(
            request_id=request_id,
            offset=item["offset"],
            n_tokens=item["n_tokens"],
            text=item["choices"][0]["text"],
        )


def prefill_part(
    address,
    *,
    request_id,
    n_tokens,
    imported_tokens,
    fence,
    incarnation,
    priority,
    timeout_s,
):
    """Prefill one part of an oversize prompt on an engine, which keeps it for export.

    Parameters
    ----------
    address : str
        ``ip:port`` of the engine.
    request_id : str
        Request that owns the part; cancelling the request frees the part's memory.
    n_tokens, imported_tokens : int
        Length of the part, and total length of the preceding parts that the engine
        imports.
    fence, incarnation, priority
        As for `stream_completion`.
    timeout_s : float
        Limit on each socket operation of the call.

    Raises
    ------
    NotSentError
        If the engine provably did not receive the call.
    EndpointRefusedError
        If it answered with a status other than 200.
    BrokenStreamError
        If no response arrived.
    """
    body = {"n_tokens": n_tokens, "imported_tokens": imported_tokens}
    headers = _headers(
        request_id=request_id, fence=fence, incarnation=incarnation, priority=priority
    )
    status, detail = _post(
        address, "/admin/prefill", body, headers=headers, timeout_s=timeout_s
    )
    if status != 200:
        raise EndpointRefusedError(f"part on {address}: {status} {detail}")


def send_order(address, *, fence, action, value):
    """Send an engine an order to load a version or an adapter, or to change its role.

    Parameters
    ----------
    address : str
        ``ip:port`` of the engine.
    fence : int
        Fencing token of the node that issues the model's orders. Engines track it
        separately from the fencing token of requests.
    action : str
        ``load_version``, ``load_adapter`` or ``change_role``.
    value : str
        The version, adapter or role.

    Returns
    -------
    bool
        Whether the engine carried out the order.

    Raises
    ------
    NotSentError
        If the engine provably did not receive the order.
    EndpointRefusedError
        If the fencing token is too low.
    BrokenStreamError
        If no response arrived, so the order may have been carried out.
    """
    status, detail = _post(
        address,
        "/admin/orders",
        {"what": action, "value": value},
        headers=_headers(order_fence=fence),
        timeout_s=ORDER_TIMEOUT_S,
    )
    if status == 409:
        raise EndpointRefusedError(f"order at {address}: {detail}")
    return status == 200


def _post(address, path, body, *, headers, timeout_s):
    """Send one POST to an engine; return the status and the body of the response."""
    http = _make_http_client(address, timeout_s=timeout_s)
    try:
        response = http.post(path, body=json.dumps(body).encode(), headers=headers)
        detail = bytes(response.read()).decode("utf-8", "replace")
        return response.status_code, detail
    except ConnectionRefusedError as error:
        raise NotSentError(f"engine at {address} refused the connection") from error
    except Exception as error:
        raise BrokenStreamError(f"POST {path} at {address}: {error!r}") from error
    finally:
        http.close()


def cancel_stream(address, request_id):
    """Cancel a stream on an engine; an unknown stream is not an error."""
    return _request_json(address, "POST", f"/admin/cancel/{quote(request_id, safe='')}")


def _request_json(address, method, path):
    http = _make_http_client(address, timeout_s=CONTROL_TIMEOUT_S)
    try:
        response = http.request(method, path)
        return json.loads(response.read())
    except Exception as error:
        raise BrokenStreamError(f"{method} {path} at {address}: {error!r}") from error
    finally:
        http.close()
