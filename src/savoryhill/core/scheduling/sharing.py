"""How many engines long prompts may block beside short streams and each other."""

import math
from dataclasses import dataclass

from savoryhill.core.scheduling.accounts import alone_read_s

# The platform takes at most 16 helpers beside the first engine.
MAX_PARTS = 17
# Reading for longer than this holds up new streams of an engine.
BLOCK_S = 0.2
# Share of an engine's slots that small streams are planned to fill.
PACKED_SHARE = 0.6
# Engines that long prompts may always block, however many streams there are.
MIN_BLOCKED = 2
# Shares of the engines that a prompt whose first event is late anyway may block, while
# other long prompts wait and while none does.
CONTENDED_LATE_SHARE = 1 / 6
LATE_SHARE = 1 / 2
# Reading of a late prompt may take this share of the time to its deadline.
LATE_READ_SHARE = 0.75


@dataclass(frozen=True, kw_only=True, slots=True)
class Blockable:
    """Engines that long reading may block, in all and beside those blocked now."""

    in_all: int
    now: int


def engines_to_block(*, engines, waiting, alone_s, now):
    """Return how many engines the reading of a prompt may block.

    Load pattern: the share of long prompts swings within seconds. The engines that
    the small streams need at this moment stay free of long reading.

    Parameters
    ----------
    engines : sequence of EngineAccount
        Engines that may be used.
    waiting : iterable of Job
        Jobs in the queue.
    alone_s : float
        Seconds in which one engine reads the prompt.
    now : float
        Time of the scheduler's clock.

    Returns
    -------
    Blockable
        Numbers of engines.
    """
    if alone_s <= BLOCK_S:
        return Blockable(in_all=len(engines), now=len(engines))
    placed = [p.job for a in engines for p in a.jobs_by_id.values()]
    n_small = sum(not is_long(job, engines[0]) for job in (*placed, *waiting))
    needed = math.ceil(n_small / (PACKED_SHARE * engines[0].slots))
    in_all = max(MIN_BLOCKED, len(engines) - needed)
    n_blocked = sum(account.pending_s(now) > BLOCK_S for account in engines)
    return Blockable(in_all=in_all, now=max(0, in_all - n_blocked))


def is_long(job, engine):
    """Tell whether reading a job's prompt alone would block an engine."""
    return alone_read_s(engine, job) > BLOCK_S


def late_engines(job, *, waiting, engine, n_engines):
    """Return how many engines a prompt whose first event is late may use.

    Load pattern: the longest prompts, whose reading takes all engines for seconds.
    Once such a prompt is late it leaves most engines to the long prompts that wait,
    so that they are not late as well.
    """
    others = (other for other in waiting if other is not job)
    is_contended = any(is_long(other, engine) for other in others)
    share = CONTENDED_LATE_SHARE if is_contended else LATE_SHARE
    return max(1, int(n_engines * share))


def late_read_s(job, now):
    """Return the seconds that reading a late prompt may take."""
    return (job.deadline_at - now) * LATE_READ_SHARE


def is_hopeless(job, *, engine, n_engines, now):
    """Tell whether a late prompt misses its deadline on all engines that it may use."""
    most = max(1, int(n_engines * LATE_SHARE))
    return alone_read_s(engine, job) / min(most, MAX_PARTS) > late_read_s(job, now)
