"""Generations: a job for each send, and events that are passed on as they arrive."""

import gevent

from savoryhill.core.scheduling.messages import (
    ENDPOINT_FAILED,
    ENDPOINT_FULL,
    FINISHED,
    JobRejected,
    JobSubmit,
)
from savoryhill.errors import EndpointError, MalformedMessageError, NotConnectedError
from savoryhill.serving.answering import RETRY_AFTER_S
from savoryhill.serving.events import EventSplitter
from savoryhill.serving.http import open_connection
from savoryhill.serving.reservations import Reservations
from savoryhill.serving.sending import CONNECT_TIMEOUT_S, Failure

# An engine is silent if its first event takes this much longer than predicted.
FIRST_SILENCE_FACTOR = 2.0
FIRST_SILENCE_S = 1.0
# A stream is silent after this many of its allowed pauses.
PAUSE_SILENCE_FACTOR = 4.0
MIN_PAUSE_SILENCE_S = 1.0


class Generation:
    """Runs one streaming request on as many engines as it takes and may use."""

    def __init__(self, *, request, answer, history):
        self._request = request
        self._answer = answer
        self._history = history
        self._context = request.context
        self._splitter = EventSplitter(last_id=request.facts.last_event_id)

    def run(self):
        """Serve the request; the answer is complete when this returns."""
        request, dispatcher = self._request, self._context.dispatcher
        while True:
            ticket = self._submit()
            try:
                decision = self._await_decision(ticket)
                if decision is None or isinstance(decision, JobRejected):
                    dispatcher.cancel(ticket)
                    self._end_unplaced(decision)
                    return
                failure = self._run_placed(ticket, decision)
            except BaseException:
                dispatcher.cancel(ticket)
                raise
            if failure is None:
                dispatcher.finish(ticket, FINISHED)
                return
            at_fault = failure.at or decision.endpoints[0]
            what = ENDPOINT_FULL if failure.is_full else ENDPOINT_FAILED
            dispatcher.finish(ticket, what, at_fault)
            request.avoid.add(at_fault)
            if not request.may_go_on(self._history, failure):
                self._answer.fail(failure, self._history)
                return

    def _submit(self):
        request = self._request
        request.n_sends += 1
        needs_budget, request.needs_budget = request.needs_budget, False
        route, workspace = request.route, request.workspace
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        now = self._context.clock.monotonic()
        return self._context.dispatcher.submit(
            JobSubmit(
                job_id=f"{request.id}.{request.n_sends}",
                service=request.service.name,
                zone=self._context.settings.zone,
                workspace=workspace.name if workspace else "",
                prompt_tokens=request.facts.prompt_tokens,
                answer_tokens=request.facts.answer_tokens,
                due_s=request.arrived_at + route.target_latency_s - now,
                ends_s=request.ends_at - now,
                pause_s=route.pause_s,
                priority=priority,
                avoid=tuple(request.avoid),
                endpoints=(),
                has_started=False,
                is_repeat=request.n_sends > 1,
                needs_budget=needs_budget,
            )
        )

    def _await_decision(self, ticket):
        try:
            return ticket.decision.get(timeout=max(0.0, self._request.left_s()))
        except gevent.Timeout:
            return None

    def _end_unplaced(self, rejection):
        if rejection is None:
            cause, retry_after_s = "no endpoint was free in time", RETRY_AFTER_S
        else:
            cause, retry_after_s = rejection.reason, rejection.retry_after_s
        failure = Failure(cause=cause, was_run=False)
        self._answer.fail(failure, self._history, retry_after_s=retry_after_s)

    def _run_placed(self, ticket, decision):
        """Run on the engines of a decision; return None, or what failed."""
        known = self._context.knowledge.endpoints_by_id
        endpoints = [known.get(name) for name in decision.endpoints]
        for name, endpoint in zip(decision.endpoints, endpoints, strict=True):
            if endpoint is None or not self._context.knowledge.is_usable(endpoint):
                # The scheduling node may know less of the store than this one.
                return Failure(
                    cause="endpoint is unknown or leaving",
                    was_run=False,
                    has_arrived=False,
                    at=name,
                )
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
            return self._run_with(ticket, decision, endpoints, helpers)

    def _run_with(self, ticket, decision, endpoints, helpers):
        first = endpoints[0]
        try:
            connection = open_connection(first.address, timeout_s=CONNECT_TIMEOUT_S)
        except NotConnectedError as error:
            return Failure(
                cause=f"no connection: {error}",
                was_run=False,
                has_arrived=False,
                at=first.id,
            )
        self._history.n_runs += 1
        # What an earlier run left of an event belongs to no other run.
        self._splitter = EventSplitter(last_id=self._splitter.last_id)
        silent_at = (
            self._context.clock.monotonic()
            + FIRST_SILENCE_S
            + FIRST_SILENCE_FACTOR * decision.predicted_first_s
        )
        try:
            self._request.send(
                connection,
                first,
                helpers=helpers,
                last_event_id=self._splitter.last_id,
            )
            failure = self._relay(connection, ticket, first, silent_at)
        except (OSError, MalformedMessageError) as error:
            failure = Failure(cause=f"broken: {error!r}", was_run=True, at=first.id)
        finally:
            connection.close()
        if failure is not None and not failure.was_run:
            self._history.n_runs -= 1
            self._history.n_refused += 1
            return _named(failure, endpoints)
        return failure

    def _relay(self, connection, ticket, endpoint, silent_at):
        """Pass a stream on; return None if it was complete, else what failed."""
        request, reader = self._request, connection.reader
        pause_s = max(MIN_PAUSE_SILENCE_S, request.route.pause_s * PAUSE_SILENCE_FACTOR)
        while True:
            wait_s = min(silent_at - self._context.clock.monotonic(), request.left_s())
            if wait_s <= 0:
                is_late = request.left_s() <= 0
                cause = "deadline passed" if is_late else "endpoint is silent"
                return Failure(cause=cause, was_run=True, at=endpoint.id)
            try:
                is_open = connection.receive(timeout_s=wait_s)
            except TimeoutError:
                continue
            if reader.head is None:
                if not is_open:
                    return Failure(
                        cause="closed without an answer", was_run=True, at=endpoint.id
                    )
                continue
            if reader.head.status != 200 or not request.is_valid(reader.head):
                if reader.complete or not is_open:
                    return request.judge(reader, endpoint)
                continue
            if self._pass_on(reader, ticket, endpoint):
                silent_at = self._context.clock.monotonic() + pause_s
            if reader.complete:
                return self._end(reader, endpoint)
            if not is_open:
                return Failure(cause="stream broke", was_run=True, at=endpoint.id)

    def _pass_on(self, reader, ticket, endpoint):
        """Pass the whole events received so far on; return whether there were any."""
        events = self._splitter.feed(reader.take_body())
        if not events:
            return False
        if not ticket.has_started:
            self._context.dispatcher.started(ticket)
            self._note_first(endpoint)
        self._answer.pass_events(reader.head, events)
        return True

    def _end(self, reader, endpoint):
        if self._splitter.has_rest:
            return Failure(
                cause="stream ends within an event", was_run=True, at=endpoint.id
            )
        self._answer.end_events(reader.head, endpoint)
        return None

    def _note_first(self, endpoint):
        request = self._request
        after_s = self._context.clock.monotonic() - request.arrived_at
        self._context.observe("first_token_s", after_s, request.route)
        self._context.log(
            "stream.started",
            request=request.id,
            endpoint=endpoint.id,
            after_s=round(after_s, 4),
        )


def _named(failure, endpoints):
    """Return a refusal with the id of the endpoint whose address it names."""
    ids_by_address = {endpoint.address: endpoint.id for endpoint in endpoints}
    if failure.at not in ids_by_address:
        return failure
    return Failure(
        cause=failure.cause,
        was_run=False,
        is_full=failure.is_full,
        at=ids_by_address[failure.at],
    )
