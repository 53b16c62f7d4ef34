"""HTTP server for callers with limits on time, size and connections."""

import errno
import io
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

# Limits on reading the rest of an unread body before its connection is closed.
MAX_DISCARDED_BYTES = 1024 * 1024
DISCARD_TIMEOUT_S = 0.2
# By default, the kernel buffers megabytes of unsent responses for a slow caller.
SEND_BUFFER_BYTES = 128 * 1024
# WSGI environment key for the number of body bytes counted for a request.
BODY_BYTES_KEY = "savoryhill.body_bytes"


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on the connections of callers.

    ``idle_s`` limits the wait for the next request on a connection, ``header_s`` and
    ``body_s`` the time in which its headers and its body must arrive. ``send_s`` limits
    how long a caller may read nothing while response data is unsent.
    ``max_bodies_bytes`` limits the sum of all request bodies held at a time.
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
    """A caller did not send the headers of a request in time."""


class _HeadersTooLargeError(ValueError):
    """The headers of a request exceed ``max_header_bytes``."""


@dataclass(kw_only=True)
class CallerServer:
    """A running server and its counters.

    ``n_answering`` is the number of requests whose response is not fully written yet.
    """

    limits: CallerLimits
    monotonic: Callable[[], float]
    wsgi: WSGIServer | None = None
    address: str = ""
    n_connections: int = 0
    n_answering: int = 0
    n_body_bytes: int = 0
    draining: bool = False
    n_connections_by_address: Counter = field(default_factory=Counter)
    n_refused_by_reason: Counter = field(default_factory=Counter)


def problem_response(status, title, detail):
    """Build a raw HTTP response for a request that did not reach the application."""
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
    """Serves the requests of one connection within the limits of the server."""

    header_timeout = None

    def read_requestline(self):
        limits = self.server.caller_server.limits
        idle_error = _CallerTooSlowError(errno.ETIMEDOUT, "idle")
        with gevent.Timeout(limits.idle_s, idle_error):
            if not self.rfile.peek(1):
                return ""
        slow_headers_error = _CallerTooSlowError(
            errno.ETIMEDOUT, "headers sent too slowly"
        )
        self.header_timeout = gevent.Timeout.start_new(
            limits.header_s, slow_headers_error
        )
        return super().read_requestline()

    def handle_one_request(self):
        try:
            return super().handle_one_request()
        finally:
            self._cancel_header_timeout()

    def _cancel_header_timeout(self):
        if self.header_timeout is not None:
            self.header_timeout.close()
            self.header_timeout = None

    def read_request(self, raw_requestline):
        try:
            return super().read_request(raw_requestline)
        finally:
            self._cancel_header_timeout()

    def MessageClass(self, rfile, *args):
        """Read the headers up to the size limit and parse them."""
        n_bytes_left = self.server.caller_server.limits.max_header_bytes
        lines = []
        while True:
            line = rfile.readline(n_bytes_left + 1)
            n_bytes_left -= len(line)
            if n_bytes_left < 0:
                raise _HeadersTooLargeError("headers are too large")
            lines.append(line)
            if line in (b"\r\n", b"\n", b""):
                break
        return super().MessageClass(io.BytesIO(b"".join(lines)), *args)

    def _handle_client_error(self, ex):
        caller_server = self.server.caller_server
        if isinstance(ex, _CallerTooSlowError):
            caller_server.n_refused_by_reason["slow_headers"] += 1
            detail = f"headers took longer than {caller_server.limits.header_s} s"
            return ("408", problem_response(408, "Request Timeout", detail))
        if isinstance(ex, _HeadersTooLargeError):
            caller_server.n_refused_by_reason["large_headers"] += 1
            detail = f"headers exceed {caller_server.limits.max_header_bytes} bytes"
            title = "Request Header Fields Too Large"
            return ("431", problem_response(431, title, detail))
        caller_server.n_refused_by_reason["malformed"] += 1
        return ("400", problem_response(400, "Bad Request", "the request is malformed"))

    def get_environ(self):
        environ = super().get_environ()
        environ["savoryhill.socket"] = self.socket
        environ["savoryhill.arrived_at"] = self.server.caller_server.monotonic()
        return environ

    def handle_one_response(self):
        caller_server = self.server.caller_server
        caller_server.n_answering += 1
        try:
            super().handle_one_response()
        finally:
            caller_server.n_answering -= 1
            if caller_server.draining:
                self.close_connection = True

    def run_application(self):
        try:
            super().run_application()
        finally:
            self.server.caller_server.n_body_bytes -= self.environ.pop(
                BODY_BYTES_KEY, 0
            )
            self._close_if_body_unread()

    def _close_if_body_unread(self):
        """Close the connection after a response if the request body was not fully read.

        Reading all of the rest would let a caller occupy the server for as long as it
        likes. A limited part is read and discarded, because closing a socket with
        unread data resets the connection, which may destroy the response in transit.
        """
        body = self.wsgi_input
        is_unread = body.chunked_input and body.chunk_length != 0
        if not is_unread and body.position >= (body.content_length or 0):
            return
        self.close_connection = True
        body.position = body.content_length or 0
        body.chunked_input = False
        n_bytes_left = MAX_DISCARDED_BYTES
        with gevent.Timeout(DISCARD_TIMEOUT_S, False):
            try:
                while n_bytes_left > 0 and (part := self.socket.recv(n_bytes_left)):
                    n_bytes_left -= len(part)
            except OSError:
                pass

    def _sendall(self, data):
        # Most writes fit into the send buffer and need no timeout; setting one costs
        # as much as the write itself.
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
        sock.settimeout(self.server.caller_server.limits.send_s)
        try:
            super()._sendall(memoryview(data)[n_sent:])
        except TimeoutError as error:
            self.server.caller_server.n_refused_by_reason["slow_reader"] += 1
            raise OSError(errno.EPIPE, "the caller reads too slowly") from error
        finally:
            sock.settimeout(None)
        self.response_length += n_sent


