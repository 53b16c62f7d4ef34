"""Serves one request: checks, sends to endpoints, repeats, the final answer."""

from dataclasses import dataclass

import gevent

from savoryhill.core.scheduling.messages import (
    ENDPOINT_FAILED,
    ENDPOINT_FULL,
    FINISHED,
    JobRejected,
    JobSubmit,
)
from savoryhill.core.serving import AttemptHistory
from savoryhill.errors import (
    ClientGoneError,
    EndpointError,
    MalformedMessageError,
    NotConnectedError,
)
from savoryhill.platform import exchange as wire
from savoryhill.serving.events import EventSplitter
from savoryhill.serving.http import (
    LAST_CHUNK,
    encode_chunk,
    encode_head,
    encode_request,
    open_connection,
)
from savoryhill.serving.model import STREAM
from savoryhill.serving.reservations import Reservations

# A round trip and the handshake take a few milliseconds; a lost packet is sent again
# after a second, which is too late for most objectives.
CONNECT_TIMEOUT_S = 0.2
UNROUTED_TIMEOUT_S = 0.5
# Bodies up to this size fit the connection's buffers.
INLINE_BODY_BYTES = 16_384
# An engine is silent if its first event takes this much longer than predicted.
FIRST_SILENCE_FACTOR = 2.0
FIRST_SILENCE_S = 1.0
# A stream is silent after this many of its allowed pauses.
PAUSE_SILENCE_FACTOR = 4.0
MIN_PAUSE_SILENCE_S = 1.0
# An idempotent request is repeated when its answer takes this many times the
# objective.
ANSWER_SILENCE_FACTOR = 2.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# The answer must reach the client before it gives up.
ANSWER_MARGIN_S = 0.02
RETRY_AFTER_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """A send that brought no answer: what was seen, and whether it may have run.

    ``has_arrived`` is False if nothing reached an endpoint; such a send is not
    counted as a repeat.
    """

    cause: str
    was_run: bool
    has_arrived: bool = True
    is_full: bool = False
    at: str | None = None
    head: object = None
    body: bytes = b""


