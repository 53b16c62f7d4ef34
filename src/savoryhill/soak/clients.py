"""Clients of a soak, which reuse their connection until the node closes it."""

import math
from random import Random

import gevent

from savoryhill.errors import MalformedMessageError, NotConnectedError
from savoryhill.serving.http import ResponseReader, encode_request
from savoryhill.serving.ways.connection import open_connection
from savoryhill.soak.deployment import PATIENCE_S_BY_KIND
from savoryhill.soak.observations import ObservedRequest

REQUEST_KINDS = ("chat", "chat", "chat", "once", "order", "stock", "huge")
STREAM_KINDS = ("chat", "once", "huge")
REMAINING_S = 4.0
HUGE_REMAINING_S = 8.0
DISCONNECT_PROBABILITY = 0.1
# Probability of one of the initial keys, which may have been revoked since.
INITIAL_KEY_PROBABILITY = 0.2
# Probability of a stream of the plain service in place of one of the engines.
PLAIN_STREAM_PROBABILITY = 0.2
CRASHING_PART_PROBABILITY = 0.15
CRASHING_BODY_PROBABILITY = 0.4
MEAN_THINK_TIME_S = 0.15
# How long a client waits for the response after the request's deadline.
RESPONSE_GRACE_S = 2.0


class Client:
    """Sends requests to one node at a time and appends them to ``requests``.

    It waits ``extra_patience_s`` longer for an event than all clients do at least.
    """

    def __init__(
        self,
        *,
        number,
        deployment,
        random,
        clock,
        requests,
        is_undisturbed,
        extra_patience_s,
    ):
        self._number = number
        self._extra_patience_s = extra_patience_s
        self._deployment = deployment
        self._random = random
        self._part_random = Random(f"parts/{number}")
        self._body_random = Random(f"bodies/{number}")
        self._plain_random = Random(f"plain/{number}")
        self._single_run_random = Random(f"single/{number}")
        self._clock = clock
        self._requests = requests
        self._is_undisturbed = is_undisturbed
        self._connection = None
        self._node = None
        self._n_requests = 0

    def run(self, until):
        """Send requests until a time of the clock."""
        while self._clock.monotonic() < until:
            gevent.sleep(self._random.expovariate(1.0 / MEAN_THINK_TIME_S))
            self._send_request()
        self._close_connection()

    def _close_connection(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _send_request(self):
        if self._connection is None:
            self._node = self._random.choice(self._deployment.nodes)
            try:
                self._connection = open_connection(self._node.address, timeout_s=1.0)
            except NotConnectedError:
                return
        kind = self._random.choice(REQUEST_KINDS)
        self._n_requests += 1
        request_id = f"c{self._number}-{self._n_requests}"
        key = self._choose_key()
        incarnation = self._node.incarnation
        sent_at = self._clock.monotonic()
        disconnects = self._random.random() < DISCONNECT_PROBABILITY
        remaining_s = HUGE_REMAINING_S if kind == "huge" else REMAINING_S
        status, body, complete, disconnected_at = self._exchange(
            request_id, kind, key, remaining_s, disconnects
        )
        ended_at = self._clock.monotonic()
        self._requests.append(
            ObservedRequest(
                id=request_id,
                kind=kind,
                node=self._node.name,
                incarnation=incarnation,
                sent_at=sent_at,
                ended_at=ended_at,
                remaining_s=remaining_s,
                status=status,
                body=body,
                is_complete=complete,
                was_undisturbed=self._is_undisturbed(sent_at - 3.0, ended_at),
                disconnected_at=disconnected_at,
                key=key,
                patience_s=self._patience_s(kind),
            )
        )

    def _patience_s(self, kind):
        """Return how long the client waits for the next event, in seconds."""
        if kind not in STREAM_KINDS:
            return math.inf
        return PATIENCE_S_BY_KIND[kind] + self._extra_patience_s

    def _choose_key(self):
        """Choose a valid key or, with some probability, one that may be revoked."""
        if self._random.random() < INITIAL_KEY_PROBABILITY:
            return self._random.choice(("key-0", "key-1", "key-2"))
        return self._random.choice(self._deployment.keys)

    def _choose_parts(self, request_id):
        """Return the parts of a prompt, at times with one under which engines end."""
        parts = ["aa:40", f"{request_id}:60"]
        crashing_part = self._deployment.crashing_part
        if crashing_part and self._part_random.random() < CRASHING_PART_PROBABILITY:
            parts.insert(1, f"{crashing_part}:900")
        return ",".join(parts).encode()

    def _is_single_run(self):
        """Tell whether the next stream of engines may not be repeated."""
        probability = self._deployment.single_run_probability
        return self._single_run_random.random() < probability

    def _choose_body(self, request_id, kind):
        """Return a body, at times the one under which endpoints end."""
        crashing_kind, crashing_body = self._deployment.crashing_request
        is_crashing = self._body_random.random() < CRASHING_BODY_PROBABILITY
        if is_crashing and kind == crashing_kind:
            return crashing_body
        return request_id.encode()

    def _exchange(self, request_id, kind, key, remaining_s, disconnects):
        connection = self._connection
        reader = connection.reader = ResponseReader()
        headers = [
            (b"host", b"site.example"),
            (b"x-attempt-id", request_id.encode()),
            (b"x-time-remaining", b"%d" % (remaining_s * 1000)),
            (b"authorization", b"Bearer " + key.encode()),
        ]
        path, request_body = f"/{kind}/x", self._choose_body(request_id, kind)
        if kind in ("chat", "once"):
            parts = self._choose_parts(request_id)
            if self._plain_random.random() < PLAIN_STREAM_PROBABILITY:
                # What ends endpoints is known by service and path, so it isn't sent.
                path, request_body = f"/plain-{kind}/x", request_id.encode()
                parts = f"{request_id}:100".encode()
            elif self._is_single_run():
                path, request_body = f"/single-{kind}/x", request_id.encode()
            headers.append((b"x-token-counts", b"1000,300"))
            headers.append((b"x-prompt-prefix", parts))
        elif kind == "huge":
            headers.append((b"x-token-counts", b"450000,300"))
        method = b"GET" if kind == "stock" else b"POST"
        give_up_at = self._clock.monotonic() + remaining_s + RESPONSE_GRACE_S
        disconnected_at = None
        try:
            connection.send(
                encode_request(method, path.encode(), headers, request_body),
                timeout_s=1.0,
            )
            if disconnects:
                gevent.sleep(self._random.uniform(0.0, 0.4))
                disconnected_at = self._clock.monotonic()
            elif not self._receive(connection, give_up_at, kind):
                disconnected_at = self._clock.monotonic()
        except (OSError, MalformedMessageError):
            # The client keeps the part of the body that has arrived.
            pass
        body = reader.take_body()
        status = reader.head.status if reader.head else None
        connection_header = reader.head is not None and reader.head.header(
            b"connection"
        )
        if (
            disconnected_at is not None
            or not reader.complete
            or connection_header == b"close"
        ):
            self._close_connection()
        return status, body, reader.complete, disconnected_at

    def _receive(self, connection, give_up_at, kind):
        """Receive the response; return False if its next event was awaited in vain."""
        reader = connection.reader
        patience_s = self._patience_s(kind)
        leaves_at, n_events = self._clock.monotonic() + patience_s, 0
        while not reader.complete:
            now = self._clock.monotonic()
            n_received = b"".join(reader.body).count(b"\ndata:")
            if n_received > n_events:
                n_events, leaves_at = n_received, now + patience_s
            if now >= leaves_at:
                return False
            wait_s = min(leaves_at, give_up_at) - now
            if wait_s <= 0:
                break
            try:
                if not connection.receive(timeout_s=wait_s):
                    break
            except TimeoutError:
                continue
        return True
