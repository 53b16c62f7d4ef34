"""State of the journal subsystem."""

from dataclasses import dataclass, field

from savoryhill.core.messages import JournalFinish, RequestSpec


@dataclass(kw_only=True, slots=True)
class Entry:
    """State of one journal key.

    ``status`` is ``reserved``, ``done``, ``not_sent`` or ``unknown``. The attempt
    that holds the key is split into ``origin`` (node and incarnation; all entries
    of a process share one string) and ``request`` (16 bytes for a hexadecimal
    request id, otherwise the text). ``at_s`` is the wall time of the reservation
    and ``deadline_wall_s`` the wall time of the attempt's deadline, both in whole
    seconds.
    """

    status: str
    origin: str
    request: bytes | str
    body_digest: bytes
    at_s: int
    deadline_wall_s: int
    response: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingOperation:
    """A reservation or an outcome that has not been written yet.

    ``status`` is ``reserved`` for a reservation, otherwise the outcome.
    """

    requester: str
    request_id: str
    attempt: str
    key: bytes
    status: str
    arrived_at: float
    body_digest: bytes = b""
    deadline_at: float = 0.0
    response: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class InFlightBatch:
    """A batch that was sent to the key-value service and is not yet settled."""

    position: int
    meta_revision: int
    batch_id: str
    value: bytes
    operations: tuple[PendingOperation, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Segment:
    """Description of a segment in the meta key.

    The segment holds the entries changed by batches up to ``last_position`` that no
    earlier segment in the list covers. ``newest_s`` is the wall time of its newest
    entry.
    """

    last_position: int
    n_bytes: int
    newest_s: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Meta:
    """Contents of a shard's meta key.

    Batches up to ``folded_through`` have been folded into segments and deleted.
    """

    folded_through: int = 0
    segments: tuple[Segment, ...] = ()


@dataclass(kw_only=True)
class SegmentLoad:
    """Segments still to be read before the batches that follow them are applied."""

    meta: Meta
    meta_revision: int
    segments: list[Segment]
    batches: list[tuple[int, bytes]]
    started_at: float


@dataclass(kw_only=True)
class Shard:
    """One node's view of a journal shard.

    ``position`` is the position of the last batch applied. ``is_current`` is False
    if the log must be read before the next decision. ``may_be_written`` is True if
    the batch in flight was sent at least once and it is not known whether it was
    written. ``change_positions_by_key`` maps each key changed since the last fold
    to the position of its last change. ``confirmed_at`` is the start of the last
    call whose response showed the end of the log. ``last_segment_keys`` holds the
    keys of the last segment, or None if this node has not read it. ``newest_s`` is
    the newest wall time in the log. ``pending_fold`` holds the meta key and the
    last segment's keys as they are once the fold under way succeeds.
    """

    position: int = 0
    newest_s: int = 0
    meta: Meta = Meta()
    meta_revision: int = 0
    is_current: bool = False
    entries_by_key: dict[bytes, Entry] = field(default_factory=dict)
    change_positions_by_key: dict[bytes, int] = field(default_factory=dict)
    last_segment_keys: frozenset[bytes] | None = None
    pending: list[PendingOperation] = field(default_factory=list)
    in_flight_batch: InFlightBatch | None = None
    may_be_written: bool = False
    load: SegmentLoad | None = None
    pending_fold: tuple[Meta, frozenset[bytes]] | None = None
    call_id: str = ""
    call: str = ""
    n_failures: int = 0
    retry_at: float = float("-inf")
    last_write_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    timer_at: float = float("inf")


@dataclass(kw_only=True)
class Reservation:
    """A reservation that this node requested as the entry node."""

    spec: RequestSpec
    attempt: str
    last_asked_at: float
    n_writers_asked: int = 1


@dataclass(kw_only=True)
class Outcome:
    """An attempt's outcome that no writer has confirmed yet."""

    message: JournalFinish
    sent_at: float
    n_sent: int = 1


@dataclass(kw_only=True)
class JournalState:
    """Shards that this node has written to or read, and its own attempts.

    ``wall_offset_s`` converts runtime time to wall time. It is None until the first
    tick that carries the wall time; nothing is written before that. ``abandoned``
    maps the attempts that this node gave up before sending anything to their keys.
    """

    wall_offset_s: float | None = None
    shards_by_number: dict[int, Shard] = field(default_factory=dict)
    shard_numbers_by_call: dict[str, int] = field(default_factory=dict)
    reservations_by_request: dict[str, Reservation] = field(default_factory=dict)
    outcomes_by_attempt: dict[str, Outcome] = field(default_factory=dict)
    outcomes_checked_at: float = float("-inf")
    abandoned: dict[str, bytes] = field(default_factory=dict)
