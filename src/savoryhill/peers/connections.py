"""Sending side of the TCP connections between nodes.

A frame stays in flight until the receiver acknowledges it. If a connection breaks or
times out, it is closed and the frames in flight are sent again on a new connection
with their original sequence numbers, so that the receiver drops those that it has
already received. If the new connection fails as well, the messages are reported as
unreachable.
"""

import os
import time
from collections import deque
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.event import Event

from savoryhill.core.messages import Message
from savoryhill.errors import PeerError
from savoryhill.peers.auth import REPLAY_WINDOW, seal, unseal
from savoryhill.peers.codec import Envelope, encode
from savoryhill.peers.frames import (
    pack_control,
    pack_frame,
    read_frame,
    reply_context,
    tcp_context,
    unpack_control,
)
from savoryhill.peers.operator import operator_address

CONNECT_TIMEOUT_S = 1.0
HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_DEADLINE_S = 3.0
# At 340 nodes, heartbeats on idle connections to all coordinators would exceed the
# share of traffic allowed for control messages.
IDLE_TIMEOUT_S = 10.0
MAX_QUEUED_MESSAGES = 4096
# Frames that are sent again must lie within the receiver's replay window.
MAX_IN_FLIGHT = REPLAY_WINDOW // 2
MAX_IN_FLIGHT_BYTES = 16 * 1024 * 1024
MAX_SENDS_PER_FRAME = 3


@dataclass(kw_only=True)
class OutgoingFrame:
    """A frame in flight, which has not been acknowledged yet."""

    sequence: int
    frame: bytes
    message: Message
    n_sends: int = 0


@dataclass(kw_only=True)
class Connection:
    """One TCP connection to a peer.

    ``has_reply`` is True once a control frame of the peer was received on it.
    """

    connection_id: int
    sock: socket.socket
    last_heard_at: float
    last_write_at: float
    has_reply: bool = False
    is_closed: bool = False


@dataclass(kw_only=True)
class Peer:
    """Messages queued and frames in flight to one node.

    ``n_silent_connections`` counts the latest successive connections on which the
    node sent no reply.
    """

    node: str
    sequence: int = 0
    n_silent_connections: int = 0
    n_in_flight_bytes: int = 0
    queued: deque[Message] = field(default_factory=deque)
    in_flight: deque[OutgoingFrame] = field(default_factory=deque)
    wake: Event = field(default_factory=Event)
    greenlet: gevent.Greenlet | None = None


def send(transport, node, message):
    """Queue a message; see `savoryhill.peers.transport.send`."""
    peer = transport.peers_by_node.get(node)
    if peer is None:
        peer = transport.peers_by_node[node] = Peer(node=node)
        peer.greenlet = gevent.spawn(_serve_peer, transport, peer)
    if len(peer.queued) >= MAX_QUEUED_MESSAGES:
        transport.n_dropped_by_reason["queue_full"] += 1
        transport.on_unreachable(node, message)
        return
    peer.queued.append(message)
    peer.wake.set()


def _serve_peer(transport, peer):
    was_active = False
    while True:
        if not peer.queued and not peer.in_flight:
            if was_active and operator_address(peer.node) is not None:
                # Each command line has its own name, which is never used again.
                del transport.peers_by_node[peer.node]
                return
            peer.wake.wait()
            peer.wake.clear()
            continue
        was_active = True
        try:
            connection = _connect(transport, peer)
        except (OSError, PeerError):
            _report_unreachable(transport, peer)
            continue
        reader = gevent.spawn(_read_acknowledgements, transport, peer, connection)
        try:
            _run_connection(transport, peer, connection)
        except OSError:
            pass
        finally:
            connection.is_closed = True
            reader.kill(block=False)
            connection.sock.close()
        peer.n_silent_connections = (
            0 if connection.has_reply else peer.n_silent_connections + 1
        )
        # A single connection without a reply may be broken while the peer is up; only
        # a second, new connection without a reply shows that the peer is unreachable.
        if peer.n_silent_connections >= 2:
            _report_unreachable(transport, peer)


