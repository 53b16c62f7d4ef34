"""Engines that are kept free for long prompts which wait.

Load pattern: a steady stream of short prompts would refill every engine that becomes
free, so that a long prompt, which needs several at once, would never get them.
"""

import math


class EngineClaims:
    """The engines that waiting jobs claim; no other job is placed on them.

    ``waiting_by_id`` holds the jobs that wait. The claim of any other job is void.
    """

    def __init__(self, *, waiting_by_id):
        self._waiting_by_id = waiting_by_id
        self._engine_ids_by_job_id = {}

    def drop(self, job_id):
        """Forget the claim of a job."""
        self._engine_ids_by_job_id.pop(job_id, None)

    def of(self, job_id):
        """Return the ids of the engines that a job claims."""
        return self._engine_ids_by_job_id.get(job_id, frozenset())

    def claimed_by_others(self, job):
        """Return the ids of the engines that other jobs claim."""
        claimed = set()
        for job_id, engine_ids in self._engine_ids_by_job_id.items():
            if job_id != job.id and job_id in self._waiting_by_id:
                claimed |= engine_ids
        return claimed

    def claim(self, job, engines, *, prefill_s, prefill_budget_s, max_engines, now):
        """Claim the least busy engines for a job, unless it has claimed some.

        Parameters
        ----------
        job : Job
            A job that waits.
        engines : sequence of EngineState
            Engines that it may use.
        prefill_s : float
            Seconds in which a single engine prefills its prompt.
        prefill_budget_s : float
            Seconds that its prefill may take.
        max_engines : int
            Limit of the engines that are claimed in all.
        now : float
            Current time of the scheduler's clock, in seconds.
        """
        if job.id in self._engine_ids_by_job_id:
            return
        claimed = self.claimed_by_others(job)
        n_parts = min(
            max_engines - len(claimed), max(1, math.ceil(prefill_s / prefill_budget_s))
        )
        if n_parts < 1:
            return
        least_busy_first = sorted(
            (engine for engine in engines if engine.id not in claimed),
            key=lambda e: (len(e.jobs_by_id), e.pending_prefill_s(now)),
        )
        self._engine_ids_by_job_id[job.id] = frozenset(
            engine.id for engine in least_busy_first[:n_parts]
        )
