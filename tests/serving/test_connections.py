"""Outgoing connections."""

import gevent
import pytest
from gevent.server import StreamServer

from savoryhill.serving.ways.connection import open_connection


class TestSourceHost:
    def test_connection_leaves_from_the_named_address(self):
        sources = []
        server = StreamServer(
            ("127.0.0.1", 0), lambda _, source: sources.append(source)
        )
        server.start()
        try:
            connection = open_connection(
                f"127.0.0.1:{server.server_port}",
                timeout_s=1.0,
                source_host="127.9.8.7",
            )
            with gevent.Timeout(1.0):
                while not sources:
                    gevent.sleep(0.001)
            connection.close()
        finally:
            server.stop(timeout=0)
        assert sources[0][0] == "127.9.8.7"


class TestAbort:
    @pytest.mark.parametrize("is_waiting", [False, True], ids=["later", "waiting"])
    def test_response_without_a_length_is_not_complete(self, is_waiting):
        # Guards against the end that this node gives a connection being taken for the
        # end of the answer on it.
        def answer(sock, _address):
            sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf of ")
            gevent.sleep(5.0)

        server = StreamServer(("127.0.0.1", 0), answer)
        server.start()
        try:
            address = f"127.0.0.1:{server.server_port}"
            connection = open_connection(address, timeout_s=1.0)
            connection.receive(timeout_s=1.0)
            if is_waiting:
                gevent.spawn_later(0.05, connection.abort)
            else:
                connection.abort()
            with pytest.raises(OSError):
                connection.receive(timeout_s=1.0)
            assert not connection.reader.complete
        finally:
            connection.close()
            server.stop(timeout=0)
