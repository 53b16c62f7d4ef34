"""Events that the reducer processes.

Every event has a timestamp ``at``, in seconds of the runtime's monotonic clock.
Class names are values of a metric label.
"""

from dataclasses import dataclass, field

from savoryhill.config.model import Configuration
from savoryhill.core.messages import Message, RequestSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """Base class of all events."""

    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticked(Event):
    """The periodic timer of the runtime fired.

    ``wall_s`` is the time of the host's wall clock. The journal measures its retention
    by it, and writes nothing until it is known.
    """

    wall_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class TimerFired(Event):
    """A timer that the core set with `SetTimer` fired."""

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessResumed(Event):
    """The process was paused for ``gap_s``; applied before any other event.

    Other nodes may have taken over the node's roles and permits in the meantime, so
    every subsystem drops its roles and unused permits.
    """

    gap_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerReceived(Event):
    """An authenticated message arrived from another node."""

    sender: str
    message: Message


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerUnreachable(Event):
    """A message could not be delivered, not even on a new connection."""

    node: str
    message: Message


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyValueRow:
    """Key and value in the key-value service, with the revision of the last write."""

    key: str
    value: bytes
    mod_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyValueAnswered(Event):
    """A call to the key-value service ended.

    ``status`` is ``ok``, ``conflict`` (a comparison failed), ``unreachable`` (the call
    had no effect) or ``unknown`` (the response was lost; a write may have taken
    effect).
    """

    call_id: str
    status: str
    started_at: float
    rows: tuple[KeyValueRow, ...] = ()
    revision: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationRead(Event):
    """A configuration was read from the key-value service or from a peer."""

    configuration: Configuration
    source: str
    content: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationHeadSeen(Event):
    """The watch on the configuration reported a new value of the head key."""

    value: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationWatchEnded(Event):
    """The watch on the configuration failed or was closed."""

    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class HostsListed(Event):
    """The platform's host list was read.

    ``leaving`` names the nodes that the list marks as leaving.
    """

    addresses_by_node: dict[str, str]
    leaving: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrived(Event):
    """The HTTP front end accepted a request from a caller."""

    spec: RequestSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerGone(Event):
    """The caller closed its connection before the response was complete."""

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DeadlineReached(Event):
    """The deadline of a request has passed.

    Sent because a periodic tick would detect it only later.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptStarted(Event):
    """The endpoint sent the first content of an attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded(Event):
    """An attempt on an endpoint ended.

    ``result`` is ``completed``, ``not_sent`` (the endpoint certainly did not receive
    it), ``refused`` (received but not executed), ``broken`` or ``silent``.
    """

    request_id: str
    attempt: int
    result: str
    n_tokens: int = 0
    status: int = 0
    incarnation: str = ""
    detail: str = ""
    response: bytes = b""
    content_type: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReported(Event):
    """An endpoint responded to a load poll."""

    endpoint: str
    incarnation: str
    warm: bool
    running: int
    memory_used_tokens: int
    streams: tuple[str, ...] = ()
    cached_prefixes: tuple[int, ...] = ()
    version: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderAnswered(Event):
    """An engine responded to an order, or failed to respond.

    ``status`` is ``ok``, ``failed``, ``stale`` (the fencing number is too low) or
    ``unknown`` (no response; the engine may still carry out the order).
    """

    order_id: str
    endpoint: str
    model: str
    version: str
    status: str
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadPollFailed(Event):
    """An endpoint did not respond to a load poll."""

    endpoint: str
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainRequested(Event):
    """An operator or a signal requested a graceful shutdown of this node."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallLookedUp(Event):
    """A lookup of whether a service executed a key ended.

    ``result`` is ``executed``, ``not_found`` (not executed so far) or ``failed`` (the
    lookup got no usable response).
    """

    request_id: str
    result: str
    status: int = 0
    content_type: str = ""
    response: bytes = field(default=b"", repr=False)
    detail: str = ""
