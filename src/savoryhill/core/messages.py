"""Messages between nodes.

Each message class and its fields correspond to a struct of the same name in
``peers/schema/messages.capnp``; the codec derives the wire names from the class.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class Message:
    """Base class of all messages between nodes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestSpec:
    """The properties of a caller's request that the decision core uses.

    ``target`` names a model or a service. ``prefix_hashes`` are chained hashes
    of the prompt's leading blocks. ``deadline_at`` is in seconds of the entry
    node's runtime clock. ``journal_key`` is empty for repeatable calls.
    ``lookup_path`` is the path at which the service reports whether it executed a
    key.
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
    """Request of an entry node to a group's coordinator for a permit.

    ``asked_at`` is in seconds of the entry node's clock and differs between repeated
    requests for the same attempt.
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
class PromptPart:
    """Part of an oversize prompt, and the endpoint that prefills it."""

    endpoint: str
    n_tokens: int
    incarnation: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PlaceReply(Message):
    """Reply of a coordinator to `PlaceRequest`.

    ``status`` is ``granted`` (the message is a permit), ``refused`` or ``moved``.
    ``parts`` is empty unless the prompt is split over several endpoints. The parts
    are in prompt order; the last one is on ``endpoint``, which streams the output.
    ``asked_at`` is copied from the latest request.
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
    parts: tuple[PromptPart, ...] = ()
    asked_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitRelease(Message):
    """Release of a permit by its entry node, with measurements of the attempt."""

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
    """A permit that an entry node holds.

    From ``workspace`` and ``parts``, a new coordinator counts the permit against the
    workspace's limit and on every endpoint of an oversize prompt.
    """

    request_id: str
    attempt: int
    endpoint: str
    prompt_tokens: int
    max_tokens: int
    first_token_seen: bool = False
    workspace: str = ""
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitReport(Message):
    """List of all permits of one group that an entry node holds."""

    group: str
    permits: tuple[HeldPermit, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalReserve(Message):
    """Request to the writer of a journal shard to reserve a key for one attempt.

    The attempt ends within ``remaining_s``, whatever its outcome.
    """

    request_id: str
    attempt: str
    key: bytes
    body_digest: bytes
    remaining_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalReply(Message):
    """Reply of the journal to `JournalReserve` or `JournalFinish`.

    ``status`` is ``reserved``, ``done``, ``running``, ``unknown``, ``mismatch`` (same
    key, different body), ``unavailable`` (the key was not reserved and will not be)
    or ``recorded`` (the reply to ``ending``). ``earlier`` is the attempt that holds
    the key. ``response`` is a packed response, see ``core.journal.responses``.
    """

    request_id: str
    attempt: str
    status: str
    response: bytes = field(default=b"", repr=False)
    earlier: str = ""
    ending: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalFinish(Message):
    """Request to record the outcome of a reserved call.

    ``status`` is ``done``, ``not_sent`` or ``unknown``.
    """

    attempt: str
    key: bytes
    status: str
    response: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigAnnounce(Message):
    """Announcement that a node has a configuration revision in force."""

    revision: int
    hops: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigFetch(Message):
    """Request for a node's configuration, if newer than ``above_revision``."""

    above_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigValue(Message):
    """A node's configuration as JSON."""

    revision: int
    content: bytes = field(repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigCheck(Message):
    """Request for the revision that a node has in force and its last confirmation."""

    check: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigStatus(Message):
    """Reply to `ConfigCheck`.

    ``confirmed_age_s`` is the time since the revision was last confirmed.
    """

    check: int
    revision: int
    confirmed_age_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberUpdate:
    """State of a member in the view of the sender.

    ``status`` is described in `savoryhill.core.membership.state`.
    """

    node: str
    address: str
    zone: str
    incarnation: int
    status: str


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupSummary:
    """Summary that a coordinator publishes about its group by gossip."""

    group: str
    holder: str
    fence: int
    predicted_wait_s: float
    free_slots: int
    version: int
    provisional: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Ping(Message):
    """Membership probe.

    ``origin`` differs from the sender if the probe is relayed. The format of
    ``heard`` is described in `savoryhill.core.membership.evidence`.
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
    """Reply to a membership probe."""

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
    """Request to probe another node on behalf of the sender."""

    probe: int
    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HandOver(Message):
    """Notice that the holder of a group stopped granting.

    The receiver may take over the group.
    """

    group: str
    fence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CoordinatorChanged(Message):
    """Notice that a group has a new coordinator.

    Each node that did not know it yet forwards the message once.
    """

    group: str
    holder: str
    fence: int
    provisional: bool = False
