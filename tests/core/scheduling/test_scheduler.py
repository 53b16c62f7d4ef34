"""Placement of generations; the load patterns are replayed with fixed seeds."""

from dataclasses import dataclass
from functools import partial
from random import Random

import pytest

from savoryhill.core.scheduling.accounts import Job
from savoryhill.core.scheduling.decisions import Grant, Rejection
from savoryhill.core.scheduling.figures import EngineProfile, read_s
from savoryhill.core.scheduling.scheduler import ServiceScheduler
from savoryhill.core.scheduling.sharing import late_engines

FIGURES = EngineProfile(
    slots=8,
    memory_tokens=405_000,
    stride=34,
    step_s=0.00131,
    step_s_per_sequence=0.0000018,
    step_s_per_context_token=0.00213e-6,
    prefill_tokens_per_s=154_000.0,
    prefill_s_per_token_pair=0.162e-9,
    chunk_tokens=2048,
)


@dataclass(frozen=True, kw_only=True)
class Registered:
    """An endpoint as the scheduler takes it."""

    id: str
    address: str
    zone: str = "zone-a"
    slots: int = 8


def scheduler_of(n_engines, **fields):
    scheduler = ServiceScheduler(service="pool", **fields)
    engines = [
        Registered(id=f"e{n:02}", address=f"10.0.0.{n}:80") for n in range(n_engines)
    ]
    scheduler.set_engines(engines, FIGURES)
    return scheduler


def job(job_id, n_tokens, *, now=0.0, due_s=0.3, ends_s=10.0, pause_s=0.25, **fields):
    return Job(
        id=job_id,
        service="pool",
        workspace="ws",
        prompt_tokens=n_tokens,
        answer_tokens=1_300,
        first_event_due_at=now + due_s,
        deadline_at=now + ends_s,
        max_gap_s=pause_s,
        priority=1,
        **fields,
    )


def long_job(job_id, n_tokens=182_000, **fields):
    return job(job_id, n_tokens, due_s=3.0, ends_s=15.0, pause_s=1.0, **fields)


class TestFigures:
    def test_reading_alone_takes_tokens_and_pairs(self):
        assert read_s(FIGURES, 182_000) == pytest.approx(1.18 + 2.68 + 0.12, abs=0.02)


