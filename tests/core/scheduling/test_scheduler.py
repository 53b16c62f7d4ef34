"""Tests of the placement of generations; load patterns use fixed seeds."""

from collections import Counter
from dataclasses import dataclass, replace
from functools import partial
from random import Random

import pytest

from savoryhill.core.scheduling.decisions import Grant, Rejection
from savoryhill.core.scheduling.engine_profile import EngineProfile, prefill_s
from savoryhill.core.scheduling.engine_state import Job
from savoryhill.core.scheduling.long_prefill import max_late_engines
from savoryhill.core.scheduling.scheduler import ServiceScheduler

PROFILE = EngineProfile(
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
class RegisteredEndpoint:
    """Endpoint with the attributes that the scheduler uses."""

    id: str
    address: str
    zone: str = "zone-a"
    slots: int = 8

    @property
    def incarnation(self):
        return f"{self.id}@1"


def make_scheduler(n_engines, **fields):
    scheduler = ServiceScheduler(service="pool", **fields)
    engines = [
        RegisteredEndpoint(id=f"e{n:02}", address=f"10.0.0.{n}:80")
        for n in range(n_engines)
    ]
    scheduler.set_engines(engines, PROFILE)
    return scheduler


def make_job(
    job_id, n_tokens, *, now=0.0, due_s=0.3, ends_s=10.0, max_gap_s=0.25, **fields
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
        **fields,
    )


def make_long_job(job_id, n_tokens=182_000, **fields):
    return make_job(job_id, n_tokens, due_s=3.0, ends_s=15.0, max_gap_s=1.0, **fields)


class TestProfile:
    def test_prefill_time_has_a_linear_and_a_quadratic_term(self):
        assert prefill_s(PROFILE, 182_000) == pytest.approx(
            1.18 + 2.68 + 0.12, abs=0.02
        )


class TestPlacement:
    def test_short_prompts_share_engines(self):
        scheduler = make_scheduler(18)
        engines = set()
        for n in range(3):
            (grant,) = scheduler.submit(make_job(f"s{n}", 1_000, now=n), float(n))
            scheduler.note_first_event(f"s{n}", n + 0.1)
            engines.add(grant.endpoint_ids)
        (engine_ids,) = engines
        assert len(engine_ids) == 1

    def test_short_prompts_spread_during_prefill_of_others(self):
        scheduler = make_scheduler(3)
        engines = [
            scheduler.submit(make_job(f"s{n}", 5_000), 0.0)[0].endpoint_ids
            for n in range(3)
        ]
        assert len(set(engines)) == 3

    def test_long_prompt_is_split_over_engines_without_streams(self):
        scheduler = make_scheduler(18)
        (short,) = scheduler.submit(make_job("s", 1_000), 0.0)
        (long,) = scheduler.submit(make_long_job("l"), 0.1)
        assert len(long.endpoint_ids) >= 2
        assert short.endpoint_ids[0] not in long.endpoint_ids
        assert long.predicted_first_s < 3.0

    def test_short_prompt_avoids_engines_with_long_prefill(self):
        # The prefill of a long prompt would delay the events of a short stream on the
        # same engine.
        scheduler = make_scheduler(6)
        (long,) = scheduler.submit(make_long_job("l"), 0.0)
        (short,) = scheduler.submit(make_job("s", 1_000, now=0.1), 0.1)
        assert short.endpoint_ids[0] not in long.endpoint_ids

    def test_waiting_prompt_may_use_more_of_its_time_when_it_runs_short(self):
        # With only the first of PREFILL_TIME_SHARES, a prompt that no longer fits
        # within that share of its time would wait until it is late.
        scheduler = make_scheduler(3)
        (first,) = scheduler.submit(make_long_job("l1", 200_000), 0.0)
        assert scheduler.submit(make_long_job("l2", 200_000), 0.1) == []
        assert scheduler.note_first_event("l1", 0.9) == []
        decisions = scheduler.finish("l1", 1.0)
        assert [d.job_id for d in decisions] == ["l2"]
        assert isinstance(first, Grant)

    def test_waiting_long_prompt_claims_engines(self):
        # Without claims, a steady stream of short prompts starves a long one.
        scheduler = make_scheduler(4)
        for n in range(4 * 7):
            scheduler.submit(make_job(f"s{n}", 100), 0.0)
        assert scheduler.submit(make_long_job("l"), 0.1) == []
        claimed = scheduler.claims.of("l")
        assert claimed
        for n in range(4 * 7):
            scheduler.finish(f"s{n}", 0.2)
        assert "l" in scheduler.placed_by_id

    def test_prompt_larger_than_the_memory_of_all_engines_is_rejected(self):
        (decision,) = make_scheduler(4).submit(make_long_job("l", 1_700_000), 0.0)
        assert isinstance(decision, Rejection)

    def test_prompt_larger_than_one_engine_reserves_memory_on_others(self):
        # Without reservations, the largest prompts are never served.
        scheduler = make_scheduler(18)
        (grant,) = scheduler.submit(make_long_job("l", 600_000), 0.0)
        reserved = sum(grant.reserved_tokens)
        assert grant.reserved_tokens[0] == 0
        assert 601_300 - reserved <= 405_000
        assert all(tokens <= 405_000 for tokens in grant.reserved_tokens)
        for engine_id, tokens in zip(
            grant.endpoint_ids, grant.reserved_tokens, strict=True
        ):
            account = scheduler.engines_by_id[engine_id]
            assert account.reserved_tokens_by_job_id.get("l", 0) == tokens
        scheduler.finish("l", 5.0)
        assert not any(
            a.reserved_tokens_by_job_id for a in scheduler.engines_by_id.values()
        )

    def test_prompt_that_fits_on_one_engine_needs_no_reservation(self):
        (grant,) = make_scheduler(18).submit(make_long_job("l"), 0.0)
        assert set(grant.reserved_tokens) == {0}

    def test_long_prompts_leave_enough_engines_to_short_streams(self):
        # A burst of long prompts must not occupy so many engines that short streams
        # find no slots.
        scheduler = make_scheduler(18)
        for n in range(60):
            scheduler.submit(make_job(f"s{n}", 1_000, now=n / 50), n / 50)
            scheduler.note_first_event(f"s{n}", n / 50 + 0.01)
        blocked = set()
        for n in range(6):
            for grant in scheduler.submit(make_long_job(f"l{n}", now=1.3), 1.3):
                blocked.update(grant.endpoint_ids)
        assert 2 <= len(blocked) <= 18 - 60 / (0.6 * 8)

    def test_late_prompt_takes_few_engines(self):
        # A very long prompt whose first event is late in any case must not occupy all
        # engines for seconds.
        scheduler = make_scheduler(18)
        (grant,) = scheduler.submit(make_long_job("l", 390_000, now=0.0), 2.5)
        assert len(grant.endpoint_ids) <= 3

    def test_late_prompt_is_served_while_no_other_long_prompt_waits(self):
        # With the limit of one sixth of the engines for late prompts, this prompt would
        # be rejected although engines are free.
        scheduler = make_scheduler(12)
        (grant,) = scheduler.submit(make_long_job("l", 558_000), 3.5)
        assert isinstance(grant, Grant)
        assert len(grant.endpoint_ids) <= 6

    def test_late_prompt_leaves_engines_to_waiting_long_prompts(self):
        engine = make_scheduler(12).engines_by_id["e00"]
        late = make_long_job("late", 558_000)
        limit = partial(max_late_engines, late, engine=engine, n_engines=12)
        assert limit(waiting=[late, make_job("short", 5_000)]) == 6
        assert limit(waiting=[late, make_long_job("next")]) == 2

    def test_prompt_that_misses_its_deadline_is_rejected_at_once(self):
        (decision,) = make_scheduler(1).submit(make_job("l", 400_000), 0.0)
        assert isinstance(decision, Rejection)
        assert decision.retry_after_s > 0

    def test_waiting_prompt_is_rejected_once_it_misses_its_deadline(self):
        # A prompt in the queue behind a smaller one was not reconsidered, so its client
        # waited until the deadline.
        scheduler = make_scheduler(2)
        scheduler.submit(make_long_job("l1", 200_000), 0.0)
        for name, n_tokens in (("l2", 200_000), ("l3", 300_000)):
            assert scheduler.submit(make_long_job(name, n_tokens), 0.1) == []
        decisions = scheduler.place_waiting(4.0)
        assert [(d.job_id, type(d)) for d in decisions] == [("l3", Rejection)]

    def test_grants_per_engine_and_second_are_limited(self):
        scheduler = make_scheduler(1, max_grants_per_s=3)
        n_granted = 0
        for n in range(6):
            n_granted += len(
                scheduler.submit(make_job(f"s{n}", 10, max_gap_s=9.0), 0.0)
            )
        assert n_granted == 3
        assert len(scheduler.place_waiting(1.01)) == 3

    def test_failed_engine_is_ejected_and_used_again(self):
        scheduler = make_scheduler(1)
        scheduler.note_failure("e00", 0.0)
        assert scheduler.submit(make_job("s", 10), 0.0) == []
        assert len(scheduler.place_waiting(0.6)) == 1

    def test_failed_engine_gets_one_job_until_its_first_event(self):
        # A dead engine looks idle, so it would attract many jobs whenever its ejection
        # ends.
        scheduler = make_scheduler(2)
        scheduler.note_failure("e00", 0.0)
        grants = [
            grant
            for n in range(4)
            for grant in scheduler.submit(make_job(f"s{n}", 5_000, now=0.6), 0.6)
        ]
        chosen = [grant.endpoint_ids[0] for grant in grants]
        assert chosen.count("e00") == 1
        scheduler.note_first_event(grants[chosen.index("e00")].job_id, 0.7)
        (grant,) = scheduler.submit(make_job("s9", 5_000, now=0.7), 0.7)
        assert grant.endpoint_ids == ("e00",)

    def test_ejection_of_an_engine_that_keeps_refusing_grows(self):
        # Engines that leave while the store is unreachable are detected only by their
        # refusals. Long prompts hit them again until their sends were used up.
        scheduler = make_scheduler(1)
        for now in (0.0, 0.2, 0.6):
            scheduler.note_failure("e00", now, is_full=True)
        assert scheduler.submit(make_job("s", 10, now=1.3), 1.3) == []
        (grant,) = scheduler.place_waiting(1.45)
        scheduler.note_first_event(grant.job_id, 1.5)
        scheduler.note_failure("e00", 1.5, is_full=True)
        assert len(scheduler.submit(make_job("s2", 10, now=1.75), 1.75)) == 1

    def test_adopted_job_occupies_its_engine(self):
        scheduler = make_scheduler(2)
        scheduler.adopt(make_long_job("l"), ("e00",), has_started=False, now=0.0)
        (short,) = scheduler.submit(make_job("s", 1_000), 0.0)
        assert short.endpoint_ids == ("e01",)

    def test_adopted_job_occupies_its_reserved_memory(self):
        # Guards against a new leader that counts the whole prompt on the first engine
        # and none of it on the helpers, and then grants memory that is not free.
        scheduler = make_scheduler(3)
        job = make_job("big", 500_000, due_s=3.0)
        scheduler.adopt(
            job,
            ("e00", "e01"),
            reserved_tokens=(0, 250_000),
            has_started=True,
            now=0.0,
        )
        free = [
            scheduler.engines_by_id[name].free_tokens(1.0)
            for name in ("e00", "e01", "e02")
        ]
        assert free == [405_000 - 251_300, 405_000 - 250_000, 405_000]
        scheduler.finish("big", 1.0)
        assert scheduler.engines_by_id["e01"].free_tokens(1.0) == 405_000

    def test_changed_profile_is_used_for_known_engines(self):
        # Guards against figures of the operator that take effect only for new engines.
        scheduler = make_scheduler(1)
        endpoint = RegisteredEndpoint(id="e00", address="10.0.0.0:80", slots=3)
        changed = replace(PROFILE, memory_tokens=100_000)
        scheduler.set_engines([endpoint], changed)
        engine = scheduler.engines_by_id["e00"]
        assert (engine.slots, engine.profile) == (3, changed)


class TestStandaloneNodes:
    def test_nodes_without_a_leader_use_different_engines(self):
        # Guards against nodes that have all lost their leader and then all choose the
        # same engine, which to each of them looks idle.
        n_jobs_by_engine = Counter()
        for number in range(60):
            scheduler = make_scheduler(30, node=f"node-{number}")
            (grant,) = scheduler.submit(make_job("j", 2_000), 0.0)
            n_jobs_by_engine.update(grant.endpoint_ids)
        assert max(n_jobs_by_engine.values()) <= PROFILE.slots
        assert len(n_jobs_by_engine) >= 20

    def test_helpers_of_long_prompts_differ_as_well(self):
        n_parts_by_engine = Counter()
        for number in range(12):
            scheduler = make_scheduler(30, node=f"node-{number}")
            (grant,) = scheduler.submit(make_job("j", 150_000, due_s=1.5), 0.0)
            n_parts_by_engine.update(grant.endpoint_ids)
        assert len(n_parts_by_engine) >= 15


class TestZones:
    """Streams stay in the zone of the node that relays them."""

    ZONES = ("zone-a", "zone-b", "zone-c")

    def make_scheduler(self, n_engines):
        scheduler = ServiceScheduler(service="pool")
        engines = [
            RegisteredEndpoint(
                id=f"e{n:02}", address=f"10.0.0.{n}:80", zone=self.ZONES[n % 3]
            )
            for n in range(n_engines)
        ]
        scheduler.set_engines(engines, PROFILE)
        return scheduler

    def test_short_streams_of_all_zones_run_in_their_zone(self):
        # Guards against events that cross zones because the engine with the most
        # streams, or with the least prefill, is in another one.
        scheduler = self.make_scheduler(12)
        random, n_local, now = Random(5), 0, 0.0
        for number in range(300):
            now += random.expovariate(60.0)
            zone = random.choice(self.ZONES)
            job = make_job(f"j{number}", random.randint(500, 9_000), now=now, zone=zone)
            (grant,) = scheduler.submit(job, now)
            n_local += scheduler.engines_by_id[grant.endpoint_ids[0]].zone == zone
            scheduler.note_first_event(job.id, now)
            if number >= 40:
                scheduler.finish(f"j{number - 40}", now)
        assert n_local >= 0.95 * 300

    def test_stream_leaves_its_zone_rather_than_wait_for_a_long_prefill(self):
        scheduler = self.make_scheduler(3)
        scheduler.submit(make_job("long", 40_000, due_s=1.5, zone="zone-a"), 0.0)
        (grant,) = scheduler.submit(make_job("short", 2_000, zone="zone-a"), 0.0)
        assert scheduler.engines_by_id[grant.endpoint_ids[0]].zone != "zone-a"

    def test_writer_of_a_split_prompt_is_in_its_zone(self):
        scheduler = self.make_scheduler(6)
        job = make_job("split", 200_000, due_s=1.5, zone="zone-c")
        (grant,) = scheduler.submit(job, 0.0)
        assert len(grant.endpoint_ids) > 1
        assert scheduler.engines_by_id[grant.endpoint_ids[0]].zone == "zone-c"


class TestLoadSwing:
    """Load that alternates between long and short prompts every ten seconds."""

    def replay(self, seed, *, n_engines=18, length_s=40.0):
        """Replay arrivals on engines whose prefill takes as long as predicted.

        Returns
        -------
        dict of str to list of float
            Delays of the first event in seconds, by kind of prompt.
        """
        random = Random(seed)
        scheduler = make_scheduler(n_engines)
        arrivals = []
        for n in range(int(length_s * 100)):
            at = n / 100
            is_long_phase = int(at / 10) % 2 == 0
            if random.random() < (7.0 if is_long_phase else 43.0) / 100:
                arrivals.append((at, "short", random.lognormvariate(8.2, 0.8)))
            if random.random() < (2.6 if is_long_phase else 0.5) / 100:
                arrivals.append((at, "middle", random.lognormvariate(10.6, 0.47)))
            if random.random() < (1.3 if is_long_phase else 0.03) / 100:
                arrivals.append((at, "long", random.lognormvariate(11.97, 0.5)))
        delays_by_kind = {"short": [], "middle": [], "long": []}
        due_s_by_kind = {"short": 0.3, "middle": 1.5, "long": 3.0}
        max_gap_s_by_kind = {"short": 0.25, "middle": 0.6, "long": 1.0}
        events = []
        kinds_by_job_id, arrived_at_by_job_id = {}, {}

        def apply_decisions(decisions, now):
            for decision in decisions:
                if isinstance(decision, Grant):
                    job_id = decision.job_id
                    first_event_at = now + decision.predicted_first_s
                    delays_by_kind[kinds_by_job_id[job_id]].append(
                        first_event_at - arrived_at_by_job_id[job_id]
                    )
                    events.append((first_event_at, "first", job_id))
                    events.append((first_event_at + 1.2, "done", job_id))

        for n, (at, kind, n_tokens) in enumerate(arrivals):
            while events and min(events)[0] <= at:
                now, event, job_id = min(events)
                events.remove((now, event, job_id))
                notify = (
                    scheduler.note_first_event if event == "first" else scheduler.finish
                )
                apply_decisions(notify(job_id, now), now)
            apply_decisions(scheduler.place_waiting(at), at)
            job_id = f"{kind}{n}"
            kinds_by_job_id[job_id], arrived_at_by_job_id[job_id] = kind, at
            new_job = make_job(
                job_id,
                min(int(n_tokens), 400_000),
                now=at,
                due_s=due_s_by_kind[kind],
                ends_s=15.0,
                max_gap_s=max_gap_s_by_kind[kind],
            )
            apply_decisions(scheduler.submit(new_job, at), at)
        return delays_by_kind

    @pytest.mark.parametrize("seed", range(3))
    def test_each_size_meets_its_objective(self, seed):
        # A fixed split of the engines between short and long prompts does not suit a
        # load whose mix changes every ten seconds.
        delays_by_kind = self.replay(seed)
        for kind, limit_s in (("short", 0.3), ("middle", 1.5), ("long", 3.0)):
            delays = delays_by_kind[kind]
            n_on_time = sum(delay_s <= limit_s for delay_s in delays)
            assert n_on_time >= 0.9 * len(delays), (
                f"{kind}: {n_on_time} of {len(delays)}"
            )


class TestNamedLimits:
    """Engines that have named a limit of requests a second."""

    @staticmethod
    def make(n_engines, limits):
        """Return a scheduler whose first engines have these limits."""
        scheduler = make_scheduler(n_engines)
        scheduler.rate_limiter.set_limits(
            {f"e{n:02}@1": limit for n, limit in enumerate(limits)}
        )
        return scheduler

    @staticmethod
    def run_load(scheduler, *, n_per_s, length_s, job_s=0.3):
        """Submit short jobs evenly, each of which runs for a time."""
        grants_by_engine, rejections, ends = {}, [], []
        now, step_s = 100.0, 0.02
        for step in range(int(length_s / step_s)):
            now = 100.0 + step * step_s
            decisions = []
            for job_id in [job for at, job in ends if at <= now]:
                decisions += scheduler.cancel(job_id, now)
            ends = [item for item in ends if item[0] > now]
            n_due = int((step + 1) * step_s * n_per_s) - int(step * step_s * n_per_s)
            for number in range(n_due):
                job = make_job(f"j{step}-{number}", 1_000, now=now)
                decisions += scheduler.submit(replace(job, queued_at=now), now)
            decisions += scheduler.place_waiting(now)
            for decision in decisions:
                if isinstance(decision, Grant):
                    engine = decision.endpoint_ids[0]
                    grants_by_engine.setdefault(engine, []).append(now)
                    scheduler.note_first_event(decision.job_id, now)
                    ends.append((now + job_s, decision.job_id))
                else:
                    rejections.append((now, decision))
        return grants_by_engine, rejections

    def test_engines_get_what_they_named_and_the_others_the_rest_at_once(self):
        # Guards against jobs that wait for limited engines beside free ones.
        scheduler = self.make(3, [1.0, 2.0])
        grants, rejections = self.run_load(scheduler, n_per_s=20, length_s=12.0)
        assert rejections == []
        assert len(grants["e00"]) <= 1.0 * 12.0 + 2
        assert len(grants["e01"]) <= 2.0 * 12.0 + 2
        assert sum(map(len, grants.values())) == 240
        assert not scheduler.waiting_by_id

    def test_jobs_without_a_turn_in_time_are_rejected_at_once(self):
        # Guards against jobs that wait until their clients leave, although the limits
        # of all engines show when they are submitted that they get no turn.
        scheduler = self.make(2, [5.0, 5.0])
        grants, rejections = self.run_load(scheduler, n_per_s=30, length_s=10.0)
        n_granted = sum(map(len, grants.values()))
        assert 90 <= n_granted <= 110
        assert n_granted + len(rejections) + len(scheduler.waiting_by_id) == 300
        assert len(scheduler.waiting_by_id) <= 6

    def test_rejected_clients_return_one_after_the_other(self):
        # Guards against clients that are all told to return at the same moment.
        scheduler = self.make(2, [5.0, 5.0])
        _, rejections = self.run_load(scheduler, n_per_s=30, length_s=4.0)
        returns = sorted(at + r.retry_after_s for at, r in rejections)
        in_one_second = [
            sum(start <= at < start + 1.0 for at in returns) for start in returns
        ]
        assert max(in_one_second) <= 11

    def test_limited_engine_reads_a_part_of_a_long_prompt(self):
        # Guards against long prompts that are late because engines which take few
        # requests read no part of the prompts of others.
        scheduler = self.make(4, [0.5, 0.5, 0.5])
        for engine_id in ("e00@1", "e01@1", "e02@1"):
            scheduler.rate_limiter.take(engine_id, 100.0)
        job = make_job("long", 80_000, now=100.0, due_s=0.6, max_gap_s=0.6)
        (grant,) = scheduler.submit(job, 100.0)
        assert grant.endpoint_ids[0] == "e03"
        assert len(grant.endpoint_ids) > 1


class TestSuspectedEngine:
    def test_silent_engine_is_ejected_while_its_job_goes_on(self):
        scheduler = make_scheduler(1)
        (grant,) = scheduler.submit(make_job("a", 1000), 0.0)
        scheduler.note_first_event("a", 0.1)
        assert scheduler.note_suspicion("a", grant.endpoint_ids[0], 2.0) > 0.0
        assert "a" in scheduler.placed_by_id
        assert not scheduler.submit(make_job("b", 1000, now=2.1), 2.1)

    def test_engine_is_used_again_once_the_silent_job_goes_on(self):
        # Guards against a sound engine without any jobs for as long as one runs there.
        scheduler = make_scheduler(1)
        scheduler.submit(make_job("a", 1000), 0.0)
        scheduler.note_first_event("a", 0.1)
        scheduler.note_suspicion("a", "e00", 2.0)
        scheduler.submit(make_job("b", 1000, now=2.1, due_s=2.0), 2.1)
        (decision,) = scheduler.note_first_event("a", 2.2)
        assert decision.job_id == "b"

    def test_engine_that_has_begun_another_job_since_is_not_ejected(self):
        # Guards against an ejection because one of several streams is silent.
        scheduler = make_scheduler(1)
        for job_id in ("a", "b"):
            scheduler.submit(make_job(job_id, 1000), 0.0)
        scheduler.note_first_event("a", 0.1)
        scheduler.note_first_event("b", 1.0)
        assert scheduler.note_suspicion("a", "e00", 1.6) == 0.0
        assert len(scheduler.submit(make_job("c", 1000, now=1.7), 1.7)) == 1
        assert scheduler.note_suspicion("a", "e00", 2.5, was_heard=True) == 0.0
        assert scheduler.note_suspicion("a", "e00", 2.5) > 0.0

    def test_engine_that_is_silent_for_some_is_used_if_there_is_no_other(self):
        # Guards against new streams on an engine that lets each of them wait.
        scheduler = make_scheduler(2)
        (grant,) = scheduler.submit(make_job("a", 1000), 0.0)
        (name,) = grant.endpoint_ids
        scheduler.note_first_event("a", 0.1)
        scheduler.note_suspicion("a", name, 2.0, was_heard=True)
        (grant,) = scheduler.submit(make_job("b", 1000, now=2.1), 2.1)
        assert grant.endpoint_ids != (name,)
        other = scheduler.engines_by_id[grant.endpoint_ids[0]]
        other.is_usable = False
        (grant,) = scheduler.submit(make_job("c", 1000, now=2.2), 2.2)
        assert grant.endpoint_ids == (name,)

    def test_helper_that_is_not_reached_is_ejected_in_any_case(self):
        scheduler = make_scheduler(4)
        (grant,) = scheduler.submit(make_job("a", 200_000, due_s=0.6), 0.0)
        helper = grant.endpoint_ids[1]
        scheduler.engines_by_id[helper].heard_at = 0.05
        assert scheduler.note_suspicion("a", helper, 0.1) > 0.0
