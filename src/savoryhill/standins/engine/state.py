"""State of an engine stand-in."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from gevent.event import Event
from gevent.queue import Queue


@dataclass(kw_only=True)
class Job:
    """A request that the engine is serving.

    ``next_offset`` is the offset of the next token to generate, and
    ``decode_credit`` the fractional tokens carried over from earlier steps.
    ``chunks`` feeds the job's connection: ``(offset, n_tokens, text)`` is sent as an
    event, ``()`` ends the stream and None closes the connection without ending it.

    A job whose connection broke keeps its memory until it is resumed or cancelled,
    as a real engine does with a detached stream.
    """

    request_id: str
    priority: int
    prompt_tokens: int
    max_tokens: int
    digest: bytes
    prefixes: tuple[tuple[int, int], ...]
    next_offset: int
    remaining_prefill_tokens: float
    decode_credit: float = 0.0
    ended: bool = False
    chunks: Queue = field(default_factory=Queue)


@dataclass(kw_only=True)
class Part:
    """A part of an oversize prompt whose KV cache is kept for export.

    ``done`` is set when its prefill ends or the part is dropped.
    """

    request_id: str
    n_tokens: int
    remaining_prefill_tokens: float
    priority: int
    done: Event = field(default_factory=Event)


@dataclass(kw_only=True)
class EngineState:
    """Configuration, work and active faults of one engine stand-in.

    Rates are in tokens per second of simulated time, which runs ``time_scale`` times
    as fast as real time. ``load_lag_s`` and ``cache_event_lag_s`` are in real time.

    A cold engine prefills at ``cold_prefill_share`` of its rate, accepts
    ``cold_slots`` requests at once and becomes warm after ``n_warm_up`` finished
    ones. ``cache_event_loss`` is the probability that a cache event is lost.
    """

    id: str
    model: str
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    memory_tokens: int
    slots: int
    clock: Callable[[], float]
    cold_slots: int = 1
    cold_prefill_share: float = 0.5
    n_warm_up: int = 3
    time_scale: float = 1.0
    load_lag_s: float = 0.2
    cache_event_lag_s: float = 0.5
    cache_event_loss: float = 0.05
    checks_fencing: bool = True
    checks_incarnation: bool = True
    random: Random = field(default_factory=lambda: Random(0))
    address: str = ""
    start_number: int = 1
    warm: bool = True
    dead: bool = False
    version: str = "1"
    role: str = "serve"
    adapters: set[str] = field(default_factory=set)
    fail_orders: bool = False
    highest_fence: int = 0
    highest_order_fence: int = 0
    n_finished_cold: int = 0
    n_cold_violations: int = 0
    n_started: int = 0
    last_start_at: float = float("-inf")
    work_arrived: Event = field(default_factory=Event)
    jobs_by_id: dict[str, Job] = field(default_factory=dict)
    parts_by_id: dict[str, Part] = field(default_factory=dict)
    cached_tokens_by_prefix: OrderedDict[int, int] = field(default_factory=OrderedDict)
    cache_events: deque = field(default_factory=lambda: deque(maxlen=1000))
    n_cache_events: int = 0
    loads: deque = field(default_factory=lambda: deque(maxlen=200))

    @property
    def incarnation(self):
        """Id of the engine process, which changes with every start."""
        return f"{self.id}#{self.start_number}"


def memory_used(state):
    """Return the memory occupied by requests and exported parts, in tokens."""
    jobs = sum(job.prompt_tokens + job.max_tokens for job in state.jobs_by_id.values())
    return jobs + sum(part.n_tokens for part in state.parts_by_id.values())


def n_running(state):
    """Return the number of requests and parts in the engine."""
    return len(state.jobs_by_id) + len(state.parts_by_id)
