"""State of the journal subject."""

from dataclasses import dataclass, field

from savoryhill.core.messages import JournalFinish, RequestSpec


@dataclass(kw_only=True, slots=True)
class Entry:
    """What the journal holds for one key.

    ``status`` is ``reserved``, ``done``, ``not_sent`` or ``unknown``. An attempt
    is split into ``origin`` (node and incarnation, one string for all entries of
    a process) and ``request`` (16 bytes for a request id in hexadecimal, else the
    text). ``at_s`` is the wall time of the reservation and ``ends_at_s`` that by
    which the attempt has ended, both in whole seconds.
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
    """A reservation or an ending that waits to be written."""

    requester: str
    request_id: str
    attempt: str
    key: bytes
    status: str
    arrived_at: float
    body_digest: bytes = b""
    ends_at: float = 0.0
    response: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class Flight:
    """A batch that was sent and whose outcome is not settled yet."""

    position: int
    meta_revision: int
    batch_id: str
    value: bytes
    operations: tuple[PendingOperation, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Segment:
    """A segment as the meta key lists it.

    It holds the entries changed by the positions up to ``last_position`` that no
    earlier segment of the list covers; ``newest_s`` is the wall time of the newest.
    """

    last_position: int
    n_bytes: int
    newest_s: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Meta:
    """Contents of a shard's meta key; batches up to ``folded_through`` are gone."""

    folded_through: int = 0
    segments: tuple[Segment, ...] = ()


@dataclass(kw_only=True)
class Load:
    """Segments that must be read before the batches that follow them."""

    meta: Meta
    meta_revision: int
    segments: list[Segment]
    batches: list[tuple[int, bytes]]
    started_at: float


@dataclass(kw_only=True)
class Shard:
    """View that one node has of a journal shard.

    ``position`` is that of the last batch applied. ``fresh`` is false if the log
    must be read before the next decision. ``doubtful`` tells that the batch in
    flight was sent at least once without a proof of its outcome. ``touched``
    holds the keys changed since the last fold with the position of the change.
    ``confirmed_at`` is the start of the last call that showed the end of the log.
    ``tail_keys`` holds the keys of the last segment, or None if this node has not
    read it. ``newest_s`` is the newest wall time in the log.
    """

    position: int = 0
    newest_s: int = 0
    meta: Meta = Meta()
    meta_revision: int = 0
    fresh: bool = False
    entries_by_key: dict[bytes, Entry] = field(default_factory=dict)
    touched: dict[bytes, int] = field(default_factory=dict)
    tail_keys: frozenset[bytes] | None = None
    pending: list[PendingOperation] = field(default_factory=list)
    in_flight_batch: Flight | None = None
    doubtful: bool = False
    load: Load | None = None
    folding: tuple[Meta, frozenset[bytes]] | None = None
    call_id: str = ""
    call: str = ""
    n_failures: int = 0
    retry_at: float = float("-inf")
    wrote_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    timer_at: float = float("inf")


@dataclass(kw_only=True)
class Reservation:
    """A reservation that this node has asked for as an entry node."""

    spec: RequestSpec
    attempt: str
    asked_at: float
    n_asked: int = 1


@dataclass(kw_only=True)
class Ending:
    """An ending that no writer has confirmed yet."""

    message: JournalFinish
    sent_at: float
    n_sent: int = 1


@dataclass(kw_only=True)
class JournalState:
    """All shards this node has written to or read, and its own attempts.

    ``wall_offset_s`` turns runtime time into wall time; it is None until the first
    tick that carries the wall clock, and nothing is written before. ``abandoned``
    holds the attempts that this node has given up before sending anything, with
    their keys.
    """

    wall_offset_s: float | None = None
    shards_by_number: dict[int, Shard] = field(default_factory=dict)
    shard_numbers_by_call: dict[str, int] = field(default_factory=dict)
    reservations_by_request: dict[str, Reservation] = field(default_factory=dict)
    outcomes_by_attempt: dict[str, Ending] = field(default_factory=dict)
    endings_checked_at: float = float("-inf")
    abandoned: dict[str, bytes] = field(default_factory=dict)
