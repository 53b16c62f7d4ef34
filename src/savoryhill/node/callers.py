"""HTTP server towards callers, with limits on time, size and connections."""

import errno
import io
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

# Bounds on what is read of a refused body before the connection is closed.
MAX_DISCARDED_BYTES = 1024 * 1024
LINGER_S = 0.2
# The kernel otherwise lets the unsent answers of a slow caller grow to megabytes.
SEND_BUFFER_BYTES = 128 * 1024
# Key of the WSGI environment under which a request's body is accounted.
BODY_BYTES_KEY = "savoryhill.body_bytes"


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """What callers' connections may use.

    ``idle_s`` bounds the wait for a next request, ``header_s`` and ``body_s`` the
    time to send one, and ``send_s`` how long a caller may read nothing while its
    answer waits. ``max_bodies_bytes`` bounds all bodies together.
    """

    max_connections: int = 4096
    max_connections_per_address: int = 1024
    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 16 * 1024 * 1024
    max_bodies_bytes: int = 256 * 1024 * 1024
    idle_s: float = 75.0
    header_s: float = 10.0
    body_s: float = 30.0
    send_s: float = 30.0


class _CallerTooSlowError(OSError):
    """A caller did not send a request in time."""


class _HeadersTooLargeError(ValueError):
    """The headers of a request exceed the limit."""


@dataclass(kw_only=True)
class CallerServer:
    """A running server and its counts.

    ``n_answering`` counts the requests whose answer is not yet written in full.
    """

    limits: CallerLimits
    monotonic: Callable[[], float]
    wsgi: WSGIServer | None = None
    address: str = ""
    n_connections: int = 0
    n_answering: int = 0
    n_body_bytes: int = 0
    draining: bool = False
    n_by_address: Counter = field(default_factory=Counter)
    n_refused_by_reason: Counter = field(default_factory=Counter)