class _Server(WSGIServer):
    """Counts connections and refuses those that exceed the limits."""

    caller_server: CallerServer

    def handle(self, sock, address):
        caller_server = self.caller_server
        client_ip = address[0]
        detail = _refusal_detail(caller_server, client_ip)
        if detail is not None:
            caller_server.n_refused_by_reason["connections"] += 1
            _send_and_close(sock, problem_response(503, "Service Unavailable", detail))
            return
        caller_server.n_connections += 1
        caller_server.n_connections_by_address[client_ip] += 1
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            super().handle(sock, address)
        except _CallerTooSlowError:
            pass
        finally:
            caller_server.n_connections -= 1
            caller_server.n_connections_by_address[client_ip] -= 1
            if not caller_server.n_connections_by_address[client_ip]:
                del caller_server.n_connections_by_address[client_ip]


def _refusal_detail(caller_server, client_ip):
    limits = caller_server.limits
    if caller_server.n_connections >= limits.max_connections:
        return f"this node has {limits.max_connections} connections already"
    if (
        caller_server.n_connections_by_address[client_ip]
        >= limits.max_connections_per_address
    ):
        return f"this address has {limits.max_connections_per_address} connections"
    return None


def _send_and_close(sock, data):
    try:
        sock.settimeout(1.0)
        sock.sendall(data)
    except OSError:
        pass
    finally:
        sock.close()


def serve_callers(application, address, limits, *, monotonic):
    """Start the HTTP server for callers.

    Parameters
    ----------
    application : callable
        The WSGI application.
    address : str
        ``ip:port``; port 0 picks a free one.
    limits : CallerLimits
        Limits on connections, sizes and times.
    monotonic : callable
        Returns the time of the runtime clock in seconds.

    Returns
    -------
    CallerServer
        The running server.
    """
    host, port = address.rsplit(":", 1)
    caller_server = CallerServer(limits=limits, monotonic=monotonic)
    caller_server.wsgi = _Server(
        (host, int(port)),
        application,
        log=None,
        error_log=None,
        handler_class=_Handler,
        backlog=1024,
    )
    caller_server.wsgi.caller_server = caller_server
    caller_server.wsgi.start()
    caller_server.address = f"{host}:{caller_server.wsgi.server_port}"
    return caller_server
