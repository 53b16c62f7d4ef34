"""Turns of waiting jobs at engines of which some have named a limit.

Load pattern: engines ask for less than arrives, for seconds, and those without a limit
are full. If all jobs waited, each would be served late, or not before its client
leaves. Jobs that get no turn in time are rejected when that is known, and come back one
after the other.
"""

from dataclasses import dataclass

from savoryhill.core.scheduling.decisions import Rejection

# A job may wait this long for a turn, also if it is late by then.
MIN_TURN_WAIT_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitedRate:
    """How soon engines take their next request, and how many they take in a second."""

    wait_s: float
    rate_per_s: float


def limited_rate(engines, limiter, now):
    """Return what engines take, or None if none of them has a limit.

    An engine without a limit is taken to go on as in the last second: jobs wait only
    while it is full.

    Parameters
    ----------
    engines : iterable of EngineState
        All engines of the service.
    limiter : RateLimiter
        Counts the requests to engines that have named a limit.
    now : float
        Current time of the scheduler's clock, in seconds.

    Returns
    -------
    LimitedRate or None
    """
    usable = [engine for engine in engines if engine.is_usable]
    limited = [e.incarnation for e in usable if limiter.is_limited(e.incarnation)]
    if not limited:
        return None
    n_unlimited_per_s = sum(
        engine.grants_in_last_second(now)
        for engine in usable
        if not limiter.is_limited(engine.incarnation)
    )
    waits = [limiter.wait_s(incarnation, now) for incarnation in limited]
    return LimitedRate(
        wait_s=0.0 if n_unlimited_per_s else min(waits),
        rate_per_s=sum(map(limiter.rate_per_s, limited)) + n_unlimited_per_s,
    )


class LimitedTurns:
    """Rejects the jobs of one service that get no turn in time."""

    def __init__(self):
        self._next_return_at = 0.0

    def reject_if_late(self, job, n_ahead, rate, now):
        """Return a rejection if a job gets no turn in time, else None.

        Parameters
        ----------
        job : Job
            The job.
        n_ahead : int
            Number of jobs that wait for a turn before it.
        rate : LimitedRate
            What the engines take.
        now : float
            Current time of the scheduler's clock, in seconds.

        Returns
        -------
        Rejection or None
            The client is told to return when those rejected before it have returned.
        """
        turn_at = now + rate.wait_s + n_ahead / rate.rate_per_s
        latest_at = max(job.first_event_due_at, job.queued_at + MIN_TURN_WAIT_S)
        if turn_at <= min(latest_at, job.deadline_at):
            return None
        return_at = max(self._next_return_at, turn_at)
        self._next_return_at = return_at + 1.0 / rate.rate_per_s
        return Rejection(
            job_id=job.id,
            reason="the limits that the engines have named leave no turn in time",
            retry_after_s=return_at - now,
        )
