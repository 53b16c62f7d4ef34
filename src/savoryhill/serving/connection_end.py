"""The end of a client's connection that the node closes."""

import contextlib

import gevent
from gevent import socket as gsocket

RECV_BYTES = 65_536
# How long a client has to close its side. Clients that respect the end of a response
# close at once.
CLOSE_TIMEOUT_S = 0.5


def finish(sock, last_bytes=b""):
    """Send the last bytes, half-close, and read until the client closes its side.

    Takes ``CLOSE_TIMEOUT_S`` at most; a connection that is broken is left as it is.
    Closing a socket with unread bytes, or bytes that reach a closed socket, reset the
    connection: what the client has not received of the response by then is lost. The
    bytes that are read belong to no request that is answered.
    """
    sock.settimeout(CLOSE_TIMEOUT_S)
    with (
        contextlib.suppress(OSError),
        gevent.Timeout(CLOSE_TIMEOUT_S, TimeoutError),
    ):
        if last_bytes:
            sock.sendall(last_bytes)
        sock.shutdown(gsocket.SHUT_WR)
        while sock.recv(RECV_BYTES):
            pass
