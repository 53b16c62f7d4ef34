"""Choice of the engines for one job, among engines that it may use.

Pure functions of the engines' state. Whether a job is due, late or hopeless, and which
engines are claimed by other jobs, is decided by the scheduler.
"""

from savoryhill.core.scheduling.long_prefill import LONG_PREFILL_S, MAX_PARTS
from savoryhill.core.scheduling.memory import fits

# Shares of the time to the first event that prefill may take, in the order in which
# they are tried. The rest covers the wait for the running pass, the first decode pass
# and the network.
PREFILL_TIME_SHARES = (0.6, 0.9)
# Minimum duration of the part of a prompt that one engine prefills.
MIN_PREFILL_PART_S = 0.02
# Pending prefill that differs by less than this is no reason to leave the job's zone.
LOCAL_WAIT_S = 0.04


def choose_engines(job, engines, *, prefill_s, now, max_long_engines):
    """Return the fewest engines on which equal parts of the prompt fit, or None.

    Parameters
    ----------
    job : Job
        The job to place.
    engines : sequence of EngineState
        Engines that the job may use.
    prefill_s : float
        Seconds in which a single engine prefills the prompt.
    now : float
        Current time of the scheduler's clock, in seconds.
    max_long_engines : int
        Limit of the engines if their parts take long to prefill.

    Returns
    -------
    tuple of EngineState or None
        The first engine generates the output.
    """
    for share in PREFILL_TIME_SHARES:
        for_whole = (
            (engine.available_whole_s(now, job, share=share), engine)
            for engine in engines
        )
        chosen = _choose_one(job, for_whole, prefill_s, now, max_long_engines)
        if chosen is None:
            for_part = [
                (engine.available_part_s(now, job, share=share), engine)
                for engine in engines
            ]
            chosen = _choose_several(job, for_part, prefill_s, now, max_long_engines)
        if chosen is not None:
            return chosen
    return None


def has_free_slot(engine):
    """Return whether an engine may generate the output of another job."""
    return engine.has_turn and len(engine.jobs_by_id) < engine.slots


def _choose_one(job, candidates, prefill_s, now, max_long_engines):
    """Return one engine that prefills the whole prompt in time, or None.

    Load pattern: short streams from all availability zones. Every event of the output
    crosses the network from the engine, so a slightly longer wait in the job's zone is
    preferred to another zone. Among equals, engines with the most streams are
    preferred, so that others stay free for long prefill.
    """
    if prefill_s > LONG_PREFILL_S and max_long_engines < 1:
        return None
    suitable = [
        engine
        for available_prefill_s, engine in candidates
        if available_prefill_s >= prefill_s
        and has_free_slot(engine)
        and fits(job, (engine,))
    ]

    def sort_key(engine):
        # A slower engine reads the prompt longer, which is like more to read before it.
        slowness = engine.factor_for(job, now) - 1.0
        pending_s = engine.pending_prefill_s(now) + slowness * prefill_s
        return (
            pending_s // LOCAL_WAIT_S,
            engine.zone != job.zone,
            pending_s,
            -len(engine.jobs_by_id),
            engine.rank,
        )

    return (min(suitable, key=sort_key),) if suitable else None


def _choose_several(job, candidates, prefill_s, now, max_long_engines):
    """Return the fewest engines that each prefill an equal part in time, or None.

    Engines with the least prefill come first: a part delays what is pending there.
    """
    least_pending_first = sorted(
        (item for item in candidates if item[0] > 0.0),
        key=lambda item: (item[1].pending_prefill_s(now), -item[0], item[1].rank),
    )
    max_parts = min(
        len(least_pending_first), MAX_PARTS, int(prefill_s / MIN_PREFILL_PART_S)
    )
    for n_parts in range(2, max_parts + 1):
        prefill_part_s = prefill_s / n_parts
        if prefill_part_s > LONG_PREFILL_S and n_parts > max_long_engines:
            continue
        suitable = [e for s, e in least_pending_first if s >= prefill_part_s]
        if len(suitable) < n_parts:
            continue
        chosen = _with_free_slot_first(job, suitable[:n_parts])
        if chosen is not None:
            return chosen
    return None


def _with_free_slot_first(job, engines):
    """Return the engines with one that has a free slot first.

    Return None if no engine has a free slot or the job does not fit in memory. The
    first engine generates the output, so it is in the job's zone if possible.
    """
    with_free_slot = [engine for engine in engines if has_free_slot(engine)]
    if not with_free_slot:
        return None
    first = min(with_free_slot, key=lambda engine: engine.zone != job.zone)
    chosen = (first, *(engine for engine in engines if engine is not first))
    return chosen if fits(job, chosen) else None
