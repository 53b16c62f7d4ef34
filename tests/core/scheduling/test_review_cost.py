"""What the leader does at each event while many jobs wait."""

from collections import Counter
from dataclasses import dataclass

import pytest

from savoryhill.bench.placement.engines import PROFILE
from savoryhill.core.scheduling.engine_state import Job
from savoryhill.core.scheduling.scheduler import MAX_IMMEDIATE_JOBS, ServiceScheduler

N_ENGINES = 4
N_JOBS = 200


@dataclass(frozen=True, kw_only=True)
class Endpoint:
    id: str
    address: str = "10.0.0.1:80"
    zone: str = "zone-a"
    slots: int = 2
    incarnation: str = ""


def make_job(number):
    return Job(
        id=f"j{number}",
        service="pool",
        workspace="ws",
        prompt_tokens=5_000 + number,
        answer_tokens=1_000,
        first_event_due_at=2.0,
        deadline_at=10.0,
        max_gap_s=0.25,
        priority=1,
    )


class CountingScheduler(ServiceScheduler):
    """Counts how often each job is decided on."""

    n_decided_by_id = None

    def _decide(self, job, now):
        self.n_decided_by_id[job.id] += 1
        return super()._decide(job, now)


@pytest.fixture
def scheduler():
    scheduler = CountingScheduler(service="pool")
    scheduler.n_decided_by_id = Counter()
    endpoints = [Endpoint(id=f"e{number}") for number in range(N_ENGINES)]
    scheduler.set_engines(endpoints, PROFILE)
    return scheduler


class TestLongQueue:
    def test_events_of_a_burst_do_not_each_review_it(self, scheduler):
        # Guards against a leader that is so busy with its queue that its followers
        # take it for lost, and two leaders then fill the same engines.
        for number in range(N_JOBS):
            scheduler.submit(make_job(number), 0.0)
        for job_id in list(scheduler.placed_by_id):
            scheduler.note_first_event(job_id, 0.1)
        assert max(scheduler.n_decided_by_id.values()) <= N_JOBS / 4

    def test_review_places_what_fits(self, scheduler):
        for number in range(N_JOBS):
            scheduler.submit(make_job(number), 0.0)
        placed = list(scheduler.placed_by_id)
        decisions = [each for job in placed for each in scheduler.finish(job, 0.2)]
        decisions += scheduler.place_waiting(0.2)
        assert len(decisions) == len(placed)

    def test_few_jobs_are_placed_at_once(self, scheduler):
        # Guards against jobs that wait for a review although nothing keeps them.
        n_slots = 2 * N_ENGINES
        for number in range(n_slots + MAX_IMMEDIATE_JOBS):
            scheduler.submit(make_job(number), 0.0)
        first = next(iter(scheduler.placed_by_id))
        scheduler.note_first_event(first, 0.1)
        assert len(scheduler.finish(first, 0.1)) == 1


class TestJobSubmittedAgain:
    @pytest.mark.parametrize("is_waiting", [True, False], ids=["waiting", "running"])
    def test_first_placement_is_given_up(self, scheduler, is_waiting):
        # Guards against slots that are held for ever by a job whose node has lost the
        # word of its placement, and submits it again.
        job = make_job(1)
        (grant,) = scheduler.submit(job, 0.0)
        other_id = next(
            e for e in scheduler.engines_by_id if e != grant.endpoint_ids[0]
        )
        if is_waiting:
            scheduler.submit(job, 1.0)
        else:
            scheduler.adopt(job, (other_id,), has_started=True, now=1.0)
        scheduler.finish(job.id, 2.0)
        assert not any(e.jobs_by_id for e in scheduler.engines_by_id.values())
        assert not scheduler.shares.counters_by_workspace.keys() - {job.workspace}