class TestPlacement:
    def test_short_prompts_share_engines(self):
        scheduler = scheduler_of(18)
        engines = set()
        for n in range(3):
            (grant,) = scheduler.submit(job(f"s{n}", 1_000, now=n), float(n))
            scheduler.note_first_event(f"s{n}", n + 0.1)
            engines.add(grant.endpoint_ids)
        assert engines == {("e00",)}

    def test_short_prompts_spread_while_others_are_read(self):
        scheduler = scheduler_of(3)
        engines = [
            scheduler.submit(job(f"s{n}", 5_000), 0.0)[0].endpoint_ids for n in range(3)
        ]
        assert len(set(engines)) == 3

    def test_long_prompt_is_split_over_engines_without_streams(self):
        scheduler = scheduler_of(18)
        (short,) = scheduler.submit(job("s", 1_000), 0.0)
        (long,) = scheduler.submit(long_job("l"), 0.1)
        assert len(long.endpoint_ids) >= 2
        assert short.endpoint_ids[0] not in long.endpoint_ids
        assert long.predicted_first_s < 3.0

    def test_short_prompt_avoids_engines_that_read(self):
        # Guards against short streams whose events wait for a long prompt's reading.
        scheduler = scheduler_of(6)
        (long,) = scheduler.submit(long_job("l"), 0.0)
        (short,) = scheduler.submit(job("s", 1_000, now=0.1), 0.1)
        assert short.endpoint_ids[0] not in long.endpoint_ids

    def test_waiting_prompt_takes_more_engines_when_its_time_runs_short(self):
        # Guards against a prompt that fits within the first share of its time only,
        # and waits until it is late once that share has passed.
        scheduler = scheduler_of(3)
        (first,) = scheduler.submit(long_job("l1", 200_000), 0.0)
        assert scheduler.submit(long_job("l2", 200_000), 0.1) == []
        assert scheduler.note_first_event("l1", 0.9) == []
        decisions = scheduler.finish("l1", 1.0)
        assert [d.job_id for d in decisions] == ["l2"]
        assert isinstance(first, Grant)

    def test_waiting_long_prompt_keeps_freed_engines_for_itself(self):
        # Guards against long prompts that starve under a steady stream of short ones.
        scheduler = scheduler_of(4)
        for n in range(4 * 7):
            scheduler.submit(job(f"s{n}", 100), 0.0)
        assert scheduler.submit(long_job("l"), 0.1) == []
        claimed = scheduler.claimed_by_id["l"]
        assert claimed
        for n in range(4 * 7):
            scheduler.finish(f"s{n}", 0.2)
        assert "l" in scheduler.placed_by_id

    def test_prompt_over_the_memory_of_all_engines_is_rejected(self):
        (decision,) = scheduler_of(4).submit(long_job("l", 1_700_000), 0.0)
        assert isinstance(decision, Rejection)

    def test_prompt_over_the_memory_of_one_engine_is_kept_on_several(self):
        # Guards against prompts of the largest sizes that are never served.
        scheduler = scheduler_of(18)
        (grant,) = scheduler.submit(long_job("l", 600_000), 0.0)
        reserved = sum(grant.reserved_tokens)
        assert grant.reserved_tokens[0] == 0
        assert 601_300 - reserved <= 405_000
        assert all(tokens <= 405_000 for tokens in grant.reserved_tokens)
        for engine_id, tokens in zip(
            grant.endpoint_ids, grant.reserved_tokens, strict=True
        ):
            account = scheduler.engines_by_id[engine_id]
            assert account.reserved_by_id.get("l", 0) == tokens
        scheduler.finish("l", 5.0)
        assert not any(a.reserved_by_id for a in scheduler.engines_by_id.values())

    def test_prompt_that_fits_on_one_engine_needs_no_reservation(self):
        (grant,) = scheduler_of(18).submit(long_job("l"), 0.0)
        assert set(grant.reserved_tokens) == {0}

    def test_small_streams_keep_the_engines_that_they_need(self):
        # Guards against long prompts that block so many engines in a burst that the
        # short streams find no slots.
        scheduler = scheduler_of(18)
        for n in range(60):
            scheduler.submit(job(f"s{n}", 1_000, now=n / 50), n / 50)
            scheduler.note_first_event(f"s{n}", n / 50 + 0.01)
        blocked = set()
        for n in range(6):
            for grant in scheduler.submit(long_job(f"l{n}", now=1.3), 1.3):
                blocked.update(grant.endpoint_ids)
        assert 2 <= len(blocked) <= 18 - 60 / (0.6 * 8)

    def test_late_prompt_takes_few_engines(self):
        # Guards against one very long prompt that holds all engines for seconds
        # although its first event is late anyway.
        scheduler = scheduler_of(18)
        (grant,) = scheduler.submit(long_job("l", 390_000, now=0.0), 2.5)
        assert len(grant.endpoint_ids) <= 3

    def test_late_prompt_is_served_while_no_other_long_prompt_waits(self):
        # Guards against long prompts that are refused although engines are free,
        # because a late prompt may take a sixth of them only.
        scheduler = scheduler_of(12)
        (grant,) = scheduler.submit(long_job("l", 558_000), 3.5)
        assert isinstance(grant, Grant)
        assert len(grant.endpoint_ids) <= 6

    def test_late_prompt_leaves_engines_to_long_prompts_that_wait(self):
        engine = scheduler_of(12).engines_by_id["e00"]
        late = long_job("late", 558_000)
        limit = partial(late_engines, late, engine=engine, n_engines=12)
        assert limit(waiting=[late, job("short", 5_000)]) == 6
        assert limit(waiting=[late, long_job("next")]) == 2

    def test_prompt_that_misses_its_deadline_is_rejected_at_once(self):
        (decision,) = scheduler_of(1).submit(job("l", 400_000), 0.0)
        assert isinstance(decision, Rejection)
        assert decision.retry_after_s > 0

    def test_waiting_prompt_is_rejected_once_it_misses_its_deadline(self):
        # Guards against a prompt that waits behind a smaller one, was not looked at
        # again, and kept its client waiting until the deadline.
        scheduler = scheduler_of(2)
        scheduler.submit(long_job("l1", 200_000), 0.0)
        for name, n_tokens in (("l2", 200_000), ("l3", 300_000)):
            assert scheduler.submit(long_job(name, n_tokens), 0.1) == []
        decisions = scheduler.place_waiting(4.0)
        assert [(d.job_id, type(d)) for d in decisions] == [("l3", Rejection)]

    def test_engine_gets_no_more_grants_in_a_second_than_it_bears_cold(self):
        scheduler = scheduler_of(1, max_grants_per_s=3)
        n_granted = 0
        for n in range(6):
            n_granted += len(scheduler.submit(job(f"s{n}", 10, pause_s=9.0), 0.0))
        assert n_granted == 3
        assert len(scheduler.place_waiting(1.01)) == 3

    def test_failed_engine_is_avoided_and_taken_again(self):
        scheduler = scheduler_of(1)
        scheduler.note_failure("e00", 0.0)
        assert scheduler.submit(job("s", 10), 0.0) == []
        assert len(scheduler.place_waiting(0.6)) == 1

    def test_failed_engine_gets_one_job_until_it_has_answered(self):
        # Guards against a dead engine that attracts many jobs whenever its ejection
        # ends, because it looks idle.
        scheduler = scheduler_of(2)
        scheduler.note_failure("e00", 0.0)
        grants = [
            grant
            for n in range(4)
            for grant in scheduler.submit(job(f"s{n}", 5_000, now=0.6), 0.6)
        ]
        chosen = [grant.endpoint_ids[0] for grant in grants]
        assert chosen.count("e00") == 1
        scheduler.note_first_event(grants[chosen.index("e00")].job_id, 0.7)
        (grant,) = scheduler.submit(job("s9", 5_000, now=0.7), 0.7)
        assert grant.endpoint_ids == ("e00",)

    def test_engine_that_goes_on_refusing_is_avoided_longer(self):
        # Guards against engines that leave while the store is away: each long prompt
        # met them again, until its sends were used up.
        scheduler = scheduler_of(1)
        for now in (0.0, 0.2, 0.6):
            scheduler.note_failure("e00", now, is_full=True)
        assert scheduler.submit(job("s", 10, now=1.3), 1.3) == []
        (grant,) = scheduler.place_waiting(1.45)
        scheduler.note_first_event(grant.job_id, 1.5)
        scheduler.note_failure("e00", 1.5, is_full=True)
        assert len(scheduler.submit(job("s2", 10, now=1.75), 1.75)) == 1

    def test_adopted_job_counts_on_its_engine(self):
        scheduler = scheduler_of(2)
        scheduler.adopt(long_job("l"), ("e00",), has_started=False, now=0.0)
        (short,) = scheduler.submit(job("s", 1_000), 0.0)
        assert short.endpoint_ids == ("e01",)