def _report_unreachable(transport, peer):
    peer.n_silent_connections = 0
    messages = [outgoing.message for outgoing in peer.in_flight]
    messages += peer.queued
    peer.in_flight.clear()
    peer.n_in_flight_bytes = 0
    peer.queued.clear()
    for message in messages:
        transport.on_unreachable(peer.node, message)


def _connect(transport, peer):
    address = transport.address_of(peer.node)
    if address is None:
        raise PeerError(f"no address is known for node {peer.node!r}")
    host, port = address.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
    sock.settimeout(HEARTBEAT_DEADLINE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    now = time.monotonic()
    connection_id = int.from_bytes(os.urandom(8), "big")
    connection = Connection(
        connection_id=connection_id, sock=sock, last_heard_at=now, last_write_at=now
    )
    try:
        # Nothing was sent on this connection yet that the peer could acknowledge.
        _send_heartbeat(transport, peer, connection, sequence=0)
    except OSError:
        sock.close()
        raise
    return connection


def _write(connection, data):
    connection.sock.sendall(data)
    connection.last_write_at = time.monotonic()


def _send_heartbeat(transport, peer, connection, *, sequence):
    content = pack_control(connection.connection_id, sequence)
    sealed = seal(transport.key, content, tcp_context(peer.node))
    _write(connection, pack_frame(sealed))


def _next_outgoing(transport, peer):
    message = peer.queued.popleft()
    peer.sequence += 1
    envelope = Envelope(
        sender=transport.node,
        incarnation=transport.incarnation,
        sequence=peer.sequence,
        message=message,
        hlc=transport.next_stamp(),
    )
    sealed = seal(transport.key, encode(envelope), tcp_context(peer.node))
    outgoing = OutgoingFrame(
        sequence=peer.sequence, frame=pack_frame(sealed), message=message
    )
    peer.in_flight.append(outgoing)
    peer.n_in_flight_bytes += len(outgoing.frame)
    return outgoing


def _resend_in_flight(transport, peer, connection):
    for outgoing in tuple(peer.in_flight):
        if outgoing.n_sends >= MAX_SENDS_PER_FRAME:
            peer.in_flight.remove(outgoing)
            peer.n_in_flight_bytes -= len(outgoing.frame)
            transport.on_unreachable(peer.node, outgoing.message)
            continue
        outgoing.n_sends += 1
        _write(connection, outgoing.frame)


def _run_connection(transport, peer, connection):
    """Send frames until the connection is closed, times out or becomes idle."""
    _resend_in_flight(transport, peer, connection)
    last_send_at = time.monotonic()
    while not connection.is_closed:
        while (
            peer.queued
            and not connection.is_closed
            and len(peer.in_flight) < MAX_IN_FLIGHT
            and peer.n_in_flight_bytes < MAX_IN_FLIGHT_BYTES
        ):
            outgoing = _next_outgoing(transport, peer)
            outgoing.n_sends = 1
            _write(connection, outgoing.frame)
            transport.n_sent_by_channel["tcp"] += 1
            last_send_at = time.monotonic()
        now = time.monotonic()
        if now - connection.last_heard_at > HEARTBEAT_DEADLINE_S:
            return
        if now - connection.last_write_at >= HEARTBEAT_INTERVAL_S:
            _send_heartbeat(transport, peer, connection, sequence=peer.sequence)
        if not peer.in_flight and now - last_send_at > IDLE_TIMEOUT_S:
            return
        peer.wake.wait(timeout=HEARTBEAT_INTERVAL_S / 2)
        peer.wake.clear()


def _read_acknowledgements(transport, peer, connection):
    context = reply_context(str(connection.connection_id))
    try:
        while True:
            sealed = read_frame(connection.sock)
            if sealed is None:
                break
            control = unpack_control(unseal(transport.key, sealed, context))
            if control is None or control[0] != connection.connection_id:
                raise PeerError(
                    "unexpected frame instead of an acknowledgement of this connection"
                )
            connection.has_reply = True
            connection.last_heard_at = time.monotonic()
            while peer.in_flight and peer.in_flight[0].sequence <= control[1]:
                peer.n_in_flight_bytes -= len(peer.in_flight.popleft().frame)
            peer.wake.set()
    except PeerError:
        transport.n_dropped_by_reason["unauthenticated"] += 1
    except OSError:
        pass
    connection.is_closed = True
    peer.wake.set()
