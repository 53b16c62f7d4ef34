"""Pass an endpoint's answer to the caller, in order and once."""

from dataclasses import dataclass, field

from gevent import Greenlet
from gevent.queue import Queue

from savoryhill.core.messages import RequestSpec


@dataclass(kw_only=True)
class Relay:
    """The way of one request's answer to its caller.

    ``mailbox`` carries `Chunk` objects and, last, a `FinishRequest`.
    """

    spec: RequestSpec
    body: dict | bytes
    method: str = "POST"
    path: str = ""
    idempotency_key: str = ""
    next_offset: int = 0
    attempt: int = 0
    n_dropped: int = 0
    content_type: str = "application/json"
    mailbox: Queue = field(default_factory=Queue)
    greenlet: Greenlet | None = None


def accept(relay, attempt, chunk):
    """Tell whether a chunk is the next one of the current attempt.

    Parameters
    ----------
    relay : Relay
        The request's relay.
    attempt : int
        The attempt that delivered the chunk.
    chunk : Chunk
        The chunk.

    Returns
    -------
    bool
        False for a late or crossed chunk, which is counted and dropped.
    """
    wanted = (
        attempt == relay.attempt
        and chunk.request_id == relay.spec.request_id
        and chunk.offset == relay.next_offset
    )
    if not wanted:
        relay.n_dropped += 1
        return False
    relay.next_offset += chunk.n_tokens
    return True
