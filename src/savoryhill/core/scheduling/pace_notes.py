"""What the jobs of a scheduler show of the pace of its engines."""

import math
from dataclasses import dataclass, field

from savoryhill.core.scheduling.pace import NOISE_PACE, pace_ratio

# Interval between two reviews. Each looks at all jobs without a first event.
REVIEW_INTERVAL_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class FirstEventPrediction:
    """Predicted seconds from a grant to the first event.

    ``with_pace_s`` uses the pace of the engines, ``by_profile_s`` the profile alone.
    ``parts_before_s`` is what `ReadQueue.parts_added_s` of each engine was at the
    grant: parts that arrive later are read first and delay the job. ``incarnations``
    are those of the engines at the grant.
    """

    with_pace_s: float
    by_profile_s: float
    parts_before_s: tuple[float, ...]
    incarnations: tuple[str, ...]


def predict_first_event(chosen, prefill_part_s, now):
    """Predict the first event of a job on the chosen engines, before it is added.

    Parameters
    ----------
    chosen : sequence of EngineState
        The first engine generates the output.
    prefill_part_s : float
        Seconds of prefill of each engine by its profile.
    now : float
        Current time of the scheduler's clock, in seconds.

    Returns
    -------
    FirstEventPrediction
    """
    # A part of a prompt is read before all that is pending.
    wait_s = chosen[0].pending_prefill_s(now) if len(chosen) == 1 else 0.0
    factor = chosen[0].factor(now)
    pass_s = chosen[0].decode_pass_s(now)
    slowest = max(engine.factor(now) for engine in chosen)
    return FirstEventPrediction(
        with_pace_s=wait_s + prefill_part_s * slowest + pass_s,
        by_profile_s=wait_s / factor + prefill_part_s + pass_s / factor,
        parts_before_s=tuple(engine.reads.parts_added_s for engine in chosen),
        incarnations=tuple(engine.incarnation for engine in chosen),
    )


@dataclass(kw_only=True, slots=True)
class PaceNotes:
    """Notes of the scheduler on the pace of ``engines_by_id``.

    ``changes`` holds the id and the factor of each engine whose pace has begun or ended
    to matter, until the caller has taken them. ``slow_ids`` are the engines whose pace
    matters.
    """

    engines_by_id: dict
    slow_ids: set[str] = field(default_factory=set)
    changes: list[tuple[str, float]] = field(default_factory=list)
    _reviewed_at: float = -math.inf

    def note_first_event(self, placed, now):
        """Note the first event of a job that has none yet.

        The slowest of several engines decides when the first event comes, so that it
        shows of each only that it is not slower. A late one counts for the engine that
        was known to be the slowest, and for none if all had a pace of 1.
        """
        if placed.first_event_at is not None or placed.prediction is None:
            return
        real_s = now - placed.granted_at
        engines = [self.engines_by_id.get(id_) for id_ in placed.engine_ids]
        factors = [e.pace.factor(now) if e is not None else 1.0 for e in engines]
        slowest = max(factors)
        for index, (engine, factor) in enumerate(zip(engines, factors, strict=True)):
            if engine is None or _has_restarted(placed, engine, index):
                continue
            predicted_s = _by_profile_s(placed, engine, index)
            ratio = pace_ratio(predicted_s, real_s)
            if (
                len(engines) == 1
                or ratio <= max(factor, NOISE_PACE)
                or factor == slowest > 1.0
            ):
                engine.pace.note(predicted_s, real_s, now)

    def note_end(self, placed, now):
        """Note a job that ended without a first event, if it was overdue.

        An engine that has just been ejected failed, or was not reached by one node,
        which tells nothing of its pace.
        """
        engine = self.engines_by_id.get(placed.engine_ids[0])
        if engine is None or not _is_alone_and_silent(placed):
            return
        if engine.ejected_until > now or _has_restarted(placed, engine):
            return
        predicted_s, elapsed_s = _by_profile_s(placed, engine), now - placed.granted_at
        if pace_ratio(predicted_s, elapsed_s) >= NOISE_PACE:
            engine.pace.note(predicted_s, elapsed_s, now)

    def review(self, placed_by_id, now):
        """Note overdue jobs and whose pace matters, at most every 0.1 s.

        If most engines are late, the cause is outside them, such as a pause of the
        leader, and their pace is not used.
        """
        if now - self._reviewed_at < REVIEW_INTERVAL_S:
            return
        self._reviewed_at = now
        for engine in self.engines_by_id.values():
            self._note_overdue(engine, placed_by_id, now)
        slow = {
            engine.id: engine.pace.factor(now)
            for engine in self.engines_by_id.values()
            if engine.pace.factor(now) > 1.0
        }
        is_common = 2 * len(slow) > len(self.engines_by_id)
        for engine in self.engines_by_id.values():
            engine.uses_pace = not is_common
        slow_ids = set() if is_common else set(slow)
        self.changes += [(id_, slow[id_]) for id_ in sorted(slow_ids - self.slow_ids)]
        self.changes += [(id_, 1.0) for id_ in sorted(self.slow_ids - slow_ids)]
        self.slow_ids = slow_ids

    def take_changes(self):
        """Return the changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def _note_overdue(self, engine, placed_by_id, now):
        """Note the job of an engine that is overdue by the largest factor."""
        most, noted = NOISE_PACE, None
        for job_id in engine.reads.reads_by_job_id:
            placed = placed_by_id.get(job_id)
            if placed is None or not _is_alone_and_silent(placed):
                continue
            if _has_restarted(placed, engine):
                continue
            times = now - placed.granted_at, _by_profile_s(placed, engine)
            ratio = pace_ratio(times[1], times[0])
            if ratio > most:
                most, noted = ratio, times
        if noted is not None:
            engine.pace.note_overdue(*noted, now)


def _is_alone_and_silent(placed):
    return (
        placed.prediction is not None
        and placed.first_event_at is None
        and len(placed.engine_ids) == 1
    )


def _has_restarted(placed, engine, index=0):
    """Return whether an engine is no longer the incarnation that got the job."""
    return placed.prediction.incarnations[index] != engine.incarnation


def _by_profile_s(placed, engine, index=0):
    """Predict the first event by the profile, with the parts that have come since."""
    prediction = placed.prediction
    added_s = engine.reads.parts_added_s - prediction.parts_before_s[index]
    own_s = placed.prefill_part_s if len(placed.engine_ids) > 1 else 0.0
    return prediction.by_profile_s + max(0.0, added_s - own_s)
