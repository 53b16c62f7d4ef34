"""Minimal HTTP server for the stand-ins."""

from gevent.server import StreamServer

from savoryhill.errors import MalformedMessageError
from savoryhill.serving.http import RequestReader

# Limit of the headers and, separately, of the body of a request.
MAX_SECTION_BYTES = 16 * 1024 * 1024


def start_server(address, handle):
    """Serve requests on ``(host, port)``.

    Parameters
    ----------
    address : tuple of (str, int)
        Host and port; port 0 picks a free port.
    handle : callable
        Called with the socket and each request; returns True to keep the connection
        open and False to close it.

    Returns
    -------
    gevent.server.StreamServer
        The running server.
    """

    def serve(sock, _address):
        reader = RequestReader(
            max_header_bytes=MAX_SECTION_BYTES, max_body_bytes=MAX_SECTION_BYTES
        )
        try:
            while True:
                while not reader.requests:
                    data = sock.recv(65_536)
                    if not data:
                        return
                    reader.feed(data)
                    if reader.error_status is not None:
                        return
                if not handle(sock, reader.take_request()):
                    return
        except (OSError, MalformedMessageError):
            # The client disconnected or sent no valid HTTP; stand-ins do not log this.
            return
        finally:
            sock.close()

    server = StreamServer(address, serve, backlog=256)
    server.start()
    return server
