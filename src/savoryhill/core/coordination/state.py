"""State of the coordination subsystem."""

from dataclasses import dataclass, field

NEVER = float("-inf")


@dataclass(kw_only=True)
class CoordinatorRecord:
    """What this node knows of a group's coordinator record.

    ``identity`` identifies the takeover that wrote the record and ``mod_revision``
    is its revision in the key-value service; both are unset if the record is known
    from gossip only. ``changed_at`` is the time at which this node saw the record
    replace an earlier one.
    """

    holder: str
    fence: int
    provisional_holder: str = ""
    identity: str = ""
    mod_revision: int = 0
    changed_at: float = NEVER


@dataclass(kw_only=True)
class Role:
    """The coordinator role for one group, held by this node.

    A role is a lease: its holder may grant without reading the record again until
    ``lease_expires_at``. ``held_in_contact_since`` is the time since which this node
    has held the role and been in contact with a majority.
    Until ``confirmed`` is set, the previous holder may still extend its lease,
    possibly on the other side of a partition; ``predecessor_cannot_extend`` is set if
    it is known to be unable to. ``handed_over_until`` is the time until which this
    node grants nothing because it has offered the group to another node.
    """

    fence: int
    identity: str
    lease_expires_at: float
    held_since: float
    held_in_contact_since: float
    took_over_at: float
    provisional: bool = False
    extended: bool = False
    confirmed: bool = False
    predecessor_cannot_extend: bool = False
    handed_over_until: float = NEVER
    misplaced_since: float | None = None


@dataclass(kw_only=True)
class Takeover:
    """A pending compare-and-swap that makes this node the holder of a group."""

    group: str
    identity: str
    fence: int
    has_no_predecessor: bool
    predecessor_cannot_extend: bool


@dataclass(kw_only=True)
class Candidates:
    """Cache of the first node of each group in rendezvous order for a set of nodes.

    Without the cache, 75 groups times 340 nodes were compared four times a second,
    which took a sixth of a core.
    """

    nodes: tuple[str, ...] = ()
    nodes_by_group: dict[str, str | None] = field(default_factory=dict)


@dataclass(kw_only=True)
class CoordinationState:
    """Known coordinator records and the groups that this node coordinates.

    ``groups_by_read_call`` holds the pending reads, each of one group's record or of
    all records (empty name). ``reads_failing_since`` is the time at which the first
    unanswered read was sent, None while reads are answered. ``last_read_started_at``
    is the start of the latest successful read. ``last_isolated_at`` is the last time
    at which this node was not in contact with a majority.
    ``unresolved_by_identity`` holds the start of each takeover whose outcome is not
    known yet.
    """

    records_by_group: dict[str, CoordinatorRecord] = field(default_factory=dict)
    roles_by_group: dict[str, Role] = field(default_factory=dict)
    groups_to_take_over: tuple[str, ...] = ()
    takeovers_by_call: dict[str, Takeover] = field(default_factory=dict)
    unresolved_by_identity: dict[str, float] = field(default_factory=dict)
    takeover_due_at_by_group: dict[str, float] = field(default_factory=dict)
    handed_over_fences_by_group: dict[str, int] = field(default_factory=dict)
    groups_by_read_call: dict[str, str] = field(default_factory=dict)
    last_full_read_at: float = NEVER
    read_due_at: float = NEVER
    review_due_at: float = NEVER
    hand_over_due_at: float = NEVER
    has_read: bool = False
    resumed_at: float = NEVER
    reads_failing_since: float | None = None
    last_read_started_at: float = NEVER
    last_isolated_at: float = NEVER
    candidates: Candidates = field(default_factory=Candidates)
