"""The network that tests can cut."""

import gevent
import pytest
from gevent.server import StreamServer

from savoryhill.standins.serving.network import CHECK_S, HANG, Network, make_socket_type

HOST = "127.0.0.1"


@pytest.fixture
def answering():
    """A server, and the sockets of its connections."""
    sockets = []

    def serve(sock, _address):
        sockets.append(sock)
        gevent.sleep(5.0)

    server = StreamServer((HOST, 0), serve)
    server.start()
    yield server, sockets
    server.stop(timeout=0)


class TestHangingCut:
    @pytest.mark.parametrize("ends", [False, True], ids=["bytes", "end"])
    def test_what_arrives_as_it_begins_is_received_once_it_is_healed(
        self, answering, ends
    ):
        # Guards against a connection that lives on without bytes that were sent on it.
        server, sockets = answering
        network = Network()
        sock = make_socket_type(network)()
        sock.settimeout(0.05)
        sock.bind((HOST, 0))
        sock.connect((HOST, server.server_port))
        gevent.sleep(0.01)

        def cut_and_send():
            network.cut(HOST, [f"{HOST}:{server.server_port}"], HANG)
            if ends:
                sockets[0].shutdown(1)
            else:
                sockets[0].sendall(b"sent")

        gevent.spawn_later(CHECK_S / 4, cut_and_send)
        with pytest.raises(TimeoutError):
            sock.recv(100)
        network.heal()
        assert sock.recv(100) == (b"" if ends else b"sent")
        sock.close()
