"""Events that the reducer understands.

Every event carries ``at``, the runtime clock's monotonic time in seconds.
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

    ``wall_s`` is the host's wall clock, in which the journal's retention is
    measured; the journal writes nothing before it is known.
    """

    wall_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class TimerFired(Event):
    """A timer that the core has set fired."""

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessResumed(Event):
    """The process was paused for ``gap_s``; applied before any other event.

    Whatever the node held before may have passed to another one: every subject
    drops its roles and unused permits.
    """

    gap_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerReceived(Event):
    """An authenticated message arrived from another node."""

    sender: str
    message: Message


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerUnreachable(Event):
    """A message could not be delivered on a fresh connection either."""

    node: str
    message: Message


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyValueRow:
    """One key of the key-value service with the revision of its last write."""

    key: str
    value: bytes
    mod_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyValueAnswered(Event):
    """A call to the key-value service ended.

    ``status`` is ``ok``, ``conflict`` (a comparison failed), ``unreachable``
    (no effect) or ``unknown`` (the answer was lost, the write may have taken
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
    """The watch of the configuration delivered a new head."""

    value: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationWatchEnded(Event):
    """The watch of the configuration broke or ended."""

    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class HostsListed(Event):
    """The platform's host list was read."""

    addresses_by_node: dict[str, str]
    leaving: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrived(Event):
    """A caller's request passed the checks of the HTTP front."""

    spec: RequestSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerGone(Event):
    """The caller closed its connection before the answer was complete."""

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DeadlineReached(Event):
    """The deadline of a request has come; ticks notice it only later."""

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptStarted(Event):
    """The endpoint delivered the first content of an attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded(Event):
    """An attempt on an endpoint ended.

    ``result`` is ``completed``, ``not_sent`` (provably never received),
    ``refused`` (received but not executed), ``broken`` or ``silent``.
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
    """An endpoint answered a load poll."""

    endpoint: str
    incarnation: str
    warm: bool
    running: int
    memory_used_tokens: int
    streams: tuple[str, ...] = ()
    cached_prefixes: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadPollFailed(Event):
    """An endpoint did not answer a load poll."""

    endpoint: str
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainRequested(Event):
    """The operator or a signal asked this node to shut down gracefully."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallLookedUp(Event):
    """A service answered whether a key was executed.

    ``result`` is ``executed``, ``not_found`` (not executed so far) or ``failed``.
    """

    request_id: str
    result: str
    status: int = 0
    content_type: str = ""
    response: bytes = field(default=b"", repr=False)
    detail: str = ""
