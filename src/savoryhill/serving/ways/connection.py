"""Outgoing connections to HTTP servers, for one exchange at a time."""

from contextlib import suppress
from dataclasses import dataclass
from errno import EPIPE

import gevent
from gevent import socket as gsocket

from savoryhill.errors import MalformedMessageError, NotConnectedError
from savoryhill.serving.http import MAX_BUFFERED_BYTES, ResponseReader

RECV_BYTES = 65_536
# Linux socket option: the port is chosen at the connect, when the destination is known,
# so that ports are shared between destinations.
IP_BIND_ADDRESS_NO_PORT = 24


def split_address(address):
    """Split ``ip:port`` into host and port."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


@dataclass(kw_only=True)
class Connection:
    """An outgoing connection to an HTTP server, for one exchange at a time.

    ``relay`` names the node through which it goes, empty if there is none.
    ``is_aborted`` tells that this node has ended it, ``has_broken`` that it broke under
    a send or a receive. The operating system tells of that only once: what is received
    next looks like a proper end.
    """

    sock: object
    reader: ResponseReader
    relay: str = ""
    is_aborted: bool = False
    has_broken: bool = False

    def send(self, data, *, timeout_s):
        """Send all bytes, or raise an error.

        The response may arrive meanwhile. A broken pipe is no break, as the server had
        ended the connection properly before.
        """
        self.sock.settimeout(timeout_s)
        try:
            self.sock.sendall(data)
        except OSError as error:
            # A send that takes too long has no error number.
            self.has_broken |= error.errno not in (None, EPIPE)
            raise

    def receive(self, *, timeout_s):
        """Receive and parse once; return False if the server closed the connection.

        Raises
        ------
        TimeoutError
            If no data arrived in time.
        OSError
            If the connection broke.
        MalformedMessageError
            If the bytes are not a valid HTTP response.
        """
        self.sock.settimeout(timeout_s)
        try:
            data = self.sock.recv(RECV_BYTES)
        except OSError as error:
            # A receive that takes too long has no error number.
            self.has_broken |= error.errno is not None
            raise
        if not data:
            # Not the server's end, which completes a response without a length.
            self.raise_if_aborted()
            self.raise_if_broken()
            self.reader.feed_end()
            return False
        self.reader.feed(data)
        return True

    def receive_all(self, *, timeout_s):
        """Receive until the response is complete.

        Raises
        ------
        TimeoutError
            If the response was not complete after ``timeout_s``, also if bytes of it
            kept arriving.
        OSError
            If the connection broke.
        MalformedMessageError
            If the bytes are not a valid HTTP response, or it ended early.
        """
        with gevent.Timeout(timeout_s, TimeoutError("the response is not complete")):
            while not self.reader.complete:
                is_open = self.receive(timeout_s=timeout_s)
                if not is_open and not self.reader.complete:
                    raise MalformedMessageError(
                        "connection closed before the response was complete"
                    )

    def raise_if_aborted(self):
        """Raise `ConnectionAbortedError` if this node has ended the connection."""
        if self.is_aborted:
            raise ConnectionAbortedError("this node has ended the connection")

    def raise_if_broken(self):
        """Raise `ConnectionResetError` if the connection broke before."""
        if self.has_broken:
            raise ConnectionResetError("the connection broke before")

    def abort(self):
        """End the connection; a receive that waits sees its end at once."""
        self.is_aborted = True
        with suppress(OSError):
            self.sock.shutdown(gsocket.SHUT_RDWR)

    def close(self):
        """Close the connection."""
        self.sock.close()


def open_connection(
    address, *, timeout_s, max_buffered_bytes=MAX_BUFFERED_BYTES, source_host=None
):
    """Connect to ``ip:port``.

    At most ``max_buffered_bytes`` of a response's body are kept until they are taken.
    ``source_host`` is the address of this host from which to connect, if it matters.

    Raises
    ------
    NotConnectedError
        If the connection could not be established; nothing was sent.
    """
    sock = gsocket.socket(gsocket.AF_INET, gsocket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
        if source_host is not None:
            _bind(sock, source_host)
        sock.connect(split_address(address))
    except OSError as error:
        sock.close()
        raise NotConnectedError(f"{address}: {error!r}") from error
    except BaseException:
        sock.close()
        raise
    reader = ResponseReader(max_buffered_bytes=max_buffered_bytes)
    return Connection(sock=sock, reader=reader)


def _bind(sock, host):
    with suppress(OSError):
        sock.setsockopt(gsocket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
    sock.bind((host, 0))
