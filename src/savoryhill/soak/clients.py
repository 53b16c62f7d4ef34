"""Clients of a soak; each keeps its connection until the other end closes it."""

import gevent

from savoryhill.errors import MalformedMessageError, NotConnectedError
from savoryhill.serving.http import ResponseReader, encode_request, open_connection
from savoryhill.soak.observations import Asked

KINDS = ("chat", "chat", "chat", "once", "order", "stock", "huge")
REMAINING_S = 4.0
LEAVE_SHARE = 0.1
REVOKED_SHARE = 0.2
THINK_S = 0.15
GIVE_UP_S = 2.0


class Client:
    """Asks one node after the other; ``asked`` collects what it saw."""

    def __init__(self, *, number, deployment, random, clock, asked, is_calm):
        self._number = number
        self._deployment = deployment
        self._random = random
        self._clock = clock
        self._asked = asked
        self._is_calm = is_calm
        self._connection = None
        self._node = None
        self._n_requests = 0

    def run(self, until):
        """Send requests until a time."""
        while self._clock.monotonic() < until:
            gevent.sleep(self._random.expovariate(1.0 / THINK_S))
            self._ask()
        self._drop()

    def _drop(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _ask(self):
        if self._connection is None:
            self._node = self._random.choice(self._deployment.nodes)
            try:
                self._connection = open_connection(self._node.address, timeout_s=1.0)
            except NotConnectedError:
                return
        kind = self._random.choice(KINDS)
        self._n_requests += 1
        name = f"c{self._number}-{self._n_requests}"
        key = self._choose_key()
        incarnation = self._node.incarnation
        sent_at = self._clock.monotonic()
        leaves = self._random.random() < LEAVE_SHARE
        status, body, complete, left_at = self._exchange(name, kind, key, leaves)
        ended_at = self._clock.monotonic()
        self._asked.append(
            Asked(
                id=name,
                kind=kind,
                node=self._node.name,
                incarnation=incarnation,
                sent_at=sent_at,
                ended_at=ended_at,
                remaining_s=REMAINING_S,
                status=status,
                body=body,
                is_complete=complete,
                was_calm=self._is_calm(sent_at - 3.0, ended_at),
                left_at=left_at,
                key=key,
            )
        )

    def _choose_key(self):
        """Choose a key, now and then one that was taken away."""
        if self._random.random() < REVOKED_SHARE:
            return self._random.choice(("key-0", "key-1", "key-2"))
        return self._random.choice(self._deployment.keys)

    def _exchange(self, name, kind, key, leaves):
        connection = self._connection
        reader = connection.reader = ResponseReader()
        headers = [
            (b"host", b"site.example"),
            (b"x-attempt-id", name.encode()),
            (b"x-time-remaining", b"%d" % (REMAINING_S * 1000)),
            (b"authorization", b"Bearer " + key.encode()),
        ]
        if kind in ("chat", "once"):
            headers.append((b"x-token-counts", b"1000,300"))
        elif kind == "huge":
            headers.append((b"x-token-counts", b"450000,300"))
        method = b"GET" if kind == "stock" else b"POST"
        path = f"/{kind}/x".encode()
        ends_at = self._clock.monotonic() + REMAINING_S + GIVE_UP_S
        body, left_at = b"", None
        try:
            connection.send(encode_request(method, path, headers, b""), timeout_s=1.0)
            if leaves:
                gevent.sleep(self._random.uniform(0.0, 0.4))
                left_at = self._clock.monotonic()
            else:
                body = self._receive(connection, ends_at)
        except (OSError, MalformedMessageError):
            # What has arrived so far is what the client saw.
            body += reader.take_body()
        body = body or reader.take_body()
        status = reader.head.status if reader.head else None
        closes = reader.head is not None and reader.head.header(b"connection")
        if left_at is not None or not reader.complete or closes == b"close":
            self._drop()
        return status, body, reader.complete, left_at

    def _receive(self, connection, ends_at):
        reader = connection.reader
        while not reader.complete:
            left_s = ends_at - self._clock.monotonic()
            if left_s <= 0 or not connection.receive(timeout_s=left_s):
                break
        return reader.take_body()
