"""How much slower an engine is than its profile predicts."""

import math
from dataclasses import dataclass, field
from statistics import median

MAX_PACE = 8.0
# A pace below this counts as 1, so that small delays don't change placements.
NOISE_PACE = 1.3
# Part of a real time that is not compared: the network and the wait for the running
# pass, which no prediction contains.
NETWORK_DELAY_S = 0.05
# Shorter times count as this one: a delay that doesn't depend on the engine's speed
# dominates them.
MIN_COMPARED_S = 0.1
# Number of first events whose median is the pace; one that is late changes nothing.
N_RATIOS = 3
# A job that is overdue by this makes a pace alone until its first event: a lost packet
# or a preemption takes less time.
CERTAIN_OVERDUE_S = 0.5
# How long an overdue job counts without being noted again, as after its cancellation.
OVERDUE_VALID_S = 0.5
# After so many seconds without a job, a slow engine is tried with a short one. Each
# trial of an engine that is still slow makes one request late.
TRIAL_INTERVAL_S = 5.0
# A pace that nothing has confirmed for so long counts as 1. A service without short
# prompts would never try its slow engines otherwise.
PACE_LIFETIME_S = 15.0
# Longest prefill of a trial, in seconds of the profile.
TRIAL_PREFILL_S = 0.05


def pace_ratio(predicted_s, real_s):
    """Return a real time in multiples of the predicted one, between 1 and MAX_PACE.

    Raises
    ------
    ValueError
        If a time is negative.
    """
    if min(predicted_s, real_s) < 0.0:
        raise ValueError(f"times must not be negative, got {predicted_s}, {real_s}")
    ratio = max(real_s - NETWORK_DELAY_S, MIN_COMPARED_S) / max(
        predicted_s, MIN_COMPARED_S
    )
    return min(MAX_PACE, max(1.0, ratio))


def _without_noise(pace):
    return pace if pace >= NOISE_PACE else 1.0


@dataclass(kw_only=True, slots=True)
class EnginePace:
    """Pace of one incarnation of an engine, learned from its first events.

    The pace is the median of the last three first events. A job that is overdue counts
    as one more until its first event, or alone if it is long overdue. All predictions
    are those of the profile alone, so that the pace converges. Times are in seconds of
    the scheduler's clock.
    """

    _ratios: list[float] = field(default_factory=lambda: [1.0] * N_RATIOS)
    _pace: float = 1.0
    _overdue_pace: float = 1.0
    _overdue_until: float = -math.inf
    _tried_at: float = -math.inf
    _noted_at: float = -math.inf

    def note(self, predicted_s, real_s, now):
        """Record the predicted and the real time from a grant to the first event."""
        ratio = pace_ratio(predicted_s, real_s)
        self._ratios = [*self._ratios[1:], ratio]
        self._pace = _without_noise(median(self._ratios))
        self._noted_at = now
        # After an event that was on time, the next trial may follow immediately.
        self._tried_at = now if ratio >= NOISE_PACE else -math.inf
        self._overdue_until = -math.inf

    def note_overdue(self, elapsed_s, predicted_s, now):
        """Record that the first event of a job has not come within a time."""
        ratio = pace_ratio(predicted_s, elapsed_s)
        if elapsed_s - predicted_s < CERTAIN_OVERDUE_S:
            ratio = median([*self._ratios[1:], ratio])
        self._overdue_pace = _without_noise(ratio)
        self._overdue_until = now + OVERDUE_VALID_S

    def note_granted(self, now):
        """Record that the engine got a job, which shows how fast it is now."""
        self._tried_at = now

    def factor(self, now):
        """Return the factor by which predictions of the profile are multiplied."""
        pace = self._pace if now - self._noted_at < PACE_LIFETIME_S else 1.0
        if now >= self._overdue_until:
            return pace
        return max(pace, self._overdue_pace)

    def is_trial_due(self, now):
        """Return whether a slow engine should get a short job to show its speed."""
        return now - self._tried_at >= TRIAL_INTERVAL_S
