"""Admit HTTP requests: read the body, submit to the core, watch for disconnects."""

import gevent
from gevent import get_hub, socket

from savoryhill.core.effects import FinishRequest
from savoryhill.core.events import CallerGone, DeadlineReached, RequestArrived
from savoryhill.node.callers import BODY_BYTES_KEY
from savoryhill.node.problems import RequestRejectedError
from savoryhill.node.relay import mark_caller_gone, take_chunks
from savoryhill.node.runtime import submit

# The response must reach the caller by the deadline, so the node's own deadline is
# earlier by this share of the timeout, at most by MAX_DEADLINE_MARGIN_S.
DEADLINE_MARGIN_SHARE = 0.02
MAX_DEADLINE_MARGIN_S = 0.02
_READ_SIZE_BYTES = 1 << 16
# Read event of a gevent io watcher.
_READ_EVENT = 1
# The time of the event loop may lag slightly behind the clock, so a timer that fires
# before the deadline has to fire again.
DEADLINE_TIMER_REPEAT_S = 0.01


def read_body(node, req):
    """Read the body of a request within the size and time limits.

    Raises
    ------
    RequestRejectedError
        If the body is too large, arrives too slowly or is truncated, or if the bodies
        held by the node exceed their limit.
    """
    caller_server = node.callers
    limits = caller_server.limits
    content_length = req.content_length or 0
    too_large_error = RequestRejectedError(
        [f"body: exceeds {limits.max_body_bytes} bytes"], status=413
    )
    if content_length > limits.max_body_bytes:
        raise too_large_error
    if caller_server.n_body_bytes + content_length > limits.max_bodies_bytes:
        raise RequestRejectedError(
            ["body: this node holds too many request bodies now"], status=503
        )
    timeout_error = RequestRejectedError(
        [f"body: took longer than {limits.body_s} s"], status=408
    )
    environ = req.env
    with gevent.Timeout(limits.body_s, timeout_error):
        try:
            if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
                return _read_chunked(caller_server, environ, too_large_error)
            _count_body_bytes(caller_server, environ, content_length)
            return req.bounded_stream.read()
        except OSError as error:
            raise RequestRejectedError(
                ["body: ended before its announced length"]
            ) from error


def _count_body_bytes(caller_server, environ, n_bytes):
    environ[BODY_BYTES_KEY] = environ.get(BODY_BYTES_KEY, 0) + n_bytes
    caller_server.n_body_bytes += n_bytes


def _read_chunked(caller_server, environ, too_large_error):
    parts, n_bytes = [], 0
    while part := environ["wsgi.input"].read(_READ_SIZE_BYTES):
        parts.append(part)
        n_bytes += len(part)
        _count_body_bytes(caller_server, environ, len(part))
        if n_bytes > caller_server.limits.max_body_bytes:
            raise too_large_error
        if caller_server.n_body_bytes > caller_server.limits.max_bodies_bytes:
            raise RequestRejectedError(
                ["body: this node holds too many request bodies now"], status=503
            )
    return b"".join(parts)


def deadline_at(req, timeout_s):
    """Return the deadline of a request, minus the margin, on the runtime clock."""
    margin_s = min(MAX_DEADLINE_MARGIN_S, DEADLINE_MARGIN_SHARE * timeout_s)
    return req.env["savoryhill.arrived_at"] + timeout_s - margin_s


def start_request(node, req, relay):
    """Submit a request to the core and watch its deadline and its connection.

    Returns
    -------
    list
        Event loop watchers, to be passed to `stop_watchers`.
    """
    node.relays_by_request[relay.spec.request_id] = relay
    sock = req.env["savoryhill.socket"]
    loop = get_hub().loop
    readable = loop.io(sock.fileno(), _READ_EVENT)
    readable.start(lambda: gevent.spawn(_on_readable, node, relay, sock, readable))
    now = node.clock.monotonic()
    # One timer per request is cheaper than a timeout on each wait.
    timer = loop.timer(
        max(0.0, relay.spec.deadline_at - now), repeat=DEADLINE_TIMER_REPEAT_S
    )
    timer.start(lambda: gevent.spawn(_on_deadline, node, relay, timer), update=True)
    submit(node.runtime, RequestArrived(at=now, spec=relay.spec))
    return [readable, timer]


def _on_deadline(node, relay, timer):
    if relay.finish is not None or relay.caller_gone:
        # The timer outlives the finish while a slow caller still reads its response.
        if timer.active:
            timer.stop()
    else:
        submit(
            node.runtime,
            DeadlineReached(
                at=node.clock.monotonic(), request_id=relay.spec.request_id
            ),
        )


def _on_readable(node, relay, sock, watcher):
    if watcher.active:
        watcher.stop()
    if relay.finish is not None or relay.caller_gone:
        return
    try:
        is_disconnected = not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        is_disconnected = True
    # Readable data is the next, pipelined request; a disconnect after it is detected
    # when that request is read.
    if is_disconnected:
        report_caller_gone(node, relay)


def stop_watchers(watchers):
    """Stop and close the event loop watchers of a request."""
    for watcher in watchers:
        watcher.stop()
        watcher.close()


def report_caller_gone(node, relay):
    """Report to the core, once, that the caller has disconnected."""
    if relay.caller_gone:
        return
    mark_caller_gone(relay)
    submit(
        node.runtime,
        CallerGone(at=node.clock.monotonic(), request_id=relay.spec.request_id),
    )


def wait_for_finish(relay):
    """Wait until a request has finished, discarding streamed content.

    Returns
    -------
    FinishRequest or None
        None if the caller disconnected first.
    """
    while relay.finish is None and not relay.caller_gone:
        take_chunks(relay)
    return relay.finish


def is_completed(finish):
    """Tell whether a request finished with a complete response."""
    return isinstance(finish, FinishRequest) and finish.execution == "completed"
