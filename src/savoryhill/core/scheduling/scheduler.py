"""Scheduler that places the generations of one service on its engines.

The scheduler holds the queue and the state of the engines. Methods that may place
jobs take the current time and return decisions for the caller to deliver.
"""

from dataclasses import dataclass, field, replace

from savoryhill.core.backoff import backoff_s
from savoryhill.core.observations.rate_limits import RateLimiter, unlimited
from savoryhill.core.scheduling.claims import EngineClaims
from savoryhill.core.scheduling.decisions import Grant, Rejection
from savoryhill.core.scheduling.engine_choice import (
    PREFILL_TIME_SHARES,
    choose_engines,
    has_free_slot,
)
from savoryhill.core.scheduling.engine_state import (
    EngineState,
    Job,
    PlacedJob,
    engine_rank,
    job_prefill_s,
)
from savoryhill.core.scheduling.limited_turns import LimitedTurns, limited_rate
from savoryhill.core.scheduling.long_prefill import (
    LONG_PREFILL_S,
    MAX_PARTS,
    LongPrefillLimit,
    is_long,
    limit_long_prefill,
    max_late_engines,
    max_late_prefill_s,
    misses_deadline,
)
from savoryhill.core.scheduling.memory import (
    MEMORY_SHARE,
    needed_tokens,
    reservations,
)
from savoryhill.core.scheduling.pace_notes import PaceNotes, predict_first_event
from savoryhill.core.scheduling.shares import WorkspaceShares, job_engine_s
from savoryhill.core.silence import MIN_SILENCE_S

# Longer queues are not reviewed at each event. A review looks at each job, and a leader
# that is busy with reviews under a burst sends no heartbeats.
MAX_IMMEDIATE_JOBS = 8
MAX_REVIEWED_JOBS_PER_S = 2_500.0
# Jobs in all that reviews in a row, each after an event, may look at.
MAX_REVIEW_CREDIT_JOBS = 250.0
# A job that is due sooner claims as many engines as one that is due then.
MIN_CLAIM_TIME_S = 0.5
INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
INITIAL_FULL_EJECTION_S = 0.2


