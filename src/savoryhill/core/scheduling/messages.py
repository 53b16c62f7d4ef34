"""Messages between nodes about jobs and the contents of the store.

Class and field names are the struct and field names on the wire.
"""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeHello:
    """First message on a connection.

    ``revision`` is the latest store revision known to the sender, in the era ``era``;
    an era of 0 is not known. ``protocol`` tells which messages it understands.
    """

    node: str
    revision: int
    protocol: int = 0
    era: int = 0


# Nodes from this protocol on understand shared observations and turns. The others
# close a link on which they receive a message that they do not know.
SHARING_PROTOCOL = 1
# Nodes from this protocol on also understand retained rows.
RETAINING_PROTOCOL = 2
# Nodes from this protocol on also choose endpoints of plain services for others.
BALANCING_PROTOCOL = 3
PROTOCOL = BALANCING_PROTOCOL


@dataclass(frozen=True, kw_only=True, slots=True)
class JobSubmit:
    """Request to place a job on engines, preferably in ``zone``.

    ``due_s`` and ``ends_s`` are the times until the first event is due and until the
    deadline, counted from the sending of the message. ``pause_s`` is the longest
    acceptable gap between events. ``endpoints`` names the engines on which the job is
    already running, if any, ``reserved_tokens`` the memory that is reserved on each,
    and ``has_started`` tells whether its first event has arrived. ``is_repeat`` tells
    whether the request was sent to an endpoint before, ``needs_budget`` whether this
    send counts against the leader's budget of repeats. ``probed_parts`` holds the
    digests of parts of the prompt that no other job may try at the same time.
    ``avoid`` names engines on which the job failed before; they are better than none.
    ``excluded`` names those that want nothing from the sender now, or that the request
    might end; they are not used for the seconds in ``excluded_for_s``, or at all if it
    is empty.
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
    reserved_tokens: tuple[int, ...] = ()
    probed_parts: tuple[str, ...] = ()
    excluded: tuple[str, ...] = ()
    excluded_for_s: tuple[float, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class JobPlaced:
    """Placement of a job; the first endpoint generates the output.

    ``reserved_tokens`` holds the number of tokens of memory to reserve on each endpoint
    before the request is sent, or 0.
    """

    job_id: str
    endpoints: tuple[str, ...]
    reserved_tokens: tuple[int, ...]
    predicted_first_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class JobRejected:
    """Rejection of a job that cannot be served in time, or not at all.

    ``retry_after_s`` is negative if there is no time after which a later try would
    succeed. ``awaits_probe`` tells that another job is about to show whether the prompt
    can be served.
    """

    job_id: str
    reason: str
    retry_after_s: float
    awaits_probe: bool = False

    @property
    def client_retry_after_s(self):
        """Return after how many seconds the client may come back, None if never."""
        return self.retry_after_s if self.retry_after_s >= 0.0 else None


NO_RETRY_S = -1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class JobReport:
    """Progress or outcome of a job; ``what`` is one of the constants below."""

    job_id: str
    what: str
    endpoint: str


FIRST_EVENT = "first_event"
FINISHED = "finished"
CANCELLED = "cancelled"
ENDPOINT_FAILED = "endpoint_failed"
ENDPOINT_FULL = "endpoint_full"
# Neither is the end of the job: a helper accepts no connections, or its own engine, if
# that is the one named, is silent. A first event that is reported once more tells that
# it was heard again.
ENDPOINT_SUSPECTED = "helper_unreached"
# The engine is silent for the job, and goes on with others; older nodes ignore it.
ENDPOINT_SLOW = "endpoint_slow"
# The job was placed or waits, and nothing was sent for it. Older nodes do not know it,
# so that CANCELLED follows.
WITHDRAWN = "withdrawn"
# Reports that end a job.
ENDS = frozenset((FINISHED, CANCELLED, WITHDRAWN, ENDPOINT_FAILED, ENDPOINT_FULL))


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreItem:
    """A key of the store; a deleted key has an empty value."""

    key: str
    value: bytes
    revision: int
    is_deleted: bool
    era: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreUpdate:
    """Changes to the store after ``base_revision`` up to and including ``revision``.

    ``base_era`` and ``era`` are the eras of these revisions, 0 if not known. If
    ``is_complete``, ``rows`` holds the whole content of the store instead.
    """

    base_revision: int
    revision: int
    is_complete: bool
    rows: tuple[StoreItem, ...]
    era: int = 0
    base_era: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class RetainedRows:
    """Rows in force at the sender although the store came back from an older copy.

    A deleted row has the value that was removed. ``age_s`` is the time since the sender
    learned that the store came back.
    """

    age_s: float
    rows: tuple[StoreItem, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeBeat:
    """Heartbeat, with the time since the sender's last contact with the store.

    ``protocol`` tells which messages the sender understands, ``era`` is that of the
    revision, 0 if not known.
    """

    revision: int
    contact_age_s: float
    protocol: int = 0
    era: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeAside:
    """Notice of the leader that it lost the store.

    Followers do not use it as leader for ``length_s``.
    """

    length_s: float
