"""Answers that arrive while the request is being sent, and are cut by a reset."""

import gevent
import pytest
from gevent.server import StreamServer

from savoryhill.serving.ways.connection import open_connection
from savoryhill.standins.serving.endpoint import _reset_at_close

HEAD = b"HTTP/1.1 200 OK\r\nx-response-signature: s\r\n\r\n"
EVENTS = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
# More than the buffers of both sockets hold.
UPLOAD = bytes(6_000_000)
SERVICES = {"/chat/x": "pool", "/once/x": "pool", "/plain-once/x": "app"}
SERVICES |= {"/order/x": "app", "/stock/x": "app"}
LIMITS = {"maxBodyBytes": 2 * len(UPLOAD)}


class EarlyEndpoint:
    """Answers once it has read the head of a request, and ends the connection then."""

    def __init__(self, *, is_reset):
        self.is_reset = is_reset
        self.n_requests = 0
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def _serve(self, sock, _address):
        received = b""
        while b"\r\n\r\n" not in received:
            data = sock.recv(1_024)
            if not data:
                return
            received += data
        self.n_requests += 1
        sock.sendall(HEAD + EVENTS)
        # The caller has read the answer so far, and its buffers are full.
        gevent.sleep(0.05)
        if self.is_reset:
            _reset_at_close(sock)
        else:
            # A close with unread bytes would be a reset.
            n_left = len(UPLOAD) - len(received.partition(b"\r\n\r\n")[2])
            while n_left > 0:
                n_left -= len(sock.recv(65_536))
        sock.close()


@pytest.fixture
def start_early(deployment):
    """Start an endpoint that answers early, and register it."""
    deployment.configure(limits=LIMITS)

    def start(endpoint_id, path, *, is_reset=True):
        endpoint = EarlyEndpoint(is_reset=is_reset)
        deployment.servers.append(endpoint.server)
        deployment.register(
            endpoint_id, service=SERVICES[path], address=endpoint.address
        )
        return endpoint

    return start


def is_whole(answer):
    status, _, _, complete = answer
    return status == 200 and complete


class TestReset:
    """Each guards against a part of an answer that its client gets as the whole."""

    N_REQUESTS = 6

    @pytest.mark.parametrize("path", SERVICES)
    def test_answer_is_not_complete(self, deployment, start_early, path):
        endpoint = start_early("e1", path)
        deployment.add_node()
        for _ in range(self.N_REQUESTS):
            assert not is_whole(deployment.ask(path, body=UPLOAD))
        assert endpoint.n_requests >= 1

    @pytest.mark.parametrize("path", SERVICES)
    def test_answer_through_another_node_is_not_complete(
        self, deployment, start_early, add_cut_node, path
    ):
        endpoint = start_early("e1", path)
        add_cut_node([endpoint.address])
        for _ in range(self.N_REQUESTS):
            assert not is_whole(deployment.ask(path, node=1, body=UPLOAD))
        assert deployment.nodes[1].context.ways.n_relayed >= 1
        assert endpoint.n_requests >= 1

    def test_reset_that_a_send_was_told_of_is_no_end(self):
        endpoint = EarlyEndpoint(is_reset=True)
        connection = open_connection(endpoint.address, timeout_s=1.0)
        connection.send(b"POST / HTTP/1.1\r\n\r\n", timeout_s=1.0)
        while not connection.reader.body:
            connection.receive(timeout_s=1.0)
        gevent.sleep(0.1)
        with pytest.raises(ConnectionResetError):
            connection.send(UPLOAD, timeout_s=1.0)
        with pytest.raises(ConnectionResetError):
            connection.receive(timeout_s=1.0)
        assert not connection.reader.complete
        endpoint.server.stop()


class TestProperEnd:
    @pytest.mark.parametrize("path", ["/order/x", "/plain-once/x"])
    def test_answer_is_complete(self, deployment, start_early, path):
        # Guards against taking an answer for broken that its endpoint has ended.
        start_early("e1", path, is_reset=False)
        deployment.add_node()
        status, _, body, complete = deployment.ask(path, body=UPLOAD)
        assert (status, body, complete) == (200, EVENTS, True)

    def test_answer_through_another_node_is_complete(
        self, deployment, start_early, add_cut_node
    ):
        add_cut_node([start_early("e1", "/order/x", is_reset=False).address])
        status, _, body, complete = deployment.ask("/order/x", node=1, body=UPLOAD)
        assert (status, body, complete) == (200, EVENTS, True)