@dataclass(kw_only=True)
class ServiceScheduler:
    """Queue of jobs and state of the engines of one service, on the node ``node``.

    ``rate_limiter`` counts the requests to engines that have named a limit.
    ``max_grants_per_s`` limits the grants to each engine in a second, so that a cold
    engine is not overloaded; 0 means no limit. ``claims`` are the engines
    that are kept free for waiting jobs.
    """

    service: str
    node: str = ""
    rate_limiter: RateLimiter = field(default_factory=unlimited)
    max_grants_per_s: float = 0.0
    engines_by_id: dict[str, EngineState] = field(default_factory=dict)
    placed_by_id: dict[str, PlacedJob] = field(default_factory=dict)
    waiting_by_id: dict[str, Job] = field(default_factory=dict)
    limited_turns: LimitedTurns = field(default_factory=LimitedTurns)
    claims: EngineClaims = field(init=False)
    shares: WorkspaceShares = field(init=False)
    _reviewed_at: float = field(default=0.0, init=False)
    _review_credit_jobs: float = field(default=MAX_REVIEW_CREDIT_JOBS, init=False)
    # Valid for the jobs without engines of their own until the next decision.
    _shared_engines: list | None = field(default=None, init=False)
    _shared_limit: LongPrefillLimit | None = field(default=None, init=False)
    pace_notes: PaceNotes = field(init=False)

    def __post_init__(self):
        self.shares = WorkspaceShares(engine_s=self._engine_s)
        self.claims = EngineClaims(waiting_by_id=self.waiting_by_id)
        self.pace_notes = PaceNotes(engines_by_id=self.engines_by_id)

    def set_engines(self, endpoints, profile):
        """Set the endpoints that may be used.

        The state of any other engine is kept until its jobs have finished.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Endpoints of the service that accept new jobs.
        profile : EngineProfile
            Profile of the service's engines.
        """
        usable = {endpoint.id: endpoint for endpoint in endpoints}
        for engine_id, engine in list(self.engines_by_id.items()):
            engine.is_usable = engine_id in usable
            if not engine.is_usable and not engine.jobs_by_id:
                del self.engines_by_id[engine_id]
        for endpoint in usable.values():
            engine = self.engines_by_id.get(endpoint.id)
            if engine is None or engine.address != endpoint.address:
                self.engines_by_id[endpoint.id] = EngineState(
                    id=endpoint.id,
                    address=endpoint.address,
                    zone=endpoint.zone,
                    slots=endpoint.slots,
                    profile=profile,
                    incarnation=endpoint.incarnation,
                    rank=engine_rank(self.node, endpoint.id),
                )
            else:
                engine.set_incarnation(endpoint.incarnation)
                engine.set_capacity(slots=endpoint.slots, profile=profile)

    def submit(self, job, now):
        """Queue a job and return the resulting decisions.

        A job that its node submits again, as it never learned of the placement, gives
        up that one.
        """
        self._give_up_placement(job.id, now)
        self.waiting_by_id[job.id] = job
        return self._place_promptly(now)

    def _place_promptly(self, now):
        """Place waiting jobs now, unless they are many and were reviewed often."""
        if len(self.waiting_by_id) > MAX_IMMEDIATE_JOBS:
            elapsed_s, self._reviewed_at = now - self._reviewed_at, now
            self._review_credit_jobs = min(
                MAX_REVIEW_CREDIT_JOBS,
                self._review_credit_jobs + elapsed_s * MAX_REVIEWED_JOBS_PER_S,
            )
            if self._review_credit_jobs <= 0.0:
                return ()
            self._review_credit_jobs -= len(self.waiting_by_id)
        return self.place_waiting(now)

    def cancel(self, job_id, now):
        """Remove a job that is no longer wanted and return the resulting decisions."""
        self.waiting_by_id.pop(job_id, None)
        self.claims.drop(job_id)
        return self.finish(job_id, now)

    def note_first_event(self, job_id, now):
        """Record the first event of a job and return the resulting decisions."""
        placed = self.placed_by_id.get(job_id)
        if placed is None:
            return ()
        self.pace_notes.note_first_event(placed, now)
        placed.first_event_at = now
        for engine_id in placed.engine_ids:
            engine = self.engines_by_id.get(engine_id)
            if engine is not None:
                engine.finish_prefill(job_id, now)
                engine.n_failures = engine.n_refusals = engine.n_silences = 0
        first = self.engines_by_id.get(placed.engine_ids[0])
        if first is not None:
            first.heard_at = now
            if job_id in first.silent_job_ids:
                first.silent_job_ids.discard(job_id)
                first.avoided_until = max(first.avoided_until, first.ejected_until)
                first.ejected_until = now
        return self._place_promptly(now)

    def finish(self, job_id, now):
        """Record that a job ended on its engines and return the resulting decisions."""
        placed = self.placed_by_id.get(job_id)
        if placed is None:
            return ()
        self.pace_notes.note_end(placed, now)
        self._give_up_placement(job_id, now)
        return self._place_promptly(now)

    def _give_up_placement(self, job_id, now):
        """Free what a job holds on its engines, if it is placed."""
        placed = self.placed_by_id.pop(job_id, None)
        if placed is None:
            return
        self.shares.note_ended(placed.job.workspace)
        if placed.first_event_at is None:
            # A job that was withdrawn or given up has used at most the time since then.
            used_s = (now - placed.granted_at) * len(placed.engine_ids)
            unused_s = max(0.0, placed.charged_s - used_s)
            self.shares.refund(placed.job.workspace, unused_s)
        for engine_id in placed.engine_ids:
            engine = self.engines_by_id.get(engine_id)
            if engine is not None:
                engine.finish(job_id, now)
                if not engine.is_usable and not engine.jobs_by_id:
                    del self.engines_by_id[engine_id]

    def note_failure(self, engine_id, now, *, is_full=False):
        """Eject an engine that failed or refused a job, with exponential backoff.

        Refusals count as well: while the store is unreachable, they are the only sign
        that an engine is leaving. An engine that is merely full is ejected for a
        shorter time at first, as the first event of another job soon shows that it
        works and resets the backoff.

        Returns
        -------
        float
            Seconds from now for which the engine gets no jobs; 0 if it is not known.
        """
        engine = self.engines_by_id.get(engine_id)
        if engine is None:
            return 0.0
        if is_full:
            ejection_s = backoff_s(
                INITIAL_FULL_EJECTION_S, MAX_EJECTION_S, engine.n_refusals
            )
            engine.n_refusals += 1
        else:
            ejection_s = backoff_s(
                INITIAL_EJECTION_S, MAX_EJECTION_S, engine.n_failures
            )
            engine.n_failures += 1
        engine.ejected_until = max(engine.ejected_until, now + ejection_s)
        return engine.ejected_until - now

    def note_suspicion(self, job_id, engine_id, now, *, was_heard=False):
        """Eject an engine that is silent or not reached, while the job goes on there.

        Load pattern: one stream of several is silent, as its prompt is read again, and
        the engine goes on with the others. It is only avoided if a job of any node has
        begun there within the silence, or once the silent one goes on.

        Parameters
        ----------
        job_id, engine_id : str
            The job, and its own engine or a helper.
        now : float
            Current time of the scheduler's clock, in seconds.
        was_heard : bool
            Whether the engine has gone on with others within the silence.

        Returns
        -------
        float
            Seconds from now for which the engine gets no jobs; 0 if it is only avoided
            or not known.
        """
        placed, engine = (
            self.placed_by_id.get(job_id),
            self.engines_by_id.get(engine_id),
        )
        if placed is None or engine is None or placed.engine_ids[0] != engine_id:
            return self.note_failure(engine_id, now)
        if was_heard or engine.heard_at > max(placed.granted_at, now - MIN_SILENCE_S):
            avoided_s = backoff_s(INITIAL_EJECTION_S, MAX_EJECTION_S, engine.n_silences)
            engine.n_silences += 1
            engine.avoided_until = max(engine.avoided_until, now + avoided_s)
            return 0.0
        engine.silent_job_ids.add(job_id)
        return self.note_failure(engine_id, now)

    def n_ejected(self, now):
        """Return how many engines get no jobs because they failed or refused some."""
        return sum(engine.ejected_until > now for engine in self.engines_by_id.values())

    def n_free_slots(self):
        """Return how many more jobs the usable engines could generate at once."""
        return sum(
            max(0, engine.slots - len(engine.jobs_by_id))
            for engine in self.engines_by_id.values()
            if engine.is_usable
        )

    def adopt(self, job, engine_ids, *, has_started, now, reserved_tokens=()):
        """Add a running job that another scheduler placed.

        ``reserved_tokens`` holds the number of tokens of memory that are reserved on
        each engine.
        """
        self.waiting_by_id.pop(job.id, None)
        known = self.placed_by_id.get(job.id)
        if known is not None and known.engine_ids == tuple(engine_ids):
            return
        self._give_up_placement(job.id, now)
        placed = PlacedJob(
            job=job,
            engine_ids=engine_ids,
            prefill_part_s=0.0,
            granted_at=now,
            due_at=job.first_event_due_at,
            first_event_at=now if has_started else None,
            reserved_tokens=reserved_tokens,
        )
        known_ids = [e for e in engine_ids if e in self.engines_by_id]
        if known_ids and not has_started:
            engine = self.engines_by_id[known_ids[0]]
            placed.prefill_part_s = job_prefill_s(engine, job) / len(engine_ids)
        self._add_placed(placed, now)

    def place_waiting(self, now):
        """Place the jobs that fit, and reject those that cannot meet their deadline.

        Jobs are considered by priority, by what their workspaces have received, and by
        the time at which their first event is due, those that are not late first. A
        long prompt that fits nowhere claims the engines that will be free first;
        otherwise a burst of short prompts would refill them as soon as they become
        free.
        """
        self.pace_notes.review(self.placed_by_id, now)
        decisions = []
        self._forget_shared()
        waiting = self.shares.order(self.waiting_by_id.values(), now)
        unplaced_tokens_by_kind = {}
        rate = limited_rate(self.engines_by_id.values(), self.rate_limiter, now)
        n_left = len(waiting)
        for job in waiting:
            # A job that is at least as large as one that did not fit won't fit either.
            # That assumes the order by due time, which holds within a workspace: of two
            # jobs of different ones, the second may be the one with more time left.
            kind = (job.workspace, job.max_gap_s)
            unplaced_tokens = unplaced_tokens_by_kind.get(kind)
            if (
                unplaced_tokens is not None
                and job.prompt_tokens >= unplaced_tokens
                and not job.has_own_engines
            ):
                is_late = job.first_event_due_at <= now
                decision = self._reject_if_unservable(job, now) if is_late else None
            else:
                decision = self._decide(job, now)
            if decision is None and rate is not None and not self._is_long(job):
                n_ahead = len(self.waiting_by_id) - n_left
                decision = self.limited_turns.reject_if_late(job, n_ahead, rate, now)
            n_left -= 1
            if decision is None:
                if not job.has_own_engines:
                    # A long prompt that does not fit does not rule out a shorter one
                    # that is long as well.
                    if unplaced_tokens is None or self._is_long(job):
                        unplaced_tokens = job.prompt_tokens
                    unplaced_tokens_by_kind[kind] = min(
                        job.prompt_tokens, unplaced_tokens
                    )
                continue
            del self.waiting_by_id[job.id]
            self.claims.drop(job.id)
            self._forget_shared()
            decisions.append(decision)
        return decisions

    def _forget_shared(self):
        self._shared_engines = self._shared_limit = None

    def _reject_if_unservable(self, job, now):
        """Return a rejection if a late job cannot meet its deadline, else None.

        The client of a long prompt that is queued behind others is told at once that
        waiting is of no use.
        """
        engine = self._any_engine()
        if engine is None:
            return None
        if misses_deadline(
            job, engine=engine, n_engines=len(self.engines_by_id), now=now
        ):
            return self._reject(job, "cannot be read before the deadline")
        return None

    def _is_long(self, job):
        """Return whether a job's prefill keeps it waiting, rather than its turn."""
        engine = self._any_engine()
        return engine is not None and is_long(job, engine)

    def _usable_engines(self, job, now):
        if job.has_own_engines:
            return self._find_usable_engines(job, now)
        if self._shared_engines is None:
            self._shared_engines = self._find_usable_engines(job, now)
        return self._shared_engines

    def _limit_long_prefill(self, job, engines, prefill_s, now):
        is_shared = prefill_s > LONG_PREFILL_S and not job.has_own_engines
        if is_shared and self._shared_limit is not None:
            return self._shared_limit
        limit = limit_long_prefill(
            engines=engines,
            waiting=self.waiting_by_id.values(),
            prefill_s=prefill_s,
            now=now,
        )
        if is_shared:
            self._shared_limit = limit
        return limit

    def _find_usable_engines(self, job, now):
        limit = self.max_grants_per_s
        for engine in self.engines_by_id.values():
            engine.has_turn = self.rate_limiter.wait_s(engine.incarnation, now) <= 0.0
        usable = [
            engine
            for engine in self.engines_by_id.values()
            if engine.is_usable
            and not job.excludes(engine.id, now)
            and engine.ejected_until <= now
            # A failed engine gets a single job until a first event shows that it works.
            and not (engine.n_failures and engine.jobs_by_id)
            and (not limit or engine.grants_in_last_second(now) < limit)
        ]
        # One that is silent for some is better than none, and so is one on which this
        # job failed before.
        usable = [engine for engine in usable if engine.avoided_until <= now] or usable
        return [
            engine for engine in usable if engine.id not in job.avoided_engine_ids
        ] or usable

    def _decide(self, job, now):
        if now >= job.deadline_at:
            return self._reject(job, "deadline passed")
        engines = self._usable_engines(job, now)
        if not engines:
            return None
        prefill_s = job_prefill_s(engines[0], job)
        memory_tokens = MEMORY_SHARE * sum(e.profile.memory_tokens for e in engines)
        if needed_tokens(job) > memory_tokens:
            return self._reject(job, "prompt is larger than the memory of all engines")
        long_prefill_limit = self._limit_long_prefill(job, engines, prefill_s, now)
        max_parts = min(len(engines), MAX_PARTS)
        if prefill_s / max_parts > LONG_PREFILL_S:
            max_parts = min(max_parts, max(long_prefill_limit.total, 1))
        min_prefill_s = prefill_s / max_parts
        is_late = now + min_prefill_s / PREFILL_TIME_SHARES[-1] > job.first_event_due_at
        if is_late:
            return self._decide_late(job, engines, prefill_s, now, long_prefill_limit)
        chosen = self._choose(
            job, engines, prefill_s, now, long_prefill_limit.available
        )
        if chosen is None:
            if prefill_s >= job.max_gap_s:
                time_left_s = max(job.first_event_due_at - now, MIN_CLAIM_TIME_S)
                self.claims.claim(
                    job,
                    engines,
                    prefill_s=prefill_s,
                    prefill_budget_s=time_left_s * PREFILL_TIME_SHARES[0],
                    max_engines=long_prefill_limit.available,
                    now=now,
                )
            return None
        return self._grant(job, chosen, prefill_s / len(chosen), now)

    def _decide_late(self, job, engines, prefill_s, now, long_prefill_limit):
        """Place a job whose first event is late in any case, or reject it.

        It is rejected if it cannot meet its deadline.
        """
        self.claims.drop(job.id)
        rejection = self._reject_if_unservable(job, now)
        if rejection is not None:
            return rejection
        late_job = replace(job, first_event_due_at=now + max_late_prefill_s(job, now))
        max_engines = max_late_engines(
            job,
            waiting=self.waiting_by_id.values(),
            engine=engines[0],
            n_engines=len(self.engines_by_id),
        )
        max_long_engines = min(max_engines, long_prefill_limit.available)
        chosen = self._choose(late_job, engines, prefill_s, now, max_long_engines)
        if chosen is None:
            return None
        return self._grant(
            job,
            chosen,
            prefill_s / len(chosen),
            now,
            due_at=late_job.first_event_due_at,
        )

    def _choose(self, job, engines, prefill_s, now, max_long_engines):
        """Return the engines for a job among those that no other job claims, or None.

        ``prefill_s`` is the time in which a single engine prefills the prompt.
        ``max_long_engines`` limits the engines if their parts take long to prefill.
        """
        claimed = self.claims.claimed_by_others(job)
        unclaimed = [engine for engine in engines if engine.id not in claimed]
        # Without a free slot, `choose_engines` finds none either, and takes longer.
        if not any(map(has_free_slot, unclaimed)):
            return None
        return choose_engines(
            job,
            unclaimed,
            prefill_s=prefill_s,
            now=now,
            max_long_engines=max_long_engines,
        )

    def _grant(self, job, chosen, prefill_part_s, now, *, due_at=None):
        """Place a job; ``due_at`` is when its first event must come if it is late."""
        self.rate_limiter.take(chosen[0].incarnation, now)
        reserved_tokens = reservations(job, chosen)
        prediction = predict_first_event(chosen, prefill_part_s, now)
        placed = PlacedJob(
            job=job,
            engine_ids=tuple(engine.id for engine in chosen),
            prefill_part_s=prefill_part_s,
            granted_at=now,
            due_at=job.first_event_due_at if due_at is None else due_at,
            reserved_tokens=reserved_tokens,
            prediction=prediction,
        )
        self._add_placed(placed, now)
        return Grant(
            job_id=job.id,
            endpoint_ids=placed.engine_ids,
            reserved_tokens=reserved_tokens,
            prefill_part_s=prefill_part_s,
            predicted_first_s=prediction.with_pace_s,
        )

    def _any_engine(self):
        """Return an engine, whose profile is that of all, or None if none is known."""
        return next(iter(self.engines_by_id.values()), None)

    def _engine_s(self, job):
        """Predict the engine time of a job, in seconds; 0 if no engine is known."""
        engine = self._any_engine()
        return 0.0 if engine is None else job_engine_s(engine.profile, job)

    def _add_placed(self, placed, now):
        placed.charged_s = self._engine_s(placed.job)
        self.shares.charge(placed.job.workspace, placed.charged_s)
        self.placed_by_id[placed.job.id] = placed
        for index, engine_id in enumerate(placed.engine_ids):
            engine = self.engines_by_id.get(engine_id)
            if engine is None:
                continue
            engine.add(placed, now=now, is_first=index == 0)
            if index and placed.reserved_tokens[index : index + 1] not in ((), (0,)):
                engine.reserved_tokens_by_job_id[placed.job.id] = (
                    placed.reserved_tokens[index]
                )
            if placed.first_event_at is not None:
                engine.finish_prefill(placed.job.id, now)

    def _reject(self, job, reason):
        """Return a rejection of a job.

        ``retry_after_s`` estimates when a quarter of the running generations will have
        ended.
        """
        n_waiting = len(self.waiting_by_id)
        n_slots = sum(engine.slots for engine in self.engines_by_id.values()) or 1
        return Rejection(
            job_id=job.id, reason=reason, retry_after_s=0.5 + 2.0 * n_waiting / n_slots
        )
