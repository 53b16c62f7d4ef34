"""Engines that are slower than their profile; seeds are fixed."""

from dataclasses import dataclass, replace
from random import Random

import pytest

from savoryhill.bench.placement.engines import PROFILE
from savoryhill.bench.placement.replay import (
    PATTERNS,
    Phase,
    Replay,
    Slowdown,
    draw_arrivals,
)
from savoryhill.core.scheduling.decisions import Grant
from savoryhill.core.scheduling.engine_state import Job
from savoryhill.core.scheduling.pace import (
    NETWORK_DELAY_S,
    PACE_LIFETIME_S,
    TRIAL_INTERVAL_S,
    EnginePace,
)
from savoryhill.core.scheduling.scheduler import ServiceScheduler


@dataclass(frozen=True, kw_only=True)
class Endpoint:
    id: str
    address: str = "10.0.0.1:80"
    zone: str = "zone-a"
    slots: int = 8
    incarnation: str = "@1"


def make_scheduler(n_engines):
    scheduler = ServiceScheduler(service="pool")
    scheduler.set_engines([Endpoint(id=f"e{n:02}") for n in range(n_engines)], PROFILE)
    return scheduler


def make_job(
    job_id, n_tokens, *, now=0.0, due_s=0.3, ends_s=10.0, max_gap_s=0.25, excluded=()
):
    return Job(
        id=job_id,
        service="pool",
        workspace="ws",
        prompt_tokens=n_tokens,
        answer_tokens=1_300,
        first_event_due_at=now + due_s,
        deadline_at=now + ends_s,
        max_gap_s=max_gap_s,
        priority=1,
        excluded_until_by_id={engine_id: 999.0 for engine_id in excluded},
    )


def make_long_job(job_id, n_tokens=182_000, *, now):
    return make_job(job_id, n_tokens, now=now, due_s=3.0, ends_s=15.0, max_gap_s=1.0)


def noted(*pairs):
    """Return a pace after predicted and real times, the latter without the network."""
    pace = EnginePace()
    for predicted_s, real_s in pairs:
        pace.note(predicted_s, real_s + NETWORK_DELAY_S, 0.0)
    return pace


class TestEnginePace:
    def test_one_late_event_makes_no_pace_and_two_do(self):
        assert noted((0.2, 1.2)).factor(0.0) == 1.0
        assert noted((0.2, 1.2), (0.2, 0.2)).factor(0.0) == 1.0
        assert noted((0.2, 1.2), (0.2, 0.8)).factor(0.0) == pytest.approx(4.0)

    def test_events_on_time_end_a_pace(self):
        late = [(0.2, 1.2)] * 5
        assert noted(*late, (0.2, 0.2)).factor(0.0) == pytest.approx(6.0)
        assert noted(*late, (0.2, 0.2), (0.2, 0.2)).factor(0.0) == 1.0

    def test_pace_is_bounded_and_noise_counts_as_one(self):
        assert noted((0.2, 9.0), (0.2, 9.0)).factor(0.0) == 8.0
        assert noted((0.2, 0.25), (0.2, 0.25)).factor(0.0) == 1.0
        assert noted((0.2, 0.01), (0.2, 0.01)).factor(0.0) == 1.0

    def test_short_times_are_not_compared(self):
        # Guards against a network delay of 80 ms that makes an engine 4 times slower.
        assert noted((0.02, 0.08), (0.02, 0.08)).factor(0.0) == 1.0

    def test_overdue_job_counts_like_one_event_and_for_a_limited_time(self):
        pace = noted((0.2, 1.2))
        pace.note_overdue(0.6 + NETWORK_DELAY_S, 0.2, 1.0)
        assert pace.factor(1.0) == pytest.approx(3.0)
        # Guards against a job that was cancelled and counts as overdue forever.
        assert pace.factor(1.6) == 1.0
        unknown = EnginePace()
        unknown.note_overdue(0.6 + NETWORK_DELAY_S, 0.2, 1.0)
        assert unknown.factor(1.0) == 1.0
        unknown.note_overdue(0.8 + NETWORK_DELAY_S, 0.2, 1.2)
        assert unknown.factor(1.2) == pytest.approx(4.0)

    def test_negative_times_are_refused(self):
        with pytest.raises(ValueError, match="negative"):
            EnginePace().note(0.1, -0.1, 0.0)


def place(scheduler, job, now):
    (decision,) = scheduler.submit(job, now)
    assert isinstance(decision, Grant)
    return decision


def only_on(scheduler, engine_id):
    """Return the engines that a job excludes which may use only one."""
    return [id_ for id_ in scheduler.engines_by_id if id_ != engine_id]


def slow_scheduler():
    """Return a scheduler of three engines with e00 6 times slower, at 2.0."""
    scheduler = make_scheduler(3)
    for _ in range(3):
        scheduler.engines_by_id["e00"].pace.note(0.25, 1.5 + NETWORK_DELAY_S, 2.0)
    scheduler.place_waiting(2.0)
    return scheduler


