"""HTTP/1.1 messages over sockets, framed by the llhttp parser of ``httptools``."""

from collections import deque
from dataclasses import dataclass, field

import httptools
from gevent import socket as gsocket

from savoryhill.errors import MalformedMessageError, NotConnectedError

RECV_BYTES = 65_536
# Headers that concern one connection only.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


@dataclass(kw_only=True, slots=True)
class Request:
    """A complete request of a client; header names are in lower case."""

    method: bytes
    target: bytes
    headers: list
    body: bytes
    keep_alive: bool

    def header(self, name):
        """Return the first value of a header, or None."""
        return first_header(self.headers, name)


def first_header(headers, name):
    """Return the first value of the header with this lower-case name, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


class RequestReader:
    """Parses requests; complete ones wait in ``requests``.

    ``started`` tells whether part of a request has been received, ``too_large``
    holds the status that answers a request over its limits.
    """

    def __init__(self, *, max_header_bytes, max_body_bytes):
        self._parser = httptools.HttpRequestParser(self)
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self.requests = deque()
        self.started = False
        self.in_body = False
        self.too_large = None
        self.wants_continue = False
        self._reset()

    def _reset(self):
        self._target = []
        self._headers = []
        self._body = []
        self._n_body = 0
        self._n_header = 0

    def feed(self, data):
        """Parse received bytes.

        Raises
        ------
        MalformedMessageError
            If the bytes are no request.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedMessageError("upgrade is not supported") from error
        except httptools.HttpParserError as error:
            if self.too_large is None:
                raise MalformedMessageError(f"no HTTP request: {error}") from error

    def on_message_begin(self):
        """Start a request."""
        self._reset()
        self.started = True
        self.in_body = False

    def on_url(self, url):
        """Take a part of the request target."""
        self._target.append(url)
        self._count_header(len(url))

    def on_header(self, name, value):
        """Take a header."""
        self._headers.append((name.lower(), value))
        self._count_header(len(name) + len(value) + 4)

    def _count_header(self, n_bytes):
        self._n_header += n_bytes
        if self._n_header > self._max_header_bytes:
            self.too_large = 431
            raise MalformedMessageError("header is too large")

    def on_headers_complete(self):
        """Take note that the body follows."""
        self.in_body = True
        length = first_header(self._headers, b"content-length")
        if length is not None and int(length) > self._max_body_bytes:
            self.too_large = 413
            raise MalformedMessageError("body is too large")
        expect = first_header(self._headers, b"expect")
        self.wants_continue = expect is not None and expect.lower() == b"100-continue"

    def on_body(self, data):
        """Take a part of the body."""
        self._n_body += len(data)
        if self._n_body > self._max_body_bytes:
            self.too_large = 413
            raise MalformedMessageError("body is too large")
        self._body.append(data)

    def on_message_complete(self):
        """Queue the request."""
        self.requests.append(
            Request(
                method=self._parser.get_method(),
                target=b"".join(self._target),
                headers=self._headers,
                body=b"".join(self._body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )
        self.started = False
        self.in_body = False


@dataclass(kw_only=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: list

    def header(self, name):
        """Return the first value of a header, or None."""
        return first_header(self.headers, name)


class ResponseReader:
    """Parses one response; ``body`` holds the parts not yet taken."""

    def __init__(self):
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self.head = None
        self.body = []
        self.complete = False
        self.has_extra = False
        self.ends_with_connection = False

    def feed(self, data):
        """Parse received bytes.

        Raises
        ------
        MalformedMessageError
            If the bytes are no response.
        """
        if self.complete:
            self.has_extra = True
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise MalformedMessageError(f"no HTTP response: {error}") from error
            self.has_extra = True

    def feed_end(self):
        """Take note that the connection was closed in order."""
        if self.head is not None and self.ends_with_connection:
            self.complete = True

    def on_message_begin(self):
        """Notice bytes after a complete response."""
        if self.complete:
            self.has_extra = True

    def on_header(self, name, value):
        """Take a header."""
        if not self.complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Take the head; interim responses are dropped."""
        if self.complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._headers = []
            return
        self.head = ResponseHead(status=status, headers=self._headers)
        names = {name for name, _ in self._headers}
        self.ends_with_connection = not (
            names & {b"content-length", b"transfer-encoding"}
        )

    def on_body(self, data):
        """Take a part of the body."""
        if not self.complete:
            self.body.append(data)

    def on_message_complete(self):
        """Take note that the response is whole."""
        if self.head is not None:
            self.complete = True

    def take_body(self):
        """Return and forget the body received so far."""
        data = b"".join(self.body)
        self.body.clear()
        return data


def encode_request(method, target, headers, body):
    """Encode a request with its length; ``headers`` are pairs of bytes."""
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        parts += (b"content-length: ", str(len(body)).encode(), b"\r\n")
    parts += (b"\r\n", body)
    return b"".join(parts)


REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def encode_head(status, headers):
    """Encode the status line and headers of a response."""
    parts = [b"HTTP/1.1 %d " % status, REASONS.get(status, b"Status"), b"\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)


def encode_chunk(data):
    """Encode one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def split_address(address):
    """Split ``ip:port``."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


@dataclass(kw_only=True)
class Connection:
    """A client connection to an HTTP server, for one exchange at a time."""

    sock: object
    reader: ResponseReader = field(default_factory=ResponseReader)

    def send(self, data, *, timeout_s):
        """Send all bytes."""
        self.sock.settimeout(timeout_s)
        self.sock.sendall(data)

    def receive(self, *, timeout_s):
        """Receive once and parse; return False at the end of the connection.

        Raises
        ------
        TimeoutError
            If nothing came.
        OSError
            If the connection broke.
        MalformedMessageError
            If the bytes are no response.
        """
        self.sock.settimeout(timeout_s)
        data = self.sock.recv(RECV_BYTES)
        if not data:
            self.reader.feed_end()
            return False
        self.reader.feed(data)
        return True

    def close(self):
        """Close the connection."""
        self.sock.close()


def open_connection(address, *, timeout_s):
    """Connect to ``ip:port``.

    Raises
    ------
    NotConnectedError
        If no connection could be made; nothing was sent.
    """
    sock = gsocket.socket(gsocket.AF_INET, gsocket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
        sock.connect(split_address(address))
    except OSError as error:
        sock.close()
        raise NotConnectedError(f"{address}: {error!r}") from error
    except BaseException:
        sock.close()
        raise
    return Connection(sock=sock)
