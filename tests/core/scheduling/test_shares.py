"""Shares of workspaces in the engines' time; replays use fixed seeds."""

from dataclasses import dataclass, replace

import pytest

from savoryhill.bench.placement.engines import PROFILE
from savoryhill.bench.placement.replay import Kind, Phase, Replay, draw_arrivals
from savoryhill.core.scheduling.engine_state import Job
from savoryhill.core.scheduling.scheduler import ServiceScheduler
from savoryhill.core.scheduling.shares import (
    MAX_CREDIT_S,
    ROUND_S,
    WorkspaceShares,
    job_engine_s,
)

KINDS = (
    Kind(
        name="short",
        mean_tokens=5_000.0,
        spread=0.9,
        max_tokens=23_800,
        due_s=0.271,
        ends_s=10.8,
        max_gap_s=0.2,
    ),
    Kind(
        name="middle",
        mean_tokens=45_000.0,
        spread=0.5,
        max_tokens=110_000,
        due_s=1.532,
        ends_s=10.2,
        max_gap_s=0.5,
    ),
    Kind(
        name="long",
        mean_tokens=190_000.0,
        spread=0.3,
        max_tokens=300_000,
        due_s=8.055,
        ends_s=15.1,
        max_gap_s=0.8,
    ),
)
# Arrivals a second of each kind, of all 24 workspaces together.
USUAL_RATES = (60.0, 1.5, 0.3)
HEAVY = "ws-0"


def make_job(job_id, workspace, *, n_tokens=5_000, due_at=0.3, ends_at=10.0, **fields):
    return Job(
        id=job_id,
        service="pool",
        workspace=workspace,
        prompt_tokens=n_tokens,
        answer_tokens=300,
        first_event_due_at=due_at,
        deadline_at=ends_at,
        max_gap_s=0.25,
        **{"priority": 1, **fields},
    )


def ids(jobs):
    return [job.id for job in jobs]


@pytest.fixture
def shares():
    return WorkspaceShares(engine_s=lambda job: ROUND_S)


class TestOrder:
    def test_least_served_workspace_is_first(self, shares):
        shares.charge("light", 0.1)
        shares.charge("heavy", 2 * ROUND_S)
        jobs = [make_job("h", "heavy", due_at=0.1), make_job("l", "light", due_at=0.2)]
        assert ids(shares.order(jobs, 0.0)) == ["l", "h"]

    def test_waiting_jobs_of_a_workspace_count(self, shares):
        # Otherwise all jobs of one workspace would come before any of the other.
        jobs = [make_job(f"a{n}", "a", due_at=0.1 + n / 100) for n in range(3)]
        jobs += [make_job(f"b{n}", "b", due_at=0.2 + n / 100) for n in range(3)]
        expected = ["a0", "b0", "a1", "b1", "a2", "b2"]
        assert ids(shares.order(jobs, 0.0)) == expected

    def test_priority_is_first(self, shares):
        shares.charge("light", 0.1)
        shares.charge("heavy", 3 * ROUND_S)
        jobs = [
            make_job("less urgent", "light", priority=2),
            make_job("urgent", "heavy", priority=0),
        ]
        assert ids(shares.order(jobs, 0.0)) == ["urgent", "less urgent"]

    @pytest.mark.parametrize("workspaces", ["aaaa", "abcd"])
    def test_without_contention_jobs_are_ordered_by_due_time(self, shares, workspaces):
        due_ats = (0.5, 0.9, 2.0, 1.5)
        jobs = [
            make_job(f"{due_at}", workspace, due_at=due_at)
            for due_at, workspace in zip(due_ats, workspaces, strict=True)
        ]
        assert ids(shares.order(jobs, 1.0)) == ["1.5", "2.0", "0.5", "0.9"]


class TestCounters:
    def test_difference_between_waiting_workspaces_is_bounded(self, shares):
        # The jobs of one are ten times as large; the other must get as much time.
        sizes_s = {"large": 2.0, "small": 0.2}
        served_s = dict.fromkeys(sizes_s, 0.0)
        for _ in range(500):
            jobs = [make_job(name, name) for name in sizes_s]
            (first, _) = shares.order(jobs, 0.0)
            shares.charge(first.workspace, sizes_s[first.workspace])
            served_s[first.workspace] += sizes_s[first.workspace]
            difference_s = abs(served_s["large"] - served_s["small"])
            assert difference_s <= ROUND_S + max(sizes_s.values())

    def test_idle_workspace_gets_no_credit(self, shares):
        # Otherwise it would be served alone until its counter has caught up.
        shares.charge("idle", 0.1)
        shares.note_ended("idle")
        for _ in range(100):
            shares.charge("busy", 1.0)
        shares.charge("idle", 1.0)
        lead_s = shares.lead_s("idle") - shares.lead_s("busy")
        assert lead_s == pytest.approx(1.0)

    def test_credit_of_a_running_workspace_is_bounded(self, shares):
        # A workspace that took what others left unused for an hour must not wait for
        # an hour once they want it.
        shares.charge("light", 0.1)
        for _ in range(100):
            shares.charge("heavy", 1.0)
        assert shares.lead_s("heavy") == pytest.approx(MAX_CREDIT_S)
        assert shares.lead_s("light") == 0.0

    def test_counters_at_the_floor_are_forgotten(self, shares):
        for number in range(590):
            shares.charge(f"ws-{number}", 0.1)
            shares.note_ended(f"ws-{number}")
        shares.charge("busy", 1.0)
        assert set(shares.counters_by_workspace) == {"busy"}


