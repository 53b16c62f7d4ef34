"""Outgoing connections."""

import gevent
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
