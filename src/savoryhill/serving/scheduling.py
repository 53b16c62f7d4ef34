"""Runs the schedulers of a node, for its own jobs and for those of other nodes."""

from dataclasses import dataclass

from savoryhill.core.scheduling.accounts import Job
from savoryhill.core.scheduling.decisions import Grant
from savoryhill.core.scheduling.messages import (
    CANCELLED,
    ENDPOINT_FAILED,
    ENDPOINT_FULL,
    FINISHED,
    FIRST_EVENT,
    JobPlaced,
    JobRejected,
)
from savoryhill.core.scheduling.scheduler import ServiceScheduler

REFUSAL_RETRY_AFTER_S = 1.0


@dataclass(kw_only=True)
class _Owner:
    service: str
    deliver: object


class Scheduling:
    """Schedulers by service, fed with jobs and with the endpoints of the knowledge.

    ``record(event, fields)`` is called for each decision. ``is_alone()`` tells
    whether this node schedules only for itself.
    """

    def __init__(self, *, clock, knowledge, record, is_alone, repeats):
        self._clock = clock
        self._knowledge = knowledge
        self._record = record
        self._is_alone = is_alone
        self._repeats = repeats
        self._owners_by_job = {}
        self._cold_per_s_by_service = {}
        self.schedulers_by_service = {}
        knowledge.on_change.append(self.refresh)

    def refresh(self):
        """Take the services and endpoints that are in force."""
        configuration = self._knowledge.configuration
        if configuration is None:
            return
        for service in configuration.services_by_name.values():
            if service.engine is None:
                continue
            scheduler = self.schedulers_by_service.get(service.name)
            if scheduler is None:
                scheduler = ServiceScheduler(service=service.name)
                self.schedulers_by_service[service.name] = scheduler
            self._cold_per_s_by_service[service.name] = service.cold_per_s
            scheduler.set_engines(
                self._knowledge.usable_endpoints(service.name), service.engine
            )
        self.place_waiting()

    def submit(self, message, deliver):
        """Take a job; ``deliver`` is called with its decision, maybe at once."""
        now = self._clock.monotonic()
        scheduler = self.schedulers_by_service.get(message.service)
        refusal = self._refusal(message, now)
        if refusal is not None:
            deliver(
                JobRejected(
                    job_id=message.job_id,
                    reason=refusal,
                    retry_after_s=REFUSAL_RETRY_AFTER_S,
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
            zone=message.zone,
        )
        self._share_limits()
        self._owners_by_job[job.id] = _Owner(service=message.service, deliver=deliver)
        if message.endpoints:
            scheduler.adopt(
                job, message.endpoints, has_started=message.has_started, now=now
            )
            return
        self._deliver(scheduler, scheduler.submit(job, now))

    def _refusal(self, message, now):
        """Return why a job is not queued, or None."""
        if message.service not in self.schedulers_by_service:
            return "no engines of the service are known"
        if not message.is_repeat:
            self._repeats.note_job(message.service, now)
        if not message.needs_budget:
            return None
        # All nodes that schedule only for themselves would exceed the budget together.
        if self._is_alone() or not self._repeats.try_scheduled(message.service, now):
            return "the budget of repeats is used up"
        return None

    def report(self, message):
        """Take what became of a job."""
        owner = self._owners_by_job.get(message.job_id)
        if owner is None:
            return
        scheduler = self.schedulers_by_service[owner.service]
        now = self._clock.monotonic()
        if message.what == FIRST_EVENT:
            self._deliver(scheduler, scheduler.note_first_event(message.job_id, now))
            return
        if message.what in (ENDPOINT_FAILED, ENDPOINT_FULL):
            scheduler.note_failure(
                message.endpoint, now, is_full=message.what == ENDPOINT_FULL
            )
        if message.what in (FINISHED, CANCELLED, ENDPOINT_FAILED, ENDPOINT_FULL):
            del self._owners_by_job[message.job_id]
            self._deliver(scheduler, scheduler.cancel(message.job_id, now))

    def forget_all(self, job_ids):
        """Forget the jobs of a node whose link broke."""
        for job_id in list(job_ids):
            owner = self._owners_by_job.pop(job_id, None)
            if owner is not None:
                scheduler = self.schedulers_by_service[owner.service]
                now = self._clock.monotonic()
                self._deliver(scheduler, scheduler.cancel(job_id, now))

    def _share_limits(self):
        """Set the limits of cold engines to this node's share at this moment.

        The share changes without a change of the knowledge, when the node begins or
        ceases to schedule for others.
        """
        share = 1.0
        if self._is_alone():
            share /= max(1, len(self._knowledge.nodes_by_name))
        for scheduler in self.schedulers_by_service.values():
            cold_per_s = self._cold_per_s_by_service[scheduler.service]
            scheduler.max_grants_per_s = cold_per_s * share

    def place_waiting(self):
        """Place what now fits; called regularly while jobs wait."""
        self._share_limits()
        now = self._clock.monotonic()
        for scheduler in self.schedulers_by_service.values():
            if scheduler.waiting_by_id:
                self._deliver(scheduler, scheduler.place_waiting(now))

    def _deliver(self, scheduler, decisions):
        for decision in decisions:
            owner = self._owners_by_job.get(decision.job_id)
            if isinstance(decision, Grant):
                answer = JobPlaced(
                    job_id=decision.job_id,
                    endpoints=decision.endpoint_ids,
                    reserved_tokens=decision.reserved_tokens,
                    predicted_first_s=decision.predicted_first_s,
                )
            else:
                self._owners_by_job.pop(decision.job_id, None)
                answer = JobRejected(
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
                    "revision": self._knowledge.revision,
                },
            )
            if owner is not None:
                owner.deliver(answer)
