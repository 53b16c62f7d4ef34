"""Requests for which this node chooses the endpoints itself."""

import math
from contextlib import ExitStack, closing
from dataclasses import dataclass
from functools import partial

import gevent

from savoryhill.core.silence import (
    FIRST_EVENT_FACTOR,
    MAX_QUESTION_S,
    Denial,
    find_denial,
    remaining_answer_s,
)
from savoryhill.errors import MalformedMessageError, NotConnectedError
from savoryhill.serving.crash_check import CrashCheck
from savoryhill.serving.endpoint_run import EndpointRun, try_run
from savoryhill.serving.model import STREAM
from savoryhill.serving.prepared_run import OpenRun
from savoryhill.serving.repeat_question import RepeatQuestion
from savoryhill.serving.response_writer import RETRY_AFTER_S
from savoryhill.serving.served_request import (
    CONNECT_TIMEOUT_S,
    RECHECK_S,
    SendFailure,
    describe_break,
    describe_unreached,
)
from savoryhill.serving.stream_forwarder import StreamForwarder
from savoryhill.serving.whole_answer import WholeAnswer


@dataclass(kw_only=True)
class PreparedCall(OpenRun):
    """A run on a chosen endpoint whose connection is open."""

    endpoint: object
    started_at: float


class Call:
    """Serves one request, with as many runs on endpoints as it needs.

    The kind of its route decides what becomes of the endpoints' answers: streams are
    forwarded as they arrive, all others once they are complete.
    """

    def __init__(self, *, request, response, history):
        self._request = request
        self._response = response
        self._history = history
        self._context = request.context
        self._check = CrashCheck(request=request)
        if request.route.kind == STREAM:
            self._answer = StreamForwarder(
                request=request, response=response, history=history, check=self._check
            )
        else:
            self._answer = WholeAnswer(request=request, response=response)

    def run(self):
        """Serve the request; the response is complete when this returns."""
        request, balancer = self._request, self._context.balancer
        repeat = None
        while True:
            endpoint = self._begin() if repeat is None else repeat.endpoint
            if endpoint is None:
                return
            if repeat is None:
                request.n_sends += 1
            with self._check.probe(f"{request.id}.{request.n_sends}") as rejection:
                if rejection is not None:
                    self._check.refuse(
                        rejection.reason,
                        self._response,
                        self._history,
                        retry_after_s=rejection.client_retry_after_s,
                    )
                    return
                with self._check.watch():
                    run = self._prepare(endpoint) if repeat is None else repeat
                    failure, repeat = (
                        (run, None)
                        if isinstance(run, SendFailure)
                        else self._serve(run)
                    )
            if failure is None:
                return
            request.avoided_endpoint_ids.add(endpoint.id)
            # A run that this node has ended was blamed when it fell silent.
            if failure.blames_endpoint and not failure.is_silent:
                balancer.note_failure(endpoint, is_full=failure.is_full)
            if repeat is not None:
                request.note_failed_send(failure, has_started=self._answer.has_started)
                continue
            if not request.allow_repeat(
                self._history, failure, has_started=self._answer.has_started
            ):
                self._response.fail(failure, self._history)
                return

    def _begin(self):
        """Choose an endpoint; return None if the request is refused."""
        cause = self._check.refusal_cause()
        if cause is not None:
            self._check.refuse(cause, self._response, self._history)
            return None
        endpoint, retry_after_s = self._choose_endpoint()
        if endpoint is None:
            failure = SendFailure(
                cause="no endpoint was free in time", may_have_run=False
            )
            self._response.fail(failure, self._history, retry_after_s=retry_after_s)
        return endpoint

    # The repeat of a run that is silent.

    def _find_repeat(self, silent):
        """Return the run that takes over from a silent one, or why there is none."""
        request = self._request
        while True:
            cause = find_denial(self._situation(silent))
            if cause is not None:
                return cause.value
            # The budget comes first: a turn that is not used is lost to others.
            if not request.take_budget():
                return Denial.BUDGET.value
            request.n_sends += 1
            try:
                endpoint, _ = self._choose_endpoint(besides=silent.endpoint.id)
                run = None if endpoint is None else self._prepare(endpoint)
            except BaseException:
                self._return_repeat()
                raise
            if run is None:
                self._return_repeat()
                return Denial.LIMITED.value
            if isinstance(run, PreparedCall):
                run.on_withdrawal = self._return_repeat
                cause = find_denial(self._situation(silent))
                # Of the denials, only these cut off a repeat that is ready.
                if cause in (Denial.STOP, Denial.CRASHES):
                    run.withdraw()
                    return cause.value
                return run
            self._return_repeat()
            self._note_failed_repeat(run, endpoint)

    def _note_failed_repeat(self, failure, endpoint):
        self._request.note_failed_send(failure)
        if failure.blames_endpoint:
            self._context.balancer.note_failure(endpoint, is_full=failure.is_full)
        self._request.avoided_endpoint_ids.add(endpoint.id)

    def _send_repeat(self, prepared):
        """Send a repeat beside the silent run.

        Returns
        -------
        SendFailure or None
            None once it is taken up.
        """
        failure = self._request.find_withheld(prepared.endpoint)
        if failure is not None:
            return failure
        prepared.run = run = self._begin_run(prepared)
        return try_run(
            run,
            send=partial(self._send, prepared),
            is_taken_up=self._answer.is_taken_up,
        )

    def _settle_repeat(self, prepared, failure):
        """Count a repeat that was not taken up, and close it."""
        if prepared.run is None:
            prepared.withdraw()
        else:
            failure = prepared.run.settle(failure)
            prepared.closing.close()
        self._note_failed_repeat(failure, prepared.endpoint)

    def _begin_run(self, prepared):
        return EndpointRun(
            request=self._request,
            endpoint=prepared.endpoint,
            connection=prepared.connection,
            history=self._history,
            check=self._check,
        )

    def _send(self, prepared):
        self._request.send(
            prepared.connection, prepared.endpoint, last_event_id=self._answer.last_id
        )

    def _situation(self, silent):
        """Return what decides whether a repeat is asked for beside a silent run."""
        request, context = self._request, self._context
        cause = self._check.refusal_cause()
        others = [
            endpoint
            for endpoint in context.cluster_view.usable_endpoints(request.service.name)
            if endpoint.id != silent.endpoint.id
            and endpoint.id not in request.avoided_endpoint_ids
        ]
        excluded_ids = self._check.excluded_ids()
        usual_s = FIRST_EVENT_FACTOR * request.route.target_latency_s
        return request.situation(
            self._history,
            needed_s=usual_s
            + remaining_answer_s(answer_s=None, written_s=self._answer.written_s),
            is_suspect=cause is not None or bool(self._check.probed_parts),
            other_ids={endpoint.id for endpoint in others} - excluded_ids,
            paused_ids=frozenset(
                context.endpoint_statements.waits_s_by_id(request.service.name)
            ),
            failed_ids=frozenset(
                endpoint.id
                for endpoint in others
                if context.balancer.is_ejected(endpoint)
            ),
        )

    def _return_repeat(self):
        """Take back a repeat that was not sent; it has spent nothing."""
        self._request.n_sends -= 1
        self._context.repeat_budgets.give_back_local(self._request.service)

    def _suspect(self, run, _silent_since):
        """Keep requests from a silent endpoint, as long as there is another one."""
        self._context.balancer.note_failure(run.endpoint, is_full=False)
        gevent.spawn(
            self._context.ways.is_path_at_fault,
            run.endpoint,
            relay=run.connection.relay,
            was_silent=True,
        )

    def _choose_endpoint(self, *, besides=None):
        """Choose an endpoint, and wait for its turn if it has named a limit.

        A repeat of a silent run uses another one than ``besides``.

        An endpoint that has begun to leave, or has left, by the end of the wait is not
        sent the request; another one is chosen.

        Returns
        -------
        tuple of (Endpoint or None, float)
            The endpoint, or when the client may come back, in seconds.
        """
        while True:
            max_wait_s = math.inf if besides is None else MAX_QUESTION_S
            pause_s = self._request.await_pauses(max_wait_s=max_wait_s)
            if pause_s > 0.0:
                return None, pause_s
            endpoint, turn_wait_s = self._choose_turn(besides)
            if endpoint is None or turn_wait_s <= 0.0:
                return endpoint, turn_wait_s
            left_s = self._await_turn(turn_wait_s)
            if left_s > 0.0:
                return None, left_s
            if self._context.cluster_view.is_still_usable(endpoint):
                return endpoint, 0.0

    def _await_turn(self, wait_s):
        """Wait for a turn, unless the node begins to stop and ends before the answer.

        Returns
        -------
        float
            0 once it is the request's turn; else the seconds that are left until then.
        """
        context, target_s = self._context, self._request.route.target_latency_s
        takes_at = context.clock.monotonic() + wait_s
        while True:
            left_s = takes_at - context.clock.monotonic()
            if left_s <= 0.0:
                return 0.0
            if takes_at + target_s > context.answers_until():
                return left_s
            context.clock.sleep(min(left_s, RECHECK_S))

    def _choose_turn(self, besides):
        """Choose an endpoint and, if it has named a limit, a turn at it.

        Load pattern: some of a few endpoints ask for less than they get. Those without
        a limit take what the others don't; if all have one, the request waits for the
        first turn that is in time.

        Returns
        -------
        tuple of (Endpoint or None, float)
            The endpoint and the seconds until its turn; without an endpoint, when the
            client may come back, in seconds.
        """
        request, context = self._request, self._context
        statements = context.endpoint_statements
        limiter = statements.limiter
        avoided_ids = (
            request.avoided_endpoint_ids
            | statements.waits_s_by_id(request.service.name).keys()
            | self._check.excluded_ids()
            | {besides}
        )
        limited = []
        # Turns at limited endpoints are counted separately.
        may_ask = not any(
            limiter.is_limited(endpoint.incarnation)
            for endpoint in context.cluster_view.usable_endpoints(request.service.name)
        )
        while True:
            endpoint = context.balancer.choose(
                request.service, avoided_endpoint_ids=avoided_ids, may_ask=may_ask
            )
            request.chosen_by = context.balancer.chosen_by
            if endpoint is None or not limiter.is_limited(endpoint.incarnation):
                break
            limited.append(endpoint)
            avoided_ids.add(endpoint.id)
        if not limited:
            return endpoint, 0.0 if endpoint is not None else RETRY_AFTER_S
        max_wait_s = request.time_left_s() - request.route.target_latency_s
        if besides is not None:
            # A repeat holds a part of the budget while it waits.
            max_wait_s = min(max_wait_s, MAX_QUESTION_S)
        turn = context.turns.take(
            [endpoint.incarnation for endpoint in limited],
            max_wait_s=0.0 if endpoint is not None else max(0.0, max_wait_s),
        )
        for limited_endpoint in limited:
            if limited_endpoint.incarnation == turn.endpoint:
                return limited_endpoint, turn.wait_s
        return endpoint, 0.0 if endpoint is not None else turn.wait_s

    def _prepare(self, endpoint):
        """Return a run on an endpoint, ready to be sent, or the failure."""
        context, request = self._context, self._request
        started_at = context.clock.monotonic()
        context.endpoint_statements.note_sent(endpoint)
        with ExitStack() as stack:
            stack.enter_context(context.balancer.track_request(endpoint))
            try:
                connection = context.ways.open(
                    endpoint,
                    timeout_s=CONNECT_TIMEOUT_S,
                    request_id=request.id,
                    remaining_s=request.time_left_s(),
                    max_buffered_bytes=self._answer.max_buffered_bytes,
                )
            except NotConnectedError as error:
                return describe_unreached(error, endpoint)
            stack.callback(connection.close)
            failure = request.find_withheld(endpoint)
            if failure is not None:
                return failure
            return PreparedCall(
                endpoint=endpoint,
                started_at=started_at,
                connection=connection,
                closing=stack.pop_all(),
            )

    def _serve(self, prepared):
        """Send the request and forward the answer.

        Returns
        -------
        tuple of (SendFailure or None, PreparedCall or None)
            The failure, and the repeat that takes over if the run was ended for one.
        """
        failure = None
        if prepared.run is None:
            failure = self._request.find_withheld(prepared.endpoint)
        if failure is not None:
            # The endpoint may have begun to leave since this run was prepared.
            prepared.closing.close()
            return failure, None
        question = RepeatQuestion(
            request=self._request,
            endpoint=prepared.endpoint,
            ask=partial(self._find_repeat, prepared),
            send=self._send_repeat,
            settle=self._settle_repeat,
            on_silence=partial(self._suspect, prepared),
        )
        with closing(question):
            failure = self._forward(prepared, question)
            return failure, question.take_after(failure)

    def _forward(self, prepared, question):
        """Forward the answer of a run; return None on success, else the failure."""
        context, request, answer = self._context, self._request, self._answer
        endpoint = prepared.endpoint
        with prepared.closing:
            was_sent = prepared.run is not None
            run = prepared.run = prepared.run or self._begin_run(prepared)
            answer.begin_run(
                started_at=prepared.started_at, usual_s=request.route.target_latency_s
            )
            try:
                if not was_sent:
                    self._send(prepared)
                failure = answer.forward(run, question)
            except (OSError, MalformedMessageError) as error:
                failure = describe_break(error, endpoint)
        if failure is None:
            self._check.note_answer(run)
            context.balancer.note_success(endpoint)
            answer.finish(run)
            return None
        return run.settle(failure)
