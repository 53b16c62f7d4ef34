"""State of the membership subsystem."""

from collections import deque
from dataclasses import dataclass, field

from savoryhill.core.messages import GroupSummary

NEVER = float("-inf")


@dataclass(kw_only=True)
class Member:
    """What this node knows about another node.

    ``status`` is ``live``, ``leaving``, ``suspected`` or ``gone``; ``left`` is set when
    a member announces that it is leaving, until it is live again. ``last_heard_at`` is
    the time of the newest evidence that the member is running, from its own messages
    or relayed by others. ``last_key_value_success_at`` is the time of its last known
    successful call to the key-value service. ``listed`` and ``listed_leaving`` are
    taken from the platform's host list.
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
    """The probe of the current round; ``indirect`` once helpers have been asked."""

    number: int
    target: str
    sent_at: float
    indirect: bool = False


@dataclass(kw_only=True)
class RelayedProbe:
    """A probe that this node sent on behalf of ``origin``."""

    origin: str
    origin_probe: int
    sent_at: float


@dataclass(kw_only=True)
class MembershipState:
    """All members known to this node, and the state of the gossip protocol.

    ``own_incarnation`` starts at the process's incarnation and increases with each
    refutation. ``own_suspicions`` holds the times at which this node's own probes
    made members suspected. ``n_sent_by_node`` counts how often the newest update on
    a member has been sent. ``update_rotation`` and ``summary_rotation`` hold the rest
    of the current round-robin pass over members and groups. ``suspicion_times`` holds
    the times at which members became suspected, ``refuted_at`` the last time at which
    this node received a wrong update on itself, and ``heard_by_others_at`` the newest
    time at which another node is known to have heard from this one.
    ``nodes_by_hash`` maps a hash that several nodes share to an empty string.
    """

    members_by_node: dict[str, Member] = field(default_factory=dict)
    nodes_by_hash: dict[bytes, str] = field(default_factory=dict)
    own_incarnation: int = 0
    leaving: bool = False
    probe: Probe | None = None
    last_probe_number: int = 0
    probe_due_at: float = NEVER
    evidence_exchange_due_at: float = NEVER
    rejoin_due_at: float = NEVER
    purge_due_at: float = NEVER
    probe_order: list[str] = field(default_factory=list)
    own_suspicions: dict[str, float] = field(default_factory=dict)
    suspected: set[str] = field(default_factory=set)
    relayed_probes_by_number: dict[int, RelayedProbe] = field(default_factory=dict)
    n_sent_by_node: dict[str, int] = field(default_factory=dict)
    update_rotation: list[str] = field(default_factory=list)
    summaries_by_group: dict[str, GroupSummary] = field(default_factory=dict)
    summary_rotation: list[str] = field(default_factory=list)
    key_value_reached_at: float = NEVER
    refuted_at: float = NEVER
    heard_by_others_at: float = NEVER
    suspicion_times: deque[float] = field(default_factory=lambda: deque(maxlen=1024))
