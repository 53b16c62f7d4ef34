"""Messages between nodes about jobs and about what the store holds."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeHello:
    """First message of a connection; ``revision`` is what the sender knows."""

    node: str
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class JobSubmit:
    """Asks for engines, preferably in ``zone``.

    ``due_s`` and ``ends_s`` count from the sending.
    ``endpoints`` is empty, or names the engines on which the job runs already;
    ``has_started`` tells whether its first event has come. ``is_repeat`` tells
    whether the request was sent before, and ``needs_budget`` whether this send draws on
    the scheduling node's budget of repeats.
    """

    job_id: str
    service: str
    zone: str
    workspace: str
    prompt_tokens: int
    answer_tokens: int
    due_s: float
    ends_s: float
    pause_s: float
    priority: int
    avoid: tuple[str, ...]
    endpoints: tuple[str, ...]
    has_started: bool
    is_repeat: bool = False
    needs_budget: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class JobPlaced:
    """The engines of a job, first the one that writes.

    ``reserved_tokens`` is the memory to reserve at each of them first, 0 for none.
    """

    job_id: str
    endpoints: tuple[str, ...]
    reserved_tokens: tuple[int, ...]
    predicted_first_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class JobRejected:
    """The job can't be served in time."""

    job_id: str
    reason: str
    retry_after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class JobReport:
    """What became of a job; ``what`` is one of the constants of this module."""

    job_id: str
    what: str
    endpoint: str


FIRST_EVENT = "first_event"
FINISHED = "finished"
CANCELLED = "cancelled"
ENDPOINT_FAILED = "endpoint_failed"
ENDPOINT_FULL = "endpoint_full"


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreItem:
    """A row of the store; a deleted one has no value."""

    key: str
    value: bytes
    revision: int
    is_deleted: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreUpdate:
    """All changes after one revision up to another, or everything if complete."""

    base_revision: int
    revision: int
    is_complete: bool
    rows: tuple[StoreItem, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeBeat:
    """Heartbeat of the scheduling node, with the age of its store contact."""

    revision: int
    contact_age_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeAside:
    """The scheduling node lost the store and is not to be asked for some time."""

    length_s: float