class TestCharges:
    @dataclass(frozen=True, kw_only=True)
    class RegisteredEndpoint:
        id: str
        address: str = "10.0.0.1:80"
        zone: str = "zone-a"
        slots: int = 6
        incarnation: str = "e@1"

    @pytest.fixture
    def scheduler(self):
        scheduler = ServiceScheduler(service="pool")
        scheduler.set_engines([self.RegisteredEndpoint(id="e")], PROFILE)
        return scheduler

    def test_retry_is_charged(self, scheduler):
        # Otherwise a workspace whose jobs fail after their first event runs for free.
        job = make_job("j.1", "ws", due_at=1.0)
        scheduler.submit(job, 0.0)
        once = scheduler.shares.counters_by_workspace["ws"]
        assert once == pytest.approx(job_engine_s(PROFILE, job))
        scheduler.note_first_event("j.1", 0.1)
        scheduler.finish("j.1", 0.1)
        scheduler.submit(replace(job, id="j.2"), 0.1)
        assert scheduler.shares.counters_by_workspace["ws"] == pytest.approx(2 * once)

    def test_job_without_a_first_event_is_refunded_what_it_has_not_used(
        self, scheduler
    ):
        scheduler.submit(make_job("j", "ws", due_at=1.0), 0.0)
        charged_s = scheduler.shares.counters_by_workspace["ws"]
        scheduler.cancel("j", 0.02)
        assert scheduler.shares.counters_by_workspace["ws"] == pytest.approx(0.02)
        assert charged_s > 0.02

    def test_new_leader_charges_what_it_adopts(self, scheduler):
        job = make_job("j", "ws")
        for _ in range(2):
            scheduler.adopt(job, ("e",), has_started=True, now=5.0)
        assert scheduler.shares.counters_by_workspace == {
            "ws": pytest.approx(job_engine_s(PROFILE, job))
        }

    def test_jobs_wait_while_no_engine_is_known(self, scheduler):
        # Guards against costs and sizes that are asked of an engine that is not there.
        scheduler.set_engines([], PROFILE)
        jobs = [make_job(f"j{n}", f"ws-{n % 2}") for n in range(4)]
        assert [scheduler.submit(job, 0.0) for job in jobs] == [[]] * 4

    def test_job_that_does_not_fit_hides_no_job_of_another_workspace(self, scheduler):
        # The one of "large" is nearly late and finds no room in the time left to it;
        # that says nothing about a job of the same size that is due later.
        scheduler.submit(make_job("first", "large", n_tokens=15_000, due_at=0.4), 0.0)
        hurried = make_job("hurried", "large", n_tokens=1_000, due_at=0.12)
        assert scheduler.submit(hurried, 0.0) == []
        (grant,) = scheduler.submit(
            make_job("small", "small", n_tokens=1_000, due_at=0.5), 0.0
        )
        assert grant.job_id == "small"


def replay_flood(*, heavy_rates, length_s=4.0, seed=0):
    """Replay 23 workspaces that send their usual rates, and one that sends others."""
    prompts = []
    for number in range(24):
        usual_rates = tuple(rate / 24 for rate in USUAL_RATES)
        rates = usual_rates if number else heavy_rates
        prompts += draw_arrivals(
            [Phase(length_s=length_s, rates=rates)],
            seed=100 * seed + number,
            kinds=KINDS,
            workspace=f"ws-{number}",
        )
    prompts.sort(key=lambda prompt: prompt.arrived_at)
    profile = replace(PROFILE, slots=6)
    Replay(n_engines=10, profile=profile, answer_s=0.3).run(prompts)
    return prompts


def served_share(prompts):
    return sum(prompt.delay_s is not None for prompt in prompts) / len(prompts)


class TestOneWorkspaceFloods:
    @pytest.mark.parametrize("factor", [24, 60, 120])
    def test_others_are_on_time(self, factor):
        # Guards against one order by due time for all, in which the other workspaces
        # are late with the jobs of the heavy one, and against jobs of the heavy one
        # that are overtaken until their clients leave.
        prompts = replay_flood(heavy_rates=[rate * factor / 24 for rate in USUAL_RATES])
        others = [prompt for prompt in prompts if prompt.workspace != HEAVY]
        heavy = [prompt for prompt in prompts if prompt.workspace == HEAVY]
        n_on_time = sum(prompt.is_in_time for prompt in others)
        assert n_on_time >= 0.98 * len(others), f"{n_on_time} of {len(others)}"
        assert served_share(heavy) >= 0.9
        for prompt in prompts:
            assert prompt.decided_at is not None, prompt
            assert prompt.decided_at <= prompt.arrived_at + prompt.kind.ends_s, prompt

    def test_longest_prompts_of_the_heavy_workspace_are_served(self):
        # Guards against large prompts that wait behind all short ones.
        prompts = [
            prompt
            for seed in range(4)
            for prompt in replay_flood(
                heavy_rates=(40.0, 2.0, 2.0), length_s=6.0, seed=seed
            )
        ]
        for kind in KINDS:
            some = [p for p in prompts if p.workspace == HEAVY and p.kind is kind]
            some.sort(key=lambda prompt: prompt.n_tokens)
            share, n = served_share(some), len(some) // 10
            for part in (some[-n:], some[-3 * n : -n]):
                assert served_share(part) >= 0.5 * share, (kind.name, share)
