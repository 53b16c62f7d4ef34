"""Connections of clients: reading, order of requests, and noticing that one left."""

import gevent
from gevent import socket as gsocket

from savoryhill.errors import ClientDisconnectedError, MalformedMessageError
from savoryhill.serving.exchange import Exchange
from savoryhill.serving.http import RequestReader, encode_head
from savoryhill.serving.model import ClientLimits

RECV_BYTES = 65_536
# Bytes that a client may send ahead while its request runs.
MAX_AHEAD_BYTES = 262_144
REFUSAL_TIMEOUT_S = 0.5


class DepartureWatch:
    """Throws `ClientDisconnectedError` into a greenlet when its client closes.

    Bytes that arrive meanwhile belong to the next request and are kept in ``ahead``.
    """

    def __init__(self, *, sock, greenlet):
        self._sock = sock
        self._greenlet = greenlet
        self._io = gevent.get_hub().loop.io(sock.fileno(), 1)
        self.ahead = bytearray()
        self.is_gone = False

    def __enter__(self):
        self._io.start(self._on_readable)
        return self

    def __exit__(self, *_):
        self._io.stop()
        self._io.close()

    def _on_readable(self):
        try:
            data = self._sock._sock.recv(RECV_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if data:
            self.ahead += data
            if len(self.ahead) > MAX_AHEAD_BYTES:
                self._io.stop()
            return
        self._io.stop()
        self.is_gone = True
        error = ClientDisconnectedError("the client closed its connection")
        self._greenlet.kill(error, block=False)


class ClientConnection:
    """One connection of a client."""

    def __init__(self, *, context, sock):
        self._context = context
        self._sock = sock
        configuration = context.cluster_view.configuration
        self._has_served = False
        self._limits = configuration.limits if configuration else ClientLimits()
        self._reader = RequestReader(
            max_header_bytes=self._limits.max_header_bytes,
            max_body_bytes=self._limits.max_body_bytes,
        )

    def serve(self):
        """Serve requests until one end closes the connection."""
        keep_alive = True
        while keep_alive:
            request = self._next_request()
            if request is None:
                return
            keep_alive = self._serve_one(request)

    def _serve_one(self, request):
        exchange = Exchange(context=self._context, sock=self._sock, request=request)
        with DepartureWatch(sock=self._sock, greenlet=gevent.getcurrent()) as watch:
            self._context.n_running += 1
            self._context.n_started += 1
            try:
                exchange.run()
            except ClientDisconnectedError as error:
                if watch.is_gone:
                    self._context.log(
                        "request.client_gone",
                        request=exchange.request_id,
                        cause=str(error),
                    )
                return False
            finally:
                self._context.n_running -= 1
        self._has_served = True
        if watch.ahead:
            self._feed(bytes(watch.ahead))
        return exchange.keep_alive

    def _feed(self, data):
        try:
            self._reader.feed(data)
        except MalformedMessageError as error:
            self._context.log("client.malformed", cause=str(error))
            self._reader.too_large = 400

    def _next_request(self):
        """Return the next whole request, or None if the connection is to be closed."""
        reader = self._reader
        idle_since = started_at = self._context.clock.monotonic()
        while not reader.requests:
            if reader.too_large is not None:
                self._refuse(reader.too_large)
                return None
            now = self._context.clock.monotonic()
            if not reader.started:
                started_at = now
                # A new connection still brings a request that was sent before the
                # platform noticed the shutdown.
                if self._has_served and self._context.is_draining():
                    return None
                wait_s = idle_since + self._limits.idle_timeout_s - now
            else:
                wait_s = started_at + self._limits.header_timeout_s - now
                if reader.in_body:
                    wait_s += self._limits.idle_timeout_s
            if wait_s <= 0:
                if reader.started:
                    self._refuse(408)
                return None
            # Short waits, so that an idle connection notices the shutdown.
            if not self._receive(min(wait_s, 0.5) if not reader.started else wait_s):
                return None
        return reader.requests.popleft()

    def _receive(self, wait_s):
        """Receive once; return False if the connection ended."""
        self._sock.settimeout(wait_s)
        try:
            data = self._sock.recv(RECV_BYTES)
        except TimeoutError:
            return True
        except OSError:
            return False
        if not data:
            return False
        was_waiting = self._reader.wants_continue
        self._feed(data)
        if self._reader.wants_continue and not was_waiting and self._reader.started:
            self._sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def _refuse(self, status):
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        self._context.log("client.refused", status=status)
        self._sock.settimeout(REFUSAL_TIMEOUT_S)
        try:
            self._sock.sendall(encode_head(status, headers))
        except OSError:
            # The client has left; the connection is closed by the caller.
            return


def serve_client(context, sock):
    """Serve one connection of a client and close it."""
    sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
    try:
        ClientConnection(context=context, sock=sock).serve()
    except ClientDisconnectedError:
        # Noticed between two requests: nothing is left to answer.
        return
    except OSError as error:
        context.log("client.broken", cause=repr(error))
    finally:
        sock.close()
