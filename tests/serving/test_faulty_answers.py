"""Answers of faulty endpoints that operators of similar systems have reported."""

import gevent
import pytest
from gevent.server import StreamServer

from savoryhill.core.repeats import MAX_REFUSED_SENDS
from savoryhill.errors import MalformedMessageError
from savoryhill.serving.http import encode_chunk
from savoryhill.serving.ways.connection import open_connection
from savoryhill.standins.serving.endpoint import _reset_at_close

ALL_PATHS = ["/chat/x", "/once/x", "/order/x", "/stock/x"]
SERVICES = {"chat": "pool", "once": "pool", "order": "app", "stock": "app"}
EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7)]
IDENTITY = b"x-attempt-id: %b\r\nx-response-signature: s\r\n"
REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nx-attempt-id: another\r\nx-not-executed: 1\r\n"
    b"content-length: 0\r\n\r\n"
)


class RawEndpoint:
    """Answers each request with bytes, and then ends the connection.

    In ``answer``, ``%b`` stands for the id of the request. ``late`` is sent once the
    answer is, on the same connection. The connection ends with a reset if ``is_reset``.
    """

    def __init__(self, *, answer, late=b"", is_reset=False):
        self.answer = answer
        self.late = late
        self.is_reset = is_reset
        self.n_requests_by_connection = []
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    @property
    def n_requests(self):
        return sum(self.n_requests_by_connection)

    def _serve(self, sock, _address):
        number = len(self.n_requests_by_connection)
        self.n_requests_by_connection.append(0)
        received = b""
        while b"\r\n\r\n" not in received:
            data = sock.recv(65_536)
            if not data:
                return
            received += data
        self.n_requests_by_connection[number] += received.count(b" HTTP/1.1\r\n")
        _, _, rest = received.partition(b"x-attempt-id: ")
        sock.sendall(self.answer.replace(b"%b", rest.split(b"\r\n")[0]))
        # The caller reads the answer before the connection ends.
        gevent.sleep(0.03)
        if self.late:
            try:
                sock.sendall(self.late)
            except OSError:
                return
        if self.is_reset:
            _reset_at_close(sock)
        sock.close()


@pytest.fixture
def add_raw(deployment):
    """Start an endpoint that answers with given bytes, and register it."""

    def add(endpoint_id, path, *, zone="zone-a", **script):
        endpoint = RawEndpoint(**script)
        deployment.servers.append(endpoint.server)
        service = SERVICES[path.split("/")[1]]
        deployment.register(
            endpoint_id, service=service, zone=zone, address=endpoint.address
        )
        return endpoint

    return add


def is_repeatable(path):
    return path in ("/chat/x", "/stock/x")


class TestRefusalWrittenAgain:
    """An endpoint writes the refusal of an earlier request once more."""

    @pytest.mark.parametrize("path", ALL_PATHS)
    def test_in_place_of_the_answer_is_no_promise(self, deployment, add_raw, path):
        # Guards against callers who are told that a request has not run which an
        # endpoint runs, and against a request that runs twice.
        endpoints = [add_raw(f"e{n}", path, answer=REFUSAL) for n in range(2)]
        deployment.add_node()
        assert deployment.ask(path)[0] == 502
        n_requests = sum(endpoint.n_requests for endpoint in endpoints)
        assert n_requests == (2 if is_repeatable(path) else 1)

    @pytest.mark.parametrize("path", ["/chat/x", "/stock/x"])
    def test_in_place_of_the_answer_leads_to_another_endpoint(
        self, deployment, add_raw, path
    ):
        # Of two idle engines, the one in the node's zone is used.
        faulty = add_raw("e1", path, answer=REFUSAL)
        service = SERVICES[path.split("/")[1]]
        deployment.add_endpoint("e2", service=service, zone="zone-b")
        deployment.add_node()
        while not faulty.n_requests:
            assert deployment.ask(path)[::3] == (200, True)

    @pytest.mark.parametrize("path", ALL_PATHS)
    def test_after_a_served_request_reaches_nobody(self, deployment, add_raw, path):
        # Guards against a connection on which an answer to an earlier request waits.
        if path in ("/chat/x", "/once/x"):
            body = b"".join(EVENTS)
        else:
            body = b"done"
        head = b"HTTP/1.1 200 OK\r\n" + IDENTITY
        answer = head + b"content-length: %d\r\n\r\n" % len(body) + body
        endpoint = add_raw("e1", path, answer=answer, late=REFUSAL)
        deployment.add_node()
        for _ in range(4):
            status, _, received, complete = deployment.ask(path)
            assert (status, received, complete) == (200, body, True)
        assert endpoint.n_requests_by_connection == [1] * 4


