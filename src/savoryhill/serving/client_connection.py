"""Client connections: reading requests in order, and detecting disconnects."""

import contextlib

import gevent
from gevent import socket as gsocket

from savoryhill.errors import ClientDisconnectedError, MalformedMessageError
from savoryhill.serving import connection_end
from savoryhill.serving.exchange import Exchange
from savoryhill.serving.http import RequestReader, encode_head
from savoryhill.serving.model import ClientLimits
from savoryhill.serving.response_writer import RETRY_AFTER_S

# Reading stops once a client has sent more than this while its request is running.
MAX_PIPELINED_BYTES = 262_144
# The last read is kept even if there is no room for it, so that it is small.
PIPELINED_RECV_BYTES = 4_096
# From then on, only the state of the connection tells that its client has left.
STATE_CHECK_S = 0.25
TCP_CLOSE, TCP_CLOSE_WAIT = 7, 8
# Linux states of a connection that is closed, or that the other side has closed.
CLOSED_TCP_STATES = (TCP_CLOSE, TCP_CLOSE_WAIT)
EMPTY_VIEW = memoryview(b"")
# Bound of the write of "100 Continue".
CONTINUE_TIMEOUT_S = 0.5


class DisconnectWatcher:
    """Raises `ClientDisconnectedError` in a greenlet when its client disconnects.

    Bytes received meanwhile belong to the next request and are kept in ``pipelined``.
    ``may_keep(n_bytes)`` tells whether there is room for so many, and
    ``has_room(n_bytes)`` whether there would be; what does not fit is left to be read
    after the request. The end of a connection is only seen behind all that fills its
    receive window, so that as much as possible is read.
    """

    def __init__(self, *, sock, greenlet, may_keep, has_room):
        self._sock = sock
        self._greenlet = greenlet
        self._may_keep = may_keep
        self._has_room = has_room
        loop = gevent.get_hub().loop
        self._io = loop.io(sock.fileno(), 1)
        self._state_timer = loop.timer(STATE_CHECK_S, STATE_CHECK_S)
        self.pipelined = bytearray()
        self.is_disconnected = False

    def __enter__(self):
        self._io.start(self._on_readable)
        return self

    def __exit__(self, *_):
        for watcher in (self._io, self._state_timer):
            watcher.stop()
            watcher.close()

    def _on_readable(self):
        has_room = self._has_room(connection_end.RECV_BYTES)
        n_bytes = connection_end.RECV_BYTES if has_room else PIPELINED_RECV_BYTES
        try:
            data = self._sock._sock.recv(n_bytes)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if data:
            self.pipelined += data
            n_bytes = len(self.pipelined)
            if n_bytes > MAX_PIPELINED_BYTES or not self._may_keep(n_bytes):
                self._io.stop()
                self._state_timer.start(self._check_state)
            return
        self._end()

    def _check_state(self):
        try:
            state = self._sock.getsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_INFO, 1)[0]
        except OSError:
            # Not known here; the deadline ends the request.
            self._state_timer.stop()
            return
        if state in CLOSED_TCP_STATES:
            self._end()

    def _end(self):
        self._io.stop()
        self._state_timer.stop()
        self.is_disconnected = True
        error = ClientDisconnectedError(
            "the client closed its connection before the response was complete"
        )
        self._greenlet.kill(error, block=False)


