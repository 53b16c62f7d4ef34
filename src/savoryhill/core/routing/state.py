"""State of the routing subject."""

from dataclasses import dataclass, field

from savoryhill.core.messages import PlaceRequest


@dataclass(kw_only=True)
class Permit:
    """The right of an entry node to run one attempt on an endpoint."""

    request_id: str
    attempt: int
    entry: str
    prompt_tokens: int
    max_tokens: int
    granted_at: float
    reported_at: float


@dataclass(kw_only=True)
class EndpointAccount:
    """What the coordinator knows of one endpoint of its group."""

    id: str
    incarnation: str = ""
    warm: bool = False
    limit: int = 1
    n_good: int = 0
    reachable: bool = True
    permits_by_key: dict[tuple[str, int], Permit] = field(default_factory=dict)


@dataclass(kw_only=True)
class Waiting:
    """A placement that waits in the queue of a group."""

    sender: str
    message: PlaceRequest
    arrived_at: float


@dataclass(kw_only=True)
class GroupState:
    """A group that this node coordinates."""

    accounts_by_endpoint: dict[str, EndpointAccount] = field(default_factory=dict)
    queue: list[Waiting] = field(default_factory=list)


@dataclass(kw_only=True)
class RoutingState:
    """All groups that this node coordinates."""

    groups_by_id: dict[str, GroupState] = field(default_factory=dict)
    polled_at: float = float("-inf")
