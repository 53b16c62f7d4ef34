"""Calls of plain services: whole answers from one endpoint at a time."""

from savoryhill.errors import MalformedMessageError, NotConnectedError
from savoryhill.serving.http import open_connection
from savoryhill.serving.sending import CONNECT_TIMEOUT_S, Failure

# An idempotent request is repeated when its answer takes this many times the
# objective.
ANSWER_SILENCE_FACTOR = 2.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class Call:
    """Runs one request on a plain service."""

    def __init__(self, *, request, answer, history):
        self._request = request
        self._answer = answer
        self._history = history
        self._context = request.context

    def run(self):
        """Serve the request; the answer is complete when this returns."""
        request, balancer = self._request, self._context.balancer
        while True:
            endpoint = balancer.choose(request.service, avoid=request.avoid)
            if endpoint is None:
                failure = Failure(cause="no endpoint was free in time", was_run=False)
                self._answer.fail(failure, self._history)
                return
            request.n_sends += 1
            failure = self._run_on(endpoint)
            if failure is None:
                return
            balancer.note_failure(endpoint, is_full=failure.is_full)
            request.avoid.add(endpoint.id)
            if not request.may_go_on(self._history, failure):
                self._answer.fail(failure, self._history)
                return

    def _silent_at(self, started):
        """Return when the endpoint is given up for another one."""
        history, request = self._history, self._request
        if not history.may_repeat or history.n_runs + 1 >= history.max_attempts:
            return request.ends_at
        silence_s = ANSWER_SILENCE_FACTOR * request.route.target_latency_s
        return min(request.ends_at, started + silence_s)

    def _run_on(self, endpoint):
        """Run on an endpoint; return None if it was answered, else what failed."""
        balancer, history = self._context.balancer, self._history
        started = self._context.clock.monotonic()
        silent_at = self._silent_at(started)
        with balancer.use(endpoint):
            try:
                connection = open_connection(
                    endpoint.address, timeout_s=CONNECT_TIMEOUT_S
                )
            except NotConnectedError as error:
                return Failure(
                    cause=f"no connection: {error}",
                    was_run=False,
                    has_arrived=False,
                    at=endpoint.id,
                )
            history.n_runs += 1
            try:
                self._request.send(connection, endpoint)
                failure = self._receive(connection, endpoint, silent_at)
            except (OSError, MalformedMessageError) as error:
                failure = Failure(
                    cause=f"broken: {error!r}", was_run=True, at=endpoint.id
                )
            finally:
                connection.close()
        if failure is None:
            balancer.note_success(endpoint)
            reader = connection.reader
            self._answer.pass_whole(reader.head, reader.take_body(), endpoint.id)
        elif not failure.was_run:
            history.n_runs -= 1
            history.n_refused += 1
        return failure

    def _receive(self, connection, endpoint, silent_at):
        reader = connection.reader
        while not reader.complete:
            wait_s = silent_at - self._context.clock.monotonic()
            if wait_s <= 0:
                return Failure(cause="endpoint is silent", was_run=True, at=endpoint.id)
            try:
                is_open = connection.receive(timeout_s=wait_s)
            except TimeoutError:
                continue
            if sum(len(part) for part in reader.body) > MAX_ANSWER_BYTES:
                return Failure(
                    cause="answer is too large", was_run=True, at=endpoint.id
                )
            if not is_open and not reader.complete:
                return Failure(
                    cause="closed within the answer", was_run=True, at=endpoint.id
                )
        if reader.head.status >= 300 or not self._request.is_valid(reader.head):
            return self._request.judge(reader, endpoint)
        return None
