"""A request while it is sent to endpoints: its deadlines, sends and failures."""

import math
from dataclasses import dataclass, replace

import gevent

from savoryhill.core.observations.parts import (
    digest_parts,
    digest_request,
    name_digests,
)
from savoryhill.core.silence import Denial, RepeatSituation
from savoryhill.errors import RelayLostError, WayLostError
from savoryhill.platform import headers as platform_headers
from savoryhill.serving.http import encode_request

# A round trip and the TCP handshake take a few milliseconds. TCP resends a lost packet
# after one second, which is too late for most latency objectives.
CONNECT_TIMEOUT_S = 0.2
UNROUTED_TIMEOUT_S = 0.5
# How long a request waits before it looks again at when its response is due: the node
# may have begun to stop.
RECHECK_S = 0.25
# A request for which this node has found no way to so many endpoints is refused.
MAX_LOST_WAYS = 2
# Requests up to this size fit into the connection's send buffer.
MAX_BUFFERED_REQUEST_BYTES = 16_384


@dataclass(frozen=True, kw_only=True, slots=True)
class SendFailure:
    """Outcome of a send without a successful response.

    ``may_have_run`` is False only if the endpoint provably did not run the request.
    ``reached_endpoint`` is False if nothing reached an endpoint; such a send does not
    draw on the repeat budget. ``connection_ended`` tells whether the endpoint ended the
    connection before its response was complete. ``endpoint`` is the id of the endpoint
    at fault, or the address under which another endpoint named it. ``is_silent`` tells
    that the run was ended by this node, for a repeat or as its time was up, and
    ``send`` which one it was, if that is not the last. ``was_aborted`` tells that this
    node has ended its connection for another reason. ``head`` and
    ``body`` are set if the endpoint responded with an error of its own that may be
    forwarded to the client. ``lost_way`` tells that this node has no way to the
    endpoint, which may be sound, ``was_withheld`` that the endpoint has said meanwhile
    that it wants nothing.
    """

    cause: str
    may_have_run: bool
    reached_endpoint: bool = True
    is_full: bool = False
    lost_way: bool = False
    was_withheld: bool = False
    is_silent: bool = False
    was_aborted: bool = False
    send: int = 0
    connection_ended: bool = False
    endpoint: str | None = None
    head: object = None
    body: bytes = b""

    @property
    def ended_by(self):
        """Who ended the run: ``"node"``, ``"endpoint"`` or ``"path"``."""
        if self.lost_way:
            return "path"
        was_node = self.is_silent or self.was_aborted or self.endpoint is None
        return "node" if was_node else "endpoint"

    @property
    def blames_endpoint(self):
        """Whether the endpoint should get fewer requests for this."""
        return not (self.lost_way or self.was_withheld)


