"""The schedulers that run on a node, for its own jobs and those of its followers."""

import math
from dataclasses import dataclass

from savoryhill.core.scheduling.decisions import Grant
from savoryhill.core.scheduling.engine_state import Job
from savoryhill.core.scheduling.messages import (
    ENDPOINT_FAILED,
    ENDPOINT_FULL,
    ENDPOINT_SLOW,
    ENDPOINT_SUSPECTED,
    ENDS,
    FIRST_EVENT,
    WITHDRAWN,
    JobPlaced,
    JobRejected,
)
from savoryhill.core.scheduling.scheduler import ServiceScheduler
from savoryhill.core.scheduling.shares import ROUND_S

REJECTED_RETRY_AFTER_S = 1.0
REPORTS_ON_ENGINES = frozenset(
    (ENDPOINT_FAILED, ENDPOINT_FULL, ENDPOINT_SUSPECTED, ENDPOINT_SLOW)
)


@dataclass(kw_only=True)
class _Submission:
    service: str
    workspace: str
    deliver: object
    needs_budget: bool = False


class Scheduling:
    """One scheduler per service on the node ``node``, updated from the cluster view.

    ``record(event, fields)`` logs each decision. ``is_standalone()`` returns whether
    this node schedules only its own jobs. ``crash_guard`` decides on jobs that try
    parts of prompts which may end engines; ``rate_limiter`` counts the requests to
    endpoints that have named a limit.
    """

    def __init__(
        self,
        *,
        node,
        clock,
        cluster_view,
        record,
        is_standalone,
        repeat_budgets,
        crash_guard,
        rate_limiter,
    ):
        self._node = node
        self._clock = clock
        self._cluster_view = cluster_view
        self._record = record
        self._is_standalone = is_standalone
        self._repeat_budgets = repeat_budgets
        self._crash_guard = crash_guard
        self._rate_limiter = rate_limiter
        self._submissions_by_job = {}
        self._max_grants_per_s_by_service = {}
        self.schedulers_by_service = {}
        cluster_view.on_change.append(self.refresh)

    def refresh(self):
        """Update the schedulers with the current services and endpoints."""
        configuration = self._cluster_view.configuration
        if configuration is None:
            return
        for service in configuration.services_by_name.values():
            if service.engine is None:
                continue
            scheduler = self.schedulers_by_service.get(service.name)
            if scheduler is None:
                scheduler = ServiceScheduler(
                    service=service.name,
                    node=self._node,
                    rate_limiter=self._rate_limiter,
                )
                self.schedulers_by_service[service.name] = scheduler
            self._max_grants_per_s_by_service[service.name] = service.cold_per_s
            scheduler.set_engines(
                self._cluster_view.usable_endpoints(service.name), service.engine
            )
        self.place_waiting()

    def submit(self, message, deliver):
        """Queue a job.

        ``deliver`` is called with the decision, possibly before this method returns.
        """
        now = self._clock.monotonic()
        scheduler = self.schedulers_by_service.get(message.service)
        if message.probed_parts and not message.endpoints:
            rejection = self._crash_guard.admit_probe(
                message.job_id,
                message.probed_parts,
                is_standalone=self._is_standalone(),
            )
            if rejection is not None:
                deliver(rejection)
                return
        rejection_reason = self._rejection_reason(message, now)
        if rejection_reason is not None:
            self._crash_guard.end_probe(message.job_id)
            deliver(
                JobRejected(
                    job_id=message.job_id,
                    reason=rejection_reason,
                    retry_after_s=REJECTED_RETRY_AFTER_S,
                )
            )
            return
        job = Job(
            id=message.job_id,
            service=message.service,
            workspace=message.workspace,
            prompt_tokens=message.prompt_tokens,
            answer_tokens=message.answer_tokens,
            first_event_due_at=now + message.due_s,
            deadline_at=now + message.ends_s,
            max_gap_s=message.pause_s,
            priority=message.priority,
            avoided_engine_ids=frozenset(message.avoid),
            excluded_until_by_id=_exclusions(message, now),
            zone=message.zone,
            queued_at=now,
        )
        self._update_cold_limits()
        self._submissions_by_job[job.id] = _Submission(
            service=message.service,
            workspace=message.workspace,
            deliver=deliver,
            needs_budget=message.needs_budget and not message.endpoints,
        )
        if message.endpoints:
            scheduler.adopt(
                job,
                message.endpoints,
                reserved_tokens=message.reserved_tokens,
                has_started=message.has_started,
                now=now,
            )
            return
        self._deliver_all(scheduler, scheduler.submit(job, now))

    def _rejection_reason(self, message, now):
        """Return the reason to reject a job before it is queued, or None."""
        if message.service not in self.schedulers_by_service:
            return "no engines of the service are known"
        if not message.is_repeat:
            self._repeat_budgets.note_job(message.service, now)
        if not message.needs_budget:
            return None
        # Nodes that each schedule only their own jobs would together exceed the budget.
        if self._is_standalone() or not self._repeat_budgets.try_scheduled_repeat(
            message.service, now
        ):
            return "the budget of repeats is used up"
        return None

    def report(self, message):
        """Handle a report on the progress or the end of a job."""
        submission = self._submissions_by_job.get(message.job_id)
        if submission is None:
            return
        scheduler = self.schedulers_by_service[submission.service]
        now = self._clock.monotonic()
        if message.what == FIRST_EVENT:
            self._crash_guard.note_probe_started(message.job_id)
            self._deliver_all(
                scheduler, scheduler.note_first_event(message.job_id, now)
            )
            return
        if message.what not in (ENDPOINT_SUSPECTED, ENDPOINT_SLOW):
            self._crash_guard.end_probe(message.job_id)
        if message.what in REPORTS_ON_ENGINES:
            self._eject(scheduler, message, now)
        if message.what == WITHDRAWN and submission.needs_budget:
            self._repeat_budgets.give_back_scheduled(submission.service)
        if message.what in ENDS:
            del self._submissions_by_job[message.job_id]
            self._deliver_all(scheduler, scheduler.cancel(message.job_id, now))

    def _eject(self, scheduler, report, now):
        """Keep jobs from the engine that a report blames, and log who blames it."""
        if report.what in (ENDPOINT_SUSPECTED, ENDPOINT_SLOW):
            ejected_s = scheduler.note_suspicion(
                report.job_id,
                report.endpoint,
                now,
                was_heard=report.what == ENDPOINT_SLOW,
            )
        else:
            ejected_s = scheduler.note_failure(
                report.endpoint, now, is_full=report.what == ENDPOINT_FULL
            )
        self._record(
            "engine.ejected" if ejected_s else "engine.avoided",
            {
                "endpoint": report.endpoint,
                "request": report.job_id,
                "what": report.what,
                "for_s": round(ejected_s, 3),
                "ejected": scheduler.n_ejected(now),
                "engines": len(scheduler.engines_by_id),
                "free_slots": scheduler.n_free_slots(),
                "waiting": len(scheduler.waiting_by_id),
            },
        )

    def cancel_jobs(self, job_ids, *, deliver=None):
        """Cancel jobs, such as those of a node whose link was lost.

        Parameters
        ----------
        job_ids : iterable of str
            Ids of the jobs.
        deliver : callable or None
            Cancels only the jobs that were submitted with this callback. A job that
            its node has submitted again on a new link stays if the old one ends late.
        """
        for job_id in list(job_ids):
            submission = self._submissions_by_job.get(job_id)
            if submission is not None and deliver not in (None, submission.deliver):
                continue
            self._crash_guard.end_probe(job_id)
            submission = self._submissions_by_job.pop(job_id, None)
            if submission is not None:
                scheduler = self.schedulers_by_service[submission.service]
                now = self._clock.monotonic()
                self._deliver_all(scheduler, scheduler.cancel(job_id, now))

    def _update_cold_limits(self):
        """Set the grant limits of cold engines to this node's current share.

        The share also changes while the cluster view does not, when the node starts or
        stops scheduling for others.
        """
        share = 1.0
        if self._is_standalone():
            share /= max(1, len(self._cluster_view.nodes_by_name))
        for scheduler in self.schedulers_by_service.values():
            limit_per_s = self._max_grants_per_s_by_service[scheduler.service]
            scheduler.max_grants_per_s = limit_per_s * share

    def place_waiting(self):
        """Place the waiting jobs that fit now.

        Called periodically, because rate limits and ejections of engines end without an
        event.
        """
        self._update_cold_limits()
        now = self._clock.monotonic()
        for scheduler in self.schedulers_by_service.values():
            if scheduler.waiting_by_id:
                self._deliver_all(scheduler, scheduler.place_waiting(now))

    def _deliver_all(self, scheduler, decisions):
        for engine_id, factor in scheduler.pace_notes.take_changes():
            self._record(
                "engine.pace",
                {
                    "endpoint": engine_id,
                    "pace": round(factor, 1),
                    "slow": len(scheduler.pace_notes.slow_ids),
                    "engines": len(scheduler.engines_by_id),
                },
            )
        for decision in decisions:
            submission = self._submissions_by_job.get(decision.job_id)
            if isinstance(decision, Grant):
                reply = JobPlaced(
                    job_id=decision.job_id,
                    endpoints=decision.endpoint_ids,
                    reserved_tokens=decision.reserved_tokens,
                    predicted_first_s=decision.predicted_first_s,
                )
            else:
                self._crash_guard.end_probe(decision.job_id)
                self._submissions_by_job.pop(decision.job_id, None)
                if submission is not None and submission.needs_budget:
                    self._repeat_budgets.give_back_scheduled(submission.service)
                reply = JobRejected(
                    job_id=decision.job_id,
                    reason=decision.reason,
                    retry_after_s=decision.retry_after_s,
                )
            self._record(
                "job.decided",
                {
                    "request": decision.job_id,
                    "decision": type(decision).__name__.lower(),
                    "endpoints": ",".join(getattr(decision, "endpoint_ids", ())),
                    "reason": getattr(decision, "reason", ""),
                    "waiting": len(scheduler.waiting_by_id),
                    "revision": self._cluster_view.revision,
                    **_share_fields(scheduler, submission),
                },
            )
            if submission is not None:
                submission.deliver(reply)


def _share_fields(scheduler, submission):
    """Return log fields for a job whose workspace is served after others, else none."""
    if submission is None:
        return {}
    lead_s = scheduler.shares.lead_s(submission.workspace)
    if lead_s < ROUND_S:
        return {}
    return {"workspace": submission.workspace, "lead_s": round(lead_s, 3)}


def _exclusions(message, now):
    """Return until when each engine that a submission excludes must not be used."""
    durations_s = message.excluded_for_s or [math.inf] * len(message.excluded)
    return {
        engine_id: now + duration_s
        for engine_id, duration_s in zip(message.excluded, durations_s, strict=False)
    }
