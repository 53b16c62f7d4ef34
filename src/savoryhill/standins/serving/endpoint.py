"""Stand-in for an endpoint that streams events or sends complete responses.

Each queued fault applies to one request:

- ``cut``: the connection is reset within the third event of the stream
- ``silent``: no response is sent and the connection stays open
- ``full``: the request is refused with 503 without being run
- ``failing``: the request is run and answered with 500
- ``truncated``: the stream ends properly, but within its third event
- ``foreign``: the response carries the id of another request
- ``extra``: a second, unsolicited response follows the first
- ``unframed``: the response has no length and ends when the connection closes
- ``unframed_reset``: like ``unframed``, but the connection is reset within the body
- ``unframed_cut``: like ``unframed``, but a stream ends within its third event
- ``unframed_empty``: like ``unframed``, but the connection ends after the headers
- ``encoded``: the response has a content encoding that was not requested
- ``endless_head``: headers are sent without end, until the caller closes
- ``endless_body``: the request is run and answered with 500 and a body without end
- ``stalled``: the stream ends after its first event, but comments go on being sent

An endpoint with ``crashing_parts`` ends when it begins to answer a prompt that has one
of them: all its connections are reset, and new ones until it is back. One with a
``named_limit`` names it in its answers, as the requests a second that it takes. One
that ``is_leaving`` says so in the head of all its answers, at ``said_leaving_at``. One
with a ``wanted_pause`` turns all requests away and names the pause, as a number of
seconds or as a date. One with a ``reported_load`` tells it in all its answers.
"""

import json
import struct
from collections import deque
from dataclasses import dataclass, field

import gevent
from gevent import socket as gsocket

from savoryhill.platform import names
from savoryhill.serving.http import LAST_CHUNK, encode_chunk, encode_head
from savoryhill.standins.serving.server import start_server

