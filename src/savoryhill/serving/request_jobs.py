"""Jobs of one request: submitted to the scheduler, awaited, taken back and ended."""

import math

import gevent

from savoryhill.core.scheduling.messages import (
    ENDPOINT_FAILED,
    ENDPOINT_FULL,
    JobPlaced,
    JobSubmit,
)
from savoryhill.serving.served_request import RECHECK_S


class RequestJobs:
    """Submits the sends of one request as jobs, wherever the scheduler is.

    Parameters
    ----------
    request : ServedRequest
        The request.
    check : CrashCheck
        Names the parts that the request tries and the engines that it must not use.
    """

    def __init__(self, *, request, check):
        self._request = request
        self._context = request.context
        self._check = check

    def submit(self, *, besides=None, rest_s=0.0):
        """Submit a send and return its job.

        A repeat of a silent run uses other engines than ``besides`` and must have begun
        to answer ``rest_s`` seconds before the deadline.
        """
        request = self._request
        request.n_sends += 1
        request.n_submissions += 1
        needs_budget, request.needs_budget = request.needs_budget, False
        route, workspace = request.route, request.workspace
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        now = self._context.clock.monotonic()
        ends_s = request.deadline_at - now - rest_s
        excluded_for_s = self._find_exclusions()
        if besides is not None:
            excluded_for_s[besides] = math.inf
        return self._context.dispatcher.jobs.submit(
            JobSubmit(
                job_id=f"{request.id}.{request.n_submissions}",
                service=request.service.name,
                zone=self._context.settings.zone,
                workspace=workspace.name if workspace else "",
                prompt_tokens=request.metadata.prompt_tokens,
                answer_tokens=request.metadata.answer_tokens,
                due_s=min(request.arrived_at + route.target_latency_s - now, ends_s),
                ends_s=ends_s,
                pause_s=route.max_gap_s,
                priority=priority,
                avoid=tuple(request.avoided_endpoint_ids),
                endpoints=(),
                has_started=False,
                is_repeat=request.n_sends > 1,
                needs_budget=needs_budget,
                probed_parts=self._check.probed_parts,
                excluded=tuple(excluded_for_s),
                excluded_for_s=tuple(excluded_for_s.values()),
            )
        )

    def await_decision(self, job, *, max_wait_s=math.inf):
        """Return the decision on a job, or None if the time is up first.

        That is when the response is due, or after ``max_wait_s``.
        """
        clock = self._context.clock
        ends_at = clock.monotonic() + max_wait_s
        while True:
            time_left_s = min(self._request.time_left_s(), ends_at - clock.monotonic())
            wait_s = max(0.0, time_left_s)
            try:
                return job.decision.get(timeout=min(wait_s, RECHECK_S))
            except gevent.Timeout:
                if wait_s <= 0.0:
                    return None

    def withdraw(self, job):
        """Take a job back that was not sent, to submit the request again."""
        self._context.dispatcher.jobs.withdraw(job)
        self._request.n_sends -= 1
        self._request.needs_budget = job.submission.needs_budget

    def is_excluded(self, decision):
        """Tell whether an engine was placed that has been excluded meanwhile."""
        if not isinstance(decision, JobPlaced):
            return False
        return not self._find_exclusions().keys().isdisjoint(decision.endpoints)

    def _find_exclusions(self):
        """Return for how long engines must not be used, in seconds, by their ids."""
        waits_s = self._context.endpoint_statements.waits_s_by_id(
            self._request.service.name
        )
        return waits_s | dict.fromkeys(self._check.excluded_ids(), math.inf)

    def note_exclusion(self, decision):
        """Log that a placed job is not sent, as one of its engines is excluded."""
        self._context.log(
            "request.placement_withdrawn",
            request=self._request.id,
            endpoints=",".join(decision.endpoints),
            cause="an engine wants a pause or ends under the request",
        )

    def report_failure(self, job, failure, endpoint_id):
        """Report a failed job to the scheduler, and whether the engine is at fault.

        A run that this node has ended was reported when it fell silent.
        """
        jobs = self._context.dispatcher.jobs
        if failure.is_silent or not failure.blames_endpoint:
            jobs.cancel(job)
        else:
            what = ENDPOINT_FULL if failure.is_full else ENDPOINT_FAILED
            jobs.finish(job, what, endpoint_id)
