"""One request on its way to endpoints: its facts, its sends and their failures."""

from dataclasses import dataclass

import gevent

from savoryhill.platform import exchange as wire
from savoryhill.serving.http import encode_request

# A round trip and the handshake take a few milliseconds; a lost packet is sent again
# after a second, which is too late for most objectives.
CONNECT_TIMEOUT_S = 0.2
UNROUTED_TIMEOUT_S = 0.5
# Bodies up to this size fit the connection's buffers.
INLINE_BODY_BYTES = 16_384


@dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """A send that brought no answer: what was seen, and whether it may have run.

    ``has_arrived`` is False if nothing reached an endpoint; such a send is not
    counted as a repeat. ``at`` names the endpoint at fault. ``head`` and ``body`` are
    a failure that the endpoint itself has answered, which may be passed on.
    """

    cause: str
    was_run: bool
    has_arrived: bool = True
    is_full: bool = False
    at: str | None = None
    head: object = None
    body: bytes = b""


class ServedRequest:
    """A request of a client and what the node has decided about it.

    ``ends_at`` is when the final answer is due, ``client_ends_at`` when the client
    stops waiting. ``avoid`` holds the endpoints that failed this request,
    ``needs_budget`` tells whether the next send draws on the scheduling node's budget.
    """

    def __init__(self, *, context, message):
        self.context = context
        self.message = message
        self.facts = wire.read_facts(message)
        self.arrived_at = context.clock.monotonic()
        self.ends_at = self.client_ends_at = self.arrived_at + UNROUTED_TIMEOUT_S
        self.route = None
        self.service = None
        self.workspace = None
        self.n_sends = 0
        self.avoid = set()
        self.needs_budget = False

    @property
    def id(self):
        """Return the request's id as text."""
        return (self.facts.attempt_id or b"none").decode("latin-1")

    def take_route(self, route, service, workspace):
        """Take the route of the request, which sets its deadlines."""
        self.route = route
        self.service = service
        self.workspace = workspace
        remaining_s = self.facts.remaining_s
        if remaining_s is None:
            remaining_s = route.timeout_s
        self.client_ends_at = self.arrived_at + remaining_s
        self.ends_at = self.arrived_at + min(remaining_s, route.timeout_s)

    def left_s(self):
        """Return the seconds until the final answer is due."""
        return self.ends_at - self.context.clock.monotonic()

    def send(self, connection, endpoint, *, helpers=(), last_event_id=None):
        """Send the request to an endpoint.

        Raises
        ------
        OSError
            If the connection broke; the endpoint may have received the request.
        """
        left_s = max(0.01, self.left_s())
        headers = wire.forwarded_headers(
            self.message,
            endpoint_id=endpoint.id,
            workspace=self.workspace.name if self.workspace else None,
            remaining_s=left_s,
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
            last_event_id=last_event_id,
        )
        if len(data) <= INLINE_BODY_BYTES:
            connection.send(data, timeout_s=left_s)
            return
        # The endpoint may answer before it has read the body.
        connection.sock.settimeout(left_s)
        gevent.spawn(_send_quietly, connection, data)

    def is_valid(self, head):
        """Tell whether an answer is the endpoint's own, of this request, unencoded."""
        if not wire.answers_attempt(head, self.facts.attempt_id):
            return False
        if head.header(b"content-encoding") is not None:
            return False
        return wire.is_signed(head) or head.status >= 300

    def judge(self, reader, endpoint):
        """Return what a whole answer that is no success means."""
        head = reader.head
        at = wire.faulty_endpoint(head) or endpoint.id
        if not wire.answers_attempt(head, self.facts.attempt_id):
            return Failure(cause="answer of another request", was_run=True, at=at)
        if wire.was_not_run(head):
            return Failure(
                cause=f"refused with {head.status}",
                was_run=False,
                is_full=head.status in (429, 503),
                at=at,
            )
        is_whole = reader.complete and self.is_valid(head) and wire.is_signed(head)
        return Failure(
            cause=f"answered {head.status}",
            was_run=True,
            at=at,
            head=head if is_whole and head.status >= 300 else None,
            body=reader.take_body(),
        )

    def may_go_on(self, history, failure):
        """Record a failed send and tell whether another one may follow.

        Once this node's own part of the budget is used up, ``needs_budget`` is set for
        services of engines: the scheduling node then decides on the next send.
        """
        self.context.observe("sends_failed", 1.0, self.route)
        self.context.log(
            "request.send_failed",
            request=self.id,
            endpoint=failure.at or "",
            cause=failure.cause,
            may_have_run=failure.was_run,
            send=self.n_sends,
        )
        if self.left_s() <= 0 or not history.may_send():
            return False
        if not failure.has_arrived:
            return True
        now = self.context.clock.monotonic()
        if self.context.repeat_budgets.try_local_repeat(self.service, now):
            return True
        self.needs_budget = self.service.engine is not None
        return self.needs_budget


def _send_quietly(connection, data):
    try:
        connection.sock.sendall(data)
    except OSError:
        # The receiving side sees the same failure and reports it.
        return
