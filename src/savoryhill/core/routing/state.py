"""State that a coordinator keeps for routing."""

from dataclasses import dataclass, field

from savoryhill.config.model import Configuration, Hardware
from savoryhill.core.messages import PlaceRequest


@dataclass(kw_only=True, slots=True)
class Permit:
    """Permission for an entry node to run one attempt on an endpoint.

    ``phase`` is ``granted`` (not yet reported by the entry node), ``held``
    (reported, or its stream was listed by the endpoint) or ``closing`` (released
    or expired, but the endpoint may still run its stream). The entry node must
    start the attempt by ``use_by``. ``ahead_tokens`` is the prefill work queued
    on the endpoint before this prompt at the time of the grant, and
    ``short_tokens_at_grant`` the endpoint's ``short_tokens_granted`` at that
    time; `learn_costs` compares both with the observed first token.
    ``n_replies`` counts the grant messages sent for this permit.
    """

    request_id: str
    attempt: int
    entry: str
    workspace: str
    prompt_tokens: int
    max_tokens: int
    granted_at: float
    reported_at: float
    use_by: float
    short: bool = True
    phase: str = "granted"
    closing_at: float = 0.0
    first_token_seen: bool = False
    lateness_recorded: bool = False
    uncached_tokens: int = 0
    ahead_tokens: float = 0.0
    short_tokens_at_grant: int = 0
    predicted_first_token_s: float = 0.0
    predicted_end_at: float = 0.0
    batch_size: int = 1
    priority: int = 0
    cached_tokens: int = 0
    n_replies: int = 1
    charged_tokens: float = 0.0


@dataclass(kw_only=True, slots=True)
class CostModel:
    """Prefill and decode rates of one endpoint, updated from observations.

    The time per generated token is ``decode_base_s + decode_slope_s * batch``.
    Both coefficients are a least-squares fit over the exponentially weighted sums
    ``weight`` to ``sum_batch_s``.
    """

    prefill_tokens_per_s: float
    overhead_s: float
    weight: float
    sum_batch: float
    sum_batch_squared: float
    sum_s: float
    sum_batch_s: float
    decode_base_s: float = 0.0
    decode_slope_s: float = 0.0


@dataclass(kw_only=True, slots=True)
class EndpointState:
    """The coordinator's view of one endpoint of its group.

    ``warm`` is the endpoint's last report about itself; ``limit`` is the number of
    permits allowed by the cold-start ramp. ``open`` follows from the configuration
    (neither leaving nor in a withdrawn availability zone). ``ready`` follows from
    observations: it is false until the first load report, and from a refused or
    undelivered attempt until the next report. The ``pending`` tokens are granted
    prompts without a first token; the ``backlog`` tokens are the part of them that
    is predicted not to be prefilled by ``backlog_updated_at``.
    """

    id: str
    address: str
    hardware: Hardware
    cost_model: CostModel
    checks_incarnation: bool = False
    checks_fencing: bool = False
    is_model: bool = True
    open: bool = True
    ready: bool = False
    incarnation: str = ""
    version: str = ""
    warm: bool = False
    limit: int = 1
    n_successes: int = 0
    n_poll_failures: int = 0
    load_reported_at: float = float("-inf")
    permits_by_key: dict[tuple[str, int], Permit] = field(default_factory=dict)
    used_tokens: int = 0
    n_long: int = 0
    predicted_end_sum: float = 0.0
    pending_short_tokens: int = 0
    pending_long_tokens: int = 0
    short_backlog_tokens: float = 0.0
    long_backlog_tokens: float = 0.0
    backlog_updated_at: float = 0.0
    short_tokens_granted: int = 0
    cached_prefixes: frozenset[int] = frozenset()
    placed_at_by_prefix: dict[int, float] = field(default_factory=dict)
    first_listed_at_by_orphan: dict[str, float] = field(default_factory=dict)
    orphan_tokens: int = 0


@dataclass(kw_only=True, slots=True)
class PendingPlacement:
    """A placement request that has not been granted or refused yet.

    ``removed`` marks entries that are still in a heap of the queue.
    """

    sender: str
    message: PlaceRequest
    arrived_at: float
    deadline_at: float
    short: bool
    rank: tuple[float, int] = (0.0, 0)
    service_s: float = 0.0
    min_service_s: float = 0.0
    oversize: bool = False
    aged: bool = False
    removed: bool = False

    @property
    def key(self):
        """Request identifier and attempt number."""
        return self.message.request_id, self.message.attempt


@dataclass(kw_only=True, slots=True)
class EndpointReservation:
    """Endpoints reserved for one pending placement that does not fit yet."""

    key: tuple[str, int]
    endpoints: frozenset[str]


@dataclass(kw_only=True)
class GroupState:
    """A group that this node coordinates.

    ``endpoints_by_permit`` lists the endpoints on which each permit is counted; an
    oversize prompt occupies several. ``ended_at_by_key`` contains permits that
    ended recently, so that a report sent before the end does not add them again.
    ``oversize_key`` is the permit of the oversize prompt in progress.
    """

    id: str
    fence: int = 0
    took_over_at: float = float("-inf")
    is_model: bool = True
    configuration: Configuration | None = None
    states_by_endpoint: dict[str, EndpointState] = field(default_factory=dict)
    open_endpoints: tuple[EndpointState, ...] = ()
    endpoints_by_permit: dict[tuple[str, int], tuple[str, ...]] = field(
        default_factory=dict
    )
    ended_at_by_key: dict[tuple[str, int], float] = field(default_factory=dict)
    reported_at_by_entry: dict[str, float] = field(default_factory=dict)
    pending_by_key: dict[tuple[str, int], PendingPlacement] = field(
        default_factory=dict
    )
    heaps_by_rank: dict[tuple[float, int], dict[tuple[str, bool], list]] = field(
        default_factory=dict
    )
    n_pushed: int = 0
    queued_service_s: float = 0.0
    counters_by_workspace: dict[str, float] = field(default_factory=dict)
    counter_floor: float = 0.0
    outstanding_by_workspace: dict[str, int] = field(default_factory=dict)
    n_long_endpoints: int = 1
    boundary_adapted_at: float = float("-inf")
    reservation: EndpointReservation | None = None
    oversize_key: tuple[str, int] | None = None
    next_round_robin: int = 0
    checked_at: float = float("-inf")
    predicted_wait_s: float = 0.0
    free_slots: int = 0
    summary_version: int = 0


@dataclass(kw_only=True)
class Rollout:
    """Update of the engines of one model to one version.

    ``outcomes_by_endpoint`` holds ``running``, ``ok`` or ``failed``.
    """

    version: str
    started_at: float
    fence: int = 0
    broken: bool = False
    outcomes_by_endpoint: dict[str, str] = field(default_factory=dict)
    ordered_at_by_endpoint: dict[str, float] = field(default_factory=dict)
    next_load_at: float = float("-inf")
    polled_at: float = float("-inf")


@dataclass(kw_only=True)
class RoutingState:
    """Routing state of a node: the groups that it coordinates, and rollouts.

    ``policy`` is ``savoryhill`` or the name of a baseline.
    """

    policy: str = "savoryhill"
    groups_by_id: dict[str, GroupState] = field(default_factory=dict)
    polled_at: float = float("-inf")
    rollouts_by_model: dict[str, Rollout] = field(default_factory=dict)
    versions_by_endpoint: dict[str, str] = field(default_factory=dict)
    rollouts_checked_at: float = float("-inf")
