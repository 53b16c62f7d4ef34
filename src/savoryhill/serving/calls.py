"""Requests for which this node chooses the endpoints itself."""

import gevent

from savoryhill.errors import MalformedMessageError, NotConnectedError
from savoryhill.serving.crash_check import CrashCheck
from savoryhill.serving.endpoint_run import EndpointRun
from savoryhill.serving.model import STREAM
from savoryhill.serving.response_writer import RETRY_AFTER_S
from savoryhill.serving.served_request import (
    CONNECT_TIMEOUT_S,
    SendFailure,
    describe_break,
    describe_unreached,
)
from savoryhill.serving.stream_forwarder import StreamForwarder
from savoryhill.serving.whole_answer import WholeAnswer


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
            self._answer = WholeAnswer(
                request=request, response=response, history=history
            )

    def run(self):
        """Serve the request; the response is complete when this returns."""
        request, balancer = self._request, self._context.balancer
        while True:
            cause = self._check.refusal_cause()
            if cause is not None:
                self._check.refuse(cause, self._response, self._history)
                return
            endpoint, retry_after_s = self._choose_endpoint()
            if endpoint is None:
                failure = SendFailure(
                    cause="no endpoint was free in time", may_have_run=False
                )
                self._response.fail(failure, self._history, retry_after_s=retry_after_s)
                return
            request.n_sends += 1
            with self._check.probe(f"{request.id}.{request.n_sends}") as rejection:
                if rejection is not None:
                    self._check.refuse(rejection.reason, self._response, self._history)
                    return
                with self._check.watch():
                    failure = self._run_on(endpoint)
            if failure is None:
                return
            if failure.blames_endpoint:
                balancer.note_failure(endpoint, is_full=failure.is_full)
            request.avoided_endpoint_ids.add(endpoint.id)
            if not request.allow_repeat(
                self._history, failure, has_started=self._answer.has_started
            ):
                self._response.fail(failure, self._history)
                return

    def _choose_endpoint(self):
        """Choose an endpoint, and wait for its turn if it has named a limit.

        An endpoint that has begun to leave, or has left, by the end of the wait is not
        sent the request; another one is chosen.

        Returns
        -------
        tuple of (Endpoint or None, float)
            The endpoint, or when the client may come back, in seconds.
        """
        while True:
            pause_s = self._request.await_pauses()
            if pause_s > 0.0:
                return None, pause_s
            endpoint, turn_wait_s = self._choose_turn()
            if endpoint is None or turn_wait_s <= 0.0:
                return endpoint, turn_wait_s
            self._context.clock.sleep(turn_wait_s)
            if self._is_still_usable(endpoint):
                return endpoint, 0.0

    def _is_still_usable(self, endpoint):
        view = self._context.cluster_view
        present = view.endpoints_by_id.get(endpoint.id)
        return (
            present is not None
            and present.incarnation == endpoint.incarnation
            and view.is_usable(present)
        )

    def _choose_turn(self):
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
        )
        limited = []
        while True:
            endpoint = context.balancer.choose(
                request.service, avoided_endpoint_ids=avoided_ids
            )
            if endpoint is None or not limiter.is_limited(endpoint.incarnation):
                break
            limited.append(endpoint)
            avoided_ids.add(endpoint.id)
        if not limited:
            return endpoint, 0.0 if endpoint is not None else RETRY_AFTER_S
        max_wait_s = request.time_left_s() - request.route.target_latency_s
        turn = context.turns.take(
            [endpoint.incarnation for endpoint in limited],
            max_wait_s=0.0 if endpoint is not None else max(0.0, max_wait_s),
        )
        for limited_endpoint in limited:
            if limited_endpoint.incarnation == turn.endpoint:
                return limited_endpoint, turn.wait_s
        return endpoint, 0.0 if endpoint is not None else turn.wait_s

    def _run_on(self, endpoint):
        """Run on an endpoint; return None on success, else the failure."""
        context, request, answer = self._context, self._request, self._answer
        started_at = context.clock.monotonic()
        context.endpoint_statements.note_sent(endpoint)
        with context.balancer.track_request(endpoint):
            try:
                connection = context.ways.open(
                    endpoint,
                    timeout_s=CONNECT_TIMEOUT_S,
                    request_id=request.id,
                    remaining_s=request.time_left_s(),
                    max_buffered_bytes=answer.max_buffered_bytes,
                )
            except NotConnectedError as error:
                return describe_unreached(error, endpoint)
            failure = request.find_withheld(endpoint)
            if failure is not None:
                connection.close()
                return failure
            run = EndpointRun(
                request=request,
                endpoint=endpoint,
                connection=connection,
                history=self._history,
                check=self._check,
            )
            answer.begin_run(
                started_at=started_at, usual_s=request.route.target_latency_s
            )
            try:
                request.send(connection, endpoint, last_event_id=answer.last_id)
                failure = answer.forward(run)
            except (OSError, MalformedMessageError) as error:
                failure = describe_break(error, endpoint)
            finally:
                connection.close()
        if failure is None:
            self._check.note_answer()
            context.balancer.note_success(endpoint)
            answer.finish(run)
            return None
        if failure.is_silent:
            self._check_path(run)
        return run.settle(failure)

    def _check_path(self, run):
        """Find out whether the path was lost, while the request goes on."""
        gevent.spawn(
            self._context.ways.is_path_at_fault,
            run.endpoint,
            relay=run.connection.relay,
            was_silent=True,
        )