class TestPlacement:
    def test_pace_converges_on_the_slowness(self):
        # Guards against a pace that is applied to a prediction which contains it.
        scheduler, now = make_scheduler(3), 0.0
        engine = scheduler.engines_by_id["e00"]
        only = only_on(scheduler, "e00")
        for number in range(12):
            job = make_job(
                f"j{number}",
                45_000,
                now=now,
                due_s=60.0,
                ends_s=90.0,
                excluded=only,
            )
            pass_s = engine.decode_pass_s(now) / engine.factor(now)
            now += 6.0 * (place(scheduler, job, now).prefill_part_s + pass_s)
            scheduler.note_first_event(job.id, now)
            scheduler.finish(job.id, now)
        assert engine.factor(now) == pytest.approx(6.0, rel=0.05)

    def test_slow_engine_gets_what_it_reads_in_time(self):
        scheduler = slow_scheduler()
        short = place(scheduler, make_job("short", 4_000, now=2.0), 2.0)
        assert short.endpoint_ids != ("e00",)
        others = only_on(scheduler, "e00")
        job = make_job("m", 4_000, now=2.0, due_s=1.5, max_gap_s=0.6, excluded=others)
        grant = place(scheduler, job, 2.0)
        assert grant.endpoint_ids == ("e00",)
        assert grant.predicted_first_s > 5 * grant.prefill_part_s
        job = make_job("n", 45_000, now=2.0, due_s=1.5, excluded=others)
        assert scheduler.submit(job, 2.0) == []

    def test_late_prompt_of_several_engines_leaves_the_others_alone(self):
        scheduler = make_scheduler(8)
        for number in range(4):
            now = 20.0 * number
            job = make_long_job(f"l{number}", 400_000, now=now)
            grant = place(scheduler, job, now)
            assert len(grant.endpoint_ids) > 1
            scheduler.engines_by_id[grant.endpoint_ids[0]].pace = noted(
                *[(0.2, 1.2)] * 3
            )
            late_at = now + 8 * grant.predicted_first_s
            scheduler.note_first_event(job.id, late_at)
            for engine_id in grant.endpoint_ids[1:]:
                assert scheduler.engines_by_id[engine_id].pace.factor(late_at) == 1.0
            for engine in scheduler.engines_by_id.values():
                engine.pace = EnginePace()
            scheduler.finish(job.id, late_at)

    def test_part_that_comes_later_does_not_make_an_engine_slow(self):
        scheduler = make_scheduler(2)
        for number in range(3):
            now = 10.0 * number
            whole = make_job(f"w{number}", 4_000, now=now, due_s=6.0, max_gap_s=5.0)
            (engine_id,) = place(scheduler, whole, now).endpoint_ids
            long = place(scheduler, make_long_job(f"l{number}", now=now), now)
            assert engine_id in long.endpoint_ids
            first_at = now + long.prefill_part_s + 0.1
            for job_id in (long.job_id, whole.id):
                scheduler.note_first_event(job_id, first_at)
                scheduler.finish(job_id, now + 5.0)
        assert scheduler.engines_by_id[engine_id].pace.factor(99.0) == 1.0

    def test_forgotten_engine_is_tried_with_a_short_job(self):
        scheduler = slow_scheduler()
        others = only_on(scheduler, "e00")
        at = 2.0 + TRIAL_INTERVAL_S
        early = make_job("a", 4_000, now=at - 0.1, excluded=others)
        assert scheduler.submit(early, at - 0.1) == []
        scheduler.cancel("a", at - 0.1)
        for number, when in enumerate((at, at + 0.3)):
            job = make_job(f"t{number}", 4_000, now=when, excluded=others)
            assert place(scheduler, job, when).endpoint_ids == ("e00",)
            scheduler.note_first_event(job.id, when + 0.08)
            scheduler.finish(job.id, when + 0.2)
        scheduler.place_waiting(at + 1.0)
        assert scheduler.pace_notes.take_changes() == [
            ("e00", pytest.approx(6.0)),
            ("e00", 1.0),
        ]

    def test_restarted_engine_starts_anew(self):
        scheduler = slow_scheduler()
        assert scheduler.engines_by_id["e00"].factor(2.0) == pytest.approx(6.0)
        scheduler.set_engines([Endpoint(id="e00", incarnation="e00@2")], PROFILE)
        assert scheduler.engines_by_id["e00"].factor(2.0) == 1.0

    def test_new_leader_learns_nothing_from_jobs_it_adopts(self):
        # When they were granted is not known to it.
        scheduler = make_scheduler(3)
        for number in range(3):
            job = make_job(f"j{number}", 4_000, ends_s=30.0)
            scheduler.adopt(job, ("e00",), has_started=False, now=0.0)
        scheduler.place_waiting(3.0)
        for number in range(3):
            scheduler.note_first_event(f"j{number}", 3.0 + number)
        assert scheduler.engines_by_id["e00"].factor(6.0) == 1.0

    @pytest.mark.parametrize(("after_s", "factor"), [(0.05, 1.0), (2.0, 8.0)])
    def test_cancelled_jobs_count_if_they_were_overdue(self, after_s, factor):
        scheduler = make_scheduler(3)
        for number in range(2):
            now = 10.0 * number
            only = only_on(scheduler, "e00")
            job = make_job(f"j{number}", 4_000, now=now, excluded=only)
            place(scheduler, job, now)
            scheduler.cancel(job.id, now + after_s)
        assert scheduler.engines_by_id["e00"].pace.factor(13.0) == factor

    def test_jobs_of_an_earlier_start_show_nothing_of_the_next(self):
        # Guards against a frozen engine that is slow from its restart on.
        scheduler = make_scheduler(1)
        for number in range(3):
            place(scheduler, make_job(f"j{number}", 4_000, now=0.0), 0.0)
        scheduler.set_engines([Endpoint(id="e00", incarnation="e00@2")], PROFILE)
        for number in range(3):
            scheduler.cancel(f"j{number}", 3.0)
        assert scheduler.engines_by_id["e00"].pace.factor(3.0) == 1.0

    def test_engine_that_one_node_does_not_reach_is_not_slow(self):
        scheduler = make_scheduler(3)
        for number in range(3):
            now = 10.0 * number
            only = only_on(scheduler, "e00")
            place(scheduler, make_job(f"j{number}", 4_000, now=now, excluded=only), now)
            scheduler.note_failure("e00", now + 1.0)
            scheduler.cancel(f"j{number}", now + 1.0)
        assert scheduler.engines_by_id["e00"].pace.factor(21.0) == 1.0

    def test_pace_ends_if_nothing_confirms_it(self):
        # Guards against an engine that was slow once and never gets a job again, as
        # the service has no prompts short enough for a trial.
        scheduler = slow_scheduler()
        engine = scheduler.engines_by_id["e00"]
        assert engine.pace.factor(2.0) > 1.0
        assert engine.pace.factor(2.0 + PACE_LIFETIME_S) == 1.0

    def test_pace_is_not_used_if_most_engines_are_late(self):
        # Guards against a pause of the leader, after which no engine would be in time.
        scheduler = make_scheduler(3)
        for engine_id in ("e00", "e01"):
            scheduler.engines_by_id[engine_id].pace = noted(*[(0.2, 1.2)] * 3)
        scheduler.place_waiting(0.0)
        assert [e.factor(0.0) for e in scheduler.engines_by_id.values()] == [1.0] * 3


