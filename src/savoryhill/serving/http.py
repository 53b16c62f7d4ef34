"""HTTP/1.1 messages, parsed with the llhttp parser of ``httptools``."""

from collections import deque
from dataclasses import dataclass

import httptools

from savoryhill.core.observations.parts import start_body_digest
from savoryhill.errors import MalformedMessageError
from savoryhill.httpstatus import is_status
from savoryhill.serving.body_blocks import BodyBlocks

# Limit of the bytes in a row that belong to no final head and no body: headers,
# interim responses, chunk extensions and trailers.
MAX_UNUSED_BYTES = 65_536
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
# Memory that a header takes besides its bytes, and a request besides its headers and
# its body.
HEADER_OVERHEAD_BYTES = 160
REQUEST_OVERHEAD_BYTES = 1_024
# Bytes that are parsed at a time while no body arrives. Requests that follow each other
# are parsed as they are served; all that are complete in a slice are kept.
HEAD_SLICE_BYTES = 2_048
# Bytes of a head or of trailers may exceed the limit by what is not counted in it, such
# as white space.
RAW_HEADER_FACTOR = 2
# Headers that apply to a single connection and are not forwarded.
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
    """A complete request of a client; header names are in lower case.

    ``n_kept_bytes`` is the memory that it takes.
    """

    method: bytes
    target: bytes
    headers: list
    body: bytes
    keep_alive: bool
    body_digest: bytes = b""
    n_kept_bytes: int = 0

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
    """Parses requests and queues complete ones in ``requests``.

    ``started`` tells whether part of a request has been received, ``awaits_continue``
    whether its client sends the body only once it is told to. ``error_status`` is
    the status with which a malformed or too large request is refused.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Limits of one request.
    may_keep : callable or None
        Takes the memory in bytes that the reader needs for the requests that have
        arrived, and returns whether there is room for it. The last one is refused with
        503 if not.
    """

    def __init__(self, *, max_header_bytes, max_body_bytes, may_keep=None):
        self._parser = httptools.HttpRequestParser(self)
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._may_keep = may_keep
        self._n_queued_bytes = 0
        self.requests = deque()
        self.started = False
        self.in_body = False
        self.error_status = None
        self.awaits_continue = False
        self._reset()

    def set_limits(self, *, max_header_bytes, max_body_bytes):
        """Set the limits of the requests that begin from now on."""
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes

    def _reset(self):
        self._target = []
        self._headers = []
        self._body = BodyBlocks()
        self._body_digest = start_body_digest()
        self._n_header_bytes = 0
        self._n_unused_bytes = 0

    @property
    def n_kept_bytes(self):
        """Return the memory that the queued requests and the unfinished one take."""
        return self._n_queued_bytes + self._n_unfinished_bytes()

    def _n_unfinished_bytes(self):
        if not self.started:
            return 0
        return (
            REQUEST_OVERHEAD_BYTES
            + HEADER_OVERHEAD_BYTES * (len(self._headers) + len(self._target))
            + self._n_header_bytes
            + self._n_unused_bytes
            + self._body.n_bytes
        )

    def feed(self, data):
        """Parse received bytes; nothing more is parsed once there is an error status.

        Raises
        ------
        MalformedMessageError
            If the bytes are not a valid HTTP request.
        """
        if self.error_status is not None:
            return
        self._n_unused_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedMessageError("HTTP upgrades are not supported") from error
        except httptools.HttpParserError as error:
            if self.error_status is None:
                raise MalformedMessageError(
                    f"malformed HTTP request: {error}"
                ) from error
            self.discard(self.error_status)
            return
        self._join_body()
        if self._n_unused_bytes > self._max_unused_bytes():
            self.discard(431)
        elif self.started and not self._has_room():
            self.discard(503)

    def next_slice_bytes(self, n_bytes):
        """Return how many of so many received bytes to feed next."""
        return n_bytes if self.in_body else min(n_bytes, HEAD_SLICE_BYTES)

    def take_request(self):
        """Remove the first complete request from the queue and return it."""
        request = self.requests.popleft()
        self._n_queued_bytes -= request.n_kept_bytes
        return request

    def discard(self, error_status):
        """Forget the unfinished request, which is refused with a status, if any."""
        self.error_status = error_status
        self._reset()
        if error_status is not None:
            # The parser holds the bytes of an unfinished header.
            self._parser = None

    def _max_unused_bytes(self):
        return RAW_HEADER_FACTOR * self._max_header_bytes + HEAD_SLICE_BYTES

    def _has_room(self):
        return self._may_keep is None or self._may_keep(self.n_kept_bytes)

    def _join_body(self):
        joined = self._body.join_pieces()
        if joined is not None:
            self._body_digest.update(joined)

    def on_message_begin(self):
        """Start a new request."""
        self._reset()
        self.started = True
        self.in_body = False

    def on_url(self, url):
        """Collect a part of the request target."""
        self._target.append(url)
        self._count_header(len(url))

    def on_header(self, name, value):
        """Collect a header."""
        self._headers.append((name.lower(), value))
        self._count_header(len(name) + len(value) + 4)

    def _count_header(self, n_bytes):
        self._n_header_bytes += n_bytes
        if self._n_header_bytes > self._max_header_bytes:
            self.error_status = 431
            raise MalformedMessageError(
                f"request header exceeds {self._max_header_bytes} bytes"
            )

    def on_headers_complete(self):
        """Check the announced body size, and whether the client expects a 100."""
        self.in_body = True
        self._n_unused_bytes = 0
        length = first_header(self._headers, b"content-length")
        if length is not None and int(length) > self._max_body_bytes:
            self.error_status = 413
            raise MalformedMessageError(
                f"request body exceeds {self._max_body_bytes} bytes"
            )
        expect = first_header(self._headers, b"expect")
        self.awaits_continue = expect is not None and expect.lower() == b"100-continue"

    def on_body(self, data):
        """Collect a part of the body."""
        self.awaits_continue = False
        self._n_unused_bytes = 0
        if self._body.n_bytes + len(data) > self._max_body_bytes:
            self.error_status = 413
            raise MalformedMessageError(
                f"request body exceeds {self._max_body_bytes} bytes"
            )
        self._body.add(data)

    def on_message_complete(self):
        """Queue the complete request if there is room for it."""
        self._join_body()
        self._n_unused_bytes = 0
        if not self._has_room():
            self.error_status = 503
            raise MalformedMessageError("no memory for the request")
        n_kept_bytes = self._n_unfinished_bytes()
        self.requests.append(
            Request(
                method=self._parser.get_method(),
                target=b"".join(self._target),
                headers=self._headers,
                body=self._body.take(),
                body_digest=self._body_digest.digest(),
                keep_alive=self._parser.should_keep_alive(),
                n_kept_bytes=n_kept_bytes,
            )
        )
        self._n_queued_bytes += n_kept_bytes
        self.started = False
        self.in_body = False
        self.awaits_continue = False


