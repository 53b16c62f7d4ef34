"""Repeats that take over from a run, and those that have failed themselves by then."""

import gevent
import gevent.event
import pytest
from gevent.server import StreamServer

from savoryhill.errors import RelayLostError
from savoryhill.serving.http import ResponseReader
from savoryhill.serving.ways.connection import Connection, open_connection
from savoryhill.serving.ways.relay_stream import LENGTH, RESET_MARK
from savoryhill.serving.ways.relayed_connection import RelayedConnection
from savoryhill.soak.deployment import route
from savoryhill.standins.serving.endpoint import _reset_at_close

HEAD = b"HTTP/1.1 200 OK\r\nx-attempt-id: %b\r\nx-response-signature: s\r\n"
BODY = b"0123456789" * 8
HALF = BODY[:40]
FRAMINGS = {
    "no length": (b"", HALF, BODY),
    "length": (b"content-length: 80\r\n", HALF, BODY),
    "chunks": (
        b"transfer-encoding: chunked\r\n",
        b"50\r\n" + HALF,
        b"50\r\n" + BODY + b"\r\n0\r\n\r\n",
    ),
}
# The kinds of routes, each with a service of its own kind.
SERVICES = {"/stock/x": "app", "/plain-chat/x": "app", "/chat/x": "pool"}
# How long it takes to find out whose fault a broken connection is, for the repeat.
JUDGED_S = 0.4


class EndingEndpoints:
    """Endpoints that answer by the order of arrival, whichever of them is asked.

    The first request gets no answer; ``end_first`` resets its connection. The second
    one gets half of an answer and a reset as soon as ``end_second`` is set. All others
    get the whole.
    """

    def __init__(self, framing):
        self._head, self._half, self._whole = framing
        self.n_requests = 0
        self.end_first = gevent.event.Event()
        self.end_second = gevent.event.Event()
        self.has_sent_half = gevent.event.Event()
        self.servers = [StreamServer(("127.0.0.1", 0), self._serve) for _ in range(3)]
        for server in self.servers:
            server.start()

    def _serve(self, sock, _address):
        received = b""
        while b"\r\n\r\n" not in received:
            data = sock.recv(65_536)
            if not data:
                # A node may connect only to see whether the endpoint is there.
                return
            received += data
        self.n_requests += 1
        number = self.n_requests
        attempt = received.partition(b"x-attempt-id: ")[2].split(b"\r\n")[0]
        head = HEAD.replace(b"%b", attempt) + self._head + b"\r\n"
        if number == 1:
            self.end_first.wait()
        elif number == 2:
            sock.sendall(head + self._half)
            self.has_sent_half.set()
            self.end_second.wait()
        else:
            sock.sendall(head + self._whole)
            sock.close()
            return
        _reset_at_close(sock)
        sock.close()


@pytest.fixture
def start_ending(deployment):
    """Start the endpoints and one node, whose first judgement takes a while."""

    def start(framing, *, service, attempts=2):
        deployment.configure(
            routes=[
                route("stock", "idempotent", "app", attempts=attempts),
                *(
                    route(name, "streaming", of, resumable=True, attempts=attempts)
                    for name, of in (("chat", "pool"), ("plain-chat", "app"))
                ),
            ]
        )
        endpoints = EndingEndpoints(FRAMINGS[framing])
        for number, server in enumerate(endpoints.servers):
            deployment.servers.append(server)
            deployment.register(
                f"e{number}",
                service=service,
                address=f"127.0.0.1:{server.server_port}",
            )
        ways = deployment.add_node().context.ways
        is_path_at_fault = ways.is_path_at_fault

        durations_s = [JUDGED_S]

        def judge(endpoint, *, was_silent, **fields):
            if not was_silent and durations_s:
                gevent.sleep(durations_s.pop())
            return is_path_at_fault(endpoint, was_silent=was_silent, **fields)

        ways.is_path_at_fault = judge
        return endpoints

    return start


def await_both_ends(endpoints, *, pause_s):
    """End the repeat, which has been answered in part, and then the first run."""
    assert endpoints.has_sent_half.wait(5.0)
    gevent.sleep(0.05)
    endpoints.end_second.set()
    gevent.sleep(pause_s)
    endpoints.end_first.set()


