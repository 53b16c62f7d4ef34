"""State of the requests subject."""

from dataclasses import dataclass, field

from savoryhill.core.messages import RequestSpec


@dataclass(kw_only=True)
class RequestState:
    """A request that this node has admitted.

    ``phase`` is ``reserving``, ``placing``, ``running`` or ``looking_up``.
    """

    spec: RequestSpec
    arrived_at: float
    phase: str = "placing"
    journal_attempt: str = ""
    earlier_attempt: str = ""
    attempt: int = 0
    group: str = ""
    endpoint: str = ""
    asked_at: float = 0.0
    started_at: float = 0.0
    first_token_at: float = 0.0
    n_emitted: int = 0
    avoid: set[str] = field(default_factory=set)


@dataclass(kw_only=True)
class RequestsState:
    """All requests of this node."""

    requests_by_id: dict[str, RequestState] = field(default_factory=dict)
    deadlines: list[tuple[float, str]] = field(default_factory=list)
    max_fence_by_group: dict[str, int] = field(default_factory=dict)
    retry_tokens: float = 10.0
