"""Pass an endpoint's answer to the caller, in order and once."""

from collections import deque
from dataclasses import dataclass, field

from gevent import Greenlet
from gevent.event import Event

from savoryhill.core.effects import FinishRequest
from savoryhill.core.messages import RequestSpec
from savoryhill.endpoints.engine import Chunk

# An attempt stops reading from the endpoint while this much text waits for a
# slow caller.
MAX_QUEUED_BYTES = 64 * 1024
# Memory of a queued chunk besides its text.
CHUNK_BYTES = 200


@dataclass(kw_only=True)
class Relay:
    """The way of one request's answer to its caller.

    ``serial`` numbers the connections to endpoints; only the latest may deliver.
    ``heard_at`` and ``silence_limit_s`` are those of the latest connection, in
    seconds of the runtime clock; a limit of 0 means that it is not watched.
    ``emitted`` is the text so far, which another engine needs to continue it.
    """

    spec: RequestSpec
    body: dict | bytes
    method: str = "POST"
    path: str = ""
    idempotency_key: str = ""
    next_offset: int = 0
    attempt: int = 0
    serial: int = 0
    n_dropped: int = 0
    content_type: str = "application/json"
    finish_reason: str = ""
    heard_at: float = 0.0
    silence_limit_s: float = 0.0
    greenlet: Greenlet | None = None
    n_queued_bytes: int = 0
    emitted: list[str] = field(default_factory=list)
    chunks: deque[Chunk] = field(default_factory=deque)
    finish: FinishRequest | None = None
    caller_gone: bool = False
    readable: Event = field(default_factory=Event)
    writable: Event = field(default_factory=Event)


def accept(relay, serial, chunk):
    """Tell whether a chunk is the next one of the current connection.

    Parameters
    ----------
    relay : Relay
        The request's relay.
    serial : int
        The connection that delivered the chunk.
    chunk : Chunk
        The chunk.

    Returns
    -------
    bool
        False for a late or crossed chunk, which is counted and dropped.
    """
    wanted = (
        serial == relay.serial
        and chunk.request_id == relay.spec.request_id
        and chunk.offset == relay.next_offset
        and relay.finish is None
    )
    if not wanted:
        relay.n_dropped += 1
        return False
    relay.next_offset += chunk.n_tokens
    relay.emitted.append(chunk.text)
    return True


def put_chunk(relay, chunk):
    """Queue a chunk for the caller; wait while too much is queued."""
    relay.chunks.append(chunk)
    relay.n_queued_bytes += len(chunk.text) + CHUNK_BYTES
    if not relay.readable.is_set():
        relay.readable.set()
    while relay.n_queued_bytes > MAX_QUEUED_BYTES and not relay.caller_gone:
        # A slow caller is no silence of the endpoint.
        limit_s, relay.silence_limit_s = relay.silence_limit_s, 0.0
        relay.writable.clear()
        relay.writable.wait()
        relay.silence_limit_s = limit_s


def put_finish(relay, finish):
    """Tell the caller's side how the request ended; never waits."""
    relay.finish = finish
    relay.readable.set()


def put_caller_gone(relay):
    """Note that nobody reads the answer any more."""
    relay.caller_gone = True
    relay.readable.set()
    relay.writable.set()


def take_chunks(relay):
    """Wait for content and take all that is queued.

    Parameters
    ----------
    relay : Relay
        The request's relay.

    Returns
    -------
    list of Chunk
        Empty if the answer has ended or the caller is gone.
    """
    if not relay.chunks and relay.finish is None and not relay.caller_gone:
        relay.readable.clear()
        relay.readable.wait()
    taken = list(relay.chunks)
    relay.chunks.clear()
    relay.n_queued_bytes = 0
    if not relay.writable.is_set():
        relay.writable.set()
    return taken
