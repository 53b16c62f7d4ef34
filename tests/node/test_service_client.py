import pytest
from gevent import socket
from gevent.server import StreamServer

from savoryhill.endpoints import service
from savoryhill.endpoints.service import call_service
from savoryhill.errors import BrokenStreamError, EndpointRefusedError, NotSentError


@pytest.fixture
def serve_raw():
    """Start servers that answer each connection with fixed bytes and close it."""
    servers = []

    def start(answer):
        received = []

        def handle(sock, _):
            received.append(sock.recv(65536))
            if answer:
                sock.sendall(answer)
            sock.close()

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        servers.append(server)
        return f"127.0.0.1:{server.server_port}", received

    yield start
    for server in servers:
        server.stop(timeout=0.1)


def call_order_service(address, method="POST", timeout_s=2.0, **more):
    return call_service(
        address,
        method=method,
        path="/call/order?n=1",
        body=b"{}",
        headers={"Idempotency-Key": "k", **more},
        timeout_s=timeout_s,
        not_run_statuses=(429,),
    )


class TestCallService:
    # Guards against the HTTP client repeating a call after the connection closed:
    # geventhttpclient 2.6.1 sends GET, PUT and DELETE up to three times.
    @pytest.mark.parametrize("method", ["GET", "POST", "PUT", "PATCH", "DELETE"])
    def test_call_is_sent_once_and_outcome_is_unknown(self, serve_raw, method):
        address, received = serve_raw(b"")
        with pytest.raises(BrokenStreamError, match="may have run"):
            call_order_service(address, method)
        assert len(received) == 1
        assert received[0].startswith(f"{method} /call/order?n=1 HTTP/1.1".encode())

    # Guards against an answer of a service in trouble that is passed on.
    @pytest.mark.parametrize(
        "head",
        [
            b"HTTP/1.1 000 Trouble\r\n",
            b"HTTP/1.1 099 Trouble\r\n",
            b"HTTP/1.1 600 Trouble\r\n",
            b"HTTP/1.1 200 OK\r\nx bad: 1\r\n",
            b"HTTP/1.1 200 OK\r\nx\x01bad: 1\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
        ],
    )
    def test_malformed_head_is_no_answer(self, serve_raw, head):
        address, _ = serve_raw(head + b"Content-Length: 2\r\n\r\nok")
        with pytest.raises(BrokenStreamError):
            call_order_service(address)

    # Guards against a truncated response that is passed on as complete.
    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
            b"HTTP/1.1 20",
            b"nonsense\r\n\r\n",
        ],
    )
    def test_truncated_response_has_unknown_outcome(self, serve_raw, answer):
        address, _ = serve_raw(answer)
        with pytest.raises(BrokenStreamError):
            call_order_service(address)

    def test_refused_connection_is_not_sent(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            with pytest.raises(NotSentError):
                call_order_service(address)

    # Guards against reporting an unknown outcome for a call of which no byte was sent.
    def test_connect_timeout_is_not_sent(self, monkeypatch):
        monkeypatch.setattr(service, "CONNECT_TIMEOUT_S", 0.2)
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        pending_sockets = []
        for _ in range(3):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
            pending_sockets.append(sock)
        try:
            with pytest.raises(NotSentError, match="no connection"):
                call_order_service(f"127.0.0.1:{listener.getsockname()[1]}")
        finally:
            for sock in (*pending_sockets, listener):
                sock.close()

    def test_call_without_remaining_time_is_not_sent(self, serve_raw):
        address, received = serve_raw(b"")
        with pytest.raises(NotSentError):
            call_order_service(address, timeout_s=0.0)
        assert not received

    # Guards against header injection by a caller into the request to the service.
    def test_header_with_a_line_break_is_not_sent(self, serve_raw):
        address, received = serve_raw(b"")
        with pytest.raises(NotSentError):
            call_order_service(address, Extra="a\r\nX-Fence: 9")
        assert not received

    @pytest.mark.parametrize(
        "head", [b"429 Busy\r\n", b"503 Busy\r\nnot-run: true\r\n"]
    )
    def test_refusal_before_execution_is_recognized(self, serve_raw, head):
        address, _ = serve_raw(b"HTTP/1.1 " + head + b"Content-Length: 0\r\n\r\n")
        with pytest.raises(EndpointRefusedError):
            call_order_service(address)

    # Guards against taking the 503 of a gateway as a refusal or as the response.
    def test_503_without_not_run_header_has_unknown_outcome(self, serve_raw):
        address, _ = serve_raw(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        with pytest.raises(BrokenStreamError):
            call_order_service(address)

    # Guards against a response that arrives slowly without end, so that no single read
    # times out.
    def test_timeout_covers_the_whole_call(self):
        def send_slowly(sock, _):
            try:
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n")
                while not stop_requested:
                    sock.sendall(b"x")
                    gevent_sleep(0.02)
            except OSError:
                pass

        from gevent import sleep as gevent_sleep

        stop_requested = []
        server = StreamServer(("127.0.0.1", 0), send_slowly)
        server.start()
        try:
            with pytest.raises(BrokenStreamError):
                call_order_service(f"127.0.0.1:{server.server_port}", timeout_s=0.2)
        finally:
            stop_requested.append(True)
            server.stop(timeout=0.1)
