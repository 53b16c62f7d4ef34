"""Streaming requests: one job per send, on the engines that the scheduler chooses."""

from contextlib import closing
from functools import partial

import gevent

from savoryhill.core.scheduling.messages import FINISHED, JobRejected
from savoryhill.errors import MalformedMessageError
from savoryhill.serving.crash_check import PROBE_CHECK_S, CrashCheck
from savoryhill.serving.engine_runs import EngineRuns
from savoryhill.serving.generation_repeats import GenerationRepeats
from savoryhill.serving.prepared_run import RunPreparation
from savoryhill.serving.repeat_question import RepeatQuestion
from savoryhill.serving.request_jobs import RequestJobs
from savoryhill.serving.response_writer import RETRY_AFTER_S
from savoryhill.serving.served_request import SendFailure, describe_break
from savoryhill.serving.stream_forwarder import StreamForwarder

# How long a request waits for another one to start that tries a part of its prompt.
MAX_PROBE_WAIT_S = 1.0

# Tells that a request is to be submitted again.
AGAIN = object()


class Generation:
    """Serves one streaming request, with as many runs on engines as it needs."""

    def __init__(self, *, request, response, history):
        self._request = request
        self._response = response
        self._history = history
        self._context = request.context
        self._check = CrashCheck(request=request)
        self._jobs = RequestJobs(request=request, check=self._check)
        self._preparation = RunPreparation(request=request, check=self._check)
        self._forwarder = StreamForwarder(
            request=request, response=response, history=history, check=self._check
        )
        self._runs = EngineRuns(
            request=request,
            history=history,
            check=self._check,
            forwarder=self._forwarder,
        )
        self._repeats = GenerationRepeats(
            request=request,
            history=history,
            check=self._check,
            jobs=self._jobs,
            preparation=self._preparation,
            runs=self._runs,
            forwarder=self._forwarder,
        )

    def run(self):
        """Serve the request; the response is complete when this returns."""
        request, jobs = self._request, self._context.dispatcher.jobs
        repeat = None
        while True:
            job = self._begin() if repeat is None else repeat.job
            if job is None:
                return
            try:
                with self._check.watch(job):
                    run = self._await_run(job) if repeat is None else repeat
                    if run is AGAIN:
                        continue
                    if run is None:
                        return
                    failure, repeat = (
                        (run, None)
                        if isinstance(run, SendFailure)
                        else self._serve(run)
                    )
            except BaseException:
                jobs.cancel(job)
                raise
            if failure is None:
                jobs.finish(job, FINISHED)
                return
            failed_endpoint = failure.endpoint or job.placement.endpoints[0]
            request.avoided_endpoint_ids.add(failed_endpoint)
            if repeat is not None:
                request.note_failed_send(failure, has_started=job.has_started)
                if failure.is_silent:
                    gevent.spawn(self._repeats.end_silent_job, run)
                else:
                    self._jobs.report_failure(job, failure, failed_endpoint)
                continue
            self._jobs.report_failure(job, failure, failed_endpoint)
            if not request.allow_repeat(
                self._history, failure, has_started=job.has_started
            ):
                self._response.fail(failure, self._history)
                return

    def _begin(self):
        """Submit the next send; return its job, or None if the request is refused."""
        cause = self._check.refusal_cause()
        if cause is not None:
            self._check.refuse(cause, self._response, self._history)
            return None
        wait_s = self._request.await_pauses()
        if wait_s > 0.0:
            self._refuse_until(wait_s)
            return None
        return self._jobs.submit()

    def _await_run(self, job):
        """Await the decision on a job.

        Returns
        -------
        PreparedRun, SendFailure, AGAIN or None
            None if the request has been refused.
        """
        decision = self._jobs.await_decision(job)
        if self._awaits_probe(decision):
            self._jobs.withdraw(job)
            gevent.sleep(PROBE_CHECK_S)
            return AGAIN
        if self._jobs.is_excluded(decision):
            self._jobs.withdraw(job)
            self._jobs.note_exclusion(decision)
            return AGAIN
        if decision is None or isinstance(decision, JobRejected):
            self._context.dispatcher.jobs.cancel(job)
            self._fail_unplaced(decision)
            return None
        return self._preparation.prepare(job, decision)

    def _refuse_until(self, wait_s):
        """Refuse the request, which cannot wait for the pauses of the engines."""
        failure = SendFailure(
            cause=f"all engines want a pause of {wait_s:.2f} s", may_have_run=False
        )
        self._response.fail(failure, self._history, retry_after_s=wait_s)

    def _awaits_probe(self, decision):
        """Tell whether another request is about to show that this one can be served."""
        request = self._request
        if not isinstance(decision, JobRejected) or not decision.awaits_probe:
            return False
        waited_s = self._context.clock.monotonic() - request.arrived_at
        return self._check.may_wait(decision) or (
            decision.retry_after_s < 0.0
            and waited_s < min(MAX_PROBE_WAIT_S, request.route.target_latency_s)
        )

    def _fail_unplaced(self, rejection):
        if rejection is None:
            cause, retry_after_s = "no endpoint was free in time", RETRY_AFTER_S
        else:
            cause = rejection.reason
            retry_after_s = rejection.client_retry_after_s
        failure = SendFailure(cause=cause, may_have_run=False)
        self._response.fail(failure, self._history, retry_after_s=retry_after_s)

    def _serve(self, prepared):
        """Send the request and forward the answer.

        Returns
        -------
        tuple of (SendFailure or None, PreparedRun or None)
            The failure, and the repeat that takes over if the run was ended for one.
        """
        failure = None
        if prepared.run is None:
            failure = self._preparation.find_withheld(prepared.endpoints)
        if failure is not None:
            # An endpoint may have begun to leave since this run was prepared.
            prepared.closing.close()
            return failure, None
        jobs = self._context.dispatcher.jobs
        question = RepeatQuestion(
            request=self._request,
            endpoint=prepared.endpoint,
            ask=partial(self._repeats.find, prepared),
            send=self._repeats.send,
            settle=self._repeats.settle,
            on_silence=partial(self._repeats.suspect, prepared),
            on_heard=partial(jobs.report_heard_again, prepared.job),
        )
        with prepared.closing, closing(question):
            failure = self._forward(prepared, question)
            return failure, question.take_after(failure)

    def _forward(self, prepared, question):
        """Forward the answer of a run; return None if it was complete."""
        was_sent = prepared.run is not None
        run = prepared.run or self._runs.begin(prepared)
        self._forwarder.begin_run(
            started_at=self._context.clock.monotonic(),
            usual_s=prepared.predicted_first_s,
            on_start=lambda: self._context.dispatcher.jobs.report_first_event(
                prepared.job
            ),
        )
        try:
            if not was_sent:
                self._runs.send(prepared)
            failure = self._forwarder.forward(run, question)
        except (OSError, MalformedMessageError) as error:
            failure = describe_break(error, prepared.endpoint)
        finally:
            prepared.connection.close()
        if failure is None:
            self._check.note_answer(run)
            self._forwarder.finish(run)
            return None
        return self._runs.settle(prepared, failure)
