"""Relays connections of other nodes, which have lost their way, to endpoints.

One hop: the relay makes connections of its own only, never through a third node.
"""

from contextlib import contextmanager

import gevent
from gevent import socket as gsocket

from savoryhill.core.reachability.messages import (
    BUSY,
    CONNECTED,
    NO_WAY,
    NOT_USABLE,
    STOPPING,
    UNREACHABLE,
    RelayReply,
    RelayRequest,
)
from savoryhill.errors import MalformedMessageError, NotConnectedError, PeerError
from savoryhill.serving.links import encode_frame
from savoryhill.serving.ways.connection import RECV_BYTES, open_connection
from savoryhill.serving.ways.relay_stream import (
    CLOSED_MARK,
    LENGTH,
    RESET_MARK,
    read_message,
)

REQUEST_TIMEOUT_S = 1.0
# Below the time that the asking node waits for the reply.
CONNECT_TIMEOUT_S = 0.2
# Bounds what a node does for others; each relayed connection holds two sockets and at
# most one buffer in each direction.
MAX_RELAYED = 256
# A connection lasts no longer, whatever the request says.
MAX_REMAINING_S = 120.0


class RelayServer:
    """Serves the requests of other nodes to relay connections.

    Only nodes that are registered in the store may use it, known by the address that
    they connect from. ``paths`` is the `PathTable` of this node.
    """

    def __init__(self, *, context, paths, host, record):
        self._context = context
        self._paths = paths
        self._host = host
        self._record = record

    def serve(self, sock, address):
        """Serve one connection of another node."""
        try:
            sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
            if not self._is_node(address[0]):
                self._record("relay.stranger", {"address": address[0]})
                return
            sock.settimeout(REQUEST_TIMEOUT_S)
            request = read_message(sock)
            if isinstance(request, RelayRequest):
                self._relay(sock, request)
        except (OSError, PeerError) as error:
            self._record("relay.broken", {"cause": repr(error)})
        finally:
            sock.close()

    def _is_node(self, host):
        nodes = self._context.cluster_view.nodes_by_name.values()
        return any(node.address.rpartition(":")[0] == host for node in nodes)

    def _relay(self, sock, request):
        endpoint = self._find_endpoint(request)
        outcome, connection = self._connect(endpoint, request)
        self._record(
            "relay.decided",
            {
                "request": request.request,
                "for_node": request.node,
                "endpoint": request.endpoint,
                "outcome": outcome,
                "relayed": self._context.n_relayed,
            },
        )
        reply = RelayReply(outcome=outcome, has_way=self._paths.has_way(self._now()))
        frame = encode_frame(reply, node=self._context.settings.node)
        if connection is None:
            sock.sendall(frame)
            return
        with self._count():
            try:
                sock.sendall(frame)
                self._relay_bytes(sock, connection, endpoint, request)
            except OSError:
                # The asking node ends the connection once its request has ended.
                return
            finally:
                connection.close()

    def _now(self):
        return self._context.clock.monotonic()

    @contextmanager
    def _count(self):
        self._context.n_relayed += 1
        try:
            yield
        finally:
            self._context.n_relayed -= 1

    def _find_endpoint(self, request):
        """Return the endpoint if this node knows that very start of it, else None."""
        endpoint_id = request.endpoint.rpartition("@")[0]
        endpoint = self._context.cluster_view.endpoints_by_id.get(endpoint_id)
        if endpoint is None or endpoint.incarnation != request.endpoint:
            return None
        return endpoint

    def _connect(self, endpoint, request):
        """Connect to the endpoint; return the outcome and the connection or None."""
        outcome = self._refusal(endpoint, request)
        if outcome is not None:
            return outcome, None
        began_at = self._now()
        try:
            connection = open_connection(
                endpoint.address, timeout_s=CONNECT_TIMEOUT_S, source_host=self._host
            )
        except NotConnectedError:
            self._paths.note_unreached(endpoint, began_at=began_at)
            return UNREACHABLE, None
        self._paths.note_connected(endpoint, began_at=began_at, now=self._now())
        if not self._takes_requests(endpoint, request):
            # The endpoint has begun to leave during the connect.
            connection.close()
            return NOT_USABLE, None
        return CONNECTED, connection

    def _refusal(self, endpoint, request):
        """Return why a connection is not even tried, or None."""
        context = self._context
        if context.is_draining():
            return STOPPING
        if context.n_relayed >= MAX_RELAYED:
            return BUSY
        if endpoint is None:
            return NOT_USABLE
        if not self._takes_requests(endpoint, request):
            return NOT_USABLE
        return NO_WAY if self._paths.is_lost(endpoint) else None

    def _takes_requests(self, endpoint, request):
        """Tell whether what is to be relayed may be sent to the endpoint now."""
        view = self._context.cluster_view
        return request.is_order or (
            view.is_still_usable(endpoint)
            and not self._context.endpoint_statements.wants_pause(endpoint)
        )

    def _relay_bytes(self, sock, connection, endpoint, request):
        """Relay in both directions until either side ends the connection."""
        if not request.is_order:
            self._context.endpoint_statements.note_sent(endpoint)
        upstream = gevent.spawn(_forward_requests, sock, connection)
        remaining_s = min(MAX_REMAINING_S, max(0.0, request.remaining_s))
        try:
            with gevent.Timeout(remaining_s, False):
                self._forward_response(sock, connection, endpoint, request)
        finally:
            upstream.kill()

    def _forward_response(self, sock, connection, endpoint, request):
        """Forward the endpoint's bytes, and take in what it says of itself."""
        sock.settimeout(None)
        statement = _StatementReader(
            context=self._context,
            reader=connection.reader,
            endpoint=endpoint,
            request=request,
        )
        while True:
            try:
                connection.sock.settimeout(None)
                data = connection.sock.recv(RECV_BYTES)
            except OSError:
                sock.sendall(RESET_MARK)
                return
            if not data:
                is_proper = not (connection.has_broken or connection.is_aborted)
                sock.sendall(CLOSED_MARK if is_proper else RESET_MARK)
                return
            statement.feed(data)
            sock.sendall(LENGTH.pack(len(data)) + data)


class _StatementReader:
    """Finds the head of a relayed response, in which the endpoint names pauses.

    What an endpoint says to a node that turned to it is meant for that node, whoever
    asked the node to.
    """

    def __init__(self, *, context, reader, endpoint, request):
        self._context = context
        self._reader = reader
        self._endpoint = endpoint
        self._request = request
        self._sent_at = context.clock.monotonic()
        self._is_done = False

    def feed(self, data):
        """Parse bytes until the head is known."""
        if self._is_done:
            return
        try:
            self._reader.feed(data)
        except MalformedMessageError:
            # The node that asked sees the same bytes and decides on them.
            self._is_done = True
            return
        if self._reader.head is None:
            return
        self._is_done = True
        statements = self._context.endpoint_statements
        if self._request.is_order:
            statements.note_order_head(self._reader.head, self._endpoint)
            return
        statements.note_head(
            self._reader.head,
            self._endpoint,
            attempt_id=self._request.request.encode("latin-1"),
            sent_at=self._sent_at,
        )


def _forward_requests(sock, connection):
    """Forward what the asking node sends; its end ends the endpoint's connection."""
    while True:
        try:
            data = sock.recv(RECV_BYTES)
        except OSError:
            data = b""
        if not data:
            connection.abort()
            return
        try:
            connection.send(data, timeout_s=None)
        except OSError:
            # The endpoint takes no more; what it has sent is still forwarded.
            return
