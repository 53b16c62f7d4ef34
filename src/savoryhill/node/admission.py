"""Between an HTTP request and the core: body, start, wait, caller gone."""

import gevent
from gevent import get_hub, socket

from savoryhill.core.effects import FinishRequest
from savoryhill.core.events import CallerGone, DeadlineReached, RequestArrived
from savoryhill.node.callers import BODY_BYTES_KEY
from savoryhill.node.problems import FindingsError
from savoryhill.node.relay import put_caller_gone, take_chunks
from savoryhill.node.runtime import submit

# An answer must reach the caller by its deadline, so the node's own is earlier by
# this share, at most by the maximum.
MARGIN_SHARE = 0.02
MAX_MARGIN_S = 0.02
_BLOCK_BYTES = 1 << 16
_READABLE = 1
# The loop's time may be slightly behind the clock, so the timer fires again.
DEADLINE_AGAIN_S = 0.01


def read_body(node, req):
    """Read a request's body within the limits.

    Raises
    ------
    FindingsError
        If it is too large, too slow or ends early.
    """
    owner = node.callers
    limits = owner.limits
    announced = req.content_length or 0
    too_large = FindingsError(
        [f"body: exceeds {limits.max_body_bytes} bytes"], status=413
    )
    if announced > limits.max_body_bytes:
        raise too_large
    if owner.n_body_bytes + announced > limits.max_bodies_bytes:
        raise FindingsError(
            ["body: this node holds too many request bodies now"], status=503
        )
    slow = FindingsError([f"body: took longer than {limits.body_s} s"], status=408)
    environ = req.env
    with gevent.Timeout(limits.body_s, slow):
        try:
            if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
                return _read_chunked(owner, environ, too_large)
            _account(owner, environ, announced)
            return req.bounded_stream.read()
        except OSError as error:
            raise FindingsError(["body: ended before its announced length"]) from error


def _account(owner, environ, n_bytes):
    environ[BODY_BYTES_KEY] = environ.get(BODY_BYTES_KEY, 0) + n_bytes
    owner.n_body_bytes += n_bytes


def _read_chunked(owner, environ, too_large):
    parts, n_bytes = [], 0
    while part := environ["wsgi.input"].read(_BLOCK_BYTES):
        parts.append(part)
        n_bytes += len(part)
        _account(owner, environ, len(part))
        if n_bytes > owner.limits.max_body_bytes:
            raise too_large
        if owner.n_body_bytes > owner.limits.max_bodies_bytes:
            raise FindingsError(
                ["body: this node holds too many request bodies now"], status=503
            )
    return b"".join(parts)


def deadline_at(req, seconds):
    """Return the deadline of a request in seconds of the runtime clock."""
    margin_s = min(MAX_MARGIN_S, MARGIN_SHARE * seconds)
    return req.env["savoryhill.arrived_at"] + seconds - margin_s


def start(node, req, relay):
    """Hand a request to the core; watch its deadline and its caller.

    Returns
    -------
    list
        Watchers of the event loop for `stop_watching`.
    """
    node.relays_by_request[relay.spec.request_id] = relay
    sock = req.env["savoryhill.socket"]
    loop = get_hub().loop
    readable = loop.io(sock.fileno(), _READABLE)
    readable.start(lambda: gevent.spawn(_on_readable, node, relay, sock, readable))
    now = node.clock.monotonic()
    # One timer for the request is cheaper than a time limit on every wait.
    timer = loop.timer(max(0.0, relay.spec.deadline_at - now), repeat=DEADLINE_AGAIN_S)
    timer.start(lambda: gevent.spawn(_on_deadline, node, relay, timer), update=True)
    submit(node.runtime, RequestArrived(at=now, spec=relay.spec))
    return [readable, timer]


def _on_deadline(node, relay, timer):
    if relay.finish is not None or relay.caller_gone:
        # The answer may still be on its way to a slow caller.
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
        gone = not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        gone = True
    # Data here is the next request on the connection, whose reader notices its end.
    if gone:
        caller_gone(node, relay)


def stop_watching(watchers):
    """Stop watching a request's deadline and its caller."""
    for watcher in watchers:
        watcher.stop()
        watcher.close()


def caller_gone(node, relay):
    """Tell the core that nobody waits for the answer any more."""
    if relay.caller_gone:
        return
    put_caller_gone(relay)
    submit(
        node.runtime,
        CallerGone(at=node.clock.monotonic(), request_id=relay.spec.request_id),
    )


def wait_finish(relay):
    """Wait for the end of a request without streamed content.

    Returns
    -------
    FinishRequest or None
        None if the caller is gone.
    """
    while relay.finish is None and not relay.caller_gone:
        take_chunks(relay)
    return relay.finish


def finished(item):
    """Tell whether a request ended with a complete answer."""
    return isinstance(item, FinishRequest) and item.execution == "completed"
