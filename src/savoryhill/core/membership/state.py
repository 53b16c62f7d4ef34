"""State of the membership subject."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class Member:
    """What this node believes of another node."""

    node: str
    address: str
    zone: str = ""
    incarnation: int = 0
    status: str = "live"
    heard_at: float = float("-inf")


@dataclass(kw_only=True)
class MembershipState:
    """All members known to this node, itself included."""

    members_by_node: dict[str, Member] = field(default_factory=dict)