@dataclass(kw_only=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: list

    def header(self, name):
        """Return the first value of a header, or None."""
        return first_header(self.headers, name)


class ResponseReader:
    """Parses one response, whose body is kept until it is consumed.

    At most ``max_buffered_bytes`` of the body are kept until they are consumed;
    ``n_buffered_bytes`` are at present.
    """

    def __init__(self, *, max_buffered_bytes=MAX_BUFFERED_BYTES):
        self._parser = httptools.HttpResponseParser(self)
        self._max_buffered_bytes = max_buffered_bytes
        self._n_unused_bytes = 0
        self._headers = []
        self._body = BodyBlocks()
        self.head = None
        self.complete = False
        self.has_trailing_bytes = False
        self.is_close_delimited = False

    @property
    def n_buffered_bytes(self):
        """Return how much of the body is kept."""
        return self._body.n_bytes

    @property
    def body(self):
        """Return the blocks of the body that are kept."""
        return self._body.blocks

    def feed(self, data):
        """Parse received bytes.

        Raises
        ------
        MalformedMessageError
            If the bytes are not a valid HTTP response, or too many of them arrive
            without a head or a body, or the body exceeds its limit.
        """
        if self.complete:
            self.has_trailing_bytes = True
            return
        self._n_unused_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise MalformedMessageError(f"no HTTP response: {error}") from error
            self.has_trailing_bytes = True
        finally:
            self._body.join_pieces()
        if not self.complete:
            self._check_limits()

    def _check_limits(self):
        if self._n_unused_bytes > MAX_UNUSED_BYTES:
            raise MalformedMessageError(
                f"over {MAX_UNUSED_BYTES} bytes carry neither a head nor a body"
            )
        if self.n_buffered_bytes > self._max_buffered_bytes:
            raise MalformedMessageError(
                f"the body exceeds {self._max_buffered_bytes} bytes"
            )

    def feed_end(self):
        """Handle the end of the connection, which completes an unframed response."""
        if self.head is not None and self.is_close_delimited:
            self.complete = True

    def on_message_begin(self):
        """Detect bytes after a complete response."""
        if self.complete:
            self.has_trailing_bytes = True

    def on_header(self, name, value):
        """Collect a header; trailers are dropped."""
        if self.head is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Store the head of the final response; interim responses are dropped."""
        if self.head is not None:
            return
        status = self._parser.get_status_code()
        if not is_status(status):
            raise MalformedMessageError(f"{status:03d} is no status of a response")
        if status < 200:
            self._headers = []
            return
        self._n_unused_bytes = 0
        self.head = ResponseHead(status=status, headers=self._headers)
        names = {name for name, _ in self._headers}
        self.is_close_delimited = not (
            names & {b"content-length", b"transfer-encoding"}
        )

    def on_body(self, data):
        """Collect a part of the body."""
        if not self.complete:
            self._body.add(data)
            self._n_unused_bytes = 0

    def on_message_complete(self):
        """Mark the response as complete."""
        if self.head is not None:
            self.complete = True

    def take_body(self):
        """Return the body received so far and clear the buffer."""
        return self._body.take()


def encode_request(method, target, headers, body):
    """Encode a request with its body length; ``headers`` are pairs of bytes."""
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        parts += (b"content-length: ", str(len(body)).encode(), b"\r\n")
    parts += (b"\r\n", body)
    return b"".join(parts)


REASON_PHRASES = {
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
    parts = [b"HTTP/1.1 %d " % status, REASON_PHRASES.get(status, b"Status"), b"\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)


def encode_chunk(data):
    """Encode one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
