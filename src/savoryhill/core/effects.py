"""Effects that the reducer returns for its drivers to carry out.

Class names are values of a metric label.
"""

from dataclasses import dataclass, field

from savoryhill.core.events import Event
from savoryhill.core.messages import Message, PromptPart, RequestSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class Effect:
    """Base class of all effects."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Emit(Effect):
    """Apply another event within the same call of the reducer.

    This effect is never returned to a driver.
    """

    event: Event


@dataclass(frozen=True, kw_only=True, slots=True)
class SendPeer(Effect):
    """Send a message to a node over TCP.

    A message to the node itself is applied as an event within the same call.
    """

    to: str
    message: Message


@dataclass(frozen=True, kw_only=True, slots=True)
class SendDatagram(Effect):
    """Send a message to a node over UDP, without delivery guarantee."""

    to: str
    message: Message


@dataclass(frozen=True, kw_only=True, slots=True)
class Compare:
    """Condition of a transaction: the key was last modified at ``mod_revision``.

    Revision 0 means that the key does not exist.
    """

    key: str
    mod_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyValueTransaction(Effect):
    """Apply all puts and deletes atomically if every comparison holds.

    ``delete_ranges`` holds pairs of the first key and the first key after the range.
    """

    call_id: str
    compares: tuple[Compare, ...]
    puts: tuple[tuple[str, bytes], ...] = ()
    deletes: tuple[str, ...] = ()
    delete_ranges: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyValueRange(Effect):
    """Read one key, or all keys that start with ``key`` if ``prefix`` is true.

    If ``range_end`` is given, read the keys from ``key`` up to, but not including,
    ``range_end``.
    """

    call_id: str
    key: str
    prefix: bool = False
    range_end: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class SetTimer(Effect):
    """Submit a `TimerFired` event with this name after ``delay_s`` seconds."""

    name: str
    delay_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StartAttempt(Effect):
    """Send a request to an endpoint and relay its response to the caller.

    Nothing is sent after ``start_by``. A stream counts as silent if its first content
    takes longer than ``first_token_limit_s``, or any later content longer than
    ``gap_limit_s``. ``call_until`` is the deadline of a service call. Points in time
    are in seconds of the runtime clock.
    """

    spec: RequestSpec
    attempt: int
    endpoint: str
    address: str
    fence: int
    incarnation: str
    priority: int
    from_offset: int = 0
    start_by: float = float("inf")
    first_token_limit_s: float = 10.0
    gap_limit_s: float = 10.0
    call_until: float = float("inf")
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class LookUpCall(Effect):
    """Ask a service whether it executed the request with the caller's key.

    ``path`` is the lookup path of the call.
    """

    spec: RequestSpec
    address: str
    path: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt(Effect):
    """Abort an attempt and cancel its stream on the endpoint."""

    request_id: str
    attempt: int
    endpoint: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelStream(Effect):
    """Cancel an orphaned stream: one that this node does not relay to any caller."""

    endpoint: str
    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PollLoad(Effect):
    """Request the current load of an endpoint."""

    endpoint: str
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SendOrder(Effect):
    """Order an engine to load a model version.

    The outcome arrives as an `OrderAnswered` event. ``action`` is ``load_version``.
    """

    order_id: str
    endpoint: str
    address: str
    fence: int
    action: str
    model: str
    version: str


@dataclass(frozen=True, kw_only=True, slots=True)
class FinishRequest(Effect):
    """Report the outcome of a request to the caller.

    ``execution`` is ``not_run``, ``completed`` or ``unknown``. ``response_missing``
    is set for a completed call whose response is no longer available.
    """

    request_id: str
    status: int
    execution: str
    detail: str = ""
    retry_after_s: float = 0.0
    response: bytes = field(default=b"", repr=False)
    content_type: str = ""
    response_missing: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class WatchConfiguration(Effect):
    """Reopen the watch on the configuration, or close it if ``watch`` is false.

    ``from_revision`` is the first revision of the key-value service to report.
    """

    watch: bool
    from_revision: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationInForce(Effect):
    """Announce to the drivers that a new configuration is in force on this node."""

    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Record(Effect):
    """Write one event to the log and the timeline."""

    name: str
    fields: tuple[tuple[str, object], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Observe(Effect):
    """Record one observation of a metric."""

    metric: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class StopNode(Effect):
    """Let the process exit: the node is drained and every request has finished."""


def record(name: str, **fields: object) -> Record:
    """Return a `Record` effect whose log fields are the keyword arguments."""
    return Record(name=name, fields=tuple(fields.items()))