class Exchange:
    """One request of a client, until its final answer.

    Parameters
    ----------
    context : NodeContext
        What the node shares between requests.
    sock : socket
        Connection to the client.
    request : Request
        The complete request.
    """

    def __init__(self, *, context, sock, request):
        self._context = context
        self._sock = sock
        self._request = request
        self._facts = wire.read_facts(request)
        self._clock = context.clock
        self._arrived_at = self._clock.monotonic()
        self._route = None
        self._service = None
        self._workspace = None
        self._ends_at = self._arrived_at + UNROUTED_TIMEOUT_S
        self._client_ends_at = self._ends_at
        self._is_head_sent = False
        self._splitter = None
        self._last_failure = None
        self._avoid = set()
        self._n_sends = 0
        self.keep_alive = request.keep_alive

    @property
    def request_id(self):
        """Return the request's id as text."""
        return (self._facts.attempt_id or b"none").decode("latin-1")

    def run(self):
        """Serve the request; the answer is complete when this returns.

        Raises
        ------
        ClientGoneError
            If the client left.
        """
        refusal = self._admit()
        if refusal is not None:
            status, cause = refusal
            self._refuse(status, cause)
            return
        self._context.budget(self._service.name).note_request(self._arrived_at)
        if self._service.engine is not None and self._route.kind == STREAM:
            self._generate()
        else:
            self._call()

    def _admit(self):
        """Check the request; return a status and a cause if it is refused."""
        configuration = self._context.knowledge.configuration
        if configuration is None:
            return 503, "no configuration is known yet"
        if self._facts.attempt_id is None:
            return 400, "the request has no id"
        host = (self._request.header(b"host") or b"").decode("latin-1").lower()
        path = self._request.target.split(b"?")[0].decode("latin-1")
        route = configuration.route_for(host, path)
        if route is None and ":" in host:
            route = configuration.route_for(host.rsplit(":", 1)[0], path)
        if route is None:
            return 404, "no route matches"
        if configuration.workspaces_by_key and not route.is_public:
            workspace = configuration.workspaces_by_key.get(self._facts.key)
            if workspace is None:
                return 401, "the key is unknown"
            self._workspace = workspace
        service_name = self._context.choose_target(route.targets)
        self._service = configuration.services_by_name.get(service_name)
        if self._service is None:
            return 503, f"service {service_name} is not configured"
        self._route = route
        remaining_s = self._facts.remaining_s
        if remaining_s is None:
            remaining_s = route.timeout_s
        self._client_ends_at = self._arrived_at + remaining_s
        self._ends_at = self._arrived_at + min(remaining_s, route.timeout_s)
        return None

    # Generations.

    def _generate(self):
        history = self._new_history()
        self._splitter = EventSplitter(last_id=self._facts.last_event_id)
        while True:
            ticket = self._submit()
            try:
                decision = self._await_decision(ticket)
                if decision is None or isinstance(decision, JobRejected):
                    self._context.dispatcher.cancel(ticket)
                    self._end_unplaced(history, decision)
                    return
                outcome = self._run_on(ticket, decision, history)
            except BaseException:
                self._context.dispatcher.cancel(ticket)
                raise
            if outcome is None:
                self._context.dispatcher.finish(ticket, FINISHED)
                return
            what = ENDPOINT_FULL if outcome.is_full else ENDPOINT_FAILED
            at_fault = outcome.at or decision.endpoints[0]
            self._context.dispatcher.finish(ticket, what, at_fault)
            self._avoid.add(at_fault)
            if not self._may_go_on(history, outcome):
                self._fail(history, outcome)
                return

    def _submit(self):
        now = self._clock.monotonic()
        self._n_sends += 1
        due_at = self._arrived_at + self._route.first_piece_s
        priority = self._route.priority
        if self._workspace is not None and self._workspace.priority is not None:
            priority = self._workspace.priority
        return self._context.dispatcher.submit(
            JobSubmit(
                job_id=f"{self.request_id}.{self._n_sends}",
                service=self._service.name,
                zone=self._context.settings.zone,
                workspace=self._workspace.name if self._workspace else "",
                prompt_tokens=self._facts.prompt_tokens,
                answer_tokens=self._facts.answer_tokens,
                due_s=due_at - now,
                ends_s=self._ends_at - now,
                pause_s=self._route.pause_s,
                priority=priority,
                avoid=tuple(self._avoid),
                endpoints=(),
                has_started=False,
            )
        )

    def _await_decision(self, ticket):
        left_s = self._ends_at - self._clock.monotonic()
        try:
            return ticket.decision.get(timeout=max(0.0, left_s))
        except gevent.Timeout:
            return None

    def _run_on(self, ticket, decision, history):
        """Run a generation; return None if it is complete, else what failed."""
        knowledge = self._context.knowledge
        endpoints = [knowledge.endpoints_by_id.get(e) for e in decision.endpoints]
        if None in endpoints:
            missing = decision.endpoints[endpoints.index(None)]
            return Failure(
                cause="endpoint is unknown",
                was_run=False,
                has_arrived=False,
                at=missing,
            )
        first = endpoints[0]
        silence_s = FIRST_SILENCE_S + FIRST_SILENCE_FACTOR * decision.predicted_first_s
        reservations = Reservations(
            request_id=ticket.submit.job_id, log=self._context.log
        )
        with reservations.renewed():
            try:
                helpers = reservations.take(endpoints[1:], decision.reserved_tokens[1:])
            except (EndpointError, NotConnectedError) as error:
                return Failure(
                    cause=f"no memory was reserved: {error}",
                    was_run=False,
                    has_arrived=False,
                    is_full=True,
                    at=reservations.last_endpoint_id,
                )
            try:
                connection = open_connection(first.address, timeout_s=CONNECT_TIMEOUT_S)
            except NotConnectedError as error:
                return Failure(
                    cause=f"no connection: {error}",
                    was_run=False,
                    has_arrived=False,
                    at=first.id,
                )
            return self._run_connected(
                connection, ticket, endpoints, helpers, history, silence_s
            )

    def _run_connected(
        self, connection, ticket, endpoints, helpers, history, silence_s
    ):
        first = endpoints[0]
        ids_by_address = {e.address: e.id for e in endpoints}
        now = self._clock.monotonic()
        history.n_runs += 1
        # What an earlier run left of an event belongs to no other run.
        self._splitter = EventSplitter(last_id=self._splitter.last_id)
        try:
            self._send(connection, first, helpers=helpers)
            failure = self._relay(connection, ticket, first, now + silence_s)
        except (OSError, MalformedMessageError) as error:
            failure = Failure(cause=f"broken: {error!r}", was_run=True, at=first.id)
        finally:
            connection.close()
        if failure is not None and not failure.was_run:
            history.n_runs -= 1
            history.n_refused += 1
            if failure.at in ids_by_address:
                return Failure(
                    cause=failure.cause,
                    was_run=False,
                    is_full=failure.is_full,
                    at=ids_by_address[failure.at],
                )
        return failure

    def _send(self, connection, endpoint, *, helpers=()):
        now = self._clock.monotonic()
        last_id = self._splitter.last_id if self._splitter else None
        headers = wire.forwarded_headers(
            self._request,
            endpoint_id=endpoint.id,
            workspace=self._workspace.name if self._workspace else None,
            remaining_s=min(self._client_ends_at, self._ends_at) - now,
            urgency=None,
            helpers=helpers,
            last_event_id=last_id,
        )
        message = encode_request(
            self._request.method, self._request.target, headers, self._request.body
        )
        self._context.log(
            "request.sent",
            request=self.request_id,
            endpoint=endpoint.id,
            endpoint_revision=endpoint.revision,
            helpers=len(helpers),
            send=self._n_sends,
            last_event_id=last_id,
        )
        left_s = max(0.01, self._ends_at - now)
        if len(message) <= INLINE_BODY_BYTES:
            connection.send(message, timeout_s=left_s)
            return
        # The endpoint may answer before it has read the body.
        connection.sock.settimeout(left_s)
        gevent.spawn(_send_quietly, connection, message)

    def _relay(self, connection, ticket, endpoint, silent_at):
        """Pass a stream on; return None if it was complete, else what failed."""
        reader = connection.reader
        pause_s = max(MIN_PAUSE_SILENCE_S, self._route.pause_s * PAUSE_SILENCE_FACTOR)
        is_open = True
        while True:
            now = self._clock.monotonic()
            wait_s = min(silent_at, self._ends_at) - now
            if wait_s <= 0:
                is_late = now >= self._ends_at
                cause = "deadline passed" if is_late else "endpoint is silent"
                return Failure(cause=cause, was_run=True, at=endpoint.id)
            try:
                is_open = connection.receive(timeout_s=wait_s)
            except TimeoutError:
                continue
            head = reader.head
            if head is None:
                if not is_open:
                    return Failure(
                        cause="closed without an answer", was_run=True, at=endpoint.id
                    )
                continue
            if head.status != 200 or not self._is_valid(head):
                if reader.complete or not is_open:
                    return self._judge(head, reader, endpoint)
                continue
            events = self._splitter.feed(reader.take_body())
            if events:
                if not ticket.has_started:
                    self._context.dispatcher.started(ticket)
                    self._note_first(endpoint)
                self._pass_events(head, events)
                silent_at = self._clock.monotonic() + pause_s
            if reader.complete:
                if self._splitter.has_rest:
                    return Failure(
                        cause="stream ends within an event",
                        was_run=True,
                        at=endpoint.id,
                    )
                self._finish_stream(head, endpoint)
                return None
            if not is_open:
                return Failure(cause="stream broke", was_run=True, at=endpoint.id)

    def _note_first(self, endpoint):
        now = self._clock.monotonic()
        self._context.observe("first_token_s", now - self._arrived_at, self._route)
        self._context.log(
            "stream.started",
            request=self.request_id,
            endpoint=endpoint.id,
            after_s=round(now - self._arrived_at, 4),
        )

    def _pass_events(self, head, events):
        if not self._is_head_sent:
            headers = wire.returned_headers(head)
            headers.append((b"transfer-encoding", b"chunked"))
            self._add_connection(headers)
            self._write(encode_head(200, headers) + encode_chunk(b"".join(events)))
            self._is_head_sent = True
            return
        self._write(encode_chunk(b"".join(events)))

    def _finish_stream(self, head, endpoint):
        if not self._is_head_sent:
            self._pass_events(head, [])
        self._write(LAST_CHUNK)
        self._finished("answered", 200, endpoint.id)

    # Plain services.

    def _call(self):
        history = self._new_history()
        while True:
            endpoint = self._context.balancer.choose(self._service, avoid=self._avoid)
            if endpoint is None:
                self._end_unplaced(history, None)
                return
            outcome = self._call_once(endpoint, history)
            if outcome is None:
                return
            self._context.balancer.note_failure(endpoint, is_full=outcome.is_full)
            self._avoid.add(endpoint.id)
            if not self._may_go_on(history, outcome):
                self._fail(history, outcome)
                return

    def _call_once(self, endpoint, history):
        balancer = self._context.balancer
        started = self._clock.monotonic()
        self._n_sends += 1
        silent_at = self._ends_at
        if history.may_repeat and history.n_runs + 1 < history.max_attempts:
            silence_s = ANSWER_SILENCE_FACTOR * self._route.first_piece_s
            silent_at = min(silent_at, started + silence_s)
        with balancer.use(endpoint):
            try:
                connection = open_connection(
                    endpoint.address, timeout_s=CONNECT_TIMEOUT_S
                )
            except NotConnectedError as error:
                return Failure(
                    cause=f"no connection: {error}", was_run=False, has_arrived=False
                )
            history.n_runs += 1
            try:
                self._send(connection, endpoint)
                failure = self._receive_whole(connection, silent_at)
            except (OSError, MalformedMessageError) as error:
                failure = Failure(cause=f"broken: {error!r}", was_run=True)
            finally:
                connection.close()
        if failure is None:
            balancer.note_success(endpoint, self._clock.monotonic() - started)
            self._answer_whole(connection.reader, endpoint)
        elif not failure.was_run:
            history.n_runs -= 1
            history.n_refused += 1
        return failure

    def _receive_whole(self, connection, silent_at):
        reader = connection.reader
        n_body = 0
        while not reader.complete:
            wait_s = min(silent_at, self._ends_at) - self._clock.monotonic()
            if wait_s <= 0:
                return Failure(cause="endpoint is silent", was_run=True)
            try:
                is_open = connection.receive(timeout_s=wait_s)
            except TimeoutError:
                continue
            n_body = sum(len(part) for part in reader.body)
            if n_body > MAX_ANSWER_BYTES:
                return Failure(cause="answer is too large", was_run=True)
            if not is_open and not reader.complete:
                return Failure(cause="closed within the answer", was_run=True)
        if reader.head.status >= 300 or not self._is_valid(reader.head):
            return self._judge(reader.head, reader, None)
        return None

    def _answer_whole(self, reader, endpoint):
        body = reader.take_body()
        headers = wire.returned_headers(reader.head)
        headers.append((b"content-length", str(len(body)).encode()))
        self._add_connection(headers)
        self._write(encode_head(reader.head.status, headers) + body)
        self._finished("answered", reader.head.status, endpoint.id)

    # Failures and final answers.

    def _new_history(self):
        return AttemptHistory(
            may_repeat=self._route.may_repeat, max_attempts=self._route.max_attempts
        )

    def _is_valid(self, head):
        if not wire.answers_attempt(head, self._facts.attempt_id):
            return False
        if head.header(b"content-encoding") is not None:
            return False
        return wire.is_signed(head) or head.status >= 300

    def _judge(self, head, reader, endpoint):
        """Return what a whole answer that is no success means."""
        at = wire.faulty_endpoint(head)
        if at is None and endpoint is not None:
            at = endpoint.id
        if not wire.answers_attempt(head, self._facts.attempt_id):
            return Failure(cause="answer of another request", was_run=True, at=at)
        if wire.was_not_run(head):
            return Failure(
                cause=f"refused with {head.status}",
                was_run=False,
                is_full=head.status in (429, 503),
                at=at,
            )
        is_whole = reader.complete and self._is_valid(head) and wire.is_signed(head)
        return Failure(
            cause=f"answered {head.status}",
            was_run=True,
            at=at,
            head=head if is_whole and head.status >= 300 else None,
            body=reader.take_body(),
        )

    def _may_go_on(self, history, failure):
        now = self._clock.monotonic()
        self._context.observe("sends_failed", 1.0, self._route)
        self._context.log(
            "request.send_failed",
            request=self.request_id,
            endpoint=failure.at or "",
            cause=failure.cause,
            may_have_run=failure.was_run,
            send=self._n_sends,
        )
        if now >= self._ends_at or not history.may_send():
            return False
        if not failure.has_arrived:
            return True
        return self._context.try_repeat(self._service.name, now)

    def _end_unplaced(self, history, rejection):
        if rejection is None:
            cause, retry_after_s = "no endpoint was free in time", RETRY_AFTER_S
        else:
            cause, retry_after_s = rejection.reason, rejection.retry_after_s
        self._fail(history, Failure(cause=cause, was_run=False), retry_after_s)

    def _fail(self, history, failure, retry_after_s=RETRY_AFTER_S):
        if self._is_head_sent:
            self.keep_alive = False
            self._finished("broken_off", 200, failure.at, cause=failure.cause)
            raise ClientGoneError("the stream can't be completed")
        if failure.head is not None:
            headers = wire.returned_headers(failure.head)
            headers.append((b"content-length", str(len(failure.body)).encode()))
            self._add_connection(headers)
            self._write(encode_head(failure.head.status, headers) + failure.body)
            self._finished(
                "failed_by_endpoint", failure.head.status, failure.at, failure.cause
            )
            return
        is_late = self._clock.monotonic() >= self._ends_at
        status = history.failure_status(is_late=is_late)
        self._refuse(status, failure.cause, retry_after_s=retry_after_s)

    def _refuse(self, status, cause, *, retry_after_s=RETRY_AFTER_S):
        """Send an answer of this node."""
        body = (cause + "\n").encode()
        headers = [
            (b"content-type", b"text/plain"),
            (b"content-length", str(len(body)).encode()),
        ]
        if self._facts.attempt_id is not None:
            headers.append((b"x-attempt-id", self._facts.attempt_id))
        if status in (429, 503):
            headers.append((b"retry-after", b"%.2f" % retry_after_s))
        self._add_connection(headers)
        self._write(encode_head(status, headers) + body)
        self._finished("refused" if status == 503 else "failed", status, None, cause)

    def _add_connection(self, headers):
        if self._context.is_draining():
            self.keep_alive = False
        if not self.keep_alive:
            headers.append((b"connection", b"close"))

    def _write(self, data):
        left_s = max(0.05, self._client_ends_at - self._clock.monotonic())
        self._sock.settimeout(left_s)
        try:
            self._sock.sendall(data)
        except OSError as error:
            raise ClientGoneError(f"client can't be written: {error!r}") from error

    def _finished(self, outcome, status, endpoint_id, cause=""):
        took_s = self._clock.monotonic() - self._arrived_at
        self._context.observe("request_s", took_s, self._route, outcome=outcome)
        self._context.observe("requests", 1.0, self._route, outcome=outcome)
        configuration = self._context.knowledge.configuration
        self._context.log(
            "request.finished",
            request=self.request_id,
            outcome=outcome,
            status=status,
            cause=cause,
            endpoint=endpoint_id or "",
            sends=self._n_sends,
            route=self._route.name if self._route else "",
            prompt_tokens=self._facts.prompt_tokens,
            configuration=configuration.version if configuration else 0,
            took_s=round(took_s, 4),
        )


def _send_quietly(connection, message):
    try:
        connection.sock.sendall(message)
    except OSError:
        # The receiving side sees the same failure and reports it.
        return
