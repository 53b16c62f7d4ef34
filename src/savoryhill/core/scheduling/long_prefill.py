"""Limits on the number of engines that prefill long prompts at the same time."""

import math
from dataclasses import dataclass

from savoryhill.core.scheduling.engine_state import job_prefill_s

# The platform accepts at most 16 helper engines for a prompt, besides the first engine.
MAX_PARTS = 17
# Prefill that takes longer than this delays new streams on an engine.
LONG_PREFILL_S = 0.2
# Share of an engine's slots that short streams are planned to occupy.
SLOT_SHARE = 0.6
# Minimum number of engines available to long prompts, regardless of the short streams.
MIN_LONG_PREFILL_ENGINES = 2
# Shares of the engines that a job may use if its first event is late in any case, while
# other long prompts are waiting and while none is.
CONTENDED_LATE_ENGINE_SHARE = 1 / 6
LATE_ENGINE_SHARE = 1 / 2
# Share of the time to the deadline that the prefill of a late job may take.
LATE_PREFILL_SHARE = 0.75


@dataclass(frozen=True, kw_only=True, slots=True)
class LongPrefillLimit:
    """Number of engines that may prefill long prompts.

    ``available`` is the part of ``total`` that is not busy with long prefill.
    """

    total: int
    available: int


def limit_long_prefill(*, engines, waiting, prefill_s, now):
    """Return the number of engines that may be used to prefill a prompt.

    The share of long prompts in the load may swing within seconds, so the limit
    follows the current jobs: engines that the short streams need stay free of long
    prefill.

    Parameters
    ----------
    engines : sequence of EngineState
        Engines that may be used.
    waiting : iterable of Job
        Jobs in the queue.
    prefill_s : float
        Seconds in which a single engine prefills the prompt.
    now : float
        Current time of the scheduler's clock.

    Returns
    -------
    LongPrefillLimit
        The limit; all engines if the prompt is not long.
    """
    if prefill_s <= LONG_PREFILL_S:
        return LongPrefillLimit(total=len(engines), available=len(engines))
    placed_jobs = [p.job for engine in engines for p in engine.jobs_by_id.values()]
    n_short = sum(not is_long(job, engines[0]) for job in (*placed_jobs, *waiting))
    n_for_short = math.ceil(n_short / (SLOT_SHARE * engines[0].slots))
    total = max(MIN_LONG_PREFILL_ENGINES, len(engines) - n_for_short)
    n_busy = sum(engine.pending_prefill_s(now) > LONG_PREFILL_S for engine in engines)
    return LongPrefillLimit(total=total, available=max(0, total - n_busy))


def is_long(job, engine):
    """Return whether the prefill of a job would delay new streams on an engine."""
    return job_prefill_s(engine, job) > LONG_PREFILL_S


def max_late_engines(job, *, waiting, engine, n_engines):
    """Return how many engines a job may use if its first event is late in any case.

    The prefill of the longest prompts occupies all engines for seconds. A late job
    leaves most engines to other long prompts in the queue, so that these are not
    delayed beyond their objective as well.
    """
    others = (other for other in waiting if other is not job)
    is_contended = any(is_long(other, engine) for other in others)
    share = CONTENDED_LATE_ENGINE_SHARE if is_contended else LATE_ENGINE_SHARE
    return max(1, int(n_engines * share))


def max_late_prefill_s(job, now):
    """Return the seconds that the prefill of a late job may take."""
    return (job.deadline_at - now) * LATE_PREFILL_SHARE


def misses_deadline(job, *, engine, n_engines, now):
    """Return whether a late job misses its deadline even with the most engines.

    The prefill time on ``engine`` stands for that on any engine of the service.
    """
    max_engines = max(1, int(n_engines * LATE_ENGINE_SHARE))
    return job_prefill_s(engine, job) / min(
        max_engines, MAX_PARTS
    ) > max_late_prefill_s(job, now)