class TestRepeatThatHasFailed:
    """Guards against a part of an answer that its client gets as the whole.

    While it is found out whose fault the broken repeat is, the first run ends as well,
    and must not hand over to the repeat.
    """

    @pytest.mark.parametrize("pause_s", [0.05, JUDGED_S / 2, 2 * JUDGED_S])
    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_does_not_take_over_a_call(
        self, deployment, start_ending, framing, pause_s
    ):
        endpoints = start_ending(framing, service="app")
        connection = deployment.open("/stock/x")
        await_both_ends(endpoints, pause_s=pause_s)
        status, _, body, _ = deployment.finish(connection)
        assert (status, HALF in body) == (502, False)
        assert endpoints.n_requests == 2

    @pytest.mark.parametrize("pause_s", [0.05, JUDGED_S / 2])
    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_another_run_serves_the_call(
        self, deployment, start_ending, framing, pause_s
    ):
        endpoints = start_ending(framing, service="app", attempts=3)
        connection = deployment.open("/stock/x")
        await_both_ends(endpoints, pause_s=pause_s)
        status, _, body, complete = deployment.finish(connection)
        assert (status, body, complete) == (200, BODY, True)
        assert endpoints.n_requests == 3

    @pytest.mark.parametrize("path", SERVICES)
    def test_counts_though_the_request_has_ended(self, deployment, start_ending, path):
        # Guards against crashes that nobody counts, as the question for a repeat ends
        # while they are judged.
        endpoints = start_ending("no length", service=SERVICES[path])
        connection = deployment.open(path)
        deployment.wait_until(lambda: endpoints.n_requests == 2)
        endpoints.has_sent_half.wait(1.0)
        endpoints.end_second.set()
        gevent.sleep(0.05)
        endpoints.end_first.set()
        status, _, _, complete = deployment.finish(connection)
        assert not (status == 200 and complete)
        lines = deployment.lines[0]
        deployment.wait_until(lambda: len(lines.fields_of("crash.observed")) == 2)
        crashed = {line["endpoint"] for line in lines.fields_of("crash.observed")}
        assert len(crashed) == 2


class TestClientThatLeaves:
    @pytest.mark.parametrize("path", SERVICES)
    def test_crash_counts(self, deployment, start_ending, path):
        # Guards against crashes that nobody counts, as their clients leave while it is
        # found out whose fault they are.
        endpoints = start_ending("no length", service=SERVICES[path])
        connection = deployment.open(path)
        deployment.wait_until(lambda: endpoints.n_requests == 1)
        endpoints.end_first.set()
        gevent.sleep(JUDGED_S / 2)
        connection.close()
        lines = deployment.lines[0]
        deployment.wait_until(lambda: lines.fields_of("crash.observed"))


class ScriptedSocket:
    """Returns or raises what it was given, one after the other."""

    def __init__(self, *received):
        self._received = list(received)

    def settimeout(self, timeout_s):
        pass

    def recv(self, _n_bytes):
        first = self._received.pop(0)
        if isinstance(first, OSError):
            raise first
        return first


class TestConnectionThatHasBroken:
    """Guards against a second receive that takes a break for a proper end."""

    def test_reset(self):
        endpoints = EndingEndpoints(FRAMINGS["no length"])
        endpoints.n_requests = 1
        address = f"127.0.0.1:{endpoints.servers[0].server_port}"
        connection = open_connection(address, timeout_s=1.0)
        connection.send(b"GET / HTTP/1.1\r\n\r\n", timeout_s=1.0)
        while not connection.reader.body:
            connection.receive(timeout_s=1.0)
        endpoints.end_second.set()
        for _ in range(2):
            with pytest.raises(ConnectionResetError):
                connection.receive(timeout_s=1.0)
        assert not connection.reader.complete
        for server in endpoints.servers:
            server.stop()

    def test_error_that_looks_like_a_wait(self):
        # The system gives up on a connection with the error of a wait that is over.
        error = TimeoutError(110, "Connection timed out")
        connection = Connection(
            sock=ScriptedSocket(error, b""), reader=ResponseReader()
        )
        connection.reader.feed(HEAD + b"\r\n" + HALF)
        with pytest.raises(TimeoutError):
            connection.receive(timeout_s=1.0)
        with pytest.raises(ConnectionResetError):
            connection.receive(timeout_s=1.0)
        assert not connection.reader.complete

    def test_reset_at_a_relay(self):
        head = HEAD + b"\r\n"
        chunks = LENGTH.pack(len(head)) + head + RESET_MARK
        connection = RelayedConnection(
            sock=ScriptedSocket(chunks, b""),
            reader=ResponseReader(),
            relay="other node",
        )
        for _ in range(2):
            with pytest.raises(ConnectionResetError) as caught:
                connection.receive(timeout_s=1.0)
            assert not isinstance(caught.value, RelayLostError)
