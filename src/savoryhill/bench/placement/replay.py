"""Replay of arrivals of prompts on the scheduler of one service."""

import heapq
import random
from dataclasses import dataclass, replace
from itertools import count

from savoryhill.bench.placement.engines import PROFILE, ReadingEngine
from savoryhill.core.scheduling.decisions import Grant
from savoryhill.core.scheduling.engine_state import Job
from savoryhill.core.scheduling.scheduler import ServiceScheduler
from savoryhill.core.silence import first_event_timeout_s

# How often the leader looks at the jobs that wait, in seconds.
REVIEW_INTERVAL_S = 0.02
ANSWER_S = 1.2
MAX_RUNS = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """Prompts of one size; tokens are distributed log-normally, times in seconds."""

    name: str
    mean_tokens: float
    spread: float
    max_tokens: int
    due_s: float
    ends_s: float
    max_gap_s: float


KINDS = (
    Kind(
        name="short",
        mean_tokens=4_960.0,
        spread=0.9,
        max_tokens=23_800,
        due_s=0.3,
        ends_s=10.0,
        max_gap_s=0.25,
    ),
    Kind(
        name="middle",
        mean_tokens=45_000.0,
        spread=0.5,
        max_tokens=110_000,
        due_s=1.5,
        ends_s=10.0,
        max_gap_s=0.6,
    ),
    Kind(
        name="long",
        mean_tokens=182_000.0,
        spread=0.55,
        max_tokens=900_000,
        due_s=3.0,
        ends_s=15.0,
        max_gap_s=1.0,
    ),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Phase:
    """Arrivals a second of each kind, in the order of ``KINDS``, for some seconds."""

    length_s: float
    rates: tuple[float, float, float]


# Load patterns: a few long prompts more than usual, a burst of them, and two swings
# between a load of long prompts and one of short ones.
PATTERNS = {
    "wave": (
        Phase(length_s=2.0, rates=(12.0, 0.7, 0.3)),
        Phase(length_s=9.5, rates=(5.0, 1.2, 1.4)),
        Phase(length_s=3.0, rates=(12.0, 0.7, 0.3)),
    ),
    "burst": (
        Phase(length_s=10.0, rates=(6.0, 1.4, 2.0)),
        Phase(length_s=5.0, rates=(6.0, 0.3, 0.1)),
    ),
    "overload": (
        Phase(length_s=10.0, rates=(8.0, 2.6, 2.6)),
        Phase(length_s=5.0, rates=(6.0, 0.3, 0.1)),
    ),
    "swing": (
        Phase(length_s=10.0, rates=(7.0, 2.6, 1.3)),
        Phase(length_s=10.0, rates=(43.0, 0.5, 0.03)),
    )
    * 2,
}


@dataclass(kw_only=True, slots=True)
class Prompt:
    """One prompt and its fate; ``delay_s`` is None without a first event.

    ``decided_at`` is when it was last placed or rejected.
    """

    kind: Kind
    arrived_at: float
    n_tokens: int
    delay_s: float | None = None
    n_runs: int = 0
    is_rejected: bool = False
    workspace: str = "ws"
    decided_at: float | None = None

    @property
    def is_in_time(self):
        """Whether the first event met the objective."""
        return self.delay_s is not None and self.delay_s <= self.kind.due_s


@dataclass(frozen=True, kw_only=True, slots=True)
class Slowdown:
    """Engines that are ``factor`` times slower from ``begin_s`` to ``end_s``."""

    n_engines: int
    factor: float
    begin_s: float
    end_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Endpoint:
    id: str
    address: str
    zone: str
    slots: int
    incarnation: str


def draw_arrivals(phases, *, seed, kinds=KINDS, workspace="ws"):
    """Return the prompts of successive phases, by the time of their arrival.

    Parameters
    ----------
    phases : iterable of Phase
        The phases, one after the other.
    seed : int
        Seed of times and sizes.
    kinds : sequence of Kind
        Kinds to which the rates of the phases belong.
    workspace : str
        The workspace that sends them.

    Returns
    -------
    list of Prompt
    """
    rng = random.Random(seed)
    prompts, began_at = [], 0.0
    for phase in phases:
        for kind, rate in zip(kinds, phase.rates, strict=True):
            at = began_at + rng.expovariate(rate) if rate else float("inf")
            while at < began_at + phase.length_s:
                # The mean of the distribution is that of the kind.
                factor = rng.lognormvariate(-(kind.spread**2) / 2, kind.spread)
                n_tokens = min(kind.max_tokens, max(1, int(kind.mean_tokens * factor)))
                prompts.append(
                    Prompt(
                        kind=kind,
                        arrived_at=at,
                        n_tokens=n_tokens,
                        workspace=workspace,
                    )
                )
                at += rng.expovariate(rate)
        began_at += phase.length_s
    return sorted(prompts, key=lambda prompt: prompt.arrived_at)


class Replay:
    """Prompts, the scheduler that places them, and the engines that read them.

    ``first_pass_s`` is the decode pass between the reading and the first event, and
    ``grants`` holds what was granted when.
    """

    def __init__(
        self,
        *,
        n_engines,
        profile=PROFILE,
        node="node-a",
        answer_s=ANSWER_S,
        first_pass_s=0.0,
        slowdown=None,
    ):
        self._answer_s = answer_s
        self._scheduler = ServiceScheduler(service="pool", node=node)
        zones = ("zone-a", "zone-b", "zone-c")
        endpoints = [
            _Endpoint(
                id=f"e{number:02}",
                address=f"10.0.0.{number}:80",
                zone=zones[number % len(zones)],
                slots=profile.slots,
                incarnation=f"e{number:02}@1",
            )
            for number in range(n_engines)
        ]
        self._scheduler.set_engines(endpoints, profile)
        self._engines_by_id = {e.id: ReadingEngine(id=e.id) for e in endpoints}
        self._prompts_by_job = {}
        self._jobs_by_id = {}
        self._n_parts_left_by_job = {}
        self._engine_ids_by_job = {}
        self._events = []
        self._event_numbers = count()
        self._now = 0.0
        self._first_pass_s = first_pass_s
        self.grants = []
        if slowdown is not None:
            # Every other engine, so that each zone has some.
            ids = [e.id for e in (endpoints[::2] + endpoints[1::2])]
            ids = ids[: slowdown.n_engines]
            self._schedule(slowdown.begin_s, self._set_slowness, ids, slowdown.factor)
            self._schedule(slowdown.end_s, self._set_slowness, ids, 1.0)

    def run(self, prompts):
        """Place prompts until the last one has ended; their fate is in them."""
        for number, prompt in enumerate(prompts):
            self._schedule(prompt.arrived_at, self._submit, f"j{number}", prompt)
        end = max(prompt.arrived_at + prompt.kind.ends_s for prompt in prompts)
        n_reviews = int(end / REVIEW_INTERVAL_S)
        for number in range(n_reviews):
            self._schedule(number * REVIEW_INTERVAL_S, self._review)
        while self._events:
            at, _, handle, arguments = heapq.heappop(self._events)
            self._read_until(at)
            handle(*arguments)

    def _set_slowness(self, engine_ids, slowness):
        for engine_id in engine_ids:
            self._engines_by_id[engine_id].slowness = slowness

    def _schedule(self, at, handle, *arguments):
        item = (at, next(self._event_numbers), handle, arguments)
        heapq.heappush(self._events, item)

    def _read_until(self, at):
        while self._now < at:
            busy = [e for e in self._engines_by_id.values() if e.reads]
            step_s = min([at - self._now, *(e.next_end_s() for e in busy)])
            self._now += step_s
            ended = [run for e in busy if (run := e.advance(step_s)) is not None]
            for run in ended:
                self._end_part(run)
        self._now = max(self._now, at)

    def _submit(self, name, prompt):
        job = Job(
            id=f"{name}.1",
            service="pool",
            workspace=prompt.workspace,
            prompt_tokens=prompt.n_tokens,
            answer_tokens=1_300,
            first_event_due_at=prompt.arrived_at + prompt.kind.due_s,
            deadline_at=prompt.arrived_at + prompt.kind.ends_s,
            max_gap_s=prompt.kind.max_gap_s,
            priority=1,
            zone=f"zone-{'abc'[len(self._prompts_by_job) % 3]}",
            queued_at=self._now,
        )
        self._schedule(job.deadline_at, self._leave, prompt)
        self._queue(job, prompt)

    def _queue(self, job, prompt):
        self._prompts_by_job[job.id] = prompt
        self._jobs_by_id[job.id] = job
        self._apply(self._scheduler.submit(job, self._now))

    def _review(self):
        self._apply(self._scheduler.place_waiting(self._now))

    def _apply(self, decisions):
        for decision in decisions:
            self._prompts_by_job[decision.job_id].decided_at = self._now
            if isinstance(decision, Grant):
                self._start(decision)
            else:
                self._prompts_by_job[decision.job_id].is_rejected = True

    def _start(self, grant):
        job_id, engine_ids = grant.job_id, grant.endpoint_ids
        self.grants.append((self._now, grant))
        self._prompts_by_job[job_id].n_runs += 1
        self._n_parts_left_by_job[job_id] = len(engine_ids)
        self._engine_ids_by_job[job_id] = engine_ids
        for engine_id in engine_ids:
            self._engines_by_id[engine_id].add(
                job_id, grant.prefill_part_s, is_part=len(engine_ids) > 1
            )
        silent_at = self._now + first_event_timeout_s(grant.predicted_first_s)
        self._schedule(silent_at, self._give_up, job_id)

    def _end_part(self, job_id):
        self._n_parts_left_by_job[job_id] -= 1
        if self._n_parts_left_by_job[job_id]:
            return
        if not self._first_pass_s:
            self._begin(job_id)
            return
        first = self._engines_by_id[self._engine_ids_by_job[job_id][0]]
        first_at = self._now + self._first_pass_s * first.slowness
        self._schedule(first_at, self._begin, job_id)

    def _begin(self, job_id):
        prompt = self._prompts_by_job[job_id]
        if self._now >= prompt.arrived_at + prompt.kind.ends_s:
            return
        prompt.delay_s = self._now - prompt.arrived_at
        self._apply(self._scheduler.note_first_event(job_id, self._now))
        self._schedule(self._now + self._answer_s, self._finish, job_id)

    def _finish(self, job_id):
        self._apply(self._scheduler.finish(job_id, self._now))

    def _give_up(self, job_id):
        """Repeat a run whose engine is silent for too long, as nodes do."""
        prompt = self._prompts_by_job[job_id]
        if prompt.delay_s is not None or not self._n_parts_left_by_job[job_id]:
            return
        if prompt.n_runs >= MAX_RUNS:
            return
        engine_ids = self._drop(job_id)
        self._scheduler.note_failure(engine_ids[0], self._now)
        job = replace(
            self._jobs_by_id[job_id],
            id=f"{job_id.partition('.')[0]}.{prompt.n_runs + 1}",
            avoided_engine_ids=frozenset(engine_ids[:1]),
        )
        self._apply(self._scheduler.finish(job_id, self._now))
        self._queue(job, prompt)

    def _leave(self, prompt):
        """End what is left of a prompt whose client waits no longer."""
        for job_id, other in list(self._prompts_by_job.items()):
            if other is prompt and prompt.delay_s is None:
                self._drop(job_id)
                self._apply(self._scheduler.cancel(job_id, self._now))

    def _drop(self, job_id):
        engine_ids = self._engine_ids_by_job.get(job_id, ())
        self._n_parts_left_by_job[job_id] = 0
        for engine_id in engine_ids:
            self._engines_by_id[engine_id].drop(job_id)
        return engine_ids


def replay_pattern(pattern, *, n_engines, seed, node="node-a"):
    """Replay one of ``PATTERNS``; return its prompts with their fate.

    Parameters
    ----------
    pattern : str
        Name of the pattern.
    n_engines : int
        Number of engines.
    seed : int
        Seed of times and sizes.
    node : str
        Name of the node that leads.

    Returns
    -------
    list of Prompt

    Raises
    ------
    ValueError
        If there is no such pattern, or no engine.
    """
    if pattern not in PATTERNS:
        known = ", ".join(sorted(PATTERNS))
        raise ValueError(f"pattern must be one of {known}, got {pattern!r}")
    if n_engines < 1:
        raise ValueError(f"n_engines must be at least 1, got {n_engines}")
    prompts = draw_arrivals(PATTERNS[pattern], seed=seed)
    Replay(n_engines=n_engines, node=node).run(prompts)
    return prompts


def summarize(prompts):
    """Return the figures of each kind of prompt.

    Returns
    -------
    dict of str to dict
        By kind: ``n``, ``in_time``, ``late``, ``rejected`` and ``unserved`` (counts),
        ``repeated`` (prompts with more than one run), and ``p50_s`` of the first event.
    """
    figures = {}
    for kind in KINDS:
        some = [prompt for prompt in prompts if prompt.kind is kind]
        delays = sorted(p.delay_s for p in some if p.delay_s is not None)
        unserved = [p for p in some if p.delay_s is None]
        n_rejected = sum(p.is_rejected for p in unserved)
        figures[kind.name] = {
            "n": len(some),
            "in_time": sum(p.is_in_time for p in some),
            "late": len(delays) - sum(p.is_in_time for p in some),
            "rejected": n_rejected,
            "unserved": len(unserved) - n_rejected,
            "repeated": sum(p.n_runs > 1 for p in some),
            "p50_s": round(delays[len(delays) // 2], 3) if delays else None,
        }
    return figures
