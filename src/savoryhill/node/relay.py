"""Relay the response of an endpoint to the caller, in order and without repeats."""

from collections import deque
from dataclasses import dataclass, field

from gevent import Greenlet
from gevent.event import Event

from savoryhill.core.effects import FinishRequest
from savoryhill.core.messages import RequestSpec
from savoryhill.endpoints.engine import Chunk

# An attempt stops reading from the endpoint while more than this is queued for a slow
# caller.
MAX_QUEUED_BYTES = 64 * 1024
# Memory of a queued chunk in addition to its text.
CHUNK_OVERHEAD_BYTES = 200


@dataclass(kw_only=True)
class Relay:
    """A request and the queue of response chunks from its endpoint to its caller.

    ``connection_number`` counts the connections to endpoints; only chunks of the latest
    one are accepted. ``last_content_at`` (runtime clock) and ``silence_limit_s`` belong
    to the latest connection; with a limit of 0 its silence is not checked.
    ``emitted_texts`` is the text so far, which another engine needs to continue the
    response.
    """

    spec: RequestSpec
    body: dict | bytes
    method: str = "POST"
    path: str = ""
    idempotency_key: str = ""
    next_offset: int = 0
    attempt: int = 0
    connection_number: int = 0
    n_dropped: int = 0
    content_type: str = "application/json"
    finish_reason: str = ""
    last_content_at: float = 0.0
    silence_limit_s: float = 0.0
    greenlet: Greenlet | None = None
    n_queued_bytes: int = 0
    emitted_texts: list[str] = field(default_factory=list)
    chunks: deque[Chunk] = field(default_factory=deque)
    finish: FinishRequest | None = None
    caller_gone: bool = False
    readable: Event = field(default_factory=Event)
    writable: Event = field(default_factory=Event)


def accept_chunk(relay, connection_number, chunk):
    """Accept a chunk if it is the next one and belongs to the current connection.

    Parameters
    ----------
    relay : Relay
        Relay of the request.
    connection_number : int
        Number of the connection that delivered the chunk.
    chunk : Chunk
        Received chunk.

    Returns
    -------
    bool
        False if the chunk belongs to an older connection or another request, has an
        unexpected offset or follows the finish; it is counted as dropped.
    """
    is_next = (
        connection_number == relay.connection_number
        and chunk.request_id == relay.spec.request_id
        and chunk.offset == relay.next_offset
        and relay.finish is None
    )
    if not is_next:
        relay.n_dropped += 1
        return False
    relay.next_offset += chunk.n_tokens
    relay.emitted_texts.append(chunk.text)
    return True


def put_chunk(relay, chunk):
    """Queue a chunk for the caller; block while the queue exceeds its limit."""
    relay.chunks.append(chunk)
    relay.n_queued_bytes += len(chunk.text) + CHUNK_OVERHEAD_BYTES
    if not relay.readable.is_set():
        relay.readable.set()
    while relay.n_queued_bytes > MAX_QUEUED_BYTES and not relay.caller_gone:
        # Suspend the silence check: the caller is slow, not the endpoint.
        silence_limit_s, relay.silence_limit_s = relay.silence_limit_s, 0.0
        relay.writable.clear()
        relay.writable.wait()
        relay.silence_limit_s = silence_limit_s


def put_finish(relay, finish):
    """Set the finish of a request and wake up its handler; never blocks."""
    relay.finish = finish
    relay.readable.set()


def mark_caller_gone(relay):
    """Mark the caller as disconnected and wake up all waiters."""
    relay.caller_gone = True
    relay.readable.set()
    relay.writable.set()


def take_chunks(relay):
    """Wait for content and take all queued chunks.

    Parameters
    ----------
    relay : Relay
        Relay of the request.

    Returns
    -------
    list of Chunk
        Empty if the response has ended or the caller has disconnected.
    """
    if not relay.chunks and relay.finish is None and not relay.caller_gone:
        relay.readable.clear()
        relay.readable.wait()
    chunks = list(relay.chunks)
    relay.chunks.clear()
    relay.n_queued_bytes = 0
    if not relay.writable.is_set():
        relay.writable.set()
    return chunks
