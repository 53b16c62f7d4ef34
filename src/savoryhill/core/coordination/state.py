"""State of the coordination subject."""

from dataclasses import dataclass, field

NEVER = float("-inf")


@dataclass(kw_only=True)
class CoordinatorRecord:
    """What this node knows of a group's record.

    ``identity`` names the takeover that wrote it and ``mod_revision`` its revision
    in the key-value service; both are unset if the record is known by gossip only.
    ``changed_at`` is the time at which this node saw it replace an earlier record.
    """

    holder: str
    fence: int
    provisional_holder: str = ""
    identity: str = ""
    mod_revision: int = 0
    changed_at: float = NEVER


@dataclass(kw_only=True)
class Role:
    """A group that this node coordinates.

    ``held_in_contact_since`` is the time since which this node holds the group in
    contact with a majority. Until ``confirmed``, the previous holder may still extend its
    tenure, possibly on the other side of a partition. ``is_prompt`` tells that the
    previous holder is known to be unable to do so.
    """

    fence: int
    identity: str
    tenure_ends_at: float
    held_since: float
    held_in_contact_since: float
    took_over_at: float
    provisional: bool = False
    extended: bool = False
    confirmed: bool = False
    is_prompt: bool = False
    handed_over_until: float = NEVER
    misplaced_since: float | None = None


@dataclass(kw_only=True)
class Takeover:
    """A compare-and-swap that waits for its answer."""

    group: str
    identity: str
    fence: int
    is_first: bool
    is_prompt: bool


@dataclass(kw_only=True)
class Candidates:
    """The first node of each group in rendezvous order, for one set of nodes.

    Without keeping them, 75 groups times 340 nodes were compared four times a
    second, which took a sixth of a core.
    """

    nodes: tuple[str, ...] = ()
    nodes_by_group: dict[str, str | None] = field(default_factory=dict)


@dataclass(kw_only=True)
class CoordinationState:
    """Known coordinator records and the groups that this node coordinates.

    ``groups_by_read`` holds the reads on their way: of one group's record, or of all
    (empty name). ``failing_since`` is the time at which the first read without an
    answer was sent, None while reads are answered, ``renewed_at`` the start of the
    last read that was answered, and ``isolated_at`` the last time at which this node
    was not in contact with a majority. ``unsettled_by_identity`` holds the start of
    each takeover whose outcome is not known yet.
    """

    records_by_group: dict[str, CoordinatorRecord] = field(default_factory=dict)
    roles_by_group: dict[str, Role] = field(default_factory=dict)
    wanted_groups: tuple[str, ...] = ()
    takeovers_by_call: dict[str, Takeover] = field(default_factory=dict)
    unsettled_by_identity: dict[str, float] = field(default_factory=dict)
    due_at_by_group: dict[str, float] = field(default_factory=dict)
    handed_over_fences_by_group: dict[str, int] = field(default_factory=dict)
    groups_by_read: dict[str, str] = field(default_factory=dict)
    full_read_at: float = NEVER
    read_due_at: float = NEVER
    review_due_at: float = NEVER
    hand_over_due_at: float = NEVER
    has_read: bool = False
    resumed_at: float = NEVER
    failing_since: float | None = None
    renewed_at: float = NEVER
    isolated_at: float = NEVER
    candidates: Candidates = field(default_factory=Candidates)
