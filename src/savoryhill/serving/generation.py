"""Streaming requests: one job per send, on the engines that the scheduler chooses."""

import math

import gevent

from savoryhill.core.scheduling.messages import (
    ENDPOINT_FAILED,
    ENDPOINT_FULL,
    FINISHED,
    JobPlaced,
    JobRejected,
    JobSubmit,
)
from savoryhill.errors import (
    EndpointError,
    MalformedMessageError,
    NotConnectedError,
    WayLostError,
)
from savoryhill.serving.crash_check import CrashCheck
from savoryhill.serving.endpoint_run import EndpointRun
from savoryhill.serving.helper_check import find_unreached
from savoryhill.serving.reservations import Reservations
from savoryhill.serving.response_writer import RETRY_AFTER_S
from savoryhill.serving.served_request import (
    CONNECT_TIMEOUT_S,
    RECHECK_S,
    SendFailure,
    describe_break,
    describe_unreached,
)
from savoryhill.serving.stream_forwarder import StreamForwarder

# How often and how long a request waits for another one to start that tries a part
# of its prompt.
PROBE_CHECK_S = 0.03
MAX_PROBE_WAIT_S = 1.0


class Generation:
    """Serves one streaming request, with as many runs on engines as it needs."""

    def __init__(self, *, request, response, history):
        self._request = request
        self._response = response
        self._history = history
        self._context = request.context
        self._check = CrashCheck(request=request)
        self._forwarder = StreamForwarder(
            request=request, response=response, history=history, check=self._check
        )
        self._relay_name = ""

    def run(self):
        """Serve the request; the response is complete when this returns."""
        request, jobs = self._request, self._context.dispatcher.jobs
        while True:
            cause = self._check.refusal_cause()
            if cause is not None:
                self._check.refuse(cause, self._response, self._history)
                return
            wait_s = request.await_pauses()
            if wait_s > 0.0:
                self._refuse_until(wait_s)
                return
            job = self._submit()
            try:
                with self._check.watch(job):
                    decision = self._await_decision(job)
                    if self._awaits_probe(decision):
                        self._withdraw(job)
                        gevent.sleep(PROBE_CHECK_S)
                        continue
                    if self._is_excluded(decision):
                        self._withdraw(job)
                        self._context.log(
                            "request.placement_withdrawn",
                            request=request.id,
                            endpoints=",".join(decision.endpoints),
                            cause="an engine wants a pause or ends under the request",
                        )
                        continue
                    if decision is None or isinstance(decision, JobRejected):
                        jobs.cancel(job)
                        self._fail_unplaced(decision)
                        return
                    failure = self._run_placed(job, decision)
            except BaseException:
                jobs.cancel(job)
                raise
            if failure is None:
                jobs.finish(job, FINISHED)
                return
            failed_endpoint = failure.endpoint or decision.endpoints[0]
            self._report_failure(job, failure, failed_endpoint)
            request.avoided_endpoint_ids.add(failed_endpoint)
            if not request.allow_repeat(
                self._history, failure, has_started=job.has_started
            ):
                self._response.fail(failure, self._history)
                return

    def _report_failure(self, job, failure, endpoint_id):
        """Report a failed job to the scheduler, and whether the engine is at fault.

        A silence may be that of the path. Finding out takes a moment, in which the
        request is sent elsewhere already.
        """
        jobs = self._context.dispatcher.jobs
        endpoint = self._context.cluster_view.endpoints_by_id.get(endpoint_id)
        if not failure.blames_endpoint:
            jobs.cancel(job)
        elif failure.is_silent and endpoint is not None:
            gevent.spawn(self._report_silence, job, endpoint, self._relay_name)
        else:
            what = ENDPOINT_FULL if failure.is_full else ENDPOINT_FAILED
            jobs.finish(job, what, endpoint_id)

    def _report_silence(self, job, endpoint, relay):
        jobs = self._context.dispatcher.jobs
        if self._context.ways.is_path_at_fault(endpoint, relay=relay, was_silent=True):
            jobs.cancel(job)
        else:
            jobs.finish(job, ENDPOINT_FAILED, endpoint.id)

    def _refuse_until(self, wait_s):
        """Refuse the request, which cannot wait for the pauses of the engines."""
        failure = SendFailure(
            cause=f"all engines want a pause of {wait_s:.2f} s", may_have_run=False
        )
        self._response.fail(failure, self._history, retry_after_s=wait_s)

    def _withdraw(self, job):
        """Take a job back that was not sent, to submit the request again."""
        self._context.dispatcher.jobs.cancel(job)
        self._request.n_sends -= 1
        self._request.needs_budget = job.submission.needs_budget

    def _is_excluded(self, decision):
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

    def _awaits_probe(self, decision):
        """Tell whether another request is about to show that this one can be served."""
        request = self._request
        waited_s = self._context.clock.monotonic() - request.arrived_at
        return (
            isinstance(decision, JobRejected)
            and decision.awaits_probe
            and waited_s < min(MAX_PROBE_WAIT_S, request.route.target_latency_s)
        )

    def _submit(self):
        request = self._request
        request.n_sends += 1
        needs_budget, request.needs_budget = request.needs_budget, False
        route, workspace = request.route, request.workspace
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        now = self._context.clock.monotonic()
        excluded_for_s = self._find_exclusions()
        return self._context.dispatcher.jobs.submit(
            JobSubmit(
                job_id=f"{request.id}.{request.n_sends}",
                service=request.service.name,
                zone=self._context.settings.zone,
                workspace=workspace.name if workspace else "",
                prompt_tokens=request.metadata.prompt_tokens,
                answer_tokens=request.metadata.answer_tokens,
                due_s=request.arrived_at + route.target_latency_s - now,
                ends_s=request.deadline_at - now,
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

    def _await_decision(self, job):
        while True:
            wait_s = max(0.0, self._request.time_left_s())
            try:
                return job.decision.get(timeout=min(wait_s, RECHECK_S))
            except gevent.Timeout:
                if wait_s <= 0.0:
                    return None

    def _fail_unplaced(self, rejection):
        if rejection is None:
            cause, retry_after_s = "no endpoint was free in time", RETRY_AFTER_S
        else:
            cause, retry_after_s = rejection.reason, rejection.retry_after_s
            if retry_after_s < 0.0:
                retry_after_s = None
        failure = SendFailure(cause=cause, may_have_run=False)
        self._response.fail(failure, self._history, retry_after_s=retry_after_s)

    def _run_placed(self, job, decision):
        """Run on the engines of a decision; return None or the failure."""
        endpoints_by_id = self._context.cluster_view.endpoints_by_id
        endpoints = [endpoints_by_id.get(name) for name in decision.endpoints]
        # The leader's view of the store may be older than this node's.
        failure = self._find_unusable(decision.endpoints, endpoints)
        if failure is not None:
            return failure
        self._context.endpoint_statements.note_sent(endpoints[0])
        with Reservations(
            request_id=job.submission.job_id,
            clock=self._context.clock,
            log=self._context.log,
            on_head=self._context.endpoint_statements.note_order_head,
            connect=self._context.ways.open_for_order,
            pause_left_s=self._context.endpoint_statements.pause_left_s,
        ) as reservations:
            try:
                helpers = reservations.reserve(
                    endpoints[1:], decision.reserved_tokens[1:]
                )
            except (EndpointError, NotConnectedError) as error:
                return SendFailure(
                    cause=f"no memory was reserved: {error}",
                    may_have_run=False,
                    reached_endpoint=False,
                    is_full=True,
                    lost_way=isinstance(error, WayLostError),
                    endpoint=reservations.last_endpoint_id,
                )
            failure = self._find_unreached_helper(job, decision, endpoints)
            if failure is None:
                # A helper may have said in its answer that it leaves.
                failure = self._find_unusable(decision.endpoints, endpoints)
            if failure is not None:
                return failure
            return self._run_with_helpers(
                job, decision, endpoints, helpers, reservations
            )

    def _find_unusable(self, names, endpoints):
        """Return the failure of the first endpoint that is gone or leaves, or None."""
        view = self._context.cluster_view
        for name, endpoint in zip(names, endpoints, strict=True):
            if endpoint is None or not view.is_usable(endpoint):
                return SendFailure(
                    cause="endpoint is unknown or leaving",
                    may_have_run=False,
                    reached_endpoint=False,
                    endpoint=name,
                )
        return None

    def _find_unreached_helper(self, job, decision, endpoints):
        """Return the failure of a helper that accepts no connections, or None.

        The others that accept none are reported as well. Helpers that have just set
        memory aside need no check.
        """
        helpers = [
            endpoint
            for endpoint, n_tokens in zip(
                endpoints[1:], decision.reserved_tokens[1:], strict=True
            )
            if not n_tokens
        ]
        ways = self._context.ways
        unreached = find_unreached(
            helpers,
            connect=lambda helper: ways.open_for_order(
                helper, timeout_s=CONNECT_TIMEOUT_S
            ),
        )
        if not unreached:
            return None
        (first, error), *others = unreached
        for endpoint, _ in others:
            self._context.dispatcher.jobs.report_unreached_helper(job, endpoint.id)
            self._request.avoided_endpoint_ids.add(endpoint.id)
        return describe_unreached(error, first)

    def _run_with_helpers(self, job, decision, endpoints, helpers, reservations):
        first = endpoints[0]
        if self._check.stop_cause is not None:
            return SendFailure(
                cause=self._check.stop_cause,
                may_have_run=False,
                reached_endpoint=False,
            )
        try:
            connection = self._context.ways.open(
                first,
                timeout_s=CONNECT_TIMEOUT_S,
                request_id=self._request.id,
                remaining_s=self._request.time_left_s(),
                max_buffered_bytes=self._forwarder.max_buffered_bytes,
            )
        except NotConnectedError as error:
            return describe_unreached(error, first)
        failure = self._request.find_withheld(first)
        if failure is not None:
            connection.close()
            return failure
        reservations.abort_when_lost(connection)
        self._relay_name = connection.relay
        run = EndpointRun(
            request=self._request,
            endpoint=first,
            connection=connection,
            history=self._history,
            check=self._check,
        )
        self._forwarder.begin_run(
            started_at=self._context.clock.monotonic(),
            usual_s=decision.predicted_first_s,
            on_start=lambda: self._context.dispatcher.jobs.report_first_event(job),
        )
        try:
            self._request.send(
                connection,
                first,
                helpers=helpers,
                last_event_id=self._forwarder.last_id,
            )
            failure = self._forwarder.forward(run)
        except (OSError, MalformedMessageError) as error:
            failure = describe_break(error, first)
        finally:
            connection.close()
        if failure is None:
            self._check.note_answer()
            self._forwarder.finish(run)
            return None
        if reservations.lost is not None:
            return SendFailure(
                cause=f"memory was lost: {reservations.lost.cause}",
                may_have_run=True,
                endpoint=reservations.lost.endpoint_id,
            )
        failure = run.settle(failure)
        if failure.may_have_run:
            return failure
        return _with_endpoint_id(failure, endpoints)


def _with_endpoint_id(failure, endpoints):
    """Return a refusal with the faulty endpoint's address replaced by its id."""
    ids_by_address = {endpoint.address: endpoint.id for endpoint in endpoints}
    if failure.endpoint not in ids_by_address:
        return failure
    return SendFailure(
        cause=failure.cause,
        may_have_run=False,
        is_full=failure.is_full,
        endpoint=ids_by_address[failure.endpoint],
    )