ERRORS = {
    "own failure": b"HTTP/1.1 500 Failed\r\n" + IDENTITY,
    "not found": b"HTTP/1.1 404 Not Found\r\n" + IDENTITY,
    "redirect": b"HTTP/1.1 302 Found\r\nlocation: /\r\n" + IDENTITY,
    "refusal": b"HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\n" + IDENTITY,
    "without a signature": b"HTTP/1.1 500 Failed\r\nx-attempt-id: %b\r\n",
    "unsigned success": b"HTTP/1.1 200 OK\r\nx-attempt-id: %b\r\n",
}
FRAMINGS = {
    "length": b"content-length: 6\r\n\r\nfailed",
    "chunks": b"transfer-encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n",
    "close": b"\r\nfailed",
}
# What an engine sends before it breaks off, and the events that are complete in it.
BEGINNINGS = {
    "within the first event": (EVENTS[0][:9], 0),
    "after an event": (EVENTS[0], 1),
    "within a later event": (EVENTS[0] + EVENTS[1] + EVENTS[2][:9], 2),
}


class TestErrorAfterBrokenStream:
    """A stream breaks off, and the next engine answers with an error."""

    @pytest.mark.parametrize("is_reset", [False, True], ids=["end", "reset"])
    @pytest.mark.parametrize("beginning", BEGINNINGS)
    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("error", ERRORS)
    def test_error_is_no_part_of_the_stream(
        self, deployment, add_raw, error, framing, beginning, is_reset
    ):
        # Guards against the text or the head of an error within a stream, and against
        # a stream that looks complete after it.
        events, n_complete = BEGINNINGS[beginning]
        head = b"HTTP/1.1 200 OK\r\n" + IDENTITY + b"transfer-encoding: chunked\r\n\r\n"
        first = add_raw(
            "e1", "/chat/x", answer=head + encode_chunk(events), is_reset=is_reset
        )
        # The engine in the node's zone is used first.
        second = add_raw(
            "e2",
            "/chat/x",
            zone="zone-b",
            answer=ERRORS[error] + FRAMINGS[framing],
        )
        deployment.add_node()
        status, _, body, complete = deployment.ask("/chat/x")
        if error == "refusal":
            # It leaves an attempt for the first engine. How often the second one is
            # asked before that depends on which of them is free sooner.
            assert first.n_requests == 2
            assert 1 <= second.n_requests <= MAX_REFUSED_SENDS
        else:
            assert (first.n_requests, second.n_requests) == (1, 1)
        if n_complete:
            assert (status, complete) == (200, False)
            assert body == b"".join(EVENTS[:n_complete])
        else:
            assert status >= 300
            assert b"piece" not in body


HEAD_CUTS = {
    "status line": b"HTTP/1.1 200 OK",
    "after the status line": b"HTTP/1.1 200 OK\r\n",
    "within a name": b"HTTP/1.1 200 OK\r\n" + IDENTITY + b"content-le",
    "within a value": b"HTTP/1.1 200 OK\r\n" + IDENTITY + b"content-length: 1",
    "after a header": b"HTTP/1.1 200 OK\r\n" + IDENTITY + b"content-length: 20\r\n",
    "before the last line end": b"HTTP/1.1 200 OK\r\n" + IDENTITY + b"\r",
    "after a length": b"HTTP/1.1 200 OK\r\n" + IDENTITY + b"content-length: 20\r\n\r\n",
    "within a body": b"HTTP/1.1 200 OK\r\n"
    + IDENTITY
    + b"content-length: 20\r\n\r\nab",
    "after the word chunked": b"HTTP/1.1 200 OK\r\n"
    + IDENTITY
    + b"transfer-encoding: chunked\r\n\r\n",
    "within a chunk": b"HTTP/1.1 200 OK\r\n"
    + IDENTITY
    + b"transfer-encoding: chunked\r\n\r\n6\r\nab",
    "before the last chunk": b"HTTP/1.1 200 OK\r\n"
    + IDENTITY
    + b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
}


class TestHeadCut:
    """An endpoint stops within the head of its answer, or just after it."""

    @pytest.mark.parametrize("is_reset", [False, True], ids=["end", "reset"])
    @pytest.mark.parametrize("cut", HEAD_CUTS)
    @pytest.mark.parametrize("path", ALL_PATHS)
    def test_answer_does_not_look_complete(
        self, deployment, add_raw, path, cut, is_reset
    ):
        # Guards against a success with an empty or short body that is framed as whole.
        endpoints = [
            add_raw(f"e{n}", path, answer=HEAD_CUTS[cut], is_reset=is_reset)
            for n in range(2)
        ]
        deployment.add_node()
        assert deployment.ask(path)[0] == 502
        n_requests = sum(endpoint.n_requests for endpoint in endpoints)
        assert n_requests == (2 if is_repeatable(path) else 1)

    @pytest.mark.parametrize("path", ALL_PATHS)
    def test_reset_after_a_head_without_framing_is_not_complete(
        self, deployment, add_raw, path
    ):
        answer = b"HTTP/1.1 200 OK\r\n" + IDENTITY + b"\r\n"
        add_raw("e1", path, answer=answer, is_reset=True)
        deployment.add_node()
        assert deployment.ask(path)[0] == 502


