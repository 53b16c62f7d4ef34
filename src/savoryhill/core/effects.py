"""Effects that the reducer asks its drivers to carry out."""

from dataclasses import dataclass, field

from savoryhill.core.events import Event
from savoryhill.core.messages import Message, RequestSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class Effect:
    """Base class of all effects."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Emit(Effect):
    """Feed another event to the reducer at once; never reaches a driver."""

    event: Event


@dataclass(frozen=True, kw_only=True, slots=True)
class SendPeer(Effect):
    """Send a message to a node over TCP; to oneself it becomes an event."""

    to: str
    message: Message


@dataclass(frozen=True, kw_only=True, slots=True)
class SendDatagram(Effect):
    """Send a message to a node over UDP, without any promise of delivery."""

    to: str
    message: Message


@dataclass(frozen=True, kw_only=True, slots=True)
class Compare:
    """A condition of a transaction; revision 0 means the key does not exist."""

    key: str
    mod_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyValueTransaction(Effect):
    """Write all of ``puts`` and ``deletes`` if every comparison holds.

    ``delete_ranges`` are pairs of a first key and the first key after the range.
    """

    call_id: str
    compares: tuple[Compare, ...]
    puts: tuple[tuple[str, bytes], ...] = ()
    deletes: tuple[str, ...] = ()
    delete_ranges: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyValueRange(Effect):
    """Read all keys with a prefix, or one key if ``prefix`` is false.

    With ``range_end``, read the keys from ``key`` up to it, itself excluded.
    """

    call_id: str
    key: str
    prefix: bool = False
    range_end: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class SetTimer(Effect):
    """Submit `TimerFired` with this name after ``delay_s``."""

    name: str
    delay_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StartAttempt(Effect):
    """Send a request to an endpoint and relay its answer to the caller.

    Nothing is sent after ``start_by``. ``first_token_limit_s`` and
    ``gap_limit_s`` tell when the stream counts as silent before and after its
    first content; ``call_until`` bounds a service call. Times are in seconds of
    the runtime clock.
    """

    spec: RequestSpec
    attempt: int
    endpoint: str
    address: str
    fence: int
    incarnation: str
    priority: int
    from_offset: int = 0
    export_from: tuple[str, ...] = ()
    start_by: float = float("inf")
    first_token_limit_s: float = 10.0
    gap_limit_s: float = 10.0
    call_until: float = float("inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class LookUpCall(Effect):
    """Ask a service whether the key of a request was executed.

    ``path`` is the lookup path of the call; the key is that of the caller.
    """

    spec: RequestSpec
    address: str
    path: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt(Effect):
    """Stop an attempt and cancel its stream on the endpoint."""

    request_id: str
    attempt: int
    endpoint: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelStream(Effect):
    """Cancel a stream on an endpoint that nobody on this node relays."""

    endpoint: str
    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PollLoad(Effect):
    """Ask an endpoint for its load."""

    endpoint: str
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class FinishRequest(Effect):
    """Tell the caller how its request ended.

    ``execution`` is ``not_run``, ``completed`` or ``unknown``. A completed call
    whose answer is not available any more has ``answer_missing`` set.
    """

    request_id: str
    status: int
    execution: str
    detail: str = ""
    retry_after_s: float = 0.0
    response: bytes = field(default=b"", repr=False)
    content_type: str = ""
    answer_missing: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class WatchConfiguration(Effect):
    """Open the watch of the configuration anew, or close it.

    ``from_revision`` is the first revision of the key-value service to report.
    """

    watch: bool
    from_revision: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationInForce(Effect):
    """A new configuration is in force on this node."""

    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Record(Effect):
    """Write one event to the log and the time line."""

    name: str
    fields: tuple[tuple[str, object], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Observe(Effect):
    """Record a measurement."""

    metric: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class StopNode(Effect):
    """Every request has finished after a drain; the process may exit."""


def record(name: str, **fields: object) -> Record:
    """Build a `Record` effect from keyword arguments."""
    return Record(name=name, fields=tuple(fields.items()))