class DelayedReplay(Replay):
    """Delays first events by up to 60 ms, and one in fifty by 0.2 to 0.4 s more."""

    def __init__(self, *, seed, **fields):
        super().__init__(**fields)
        self._rng, self._delayed, self.n_slow = Random(seed), set(), []

    def _begin(self, job_id):
        if job_id in self._delayed:
            super()._begin(job_id)
            self.n_slow.append(len(self._scheduler.pace_notes.slow_ids))
            return
        self._delayed.add(job_id)
        delay_s = self._rng.uniform(0.0, 0.06)
        if self._rng.random() < 0.02:
            delay_s += self._rng.uniform(0.2, 0.4)
        self._schedule(self._now + delay_s, self._begin, job_id)


class TestReplay:
    @pytest.mark.parametrize("seed", range(3))
    def test_delays_of_the_network_make_no_engine_slow(self, seed):
        # Guards against delays that take several engines of 23 from short prompts.
        phases = (Phase(length_s=18.0, rates=(20, 1, 0.3)),)
        replay = DelayedReplay(seed=seed, n_engines=23, first_pass_s=0.045)
        replay.run(draw_arrivals(phases, seed=seed))
        assert max(replay.n_slow) <= 1

    @pytest.mark.parametrize("seed", range(3))
    def test_slow_engines_cost_few_first_events(self, seed):
        # Load pattern: two fifths of the engines are 6 times slower for 12 s, with
        # nearly as many prompts as the others can serve.
        def n_in_time(n_engines, slowdown=None):
            prompts = draw_arrivals(
                (Phase(length_s=18.0, rates=(60, 2, 0.2)),), seed=seed
            )
            Replay(
                n_engines=n_engines,
                profile=replace(PROFILE, slots=6),
                first_pass_s=0.045,
                slowdown=slowdown,
            ).run(prompts)
            return sum(p.is_in_time for p in prompts if 5.0 <= p.arrived_at < 16.0)

        slowdown = Slowdown(n_engines=9, factor=6.0, begin_s=4.0, end_s=16.0)
        assert n_in_time(23, slowdown) >= 0.93 * n_in_time(14)

    @pytest.mark.parametrize("pattern", PATTERNS)
    def test_placements_without_slow_engines_are_those_without_a_pace(
        self, pattern, monkeypatch
    ):
        def grants():
            replay = Replay(n_engines=18, first_pass_s=0.045)
            replay.run(draw_arrivals(PATTERNS[pattern], seed=1))
            return replay.grants

        with_pace = grants()
        monkeypatch.setattr(EnginePace, "factor", lambda pace, now: 1.0)
        assert grants() == with_pace