def raw_problem(status, title, detail):
    """Build a whole HTTP response for a request that was not even read."""
    document = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "detail": detail,
        "execution": "not_run",
    }
    body = json.dumps(document).encode()
    head = (
        f"HTTP/1.1 {status} {title}\r\nConnection: close\r\n"
        "Content-Type: application/problem+json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class _Handler(WSGIHandler):
    """Serves the requests of one connection within the server's limits."""

    head_timeout = None

    def read_requestline(self):
        limits = self.server.owner.limits
        idle = _CallerTooSlowError(errno.ETIMEDOUT, "idle")
        with gevent.Timeout(limits.idle_s, idle):
            if not self.rfile.peek(1):
                return ""
        slow = _CallerTooSlowError(errno.ETIMEDOUT, "headers sent too slowly")
        self.head_timeout = gevent.Timeout.start_new(limits.header_s, slow)
        return super().read_requestline()

    def handle_one_request(self):
        try:
            return super().handle_one_request()
        finally:
            self._end_head()

    def _end_head(self):
        if self.head_timeout is not None:
            self.head_timeout.close()
            self.head_timeout = None

    def read_request(self, raw_requestline):
        try:
            return super().read_request(raw_requestline)
        finally:
            self._end_head()

    def MessageClass(self, rfile, *args):
        """Read the headers up to their size limit, then parse them."""
        left = self.server.owner.limits.max_header_bytes
        lines = []
        while True:
            line = rfile.readline(left + 1)
            left -= len(line)
            if left < 0:
                raise _HeadersTooLargeError("headers are too large")
            lines.append(line)
            if line in (b"\r\n", b"\n", b""):
                break
        return super().MessageClass(io.BytesIO(b"".join(lines)), *args)

    def _handle_client_error(self, ex):
        owner = self.server.owner
        if isinstance(ex, _CallerTooSlowError):
            owner.n_refused_by_reason["slow_headers"] += 1
            detail = f"headers took longer than {owner.limits.header_s} s"
            return ("408", raw_problem(408, "Request Timeout", detail))
        if isinstance(ex, _HeadersTooLargeError):
            owner.n_refused_by_reason["large_headers"] += 1
            detail = f"headers exceed {owner.limits.max_header_bytes} bytes"
            title = "Request Header Fields Too Large"
            return ("431", raw_problem(431, title, detail))
        owner.n_refused_by_reason["malformed"] += 1
        return ("400", raw_problem(400, "Bad Request", "the request is malformed"))

    def get_environ(self):
        environ = super().get_environ()
        environ["savoryhill.socket"] = self.socket
        environ["savoryhill.arrived_at"] = self.server.owner.monotonic()
        return environ

    def handle_one_response(self):
        owner = self.server.owner
        owner.n_answering += 1
        try:
            super().handle_one_response()
        finally:
            owner.n_answering -= 1
            if owner.draining:
                self.close_connection = True

    def run_application(self):
        try:
            super().run_application()
        finally:
            self.server.owner.n_body_bytes -= self.environ.pop(BODY_BYTES_KEY, 0)
            self._skip_body()

    def _skip_body(self):
        """Close a connection whose request body has not been read to its end.

        Reading the rest could take as long as the caller likes. A little of it
        is read all the same, because a socket closed with unread data resets the
        connection and the caller may then lose the answer.
        """
        body = self.wsgi_input
        unread = body.chunked_input and body.chunk_length != 0
        if not unread and body.position >= (body.content_length or 0):
            return
        self.close_connection = True
        body.position = body.content_length or 0
        body.chunked_input = False
        n_left = MAX_DISCARDED_BYTES
        with gevent.Timeout(LINGER_S, False):
            try:
                while n_left > 0 and (part := self.socket.recv(n_left)):
                    n_left -= len(part)
            except OSError:
                pass

    def _sendall(self, data):
        # Most writes fit into the socket's buffer; only the others need a time
        # limit, which costs as much as the write itself.
        sock = self.socket
        try:
            n_sent = sock._sock.send(data)
        except BlockingIOError:
            n_sent = 0
        except OSError as error:
            self.status = f"socket error: {error}"
            self.code = -abs(self.code)
            raise
        if n_sent == len(data):
            self.response_length += n_sent
            return
        sock.settimeout(self.server.owner.limits.send_s)
        try:
            super()._sendall(memoryview(data)[n_sent:])
        except TimeoutError as error:
            self.server.owner.n_refused_by_reason["slow_reader"] += 1
            raise OSError(errno.EPIPE, "the caller reads too slowly") from error
        finally:
            sock.settimeout(None)
        self.response_length += n_sent


class _Server(WSGIServer):
    """Counts connections and refuses those beyond the limits."""

    owner: CallerServer

    def handle(self, sock, address):
        owner = self.owner
        host = address[0]
        reason = _refusal(owner, host)
        if reason is not None:
            owner.n_refused_by_reason["connections"] += 1
            _send_briefly(sock, raw_problem(503, "Service Unavailable", reason))
            return
        owner.n_connections += 1
        owner.n_by_address[host] += 1
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            super().handle(sock, address)
        except _CallerTooSlowError:
            pass
        finally:
            owner.n_connections -= 1
            owner.n_by_address[host] -= 1
            if not owner.n_by_address[host]:
                del owner.n_by_address[host]


def _refusal(owner, host):
    limits = owner.limits
    if owner.n_connections >= limits.max_connections:
        return f"this node has {limits.max_connections} connections already"
    if owner.n_by_address[host] >= limits.max_connections_per_address:
        return f"this address has {limits.max_connections_per_address} connections"
    return None


def _send_briefly(sock, data):
    try:
        sock.settimeout(1.0)
        sock.sendall(data)
    except OSError:
        pass
    finally:
        sock.close()


def serve_callers(application, address, limits, *, monotonic):
    """Start serving callers.

    Parameters
    ----------
    application : callable
        The WSGI application.
    address : str
        ``ip:port``; port 0 picks a free one.
    limits : CallerLimits
        What callers may use.
    monotonic : callable
        The runtime clock, in seconds.

    Returns
    -------
    CallerServer
        The started server.
    """
    host, port = address.rsplit(":", 1)
    owner = CallerServer(limits=limits, monotonic=monotonic)
    owner.wsgi = _Server(
        (host, int(port)),
        application,
        log=None,
        error_log=None,
        handler_class=_Handler,
        backlog=1024,
    )
    owner.wsgi.owner = owner
    owner.wsgi.start()
    owner.address = f"{host}:{owner.wsgi.server_port}"
    return owner
