"""Jobs of this node, which a scheduler here or at the leader places."""

from dataclasses import replace

from gevent.event import AsyncResult

from savoryhill.core.scheduling.messages import (
    CANCELLED,
    ENDPOINT_SLOW,
    ENDPOINT_SUSPECTED,
    FIRST_EVENT,
    WITHDRAWN,
    JobPlaced,
    JobReport,
)


class SubmittedJob:
    """One job of this node, from its submission to its end."""

    def __init__(self, *, submission, submitted_at):
        self.submission = submission
        self.submitted_at = submitted_at
        self.decision = AsyncResult()
        self.placement = None
        self.has_started = False


class LocalJobs:
    """The jobs of this node, from their submission to their end.

    They are submitted to the leader over ``link``; without one, to the scheduler of
    this node.
    """

    def __init__(self, *, clock, scheduling):
        self._clock = clock
        self._scheduling = scheduling
        self._by_id = {}
        self.link = None

    def submit(self, message):
        """Submit a job and return its state."""
        job = SubmittedJob(submission=message, submitted_at=self._clock.monotonic())
        self._by_id[message.job_id] = job
        self._send_submission(job)
        return job

    def report_first_event(self, job):
        """Report that the first event of a job was received."""
        job.has_started = True
        self._report(job, FIRST_EVENT, "")

    def report_suspected(self, job, endpoint_id):
        """Report an engine that is silent or not reached, while the job goes on."""
        self._report(job, ENDPOINT_SUSPECTED, endpoint_id)

    def report_slow(self, job, endpoint_id):
        """Report an engine that is silent for a job, and goes on with others."""
        self._report(job, ENDPOINT_SLOW, endpoint_id)

    def report_heard_again(self, job):
        """Report that a job whose engine was suspected goes on."""
        self._report(job, FIRST_EVENT, "")

    def finish(self, job, what, endpoint=""):
        """Report the end of a job; ``what`` is a constant of the messages module."""
        if self._by_id.pop(job.submission.job_id, None) is not None:
            self._report(job, what, endpoint)

    def cancel(self, job):
        """Report that a job is no longer needed."""
        self.finish(job, CANCELLED)

    def withdraw(self, job):
        """Take a job back for which nothing was sent, so that it has spent nothing."""
        if job.submission.job_id in self._by_id:
            self._report(job, WITHDRAWN, "")
        self.cancel(job)

    def _report(self, job, what, endpoint):
        report = JobReport(job_id=job.submission.job_id, what=what, endpoint=endpoint)
        if self.link is not None:
            self.link.send(report)
        else:
            self._scheduling.report(report)

    def _send_submission(self, job):
        message = job.submission
        elapsed_s = self._clock.monotonic() - job.submitted_at
        if elapsed_s > 0.0 or job.placement is not None:
            message = replace(
                message,
                due_s=message.due_s - elapsed_s,
                ends_s=message.ends_s - elapsed_s,
                endpoints=job.placement.endpoints if job.placement else (),
                reserved_tokens=job.placement.reserved_tokens if job.placement else (),
                has_started=job.has_started,
            )
        if self.link is not None:
            self.link.send(message)
        else:
            self._scheduling.submit(message, self.handle_decision)

    def handle_decision(self, decision):
        """Take in the placement or the rejection of a job that still waits for it."""
        job = self._by_id.get(decision.job_id)
        if job is None or job.decision.ready():
            return
        if isinstance(decision, JobPlaced):
            job.placement = decision
        job.decision.set(decision)

    def use_leader(self, link):
        """Submit all jobs to a leader, which has none of them."""
        self._scheduling.cancel_jobs(self._by_id)
        self.link = link
        self._resubmit()

    def leave_leader(self):
        """Submit all jobs to the scheduler of this node."""
        self.link = None
        self._resubmit()

    def _resubmit(self):
        for job in list(self._by_id.values()):
            self._send_submission(job)