class TestLoadSwing:
    """The load swings between long and short prompts every ten seconds."""

    def replay(self, seed, *, n_engines=18, length_s=40.0):
        """Replay arrivals; an engine reads and writes as the figures predict.

        Returns
        -------
        dict of str to list of float
            Delays of the first event by kind, and pauses over the limit as ``late``.
        """
        random = Random(seed)
        scheduler = scheduler_of(n_engines)
        arrivals = []
        for n in range(int(length_s * 100)):
            at = n / 100
            heavy = int(at / 10) % 2 == 0
            if random.random() < (7.0 if heavy else 43.0) / 100:
                arrivals.append((at, "short", random.lognormvariate(8.2, 0.8)))
            if random.random() < (2.6 if heavy else 0.5) / 100:
                arrivals.append((at, "middle", random.lognormvariate(10.6, 0.47)))
            if random.random() < (1.3 if heavy else 0.03) / 100:
                arrivals.append((at, "long", random.lognormvariate(11.97, 0.5)))
        delays = {"short": [], "middle": [], "long": []}
        due = {"short": 0.3, "middle": 1.5, "long": 3.0}
        pauses = {"short": 0.25, "middle": 0.6, "long": 1.0}
        events = []
        kinds, arrived = {}, {}

        def take(decisions, now):
            for decision in decisions:
                if isinstance(decision, Grant):
                    name = decision.job_id
                    first = now + decision.predicted_first_s
                    delays[kinds[name]].append(first - arrived[name])
                    events.append((first, "first", name))
                    events.append((first + 1.2, "done", name))

        for n, (at, kind, n_tokens) in enumerate(arrivals):
            while events and min(events)[0] <= at:
                now, what, name = min(events)
                events.remove((now, what, name))
                step = (
                    scheduler.note_first_event if what == "first" else scheduler.finish
                )
                take(step(name, now), now)
            take(scheduler.place_waiting(at), at)
            name = f"{kind}{n}"
            kinds[name], arrived[name] = kind, at
            new = job(
                name,
                min(int(n_tokens), 400_000),
                now=at,
                due_s=due[kind],
                ends_s=15.0,
                pause_s=pauses[kind],
            )
            take(scheduler.submit(new, at), at)
        return delays

    @pytest.mark.parametrize("seed", range(3))
    def test_each_size_meets_its_objective(self, seed):
        # Guards against a fixed split of engines, which is wrong twice a minute.
        delays = self.replay(seed)
        for kind, limit_s in (("short", 0.3), ("middle", 1.5), ("long", 3.0)):
            values = delays[kind]
            on_time = sum(value <= limit_s for value in values)
            assert on_time >= 0.9 * len(values), f"{kind}: {on_time} of {len(values)}"
