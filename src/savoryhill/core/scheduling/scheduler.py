"""Places generations jointly over the engines of one service.

The scheduler holds the queue and the accounts of the engines. Every method takes the
time and returns decisions; drivers deliver them.
"""

import math
from dataclasses import dataclass, field, replace

from savoryhill.core.scheduling.accounts import (
    EngineAccount,
    Job,
    PlacedJob,
    alone_read_s,
)
from savoryhill.core.scheduling.decisions import Grant, Rejection
from savoryhill.core.scheduling.memory import (
    MEMORY_SHARE,
    fits,
    needed_tokens,
    reservations,
)
from savoryhill.core.scheduling.sharing import (
    BLOCK_S,
    MAX_PARTS,
    engines_to_block,
    is_hopeless,
    late_engines,
    late_read_s,
)

# Shares of the time to the first event that reading may take, in the order in which
# they are tried; the rest covers the wait for a running pass, the first pass of
# writing and the network.
FIRST_SHARES = (0.6, 0.9)
# A part that one engine reads is not made shorter than this.
MIN_PART_S = 0.02
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
FULL_EJECTION_S = 0.2


@dataclass(kw_only=True)
class ServiceScheduler:
    """Queue and accounts of one service.

    ``cold_per_s`` bounds the grants that one engine gets in a second, so that a cold
    start is never overrun; 0 means no bound.
    """

    service: str
    max_grants_per_s: float = 0.0
    engines_by_id: dict[str, EngineAccount] = field(default_factory=dict)
    placed_by_id: dict[str, PlacedJob] = field(default_factory=dict)
    waiting_by_id: dict[str, Job] = field(default_factory=dict)
    claimed_by_id: dict[str, frozenset] = field(default_factory=dict)

    def set_engines(self, endpoints, figures):
        """Take the endpoints that may be used; others are kept until they are free.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Endpoints of the service to which new work may go.
        figures : EngineFigures
            Of the service.
        """
        usable = {endpoint.id: endpoint for endpoint in endpoints}
        for engine_id, account in list(self.engines_by_id.items()):
            account.is_usable = engine_id in usable
            if not account.is_usable and not account.jobs_by_id:
                del self.engines_by_id[engine_id]
        for endpoint in usable.values():
            account = self.engines_by_id.get(endpoint.id)
            if account is None or account.address != endpoint.address:
                self.engines_by_id[endpoint.id] = EngineAccount(
                    id=endpoint.id,
                    address=endpoint.address,
                    zone=endpoint.zone,
                    slots=endpoint.slots,
                    figures=figures,
                )

    def submit(self, job, now):
        """Queue a job and return the decisions that follow."""
        self.waiting_by_id[job.id] = job
        return self.place_waiting(now)

    def cancel(self, job_id, now):
        """Forget a job whose client has left, and return the decisions that follow."""
        self.waiting_by_id.pop(job_id, None)
        self.claimed_by_id.pop(job_id, None)
        return self.finish(job_id, now)

    def note_first_event(self, job_id, now):
        """Take note that a job's prompt has been read."""
        placed = self.placed_by_id.get(job_id)
        if placed is None:
            return ()
        placed.first_at = now
        for engine_id in placed.engine_ids:
            account = self.engines_by_id.get(engine_id)
            if account is not None:
                account.finish_reading(job_id, now)
                account.n_failures = account.n_refusals = 0
        return self.place_waiting(now)

    def finish(self, job_id, now):
        """Take note that a job has ended on its engines."""
        placed = self.placed_by_id.pop(job_id, None)
        if placed is None:
            return ()
        for engine_id in placed.engine_ids:
            account = self.engines_by_id.get(engine_id)
            if account is not None:
                account.finish(job_id, now)
                if not account.is_usable and not account.jobs_by_id:
                    del self.engines_by_id[engine_id]
        return self.place_waiting(now)

    def note_failure(self, engine_id, now, *, is_full=False):
        """Avoid an engine that failed or refused, longer each time until it succeeds.

        Load pattern: many engines leave while the store is away, so that only their
        refusals tell. An engine that is merely full is soon heard of by the first
        event of another job.
        """
        account = self.engines_by_id.get(engine_id)
        if account is None:
            return
        if is_full:
            pause_s = min(MAX_EJECTION_S, FULL_EJECTION_S * 2**account.n_refusals)
            account.n_refusals += 1
        else:
            pause_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**account.n_failures)
            account.n_failures += 1
        account.ejected_until = max(account.ejected_until, now + pause_s)

    def adopt(self, job, engine_ids, *, has_started, now):
        """Account for a job that another scheduler placed."""
        self.waiting_by_id.pop(job.id, None)
        if job.id in self.placed_by_id:
            return
        placed = PlacedJob(
            job=job,
            engine_ids=engine_ids,
            part_s=0.0,
            granted_at=now,
            predicted_first_at=now,
            first_at=now if has_started else None,
        )
        known = [e for e in engine_ids if e in self.engines_by_id]
        if known and not has_started:
            account = self.engines_by_id[known[0]]
            placed.part_s = alone_read_s(account, job) / len(engine_ids)
        self._account(placed, now)

    def place_waiting(self, now):
        """Place what fits, reject what is hopeless, leave the rest waiting.

        Load pattern: a burst of short prompts beside a few very long ones. Jobs are
        taken in the order in which their first events are due. A long prompt that
        fits nowhere claims the engines that are freed first, so that short streams
        don't refill them.
        """
        decisions = []
        waiting = sorted(
            self.waiting_by_id.values(),
            key=lambda j: (
                j.priority,
                j.first_event_due_at <= now,
                j.first_event_due_at,
            ),
        )
        blocked_sizes = {}
        for job in waiting:
            # What is at least as large as a job that did not fit won't fit either.
            smallest = blocked_sizes.get(job.max_gap_s)
            if (
                smallest is not None
                and job.prompt_tokens >= smallest
                and not job.avoided_engine_ids
            ):
                is_late = job.first_event_due_at <= now
                decision = self._reject_hopeless(job, now) if is_late else None
            else:
                decision = self._decide(job, now)
            if decision is None:
                if not job.avoided_engine_ids:
                    blocked_sizes[job.max_gap_s] = job.prompt_tokens
                continue
            del self.waiting_by_id[job.id]
            self.claimed_by_id.pop(job.id, None)
            decisions.append(decision)
        return decisions

    def _reject_hopeless(self, job, now):
        """Return a rejection of a job that misses its deadline wherever it goes.

        Load pattern: long prompts that wait behind each other. Their clients are
        told at once when waiting has become useless.
        """
        engine = next(iter(self.engines_by_id.values()), None)
        if engine is None:
            return None
        if is_hopeless(job, engine=engine, n_engines=len(self.engines_by_id), now=now):
            return self._reject(job, "cannot be read before the deadline")
        return None

    def _usable(self, job, now):
        limit = self.max_grants_per_s
        usable = [
            account
            for account in self.engines_by_id.values()
            if account.is_usable
            and account.ejected_until <= now
            # One job finds out whether an engine that failed works again.
            and not (account.n_failures and account.jobs_by_id)
            and (not limit or account.grants_in_last_second(now) < limit)
        ]
        # An engine that failed this job before is better than none.
        return [a for a in usable if a.id not in job.avoided_engine_ids] or usable

    def _decide(self, job, now):
        if now >= job.deadline_at:
            return self._reject(job, "deadline passed")
        engines = self._usable(job, now)
        if not engines:
            return None
        alone_s = alone_read_s(engines[0], job)
        memory_tokens = MEMORY_SHARE * sum(a.figures.memory_tokens for a in engines)
        if needed_tokens(job) > memory_tokens:
            return self._reject(job, "prompt is larger than the memory of all engines")
        may_block = engines_to_block(
            engines=engines,
            waiting=self.waiting_by_id.values(),
            alone_s=alone_s,
            now=now,
        )
        n_largest = min(len(engines), MAX_PARTS)
        if alone_s / n_largest > BLOCK_S:
            n_largest = min(n_largest, max(may_block.in_all, 1))
        fastest_s = alone_s / n_largest
        is_late = now + fastest_s / FIRST_SHARES[-1] > job.first_event_due_at
        if is_late:
            return self._decide_late(job, engines, alone_s, now, may_block)
        chosen = self._choose(job, engines, alone_s, now, may_block.now)
        if chosen is None:
            self._claim(job, engines, alone_s, now, may_block.now)
            return None
        return self._grant(job, chosen, alone_s / len(chosen), now)

    def _decide_late(self, job, engines, alone_s, now, may_block):
        """Place a job whose first event is late anyway, or reject it if hopeless."""
        self.claimed_by_id.pop(job.id, None)
        rejection = self._reject_hopeless(job, now)
        if rejection is not None:
            return rejection
        late = replace(job, first_event_due_at=now + late_read_s(job, now))
        most = late_engines(
            job,
            waiting=self.waiting_by_id.values(),
            engine=engines[0],
            n_engines=len(self.engines_by_id),
        )
        limit = min(most, may_block.now)
        chosen = self._choose(late, engines, alone_s, now, limit)
        if chosen is None:
            return None
        return self._grant(job, chosen, alone_s / len(chosen), now)

    def _choose(self, job, engines, alone_s, now, n_to_block):
        """Choose the fewest engines on which equal parts of the prompt fit."""
        claimed = self._claimed_by_others(job)
        free = [account for account in engines if account.id not in claimed]
        for share in FIRST_SHARES:
            chosen = self._choose_within(
                job, free, alone_s, now, n_to_block, share=share
            )
            if chosen is not None:
                return chosen
        return None

    def _choose_within(self, job, engines, alone_s, now, n_to_block, *, share):
        rooms = []
        for account in engines:
            room_s = account.room_s(now, job, share=share)
            if room_s > 0.0:
                rooms.append((room_s, account))
        writers = [item for item in rooms if self._can_write(item[1])]
        if not writers:
            return None
        singles = [
            item for item in writers if item[0] >= alone_s and fits(job, (item[1],))
        ]
        if singles and (alone_s <= BLOCK_S or n_to_block >= 1):
            return (self._pack(job, singles, now),)
        rooms.sort(key=lambda item: -item[0])
        most = min(len(rooms), MAX_PARTS, int(alone_s / MIN_PART_S))
        for n_parts in range(2, most + 1):
            part_s = alone_s / n_parts
            if part_s > rooms[n_parts - 1][0]:
                continue
            if part_s > BLOCK_S and n_parts > n_to_block:
                continue
            chosen = self._with_writer(job, [a for _, a in rooms[:n_parts]])
            if chosen is not None:
                return chosen
        return None

    def _with_writer(self, job, members):
        """Return the members with one that can write first, or None."""
        first = next((a for a in members if self._can_write(a)), None)
        if first is None:
            return None
        chosen = (first, *(a for a in members if a is not first))
        return chosen if fits(job, chosen) else None

    def _can_write(self, account):
        return len(account.jobs_by_id) < account.slots

    def _pack(self, job, singles, now):
        """Prefer engines that write already, so that others stay free for reading.

        Among equals, those of the job's zone go first, as every event of the answer
        crosses the link to the engine.
        """
        return min(
            singles,
            key=lambda item: (
                item[1].pending_s(now),
                -len(item[1].jobs_by_id),
                item[1].zone != job.zone,
                item[1].id,
            ),
        )[1]

    def _claimed_by_others(self, job):
        claimed = set()
        for job_id, engine_ids in self.claimed_by_id.items():
            if job_id != job.id and job_id in self.waiting_by_id:
                claimed |= engine_ids
        return claimed

    def _claim(self, job, engines, alone_s, now, n_to_block):
        """Keep engines free of new streams for a long prompt that waits."""
        if alone_s < job.max_gap_s or job.id in self.claimed_by_id:
            return
        claimed = self._claimed_by_others(job)
        budget_s = max(job.first_event_due_at - now, 0.5) * FIRST_SHARES[0]
        n_parts = min(n_to_block - len(claimed), max(1, math.ceil(alone_s / budget_s)))
        if n_parts < 1:
            return
        free_first = sorted(
            (a for a in engines if a.id not in claimed),
            key=lambda a: (len(a.jobs_by_id), a.pending_s(now)),
        )
        self.claimed_by_id[job.id] = frozenset(a.id for a in free_first[:n_parts])

    def _grant(self, job, chosen, part_s, now):
        reserved_tokens = reservations(job, chosen)
        wait_s = max(account.pending_s(now) for account in chosen)
        predicted_s = wait_s + part_s + chosen[0].pass_s()
        placed = PlacedJob(
            job=job,
            engine_ids=tuple(account.id for account in chosen),
            part_s=part_s,
            granted_at=now,
            predicted_first_at=now + predicted_s,
            reserved_tokens=reserved_tokens,
        )
        self._account(placed, now)
        return Grant(
            job_id=job.id,
            endpoint_ids=placed.engine_ids,
            reserved_tokens=reserved_tokens,
            part_s=part_s,
            predicted_first_s=predicted_s,
        )

    def _account(self, placed, now):
        self.placed_by_id[placed.job.id] = placed
        for index, engine_id in enumerate(placed.engine_ids):
            account = self.engines_by_id.get(engine_id)
            if account is None:
                continue
            account.add(placed, now=now, is_writer=index == 0)
            if index and placed.reserved_tokens[index : index + 1] not in ((), (0,)):
                account.reserved_by_id[placed.job.id] = placed.reserved_tokens[index]
            if placed.first_at is not None:
                account.finish_reading(placed.job.id, now)

    def _reject(self, job, reason):
        """Reject with the time after which a quarter of the writers will have ended."""
        n_waiting = len(self.waiting_by_id)
        n_slots = sum(account.slots for account in self.engines_by_id.values()) or 1
        return Rejection(
            job_id=job.id, reason=reason, retry_after_s=0.5 + 2.0 * n_waiting / n_slots
        )
