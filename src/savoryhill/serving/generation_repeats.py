"""Repeats of a generation whose run is silent, and what is said of its engine."""

from functools import partial

import gevent

from savoryhill.core.scheduling.messages import JobRejected
from savoryhill.core.silence import (
    FIRST_EVENT_FACTOR,
    MAX_QUESTION_S,
    Denial,
    find_denial,
    remaining_answer_s,
)
from savoryhill.serving.endpoint_run import try_run
from savoryhill.serving.prepared_run import PreparedRun
from savoryhill.serving.served_request import SendFailure

# How long a repeat that failed waits before the next one.
RETRY_WAIT_S = 0.03
# How many engines are tried, one after the other, for one question.
MAX_REPEAT_TRIES = 3


class GenerationRepeats:
    """Finds another run for one request while its present run is silent.

    Parameters
    ----------
    request : ServedRequest
        The request.
    history : AttemptHistory
        Its sends so far.
    check : CrashCheck
        Tells whether the request may end engines.
    jobs : RequestJobs
        Submits the repeat.
    preparation : RunPreparation
        Makes a placed repeat ready to be sent.
    runs : EngineRuns
        Sends the repeat.
    forwarder : StreamForwarder
        Knows how much of the answer has been written.
    """

    def __init__(self, *, request, history, check, jobs, preparation, runs, forwarder):
        self._request = request
        self._history = history
        self._context = request.context
        self._check = check
        self._jobs = jobs
        self._preparation = preparation
        self._runs = runs
        self._forwarder = forwarder

    def find(self, silent):
        """Return the run that takes over from a silent one, or why there is none."""
        request = self._request
        for _ in range(MAX_REPEAT_TRIES):
            needed_s = self._remaining_answer_s()
            cause = find_denial(self._situation(silent, needed_s))
            if cause is not None:
                return cause.value
            if not request.take_budget():
                return Denial.BUDGET.value
            budget_is_local = not request.needs_budget
            job = self._jobs.submit(besides=silent.endpoint.id, rest_s=needed_s)
            try:
                run = self._await_repeat(job, needed_s)
            except BaseException:
                self._return_repeat(job, budget_is_local=budget_is_local)
                raise
            if isinstance(run, PreparedRun):
                run.on_withdrawal = partial(
                    self._return_repeat, job, budget_is_local=budget_is_local
                )
                run.on_drop = partial(self._context.dispatcher.jobs.cancel, job)
                return run
            self._return_repeat(
                job,
                budget_is_local=budget_is_local,
                failure=run if isinstance(run, SendFailure) else None,
            )
            if not isinstance(run, SendFailure):
                return run
            request.avoided_endpoint_ids.add(_faulty_endpoint(job, run))
            gevent.sleep(RETRY_WAIT_S)
        return Denial.FAILED.value

    def send(self, prepared):
        """Send a repeat beside the silent run.

        Returns
        -------
        SendFailure or None
            None once it is taken up.
        """
        failure = self._preparation.find_withheld(prepared.endpoints)
        if failure is not None:
            return failure
        return try_run(
            self._runs.begin(prepared),
            send=partial(self._runs.send, prepared),
            is_taken_up=self._forwarder.is_taken_up,
        )

    def settle(self, prepared, failure):
        """Count a repeat that was not taken up, and close it."""
        job = prepared.job
        if prepared.run is None:
            prepared.withdraw()
        else:
            failure = self._runs.settle(prepared, failure)
            prepared.closing.close()
            self._request.note_failed_send(failure)
            self._jobs.report_failure(job, failure, _faulty_endpoint(job, failure))
        self._request.avoided_endpoint_ids.add(_faulty_endpoint(job, failure))

    def _situation(self, silent, needed_s):
        """Return what decides whether a repeat is asked for beside a silent run."""
        cause = self._check.refusal_cause()
        view, name = self._context.cluster_view, self._request.service.name
        others = {endpoint.id for endpoint in view.usable_endpoints(name)}
        return self._request.situation(
            self._history,
            needed_s=needed_s,
            is_suspect=cause is not None or bool(self._check.probed_parts),
            other_ids=others - {silent.endpoint.id} - self._check.excluded_ids(),
            paused_ids=frozenset(self._context.endpoint_statements.waits_s_by_id(name)),
        )

    def _await_repeat(self, job, rest_s):
        """Return the run of a job that is placed in time, its failure, or a reason."""
        decision = self._jobs.await_decision(job, max_wait_s=MAX_QUESTION_S)
        if decision is None:
            is_late = self._request.time_left_s() <= 0.0
            return (Denial.DEADLINE if is_late else Denial.FULL).value
        if isinstance(decision, JobRejected):
            return decision.reason
        needed_s = FIRST_EVENT_FACTOR * decision.predicted_first_s + rest_s
        if needed_s > self._request.time_left_s():
            return Denial.DEADLINE.value
        if self._jobs.is_excluded(decision):
            self._jobs.note_exclusion(decision)
            return Denial.PAUSED.value
        run = self._preparation.prepare(job, decision)
        if isinstance(run, PreparedRun) and needed_s > self._request.time_left_s():
            # The node has begun to stop meanwhile.
            run.closing.close()
            return Denial.DEADLINE.value
        return run

    def _return_repeat(self, job, *, budget_is_local, failure=None):
        """Take back a repeat that was not sent; it has spent nothing."""
        request = self._request
        if failure is not None:
            request.note_failed_send(failure)
            self._jobs.report_failure(job, failure, _faulty_endpoint(job, failure))
        else:
            self._context.dispatcher.jobs.withdraw(job)
        request.n_sends -= 1
        if budget_is_local:
            self._context.repeat_budgets.give_back_local(request.service)

    def _remaining_answer_s(self):
        """Predict the seconds that the rest of the answer takes to be written."""
        request = self._request
        profile = request.service.engine
        return remaining_answer_s(
            answer_s=request.metadata.answer_tokens * profile.step_s,
            written_s=self._forwarder.written_s,
        )

    def suspect(self, run, silent_since):
        """Report the engine of a silent run, unless it is sound or the path is lost.

        Finding out takes a moment, in which a repeat is asked for already.
        """
        run.checking = gevent.spawn(self._report_silence, run, silent_since)

    def end_silent_job(self, run):
        """End the job of a run that was left, once its engine has been reported."""
        run.checking.join()
        self._context.dispatcher.jobs.cancel(run.job)

    def _report_silence(self, run, silent_since):
        context, endpoint = self._context, run.endpoint
        signs, incarnation = context.signs_of_life, endpoint.incarnation
        relay = run.connection.relay
        if context.ways.is_path_at_fault(endpoint, relay=relay, was_silent=True):
            return
        if signs.was_heard_after(incarnation, silent_since):
            context.dispatcher.jobs.report_slow(run.job, endpoint.id)
        else:
            context.dispatcher.jobs.report_suspected(run.job, endpoint.id)


def _faulty_endpoint(job, failure):
    """Return the id of the engine that failed a job, the first one if none is named."""
    return failure.endpoint or job.placement.endpoints[0]