class ServedRequest:
    """A client's request with its route, deadlines and sends.

    ``due_at`` is when the final response is due for the client and the route,
    ``deadline_at`` when it is due at the latest, also because the node stops, and
    ``client_deadline_at`` when the client stops waiting. ``n_submissions`` counts the
    jobs that were submitted for it, sent or not. ``avoided_endpoint_ids`` holds
    the endpoints that failed this request, ``n_lost_ways`` counts those to which this
    node found no way. ``needs_budget`` tells whether the next send draws on the
    leader's repeat budget. ``was_sent`` tells whether a send has begun, ``heard_at``
    when a run was last heard (None before the first event), and ``last_denial`` why no
    repeat was granted since then or since the last send. ``part_digests`` identifies
    the parts that the prompt may share with others, ``digest`` the request and all its
    repetitions.
    """

    def __init__(self, *, context, message):
        self.context = context
        self.message = message
        self.metadata = platform_headers.decode_request_metadata(message)
        self.arrived_at = context.clock.monotonic()
        self.due_at = self.client_deadline_at = self.arrived_at + UNROUTED_TIMEOUT_S
        self.route = None
        self.service = None
        self.workspace = None
        self.n_sends = 0
        self.chosen_by = None
        self.n_submissions = 0
        self.n_lost_ways = 0
        self.avoided_endpoint_ids = set()
        self.needs_budget = False
        self.was_sent = False
        self.heard_at = None
        self.last_denial = ""
        self.part_digests = ()
        self.digest = ""
        self._answer_buffers = []

    @property
    def id(self):
        """Return the request's id as text."""
        return (self.metadata.attempt_id or b"none").decode("latin-1")

    @property
    def deadline_at(self):
        """Return when the final response is due at the latest."""
        return min(self.due_at, self.context.answers_until())

    def set_route(self, route, service, workspace):
        """Set the route of the request and the deadlines that follow from it."""
        self.route = route
        self.service = service
        self.workspace = workspace
        remaining_s = self.metadata.remaining_s
        if remaining_s is None:
            remaining_s = route.timeout_s
        self.client_deadline_at = self.arrived_at + remaining_s
        self.due_at = self.arrived_at + min(remaining_s, route.timeout_s)
        self.part_digests = digest_parts(service.name, self.metadata.shared_parts)
        self.digest = digest_request(
            host=self.message.header(b"host") or b"",
            path=self.message.target,
            caller=workspace.name if workspace else "",
            body_digest=self.message.body_digest,
        )

    def open_answer_buffer(self, endpoint, *, on_evict):
        """Return the buffer for what is kept of an endpoint's response."""
        buffer = self.context.answer_budget.open(endpoint.id, on_evict=on_evict)
        self._answer_buffers.append(buffer)
        return buffer

    def close_answer_buffers(self):
        """Give back what was kept of the responses, once the request has ended."""
        for buffer in self._answer_buffers:
            self.context.answer_budget.close(buffer)

    def time_left_s(self):
        """Return the seconds until the final response is due."""
        return self.deadline_at - self.context.clock.monotonic()

    def send(self, connection, endpoint, *, helpers=(), last_event_id=None):
        """Send the request to an endpoint.

        Raises
        ------
        OSError
            If the connection broke; the endpoint may have received the request.
        """
        timeout_s = max(0.01, self.time_left_s())
        self.was_sent = True
        self.last_denial = ""
        headers = platform_headers.forwarded_headers(
            self.message,
            endpoint_id=endpoint.id,
            workspace=self.workspace.name if self.workspace else None,
            remaining_s=timeout_s,
            helpers=helpers,
            last_event_id=last_event_id,
        )
        data = encode_request(
            self.message.method, self.message.target, headers, self.message.body
        )
        self.context.log(
            "request.sent",
            request=self.id,
            endpoint=endpoint.id,
            endpoint_revision=endpoint.revision,
            helpers=len(helpers),
            send=self.n_sends,
            relay=connection.relay,
            last_event_id=last_event_id,
            chosen_by=self.chosen_by,
        )
        if len(data) <= MAX_BUFFERED_REQUEST_BYTES:
            connection.send(data, timeout_s=timeout_s)
            return
        # Sent in the background, because the endpoint may respond before it has read
        # the whole body.
        gevent.spawn(_send_in_background, connection, data, timeout_s=timeout_s)

    def is_valid(self, head):
        """Tell whether a response is the endpoint's own, to this request, unencoded."""
        if not platform_headers.matches_attempt_id(head, self.metadata.attempt_id):
            return False
        if head.header(b"content-encoding") is not None:
            return False
        return platform_headers.is_signed(head) or head.status >= 300

    def find_withheld(self, endpoint):
        """Return the failure of a send to an endpoint that has said it wants none.

        Load pattern: many requests are on their way to an endpoint when it begins to
        leave, or names a pause. Whatever has not been sent by then is kept back. The
        row of the endpoint may have changed since it was chosen.

        Returns
        -------
        SendFailure or None
            None if the request may be sent.
        """
        statements, view = self.context.endpoint_statements, self.context.cluster_view
        if view.is_still_usable(endpoint) and not statements.pause_left_s(endpoint):
            return None
        return SendFailure(
            cause="the endpoint leaves or wants a pause since it was chosen",
            may_have_run=False,
            reached_endpoint=False,
            was_withheld=True,
            endpoint=endpoint.id,
        )

    def judge_end(self, failure, endpoint, connection):
        """Return the failure of a send, without blame if only its path was lost."""
        if not failure.connection_ended:
            return failure
        if not self.context.ways.is_path_at_fault(
            endpoint, relay=connection.relay, was_silent=False
        ):
            return failure
        return replace(failure, connection_ended=False, lost_way=True)

    def await_pauses(self, *, max_wait_s=math.inf):
        """Wait while all endpoints of the service want nothing from this node.

        Load pattern: a burst brings all endpoints of a service into need at once. A
        pause may be longer than the node goes on if it begins to stop meanwhile.

        Parameters
        ----------
        max_wait_s : float
            A pause that is longer is not waited for, in seconds.

        Returns
        -------
        float
            0 if one takes a request now; else the seconds until one does, which are too
            many for this request.
        """
        while True:
            wait_s = self.context.endpoint_statements.wait_s(self.service.name)
            if wait_s <= 0.0:
                return 0.0
            time_left_s = self.time_left_s() - self.route.target_latency_s
            if wait_s > min(time_left_s, max_wait_s):
                return wait_s
            self.context.clock.sleep(min(wait_s, RECHECK_S))

    def classify_failure(self, reader, endpoint):
        """Return the failure that an unsuccessful response stands for."""
        head = reader.head
        named = platform_headers.faulty_endpoint(head)
        faulty_endpoint = named or endpoint.id
        if not platform_headers.matches_attempt_id(head, self.metadata.attempt_id):
            return SendFailure(
                cause="answer of another request",
                may_have_run=True,
                endpoint=faulty_endpoint,
            )
        if platform_headers.was_not_run(head):
            return SendFailure(
                cause=f"refused with {head.status}",
                may_have_run=False,
                # One that it names is a helper that is gone, not one that is full.
                is_full=head.status in (429, 503)
                and named in (None, endpoint.id, endpoint.address),
                endpoint=faulty_endpoint,
            )
        is_authentic = (
            reader.complete and self.is_valid(head) and platform_headers.is_signed(head)
        )
        return SendFailure(
            cause=f"answered {head.status}",
            may_have_run=True,
            endpoint=faulty_endpoint,
            head=head if is_authentic and head.status >= 300 else None,
            body=reader.take_body(),
        )

    def situation(self, history, *, needed_s, is_suspect, other_ids, **ids):
        """Return what decides whether this request is repeated, while a run goes on."""
        now = self.context.clock.monotonic()
        return RepeatSituation(
            may_send=history.may_send(),
            needed_s=needed_s,
            due_in_s=self.due_at - now,
            stops_in_s=self.context.answers_until() - now,
            is_suspect=is_suspect,
            other_ids=frozenset(other_ids),
            **ids,
        )

    def note_failed_send(self, failure, *, has_started=False):
        """Record a failed send; ``has_started`` tells whether it had an event."""
        self.context.observe("sends_failed", 1.0, self.route)
        self.context.log(
            "request.send_failed",
            request=self.id,
            endpoint=failure.endpoint or "",
            cause=failure.cause,
            may_have_run=failure.may_have_run,
            send=failure.send or self.n_sends,
            started=has_started,
            parts=name_digests(self.part_digests),
            digest=self.digest,
            lost_way=failure.lost_way,
        )
        self.n_lost_ways += failure.lost_way and not failure.reached_endpoint

    def allow_repeat(self, history, failure, *, has_started=False):
        """Record a failed send and tell whether the request may be sent again.

        ``has_started`` tells whether the send had its first event.
        Once this node's share of the repeat budget is used up, sets ``needs_budget``
        for services with engines: the leader then decides on the next send.
        """
        self.note_failed_send(failure, has_started=has_started)
        cause = self._find_repeat_denial(history, failure)
        if cause is not None:
            self.last_denial = cause
            self.context.log(
                "request.no_repeat_granted",
                request=self.id,
                send=failure.send or self.n_sends,
                cause=cause,
            )
        return cause is None

    def _find_repeat_denial(self, history, failure):
        """Return why the request is not sent again after a failed send, or None."""
        if self.n_lost_ways >= MAX_LOST_WAYS:
            return "this node has found no way to several endpoints"
        if self.time_left_s() <= 0:
            is_stop = self.due_at > self.context.answers_until()
            return (Denial.STOP if is_stop else Denial.DEADLINE).value
        if not history.may_send():
            return Denial.ATTEMPTS.value
        if not failure.reached_endpoint or self.take_budget():
            return None
        return Denial.BUDGET.value

    def take_budget(self):
        """Count the next send as a repeat; return whether the budget may allow it.

        Once this node's share is used up, sets ``needs_budget`` for services with
        engines: the leader then decides on the next send.
        """
        now = self.context.clock.monotonic()
        self.needs_budget = False
        if self.context.repeat_budgets.try_local_repeat(self.service, now):
            return True
        self.needs_budget = self.service.engine is not None
        return self.needs_budget


def describe_unreached(error, endpoint):
    """Return the failure of a send for which no connection could be made."""
    return SendFailure(
        cause=f"no connection: {error}",
        may_have_run=False,
        reached_endpoint=False,
        lost_way=isinstance(error, WayLostError),
        endpoint=endpoint.id,
    )


def describe_break(error, endpoint):
    """Return the failure of a send whose connection broke, or carried no response."""
    return SendFailure(
        cause=f"broken: {error!r}",
        may_have_run=True,
        connection_ended=isinstance(error, ConnectionError),
        was_aborted=isinstance(error, ConnectionAbortedError),
        lost_way=isinstance(error, RelayLostError),
        endpoint=endpoint.id,
    )


def _send_in_background(connection, data, *, timeout_s):
    try:
        # Set here, as the receiving greenlet has set its own since. A call that waits
        # keeps the timeout that it began with.
        connection.send(data, timeout_s=timeout_s)
    except OSError:
        # The receiving greenlet sees the same failure and reports it.
        return
