"""State of the requests subject."""

from dataclasses import dataclass, field

from savoryhill.core.messages import PromptPart, RequestSpec

INITIAL_RETRY_TOKENS = 10.0


@dataclass(kw_only=True)
class RequestState:
    """A request that this node has admitted.

    ``phase`` is ``reserving`` (waits for the journal), ``looking_up`` (asks the
    service what became of an earlier call), ``placing`` (waits for a permit),
    ``pausing`` (waits before it asks again), ``running`` or ``detached`` (its
    caller has got an answer, but a call that must not be repeated still runs).
    ``attempt`` numbers the placements, ``n_tries`` counts the attempts sent to
    endpoints, ``n_refused`` those that were refused without being run.
    ``wake_at`` is the time of the next step that does not depend on an answer.
    """

    spec: RequestSpec
    arrived_at: float
    phase: str = "placing"
    journal_attempt: str = ""
    earlier_attempt: str = ""
    attempt: int = 0
    n_attempts: int = 0
    n_refusals: int = 0
    n_refused: int = 0
    n_moves: int = 0
    group: str = ""
    coordinator: str = ""
    endpoint: str = ""
    parts: tuple[PromptPart, ...] = ()
    last_endpoint: str = ""
    fence: int = 0
    incarnation: str = ""
    priority: int = 0
    asked_at: float = 0.0
    wake_at: float = 0.0
    started_at: float = 0.0
    first_token_at: float = 0.0
    attempt_first_token_at: float = 0.0
    n_emitted: int = 0
    resumed_here: bool = False
    may_have_run: bool = False
    answered: bool = False
    detail: str = ""
    avoid: set[str] = field(default_factory=set)
    refused_groups: set[str] = field(default_factory=set)


@dataclass(kw_only=True)
class RequestsState:
    """All requests of this node.

    ``timers`` is a heap of (time, request, what) with ``what`` either
    ``deadline`` or ``wake``.
    """

    requests_by_id: dict[str, RequestState] = field(default_factory=dict)
    timers: list[tuple[float, str, str]] = field(default_factory=list)
    max_fence_by_group: dict[str, int] = field(default_factory=dict)
    retry_tokens: float = INITIAL_RETRY_TOKENS
    reported_at: float = float("-inf")
    reported_holder_by_group: dict[str, str] = field(default_factory=dict)
    reported_groups: frozenset[str] = frozenset()