GOOD_END = b"content-length: 12\r\n\r\nid: 1\ndata\n\n"
LENGTH_5 = b"content-length: 5\r\n\r\nhello"
# What an endpoint in trouble sends. Bytes follow that would make an answer of it for
# a reader which takes it for an interim answer, or passes over the line.
STATUSES = {
    name: b"HTTP/1.1 %b Trouble\r\n" % status + IDENTITY + rest
    for name, status, rest in (
        ("000", b"000", LENGTH_5),
        ("000 without a body", b"000", b"\r\n"),
        ("099", b"099", LENGTH_5),
        ("600", b"600", LENGTH_5),
        ("999", b"999", LENGTH_5),
    )
}
FIELD_NAMES = {
    "blank within": b"x bad",
    "blank before the colon": b"content-length ",
    "blank before the name": b" x-bad",
    "tab": b"x\tbad",
    "control byte": b"x\x01bad",
    "zero byte": b"x\x00bad",
    "vertical tab": b"transfer-encoding\x0b",
    "carriage return": b"x\rbad",
    "delete": b"x\x7fbad",
}
SIGNED = b"HTTP/1.1 200 OK\r\n" + IDENTITY
MALFORMED_HEADS = {
    **{
        f"status {name}": answer + SIGNED + GOOD_END
        for name, answer in STATUSES.items()
    },
    **{
        f"{name} in a head": SIGNED + field_name + b": 5\r\n" + GOOD_END
        for name, field_name in FIELD_NAMES.items()
    },
    **{
        f"{name} in an interim answer": b"HTTP/1.1 103 Early\r\n"
        + field_name
        + b": 5\r\n\r\n"
        + SIGNED
        + GOOD_END
        for name, field_name in FIELD_NAMES.items()
    },
}


class TestMalformedHead:
    """Each guards against an answer to the client that its endpoint has not given."""

    @pytest.mark.parametrize("path", ALL_PATHS)
    @pytest.mark.parametrize("answer", MALFORMED_HEADS)
    def test_is_no_answer(self, deployment, add_raw, answer, path):
        endpoints = [
            add_raw(f"e{n}", path, answer=MALFORMED_HEADS[answer]) for n in range(2)
        ]
        deployment.add_node()
        status, headers, body, _ = deployment.ask(path)
        assert (status, b"hello" in body) == (502, False)
        assert not any(b"bad" in name for name in headers)
        n_requests = sum(endpoint.n_requests for endpoint in endpoints)
        assert n_requests == (2 if is_repeatable(path) else 1)

    @pytest.mark.parametrize("answer", ["status 000", "control byte in a head"])
    def test_is_no_answer_through_another_node(
        self, deployment, add_raw, add_cut_node, answer
    ):
        endpoint = add_raw("e1", "/order/x", answer=MALFORMED_HEADS[answer])
        add_cut_node([endpoint.address])
        status, _, body, _ = deployment.ask("/order/x", node=1)
        assert (status, b"hello" in body) == (502, False)
        assert deployment.nodes[1].context.ways.n_relayed == 1

    @pytest.mark.parametrize("path", ALL_PATHS)
    @pytest.mark.parametrize("name", FIELD_NAMES)
    def test_in_trailers_the_answer_has_no_end(self, deployment, add_raw, name, path):
        body = encode_chunk(EVENTS[0]) + b"0\r\n"
        trailer = FIELD_NAMES[name] + b": 5\r\n\r\n"
        answer = SIGNED + b"transfer-encoding: chunked\r\n\r\n" + body + trailer
        add_raw("e1", path, answer=answer)
        deployment.add_node()
        status, _, _, complete = deployment.ask(path)
        assert not (status == 200 and complete)


class TestMalformedHeadOfOtherAnswers:
    """Reports and orders of endpoints, and the store, are read by the same reader."""

    @pytest.mark.parametrize("answer", MALFORMED_HEADS)
    def test_receive_all_fails(self, answer):
        endpoint = RawEndpoint(answer=MALFORMED_HEADS[answer])
        connection = open_connection(endpoint.address, timeout_s=1.0)
        connection.send(b"GET / HTTP/1.1\r\nx-attempt-id: a\r\n\r\n", timeout_s=1.0)
        with pytest.raises(MalformedMessageError):
            connection.receive_all(timeout_s=1.0)
        endpoint.server.stop()
