"""State of the membership subject."""

from collections import deque
from dataclasses import dataclass, field

from savoryhill.core.messages import GroupSummary

NEVER = float("-inf")


@dataclass(kw_only=True)
class Member:
    """What this node believes of another node.

    ``status`` is ``live``, ``leaving``, ``suspected`` or ``gone``; ``left`` tells
    that a gone member had announced its leaving. ``heard_at`` is the time of the
    newest evidence that the member runs, its own messages or relayed ones, and
    ``key_value_at`` that of its last known success with the key-value service.
    ``listed`` and ``listed_leaving`` come from the platform's host list.
    """

    node: str
    address: str
    zone: str = ""
    incarnation: int = 0
    status: str = "live"
    left: bool = False
    last_heard_at: float = NEVER
    last_key_value_success_at: float = NEVER
    changed_at: float = NEVER
    listed: bool = False
    listed_leaving: bool = False


@dataclass(kw_only=True)
class Probe:
    """The probe that waits for its answer."""

    number: int
    target: str
    sent_at: float
    indirect: bool = False


@dataclass(kw_only=True)
class RelayedProbe:
    """A probe that this node sent on behalf of another one."""

    origin: str
    origin_probe: int
    sent_at: float


@dataclass(kw_only=True)
class MembershipState:
    """All members known to this node, and the state of the gossip.

    ``own_incarnation`` starts at the process's incarnation and rises with each
    refutation. ``n_sent_by_node`` counts how often the newest update of a member
    was sent; ``lost_at`` holds the times at which members became suspected.
    ``heard_by_others_at`` is the newest time at which another node heard this one.
    """

    members_by_node: dict[str, Member] = field(default_factory=dict)
    nodes_by_hash: dict[bytes, str] = field(default_factory=dict)
    own_incarnation: int = 0
    leaving: bool = False
    probe: Probe | None = None
    n_probes: int = 0
    probe_due_at: float = NEVER
    exchange_due_at: float = NEVER
    rejoin_due_at: float = NEVER
    forget_due_at: float = NEVER
    probe_order: list[str] = field(default_factory=list)
    own_suspicions: dict[str, float] = field(default_factory=dict)
    suspected: set[str] = field(default_factory=set)
    relayed_by_number: dict[int, RelayedProbe] = field(default_factory=dict)
    n_sent_by_node: dict[str, int] = field(default_factory=dict)
    rotation: list[str] = field(default_factory=list)
    summaries_by_group: dict[str, GroupSummary] = field(default_factory=dict)
    summary_rotation: list[str] = field(default_factory=list)
    key_value_reached_at: float = NEVER
    refuted_at: float = NEVER
    heard_by_others_at: float = NEVER
    lost_at: deque[float] = field(default_factory=lambda: deque(maxlen=1024))
