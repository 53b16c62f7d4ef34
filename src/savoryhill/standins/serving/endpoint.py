"""Stand-in of an endpoint: streams of events or whole answers, and faults.

A fault is a word that applies to the next requests:

- ``cut``: the stream is reset within its third event
- ``silent``: nothing more is sent after the request
- ``full``: the request is refused without running
- ``failing``: the endpoint runs the request and answers 500
- ``truncated``: the stream ends in order, but within an event
- ``foreign``: the answer bears the id of another request
- ``extra``: bytes follow the answer
- ``unframed``: the answer has no length and ends with its connection
- ``unframed_reset``: the same, but the connection is reset within the answer
- ``encoded``: the answer bears a content encoding that nobody asked for
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

N_EVENTS = 6


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request as the endpoint saw it; ``was_run`` is False for a refused one."""

    attempt_id: str
    headers: tuple
    body: bytes
    at: float
    was_run: bool


@dataclass(kw_only=True)
class EndpointStandIn:
    """One endpoint; ``faults`` is consumed by the next requests."""

    id: str
    clock: object
    n_events: int = N_EVENTS
    event_interval_s: float = 0.005
    response_delay_s: float = 0.005
    faults: deque = field(default_factory=deque)
    arrivals: list = field(default_factory=list)
    n_cancelled: int = 0
    ended_at_by_attempt: dict = field(default_factory=dict)
    held_until_by_reservation: dict = field(default_factory=dict)

    def handle(self, sock, request):
        """Answer one request; return whether the connection stays open."""
        if request.target == names.ORDER_PATH:
            return self._order(sock, json.loads(request.body))
        fault = self.faults.popleft() if self.faults else None
        expected = request.header(names.EXPECTED_ENDPOINT)
        refused = expected != self.id.encode() or fault == "full"
        attempt = request.header(names.ATTEMPT_ID) or b""
        self.arrivals.append(
            Arrival(
                attempt_id=attempt.decode(),
                headers=tuple(request.headers),
                body=request.body,
                at=self.clock.monotonic(),
                was_run=not refused,
            )
        )
        if expected != self.id.encode():
            return _send(sock, 421, [(names.ATTEMPT_ID, attempt)], b"")
        if fault == "full":
            headers = [(names.ATTEMPT_ID, attempt), (names.NOT_RUN, b"1")]
            return _send(sock, 503, headers, b"")
        if fault == "silent":
            gevent.sleep(3600.0)
        if fault == "foreign":
            attempt = b"of-another-request"
        headers = [(names.ATTEMPT_ID, attempt), (names.SIGNATURE, self.id.encode())]
        if fault == "failing":
            return _send(sock, 500, headers, b"failed")
        if request.header(names.TOKEN_COUNTS) is not None:
            return self._stream(sock, request, headers, fault)
        gevent.sleep(self.response_delay_s)
        answer = b"done by " + self.id.encode()
        if fault in ("unframed", "unframed_reset"):
            return _send_unframed(sock, headers, answer, fault)
        if fault == "encoded":
            headers = [*headers, (b"content-encoding", b"gzip")]
        _send(sock, 200, headers, answer)
        if fault == "extra":
            sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra")
        return True

    def _order(self, sock, order):
        held = self.held_until_by_reservation
        if order["operation"] == "reserve":
            held[order["id"]] = self.clock.monotonic() + order["holdMs"] / 1000
        elif order["operation"] == "release":
            held.pop(order["id"], None)
        else:
            return _send(sock, 400, [], b"")
        return _send(sock, 200, [], b'{"unused":0}')

    def held_reservations(self):
        """Return the ids of reservations that hold memory now."""
        now = self.clock.monotonic()
        return [r for r, end in self.held_until_by_reservation.items() if end > now]

    def _stream(self, sock, request, headers, fault):
        last = int(request.header(names.LAST_EVENT_ID) or b"0")
        headers = [*headers, (b"transfer-encoding", b"chunked")]
        try:
            sock.sendall(encode_head(200, headers))
            for number in range(last + 1, self.n_events + 1):
                gevent.sleep(self.event_interval_s)
                event = b"id: %d\ndata: piece %d\n\n" % (number, number)
                if fault in ("cut", "truncated") and number == last + 3:
                    sock.sendall(encode_chunk(event[:9]))
                    return self._break(sock, fault)
                sock.sendall(encode_chunk(event))
            sock.sendall(LAST_CHUNK)
        except OSError:
            self.n_cancelled += 1
            return False
        finally:
            attempt = (request.header(names.ATTEMPT_ID) or b"").decode()
            self.ended_at_by_attempt[attempt] = self.clock.monotonic()
        return True

    def _break(self, sock, fault):
        if fault == "truncated":
            sock.sendall(LAST_CHUNK)
            return True
        _reset_at_close(sock)
        return False


def _reset_at_close(sock):
    sock.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_LINGER, struct.pack("ii", 1, 0))


def _send_unframed(sock, headers, answer, fault):
    is_cut = fault == "unframed_reset"
    sock.sendall(encode_head(200, headers) + (answer[:4] if is_cut else answer))
    if is_cut:
        # The reset must not overtake the bytes before it.
        gevent.sleep(0.02)
        _reset_at_close(sock)
    return False


def _send(sock, status, headers, body):
    headers = [*headers, (b"content-length", str(len(body)).encode())]
    sock.sendall(encode_head(status, headers) + body)
    return True


def start_endpoint(endpoint, *, address=("127.0.0.1", 0)):
    """Serve an endpoint and return its server."""
    return start_server(address, endpoint.handle)