DEFAULT_EVENTS_PER_STREAM = 6
STALL_COMMENT_INTERVAL_S = 0.2
DOWN_S = 0.3
STALL_S = 1.5
UNFRAMED_FAULTS = ("unframed", "unframed_reset", "unframed_cut", "unframed_empty")
# Faults under which the caller gets no proper response of the endpoint.
BREAKING_FAULTS = frozenset(
    (
        "silent",
        "failing",
        "foreign",
        "encoded",
        "unframed_empty",
        "endless_head",
        "endless_body",
        "stalled",
    )
)
# Faults under which the helpers of a request make no difference.
UNANSWERED_FAULTS = frozenset(("silent", "failing", "endless_head", "endless_body"))
CUT_FAULTS = ("cut", "truncated", "unframed_reset", "unframed_cut")
ENDLESS_HEADERS = b"x-header: value\r\n" * 64
ENDLESS_BODY = encode_chunk(b"x" * 1024)
COMMENT = encode_chunk(b": still there\n\n")


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that the endpoint received; ``was_run`` is False if it was refused."""

    attempt_id: str
    headers: tuple
    body: bytes
    at: float
    was_run: bool


@dataclass(kw_only=True)
class EndpointStandIn:
    """One endpoint.

    Each request takes the next fault from ``faults``. ``fleet`` holds the endpoints
    that may help this one; a stream with helpers sends its events at
    ``helped_event_interval_s``. ``order_status`` is the status with which reservations
    are refused, if they are.

    It ends when it begins to run a request with a part of ``crashing_parts`` in its
    prompt or with a body of ``crashing_bodies``; a stream before the event number
    ``crashes_at_event``.

    ``n_cancelled`` counts streams whose client disconnected, ``n_orders`` the orders.
    ``lapsed`` holds the attempt id and time of each stream cut because a reservation of
    it had expired, ``released`` the reservations that were released, ``lost`` those
    that were held when the endpoint ended, and ``endless`` the fault, attempt id, start
    and end of each response that went on until the caller closed.
    ``broken_off_at_by_attempt`` holds when the endpoint has broken off an attempt, or
    begun to respond to it as it must not. ``crashes``
    holds the attempt id and time of each crash; ``on_return`` is called when the
    endpoint is back, ``down_s`` later. Until ``silent_until`` it sends nothing and then
    goes on.

    It is silent for ``stall_s`` if a helper in a request is down, and then refuses the
    request; ``stalls`` holds the attempt ids.
    """

    id: str
    clock: object
    n_events: int = DEFAULT_EVENTS_PER_STREAM
    event_interval_s: float = 0.005
    helped_event_interval_s: float = 0.005
    response_delay_s: float = 0.005
    faults: deque = field(default_factory=deque)
    arrivals: list = field(default_factory=list, repr=False)
    n_cancelled: int = 0
    n_orders: int = 0
    ended_at_by_attempt: dict = field(default_factory=dict)
    held_until_by_reservation: dict = field(default_factory=dict)
    fleet: object = field(default=(), repr=False)
    order_status: int | None = None
    lapsed: list = field(default_factory=list)
    released: set = field(default_factory=set)
    lost: set = field(default_factory=set)
    endless: list = field(default_factory=list)
    named_limit: str | None = None
    is_leaving: bool = False
    said_leaving_at: list = field(default_factory=list, repr=False)
    wanted_pause: str | None = None
    reported_load: str | None = None
    crashing_parts: set = field(default_factory=set)
    crashing_bodies: set = field(default_factory=set)
    crashes_at_event: int = 1
    crashes: list = field(default_factory=list)
    down_s: float = DOWN_S
    on_return: object = None
    is_down: bool = False
    silent_until: float = 0.0
    address: str = ""
    stall_s: float = STALL_S
    stalls: list = field(default_factory=list)
    attempt_by_open_socket: dict = field(default_factory=dict)
    broken_off_at_by_attempt: dict = field(default_factory=dict, repr=False)

    def handle(self, sock, request):
        """Respond to a request; return whether the connection stays open."""
        attempt = (request.header(names.ATTEMPT_ID) or b"").decode()
        if self.is_down:
            self._note_break(attempt)
            _reset_at_close(sock)
            return False
        self.attempt_by_open_socket[sock] = attempt
        try:
            return self._respond(sock, request) and not self.is_down
        finally:
            self.attempt_by_open_socket.pop(sock, None)

    def _note_break(self, attempt):
        self.broken_off_at_by_attempt[attempt] = self.clock.monotonic()

    def _await_silence(self):
        """Wait until the endpoint is not silent any more; return when it began to."""
        began_at = self.clock.monotonic()
        gevent.sleep(max(0.0, self.silent_until - began_at))
        return began_at

    def _respond(self, sock, request):
        if request.target == names.ORDER_PATH:
            return self._handle_order(sock, json.loads(request.body))
        fault = self.faults.popleft() if self.faults else None
        expected = request.header(names.EXPECTED_ENDPOINT)
        is_full = fault == "full" or self.wanted_pause is not None
        refused = expected != self.id.encode() or is_full
        attempt = request.header(names.ATTEMPT_ID) or b""
        silent_since = self._await_silence()
        left_at = silent_since if _is_closed_by_caller(sock) else None
        is_unhelped = fault not in UNANSWERED_FAULTS and (
            bool(self._missing(_reservations_of(request)))
            or any(peer.is_down for peer in self._helpers_of(request))
        )
        self.arrivals.append(
            Arrival(
                attempt_id=attempt.decode(),
                headers=tuple(request.headers),
                body=request.body,
                at=self.clock.monotonic(),
                was_run=not refused and not is_unhelped,
            )
        )
        if fault in BREAKING_FAULTS and not refused:
            self._note_break(attempt.decode())
        if expected != self.id.encode():
            return _send(sock, 421, [(names.ATTEMPT_ID, attempt)], b"")
        if is_full:
            return _send_not_run(sock, attempt, self._own_headers())
        if fault == "silent":
            gevent.sleep(3600.0)
        if fault == "endless_head":
            head = b"HTTP/1.1 200 OK\r\n"
            return self._send_endlessly(sock, attempt, fault, head)
        if fault == "foreign":
            attempt = b"of-another-request"
        headers = [
            (names.ATTEMPT_ID, attempt),
            (names.SIGNATURE, self.id.encode()),
            *self._own_headers(),
        ]
        if self.named_limit is not None:
            headers.append((names.RATE_LIMIT, self.named_limit.encode()))
        if fault == "endless_body":
            head = encode_head(500, [*headers, (b"transfer-encoding", b"chunked")])
            return self._send_endlessly(sock, attempt, fault, head)
        if fault == "failing":
            return _send(sock, 500, headers, b"failed")
        if self._missing(_reservations_of(request)):
            return _send_not_run(sock, attempt, self._own_headers())
        down = [peer for peer in self._helpers_of(request) if peer.is_down]
        if down:
            self.stalls.append(attempt.decode())
            self.silent_until = self.clock.monotonic() + self.stall_s
            self._await_silence()
            named = (names.FAULTY_ENDPOINT, down[0].address.encode())
            return _send_not_run(sock, attempt, [named])
        if request.header(names.TOKEN_COUNTS) is not None:
            return self._stream(sock, request, headers, fault, left_at)
        gevent.sleep(self.response_delay_s)
        if self._ends_under(request):
            self._crash(request)
            return False
        body = b"done by " + self.id.encode()
        if fault in UNFRAMED_FAULTS:
            return _send_unframed(sock, headers, body, fault)
        if fault == "encoded":
            headers = [*headers, (b"content-encoding", b"gzip")]
        _send(sock, 200, headers, body)
        if fault == "extra":
            sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra")
        return True

    def _handle_order(self, sock, order):
        held_until = self.held_until_by_reservation
        self.n_orders += 1
        headers = self._own_headers()
        if self.order_status is not None:
            return _send(sock, self.order_status, headers, b"")
        if order["operation"] == "reserve":
            held_until[order["id"]] = self.clock.monotonic() + order["holdMs"] / 1000
        elif order["operation"] == "release":
            held_until.pop(order["id"], None)
            self.released.add(order["id"])
        else:
            return _send(sock, 400, headers, b"")
        return _send(sock, 200, headers, b'{"unused":0}')

    def _helpers_of(self, request):
        """Return the endpoints of the fleet that help in a request."""
        addresses = _helpers_of(request)
        return [peer for peer in self.fleet if peer.address in addresses]

    def _own_headers(self):
        """Return the headers by which the endpoint says something of itself."""
        headers = []
        if self.is_leaving:
            self.said_leaving_at.append(self.clock.monotonic())
            headers.append((names.ENDPOINT_LEAVING, b"1"))
        if self.wanted_pause is not None:
            headers.append((b"retry-after", self.wanted_pause.encode()))
        if self.reported_load is not None:
            headers.append((names.REPORTED_LOAD, self.reported_load.encode()))
        return headers

    def held_reservations(self):
        """Return the ids of the reservations that have not expired.

        The memory of an expired reservation is free; only a new one sets it aside.
        """
        now = self.clock.monotonic()
        for reservation, held_until in list(self.held_until_by_reservation.items()):
            if held_until <= now:
                del self.held_until_by_reservation[reservation]
        return list(self.held_until_by_reservation)

    def _missing(self, reservations):
        """Return those of the reservations that no endpoint of the fleet holds."""
        return reservations.difference(
            *(peer.held_reservations() for peer in self.fleet)
        )

    def _stream(self, sock, request, headers, fault, left_at):
        """Send a stream, unless the caller had left by ``left_at``."""
        last_event_id = int(request.header(names.LAST_EVENT_ID) or b"0")
        reservations = _reservations_of(request)
        is_helped = request.header(names.HELPERS) is not None
        interval_s = (
            self.helped_event_interval_s if is_helped else self.event_interval_s
        )
        is_framed = fault not in UNFRAMED_FAULTS
        if is_framed:
            headers = [*headers, (b"transfer-encoding", b"chunked")]
        frame = encode_chunk if is_framed else bytes
        ended_at = left_at
        try:
            if left_at is not None:
                # A silent endpoint does no work, but cannot see the close either.
                self.n_cancelled += 1
                return False
            sock.sendall(encode_head(200, headers))
            if fault == "unframed_empty":
                return False
            for number in range(last_event_id + 1, self.n_events + 1):
                gevent.sleep(interval_s)
                silent_since = self._await_silence()
                if _is_closed_by_caller(sock):
                    ended_at = silent_since
                    self.n_cancelled += 1
                    return False
                is_begun = number - last_event_id >= self.crashes_at_event
                if is_begun and self._ends_under(request):
                    if _is_closed_by_caller(sock):
                        self.n_cancelled += 1
                    else:
                        self._crash(request)
                    return False
                missing = self._missing(reservations)
                if missing:
                    self._record_lapse(request, missing)
                    return self._break_stream(sock, request, "lapsed")
                event = b"id: %d\ndata: piece %d\n\n" % (number, number)
                if fault in CUT_FAULTS and number == last_event_id + 3:
                    sock.sendall(frame(event[:9]))
                    return self._break_stream(sock, request, fault)
                sock.sendall(frame(event))
                if fault == "stalled":
                    attempt = request.header(names.ATTEMPT_ID) or b""
                    return self._send_endlessly(sock, attempt, fault)
            if is_framed:
                sock.sendall(LAST_CHUNK)
        except OSError:
            self.n_cancelled += 1
            return False
        finally:
            attempt = (request.header(names.ATTEMPT_ID) or b"").decode()
            self.ended_at_by_attempt[attempt] = ended_at or self.clock.monotonic()
        return is_framed

    def _ends_under(self, request):
        if request.body in self.crashing_bodies:
            return True
        if not self.crashing_parts:
            return False
        parts = (request.header(names.PROMPT_PARTS) or b"").decode("latin-1").split(",")
        return any(part.partition(":")[0] in self.crashing_parts for part in parts[:-1])

    def _crash(self, request):
        """End all connections; the endpoint returns after ``down_s`` without memory."""
        attempt = (request.header(names.ATTEMPT_ID) or b"").decode()
        self.crashes.append((attempt, self.clock.monotonic()))
        self.is_down = True
        self.lost.update(self.held_until_by_reservation)
        self.held_until_by_reservation.clear()
        while self.attempt_by_open_socket:
            sock, open_attempt = self.attempt_by_open_socket.popitem()
            self._note_break(open_attempt)
            _reset_at_close(sock)
            sock.close()
        gevent.spawn_later(self.down_s, self._return)

    def _return(self):
        self.is_down = False
        if self.on_return is not None:
            self.on_return()

    def _send_endlessly(self, sock, attempt, fault, head=b""):
        """Send bytes that complete no response until the caller closes."""
        started_at = self.clock.monotonic()
        repeated, interval_s = {
            "endless_head": (ENDLESS_HEADERS, 0.0),
            "endless_body": (ENDLESS_BODY, 0.0),
            "stalled": (COMMENT, STALL_COMMENT_INTERVAL_S),
        }[fault]
        try:
            sock.sendall(head)
            while True:
                sock.sendall(repeated)
                gevent.sleep(interval_s)
        except OSError:
            self.endless.append(
                (fault, attempt.decode(), started_at, self.clock.monotonic())
            )
        return False

    def _record_lapse(self, request, missing):
        """Record a stream cut for reservations, unless they lapsed for another reason.

        The caller releases them when it has closed the stream, which may be seen here
        a little later. An endpoint that ends loses those that it held.
        """
        lost = {name for peer in self.fleet for name in peer.lost}
        if missing <= lost:
            return
        if missing <= {name for peer in self.fleet for name in peer.released}:
            self.n_cancelled += 1
            return
        attempt = (request.header(names.ATTEMPT_ID) or b"").decode()
        self.lapsed.append((attempt, self.clock.monotonic()))

    def _break_stream(self, sock, request, fault):
        self._note_break((request.header(names.ATTEMPT_ID) or b"").decode())
        if fault == "truncated":
            sock.sendall(LAST_CHUNK)
            return True
        if fault != "unframed_cut":
            # The reset must not reach the caller before the bytes sent above.
            gevent.sleep(0.02)
            _reset_at_close(sock)
        return False


def _is_closed_by_caller(sock):
    """Tell whether the caller has closed or reset its connection."""
    try:
        return sock._sock.recv(1, gsocket.MSG_PEEK | gsocket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def _reservations_of(request):
    """Return the ids of the reservations that a request uses at its helpers."""
    helpers = (request.header(names.HELPERS) or b"").decode().split(",")
    return {entry.partition("/")[2] for entry in helpers if "/" in entry}


def _helpers_of(request):
    """Return the addresses of the helpers of a request."""
    helpers = (request.header(names.HELPERS) or b"").decode().split(",")
    return {entry.partition("/")[0] for entry in helpers if entry}


def _reset_at_close(sock):
    """Make closing the socket send RST instead of FIN."""
    sock.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_LINGER, struct.pack("ii", 1, 0))


def _send_unframed(sock, headers, body, fault):
    if fault == "unframed_empty":
        body = b""
    is_reset = fault == "unframed_reset"
    sock.sendall(encode_head(200, headers) + (body[:4] if is_reset else body))
    if is_reset:
        # The reset must not reach the client before the bytes sent above.
        gevent.sleep(0.02)
        _reset_at_close(sock)
    return False


def _send(sock, status, headers, body):
    headers = [*headers, (b"content-length", str(len(body)).encode())]
    sock.sendall(encode_head(status, headers) + body)
    return True


def _send_not_run(sock, attempt, own_headers):
    headers = [(names.ATTEMPT_ID, attempt), (names.NOT_RUN, b"1"), *own_headers]
    return _send(sock, 503, headers, b"")


def start_endpoint(endpoint, *, address=("127.0.0.1", 0)):
    """Start serving an endpoint; return the server."""
    return start_server(address, endpoint.handle)
