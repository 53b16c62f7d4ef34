"""State of the coordination subject."""

from dataclasses import dataclass, field

NEVER = float("-inf")


@dataclass(kw_only=True)
class CoordinatorRecord:
    """What this node knows of a group's record.

    ``identity`` names the takeover that wrote it and ``mod_revision`` its revision
    in the key-value service; both are unset if the record is known by gossip only.
    """

    holder: str
    fence: int
    provisional_holder: str = ""
    identity: str = ""
    mod_revision: int = 0


@dataclass(kw_only=True)
class Role:
    """A group that this node coordinates.

    ``confirmed`` tells that a majority was heard of since the takeover: until
    then the previous holder may extend its tenure on the other side of a
    partition.
    """

    fence: int
    identity: str
    tenure_ends_at: float
    gained_at: float
    took_over_at: float
    provisional: bool = False
    extended: bool = False
    confirmed: bool = False
    handed_over_until: float = NEVER
    misplaced_since: float | None = None


@dataclass(kw_only=True)
class Takeover:
    """A compare-and-swap that waits for its answer."""

    group: str
    identity: str
    fence: int
    is_first: bool


@dataclass(kw_only=True)
class CoordinationState:
    """Known coordinator records and the groups that this node coordinates.

    ``failing_since`` is the time at which the first read without an answer was
    sent, None while reads are answered. ``gap_at`` is the last time at which
    neither this node nor, as far as it knows, another one reached the service.
    """

    records_by_group: dict[str, CoordinatorRecord] = field(default_factory=dict)
    roles_by_group: dict[str, Role] = field(default_factory=dict)
    wanted_groups: tuple[str, ...] = ()
    takeovers_by_call: dict[str, Takeover] = field(default_factory=dict)
    due_at_by_group: dict[str, float] = field(default_factory=dict)
    handed_over_fences_by_group: dict[str, int] = field(default_factory=dict)
    reads: set[str] = field(default_factory=set)
    read_due_at: float = NEVER
    review_due_at: float = NEVER
    hand_over_due_at: float = NEVER
    has_read: bool = False
    resumed_at: float = NEVER
    failing_since: float | None = None
    gap_at: float = NEVER
