"""A small HTTP server for the stand-ins."""

from gevent.server import StreamServer

from savoryhill.errors import MalformedMessageError
from savoryhill.serving.http import RequestReader

MAX_BYTES = 16 * 1024 * 1024


def start_server(address, handle):
    """Serve requests on ``(host, port)``.

    Parameters
    ----------
    address : tuple of (str, int)
        Port 0 takes a free one.
    handle : callable
        Called with the socket and each request; returns whether the connection
        stays open.

    Returns
    -------
    StreamServer
        The running server.
    """

    def serve(sock, _address):
        reader = RequestReader(max_header_bytes=MAX_BYTES, max_body_bytes=MAX_BYTES)
        try:
            while True:
                while not reader.requests:
                    data = sock.recv(65_536)
                    if not data:
                        return
                    reader.feed(data)
                if not handle(sock, reader.requests.popleft()):
                    return
        except (OSError, MalformedMessageError):
            # The other side is gone, which a stand-in does not report.
            return
        finally:
            sock.close()

    server = StreamServer(address, serve, backlog=256)
    server.start()
    return server
