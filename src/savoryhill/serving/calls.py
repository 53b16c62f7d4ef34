"""Requests to plain services, whose responses are forwarded only when complete."""

from dataclasses import replace

import gevent

from savoryhill.errors import MalformedMessageError, NotConnectedError
from savoryhill.serving.crash_check import CrashCheck
from savoryhill.serving.response_writer import RETRY_AFTER_S
from savoryhill.serving.served_request import (
    CONNECT_TIMEOUT_S,
    RECHECK_S,
    SendFailure,
    describe_break,
    describe_unreached,
)

# A request that may be repeated is sent to another endpoint if its response takes
# longer than this multiple of the route's target latency, and longer than a sound
# endpoint may be silent, if that much time is left for the repeat.
RESPONSE_TIMEOUT_FACTOR = 2.0
MIN_RESPONSE_TIMEOUT_S = 1.4


class Call:
    """Serves one request to a plain service."""

    def __init__(self, *, request, response, history):
        self._request = request
        self._response = response
        self._history = history
        self._context = request.context
        self._check = CrashCheck(request=request)

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
            if not request.allow_repeat(self._history, failure):
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

    def _response_times_out_at(self, started_at):
        """Return when to stop waiting for an endpoint's response."""
        history, request = self._history, self._request
        if not history.may_repeat or history.n_runs + 1 >= history.max_attempts:
            return request.deadline_at
        usual_s = RESPONSE_TIMEOUT_FACTOR * request.route.target_latency_s
        time_left_s = request.deadline_at - started_at
        patient_s = min(MIN_RESPONSE_TIMEOUT_S, time_left_s - usual_s)
        return min(request.deadline_at, started_at + max(usual_s, patient_s))

    def _run_on(self, endpoint):
        """Run on an endpoint; return None on success, else the failure."""
        balancer, history = self._context.balancer, self._history
        started_at = self._context.clock.monotonic()
        times_out_at = self._response_times_out_at(started_at)
        self._context.endpoint_statements.note_sent(endpoint)
        with balancer.track_request(endpoint):
            try:
                connection = self._context.ways.open(
                    endpoint,
                    timeout_s=CONNECT_TIMEOUT_S,
                    request_id=self._request.id,
                    remaining_s=self._request.time_left_s(),
                )
            except NotConnectedError as error:
                return describe_unreached(error, endpoint)
            failure = self._request.find_withheld(endpoint)
            if failure is not None:
                connection.close()
                return failure
            history.n_runs += 1
            self._check.note_sent(endpoint, connection)
            try:
                self._request.send(connection, endpoint)
                failure = self._receive(connection, endpoint, times_out_at)
            except (OSError, MalformedMessageError) as error:
                failure = describe_break(error, endpoint)
            finally:
                connection.close()
        reader = connection.reader
        if reader.head is not None:
            self._context.endpoint_statements.note_head(
                reader.head,
                endpoint,
                attempt_id=self._request.metadata.attempt_id,
                sent_at=started_at,
            )
        if failure is None:
            self._check.note_answer()
            balancer.note_success(endpoint)
            self._response.write_response(reader.head, reader.take_body(), endpoint.id)
            return None
        failure = self._request.judge_end(failure, endpoint, connection)
        if failure.is_silent:
            # Learns whether the path was lost; the request goes on meanwhile.
            gevent.spawn(
                self._context.ways.is_path_at_fault,
                endpoint,
                relay=connection.relay,
                was_silent=True,
            )
        self._check.note_failure(failure, endpoint)
        if not failure.may_have_run:
            history.n_runs -= 1
            history.n_refused += 1
        elif self._check.stop_cause is not None:
            return replace(failure, cause=self._check.stop_cause)
        return failure

    def _receive(self, connection, endpoint, times_out_at):
        """Receive a response; return None on success, else the failure."""
        reader = connection.reader
        while not reader.complete:
            now = self._context.clock.monotonic()
            wait_s = min(times_out_at - now, self._request.time_left_s())
            if wait_s <= 0:
                return SendFailure(
                    cause="endpoint is silent",
                    may_have_run=True,
                    is_silent=True,
                    endpoint=endpoint.id,
                )
            try:
                is_open = connection.receive(timeout_s=min(wait_s, RECHECK_S))
            except TimeoutError:
                continue
            if not is_open and not reader.complete:
                return SendFailure(
                    cause="closed within the answer",
                    may_have_run=True,
                    connection_ended=True,
                    endpoint=endpoint.id,
                )
        if reader.head.status >= 300 or not self._request.is_valid(reader.head):
            return self._request.classify_failure(reader, endpoint)
        return None
