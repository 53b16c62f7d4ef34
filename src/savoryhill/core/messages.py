"""Messages between nodes, as frozen data.

Each class has a struct of the same name in ``peers/schema/messages.capnp``.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class Message:
    """Base class of all messages between nodes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestSpec:
    """What the decision core knows of a caller's request.

    ``target`` names a model or a service. ``prefix_hashes`` are chained hashes
    of the prompt's leading blocks. ``deadline_at`` is in seconds of the entry
    node's runtime clock. ``journal_key`` is empty for repeatable calls.
    ``lookup_path`` is where the service tells whether a key was executed.
    """

    request_id: str
    workspace: str
    kind: str
    target: str
    is_model: bool
    prompt_tokens: int
    max_tokens: int
    deadline_at: float
    prefix_hashes: tuple[int, ...] = ()
    idempotent: bool = True
    journal_key: bytes = b""
    body_digest: bytes = b""
    lookup_path: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlaceRequest(Message):
    """An entry node asks a group's coordinator for a permit.

    ``asked_at`` is in seconds of the entry node's clock. A repeated question for
    the same attempt carries a new one.
    """

    request_id: str
    attempt: int
    group: str
    workspace: str
    kind: str
    prompt_tokens: int
    max_tokens: int
    remaining_s: float
    prefix_hashes: tuple[int, ...] = ()
    avoid: tuple[str, ...] = ()
    asked_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PlaceReply(Message):
    """A coordinator's answer: a permit (``granted``), ``refused`` or ``moved``.

    ``asked_at`` repeats that of the latest question; 0.0 if it is not known.
    """

    request_id: str
    attempt: int
    group: str
    status: str
    endpoint: str = ""
    fence: int = 0
    incarnation: str = ""
    priority: int = 0
    cached_tokens: int = 0
    retry_after_s: float = 0.0
    detail: str = ""
    export_from: tuple[str, ...] = ()
    asked_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitRelease(Message):
    """An entry node gives a permit back, with what it observed."""

    request_id: str
    attempt: int
    group: str
    endpoint: str
    result: str
    n_tokens: int = 0
    first_token_s: float = 0.0
    duration_s: float = 0.0
    incarnation: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldPermit:
    """A permit that an entry node holds."""

    request_id: str
    attempt: int
    endpoint: str
    prompt_tokens: int
    max_tokens: int
    first_token_seen: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitReport(Message):
    """All permits of one group that an entry node holds."""

    group: str
    permits: tuple[HeldPermit, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalReserve(Message):
    """Ask the writer of a journal shard to reserve a key for one attempt.

    The attempt ends within ``remaining_s``, whatever becomes of it.
    """

    request_id: str
    attempt: str
    key: bytes
    body_digest: bytes
    remaining_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalReply(Message):
    """The journal's answer to a reservation or an ending.

    ``status`` is ``reserved``, ``done``, ``running``, ``unknown``, ``mismatch``
    (same key, other body), ``unavailable`` (not reserved, nor will it be) or
    ``recorded`` (the answer to ``ending``). ``earlier`` is the attempt that holds
    the key; ``response`` is a packed answer, see ``core.journal.answers``.
    """

    request_id: str
    attempt: str
    status: str
    response: bytes = field(default=b"", repr=False)
    earlier: str = ""
    ending: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalFinish(Message):
    """Record how a reserved call ended (``done``, ``not_sent`` or ``unknown``)."""

    attempt: str
    key: bytes
    status: str
    response: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigAnnounce(Message):
    """A node has a configuration revision in force."""

    revision: int
    hops: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigFetch(Message):
    """Ask a node for its configuration."""

    above_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigValue(Message):
    """A node's configuration as JSON."""

    revision: int
    content: bytes = field(repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigCheck(Message):
    """Ask a node which revision it has in force and how recently confirmed."""

    check: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigStatus(Message):
    """The answer to a `ConfigCheck`; the age is in seconds."""

    check: int
    revision: int
    confirmed_age_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberUpdate:
    """What a node believes of a member; ``status`` as in the membership page."""

    node: str
    address: str
    zone: str
    incarnation: int
    status: str


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupSummary:
    """A coordinator's own account of its group, spread by gossip."""

    group: str
    holder: str
    fence: int
    predicted_wait_s: float
    free_slots: int
    version: int
    provisional: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Ping(Message):
    """A membership probe; ``origin`` differs from the sender if relayed.

    ``heard`` is described in `savoryhill.core.membership.hearing`.
    """

    probe: int
    target: str
    origin: str
    config_revision: int = 0
    config_confirmed_age_s: float = 0.0
    key_value_reached: bool = True
    updates: tuple[MemberUpdate, ...] = ()
    groups: tuple[GroupSummary, ...] = ()
    heard: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class Ack(Message):
    """The answer to a probe."""

    probe: int
    target: str
    config_revision: int = 0
    config_confirmed_age_s: float = 0.0
    key_value_reached: bool = True
    updates: tuple[MemberUpdate, ...] = ()
    groups: tuple[GroupSummary, ...] = ()
    heard: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class PingRequest(Message):
    """Ask a node to probe another one on behalf of the sender."""

    probe: int
    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HandOver(Message):
    """The holder of a group has stopped granting; the receiver may take over."""

    group: str
    fence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CoordinatorChanged(Message):
    """A group has a new coordinator; passed on once by each node it is new to."""

    group: str
    holder: str
    fence: int
    provisional: bool = False
