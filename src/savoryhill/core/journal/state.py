"""State of the journal subject."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class Entry:
    """What the journal holds for one key."""

    status: str
    attempt: str
    body_digest: bytes
    response: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingOperation:
    """A reservation or an ending that waits to be written."""

    requester: str
    request_id: str
    attempt: str
    key: bytes
    status: str
    body_digest: bytes = b""
    response: bytes = b""


@dataclass(kw_only=True)
class Shard:
    """View that one node has of a journal shard.

    ``position`` is that of the last batch read; ``written`` holds the operations
    of the batch in flight and is empty when none is.
    """

    position: int = 0
    loaded: bool = False
    call_id: str = ""
    batch_id: str = ""
    entries_by_key: dict[bytes, Entry] = field(default_factory=dict)
    pending: list[PendingOperation] = field(default_factory=list)
    written: list[PendingOperation] = field(default_factory=list)
    wrote_at: float = float("-inf")


@dataclass(kw_only=True)
class JournalState:
    """All shards this node has written to or read."""

    shards_by_number: dict[int, Shard] = field(default_factory=dict)
    shard_numbers_by_call: dict[str, int] = field(default_factory=dict)
