"""Checks whether one request ends the endpoints that run it, over all of its sends."""

from contextlib import contextmanager

import gevent

from savoryhill.core.observations.crashes import Admission
from savoryhill.core.scheduling.messages import NO_RETRY_S, JobRejected
from savoryhill.serving.crash_guard import refusal_cause
from savoryhill.serving.served_request import SendFailure

# How often and how long a request waits for another one with a part in doubt. Its
# answer may be late, which is better than none.
PROBE_CHECK_S = 0.03
MAX_DOUBT_WAIT_S = 2.0


class CrashCheck:
    """Refuses a request that ends endpoints, and reports what its sends show.

    Once a send has borne the parts of the prompt, they are sound and not checked any
    more. The request itself is until it has been answered. ``probed_parts`` holds the
    digests that the next send tries, and ``stop_cause`` is why the request must not be
    sent, or None. Two runs may go on at a time, one of them as a repeat of the other.
    """

    def __init__(self, *, request):
        self._request = request
        self._guard = request.context.crash_guard
        self._workspace = request.workspace.name if request.workspace else ""
        self._are_parts_sound = False
        self._job = None
        self._runs = set()
        self._sound_releases = None
        self.probed_parts = ()
        self.stop_cause = None

    def _suspects(self):
        """Return the digests that may be at fault if an endpoint ends."""
        parts = () if self._are_parts_sound else self._request.part_digests
        return (*parts, self._request.digest)

    def refusal_cause(self):
        """Decide on the next send; return why the request is refused, or None."""
        self.probed_parts = ()
        self._sound_releases = None
        suspects = self._suspects()
        admission, crashing = self._guard.admit(suspects, self._workspace)
        if admission is Admission.REFUSE:
            return refusal_cause(crashing)
        if admission is Admission.ELSEWHERE:
            self._sound_releases = crashing.sound_releases
            if not self._is_borne():
                return refusal_cause(crashing)
        if admission is Admission.PROBE:
            known = self._guard.crashing_by_part
            self.probed_parts = tuple(part for part in suspects if part in known)
        self._heed_doubts(suspects)
        return None

    def _heed_doubts(self, suspects):
        """Send the request where what is in doubt is borne, or try it on its own."""
        for part, doubt in self._guard.doubts(suspects, self._workspace).items():
            releases, others = doubt.sound_releases, self._sound_releases
            self._sound_releases = releases if others is None else releases & others
            if not self._is_borne():
                self._sound_releases = others
                self.probed_parts += (part,)

    def _is_borne(self):
        return len(self._endpoints()) > len(self.excluded_ids())

    def _endpoints(self):
        view = self._request.context.cluster_view
        return view.usable_endpoints(self._request.service.name)

    def excluded_ids(self):
        """Return the ids of the endpoints that the next send might end.

        Load pattern: a release is under way, and only one of the two releases bears a
        part of prompts, or a request.
        """
        if self._sound_releases is None:
            return frozenset()
        return frozenset(
            endpoint.id
            for endpoint in self._endpoints()
            if endpoint.release not in self._sound_releases
        )

    def refuse(self, cause, response, history, *, retry_after_s=None):
        """End the request, which ends endpoints or has a part that does.

        There is no time after which the client's next try would succeed, unless
        ``retry_after_s`` says so.
        """
        request = self._request
        request.context.observe("refused_for_crashes", 1.0, request.route)
        failure = SendFailure(cause=cause, may_have_run=False)
        response.fail(failure, history, retry_after_s=retry_after_s)

    @contextmanager
    def watch(self, job=None):
        """Stop what is sent inside the context if it proves to end endpoints.

        ``job`` is the one that waits for its placement, if any.
        """
        self._job, self.stop_cause = job, None
        with self._guard.watch(
            parts=self._suspects(),
            workspace=self._workspace,
            is_probe=bool(self.probed_parts),
            stop=self._stop,
        ):
            yield

    def _stop(self, cause):
        if not any(run.is_answering for run in self._runs):
            self.stop_cause = cause
        if self._runs:
            self._stop_runs(cause)
        elif self._job is not None and not self._job.decision.ready():
            self._job.decision.set(
                JobRejected(
                    job_id=self._job.submission.job_id,
                    reason=cause,
                    retry_after_s=NO_RETRY_S,
                )
            )

    def _stop_runs(self, cause):
        """End the runs that no endpoint has begun to answer."""
        for run in self._runs:
            if not run.is_answering:
                run.stop_cause = cause
                run.connection.abort()

    @contextmanager
    def probe(self, job_id):
        """Try what may end endpoints inside the context, without a scheduler.

        Waits for a while as long as another request tries what is in doubt.

        Yields
        ------
        JobRejected or None
            None if the request may be sent.
        """
        try:
            yield self._await_probe(job_id)
        finally:
            self._guard.end_probe(job_id)

    def _await_probe(self, job_id):
        while True:
            if not self.probed_parts:
                return None
            dispatcher = self._request.context.dispatcher
            rejection = self._guard.admit_probe(
                job_id, self.probed_parts, is_standalone=not dispatcher.is_leader()
            )
            if rejection is None or not self.may_wait(rejection):
                return rejection
            gevent.sleep(PROBE_CHECK_S)
            cause = self.refusal_cause()
            if cause is not None:
                return JobRejected(
                    job_id=job_id, reason=cause, retry_after_s=NO_RETRY_S
                )

    def may_wait(self, rejection):
        """Tell whether the request waits for another one that tries what is in doubt.

        What is refused for its crashes has no time after which it would be served.
        """
        request = self._request
        waited_s = request.context.clock.monotonic() - request.arrived_at
        return (
            rejection.awaits_probe
            and rejection.retry_after_s >= 0.0
            and waited_s < MAX_DOUBT_WAIT_S
            and request.time_left_s() > request.route.target_latency_s
        )

    def note_sent(self, run):
        """Record a run whose request is about to be sent."""
        self._runs.add(run)

    def note_ended(self, run):
        """Record the end of a run, however it ended."""
        self._runs.discard(run)

    def note_start(self, run):
        """Record the first event of a run.

        It tells that the endpoint is there. One that ends as it begins to write an
        answer may have sent some events, so it tells nothing of parts that no endpoint
        has borne lately. Those that most prompts share must not be refused while
        endpoints end under other parts, and hardly any answer is completed.
        """
        run.is_answering = True
        self._guard.note_start(
            parts=self._borne_lately(run),
            endpoint=run.endpoint,
            sent_at=run.sent_at,
            is_borne=False,
        )

    def note_parts_borne(self, run):
        """Record that a run goes on, long after its first event."""
        self._are_parts_sound = True
        self._note_sound(run, self._request.part_digests)

    def note_answer(self, run):
        """Record that a run has been answered completely."""
        self._are_parts_sound = run.is_answering = True
        self._note_sound(run, (*self._request.part_digests, self._request.digest))
        self.note_ended(run)

    def _borne_lately(self, run):
        return self._guard.borne_lately(self._request.part_digests, run.endpoint)

    def _note_sound(self, run, digests):
        self._guard.note_start(
            parts=digests, endpoint=run.endpoint, sent_at=run.sent_at
        )

    def note_failure(self, run, failure):
        """Record a failed run, if its endpoint may have ended under it.

        An endpoint that leaves ends its connections in any case; one that answers with
        a failure of its own has not ended, but may not have run the request either.
        """
        self.note_ended(run)
        if failure.head is not None:
            self._note_sound(run, ())
        if not failure.connection_ended or self.stop_cause or run.stop_cause:
            return
        if not self._request.context.cluster_view.is_usable(run.endpoint):
            return
        borne = set(self._borne_lately(run) if run.is_answering else ())
        self._guard.note_crash(
            request=self._request.id,
            parts=tuple(part for part in self._suspects() if part not in borne),
            workspace=self._workspace,
            endpoint=run.endpoint,
            sent_at=run.sent_at,
        )
