"""State of the requests subsystem."""

from dataclasses import dataclass, field

from savoryhill.core.messages import PromptPart, RequestSpec

INITIAL_RETRY_TOKENS = 10.0


@dataclass(kw_only=True)
class RequestState:
    """A request that this node has received and not yet finished.

    ``phase`` is one of

    - ``reserving``: waiting for the journal to reserve the key,
    - ``looking_up``: asking the service for the outcome of an earlier call,
    - ``placing``: waiting for a permit,
    - ``pausing``: backing off before the next placement,
    - ``running``: an attempt is running on an endpoint,
    - ``detached``: the caller has been answered, but a non-idempotent call is
      still running.

    ``attempt`` is the number of the current placement. ``n_attempts`` counts the
    attempts sent to endpoints, except refused ones and resumes that could not
    connect. ``n_refused_attempts`` counts attempts that an endpoint refused without
    executing them, ``n_refused_placements`` placements that a coordinator refused.
    ``journal_attempt`` identifies this request's reservation in the journal and
    ``earlier_attempt`` that of the earlier call that holds the key. ``wake_at`` is
    the time of the next step that is not triggered by a reply.
    """

    spec: RequestSpec
    arrived_at: float
    phase: str = "placing"
    journal_attempt: str = ""
    earlier_attempt: str = ""
    attempt: int = 0
    n_attempts: int = 0
    n_refused_placements: int = 0
    n_refused_attempts: int = 0
    n_backoffs: int = 0
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
    resumed_in_place: bool = False
    may_have_run: bool = False
    response_sent: bool = False
    detail: str = ""
    avoided_endpoints: set[str] = field(default_factory=set)
    refused_groups: set[str] = field(default_factory=set)


@dataclass(kw_only=True)
class RequestsState:
    """All requests of this node.

    ``timers`` is a heap of (time, request ID, kind), where the kind is ``deadline``
    or ``wake``. Timers are never removed early: one that does not match its request
    any more is ignored when it fires.
    """

    requests_by_id: dict[str, RequestState] = field(default_factory=dict)
    timers: list[tuple[float, str, str]] = field(default_factory=list)
    max_fence_by_group: dict[str, int] = field(default_factory=dict)
    retry_tokens: float = INITIAL_RETRY_TOKENS
    permits_reported_at: float = float("-inf")
    reported_holder_by_group: dict[str, str] = field(default_factory=dict)
    reported_groups: frozenset[str] = frozenset()