class ClientConnection:
    """One connection of a client."""

    def __init__(self, *, context, sock):
        self._context = context
        self._sock = sock
        self._has_served = False
        self._is_reading = False
        self._is_broken = False
        self._may_have_more = False
        self._limits = ClientLimits()
        self._unparsed = EMPTY_VIEW
        self._n_serving_bytes = 0
        self._buffer = context.client_buffers.open(on_evict=self._give_up)
        self._reader = RequestReader(
            max_header_bytes=self._limits.max_header_bytes,
            max_body_bytes=self._limits.max_body_bytes,
            may_keep=self._may_keep,
        )
        self._update_limits()

    def _update_limits(self):
        """Take over the limits in force, which hold for the next request."""
        configuration = self._context.cluster_view.configuration
        if configuration is None or self._reader.started:
            return
        self._limits = configuration.limits
        self._reader.set_limits(
            max_header_bytes=self._limits.max_header_bytes,
            max_body_bytes=self._limits.max_body_bytes,
        )

    def _may_keep(self, n_reader_bytes, n_pipelined_bytes=0):
        """Tell whether there is room for what is kept for this connection."""
        n_bytes = n_reader_bytes + len(self._unparsed) + n_pipelined_bytes
        return self._context.client_buffers.try_resize(
            self._buffer, self._n_serving_bytes + n_bytes
        )

    def _may_keep_pipelined(self, n_bytes):
        """Tell whether there is room for bytes behind the request that is served.

        Others don't make room for them, as they can stay where they are.
        """
        kept_bytes = self._reader.n_kept_bytes + len(self._unparsed) + n_bytes
        growth_bytes = self._n_serving_bytes + kept_bytes - self._buffer.n_bytes
        return self._context.client_buffers.has_room(growth_bytes) and self._may_keep(
            self._reader.n_kept_bytes, n_bytes
        )

    def _give_up(self):
        """Free what is kept of a request that makes room for others, and refuse it.

        An idle connection is closed.
        """
        self._unparsed = EMPTY_VIEW
        self._reader.discard(503 if self._reader.started else None)
        # Wakes the greenlet, which waits for more.
        with contextlib.suppress(OSError):
            self._sock._sock.shutdown(gsocket.SHUT_RD)

    def serve(self):
        """Serve requests until either side closes the connection."""
        try:
            self._serve_requests()
        finally:
            self._context.client_buffers.close(self._buffer)

    def _serve_requests(self):
        keep_alive = True
        while keep_alive:
            try:
                request = self._next_request()
            finally:
                self._set_reading(False)
            if request is None:
                return
            keep_alive = self._serve_request(request)
            # Its body must not be kept while the connection is idle.
            del request
            if keep_alive and self._has_next():
                # The next request counts, so that the node does not end before it.
                self._set_reading(True)
                # Requests in a row must not keep those of others from being served.
                gevent.sleep(0)
        # It no longer makes room for others, which would cut off the end of its answer.
        self._context.client_buffers.close(self._buffer)
        if not self._is_broken:
            connection_end.finish(self._sock)

    def _set_reading(self, is_reading):
        """Count this connection while a part of a request has arrived on it."""
        if is_reading != self._is_reading:
            self._is_reading = is_reading
            self._context.n_reading += 1 if is_reading else -1

    def _serve_request(self, request):
        exchange = Exchange(
            context=self._context,
            sock=self._sock,
            request=request,
            # Line ends after a body are no part of a request.
            is_followed=lambda: (
                bool(watcher.pipelined.strip(b"\r\n")) or self._has_next()
            ),
        )
        buffers = self._context.client_buffers
        with DisconnectWatcher(
            sock=self._sock,
            greenlet=gevent.getcurrent(),
            may_keep=self._may_keep_pipelined,
            has_room=buffers.has_room,
        ) as watcher:
            self._context.n_running += 1
            self._context.exchanges.add(exchange)
            self._context.n_started += 1
            self._n_serving_bytes = request.n_kept_bytes
            buffers.begin_serving(self._buffer)
            try:
                exchange.run()
            except ClientDisconnectedError as error:
                exchange.record_disconnect(str(error))
                self._is_broken = True
                return False
            finally:
                self._context.n_running -= 1
                self._context.exchanges.discard(exchange)
                self._n_serving_bytes = 0
                if watcher.pipelined:
                    unparsed = bytes(self._unparsed) + watcher.pipelined
                    self._unparsed = memoryview(unparsed)
                n_bytes = self._reader.n_kept_bytes + len(self._unparsed)
                buffers.end_serving(self._buffer, n_bytes)
        self._has_served = True
        return exchange.keep_alive

    def _has_next(self):
        """Tell whether another request, or a part of it, has been read."""
        return (
            bool(self._reader.requests)
            or self._reader.started
            or bool(bytes(self._unparsed).strip(b"\r\n"))
        )

    def _feed(self):
        """Parse some of the bytes that were received."""
        self._update_limits()
        n_bytes = self._reader.next_slice_bytes(len(self._unparsed))
        data, rest = self._unparsed[:n_bytes], self._unparsed[n_bytes:]
        # A slice, even an empty one, would keep the whole received buffer.
        self._unparsed = rest if rest else EMPTY_VIEW
        try:
            self._reader.feed(data)
        except MalformedMessageError as error:
            self._context.log("client.malformed", cause=str(error))
            self._reader.discard(400)

    def _next_request(self):
        """Return the next complete request, or None to close the connection."""
        reader = self._reader
        idle_since = started_at = self._context.clock.monotonic()
        while not reader.requests:
            if reader.error_status is not None:
                self._refuse(reader.error_status)
                return None
            if self._unparsed:
                self._feed()
                continue
            if self._buffer.is_evicted:
                return None
            if reader.awaits_continue:
                self._tell_to_continue()
            now = self._context.clock.monotonic()
            self._set_reading(reader.started)
            if not reader.started:
                started_at = now
                # A new connection may carry a request that was sent before the
                # platform noticed the shutdown, so it is served even while draining.
                if self._context.has_stopped or (
                    self._has_served and self._context.is_draining()
                ):
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
            # Idle connections wake up at least twice a second to detect a shutdown.
            is_open = (
                self._receive(wait_s)
                if reader.started
                else self._await_request(min(wait_s, 0.5))
            )
            if not is_open and reader.error_status is None:
                return None
        return reader.take_request()

    def _await_request(self, wait_s):
        """Receive once, on a connection that is closed when the node has stopped."""
        waiting_sockets = self._context.waiting_sockets
        waiting_sockets.add(self._sock)
        try:
            return self._receive(wait_s)
        finally:
            waiting_sockets.discard(self._sock)

    def _receive(self, wait_s):
        """Receive once; return False if the connection ended."""
        if self._may_have_more:
            # A client that sends without a pause must not keep the others from being
            # served. Nothing is received before, as it would be kept meanwhile.
            gevent.sleep(0)
        self._sock.settimeout(wait_s)
        try:
            data = self._sock.recv(connection_end.RECV_BYTES)
        except TimeoutError:
            return True
        except OSError:
            return False
        if not data:
            return False
        self._unparsed = memoryview(data)
        self._may_have_more = len(data) == connection_end.RECV_BYTES
        return True

    def _tell_to_continue(self):
        self._reader.awaits_continue = False
        self._sock.settimeout(CONTINUE_TIMEOUT_S)
        self._sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _refuse(self, status):
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        if status == 503:
            headers.append((b"retry-after", b"%.2f" % RETRY_AFTER_S))
        self._context.log("client.refused", status=status)
        self._context.client_buffers.close(self._buffer)
        connection_end.finish(self._sock, encode_head(status, headers))


def serve_client(context, sock):
    """Serve one client connection and close it."""
    sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
    try:
        ClientConnection(context=context, sock=sock).serve()
    except ClientDisconnectedError:
        # Raised between two requests, so there is no response left to write.
        return
    except OSError as error:
        context.log("client.broken", cause=repr(error))
    finally:
        sock.close()
