"""Receiving side of the TCP connections between nodes."""

from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.event import Event

from savoryhill.errors import PeerError
from savoryhill.peers.auth import seal, unseal
from savoryhill.peers.connections import HEARTBEAT_DEADLINE_S, HEARTBEAT_INTERVAL_S
from savoryhill.peers.frames import (
    pack_control,
    pack_frame,
    read_frame,
    reply_context,
    tcp_context,
    unpack_control,
)

# Acknowledge after this many frames or bytes: a client whose frames in flight reach
# its limits sends nothing more until they are acknowledged.
ACK_EVERY_FRAMES = 64
ACK_EVERY_BYTES = 1 << 20


@dataclass(kw_only=True)
class ReceiveState:
    """Receive state of one connection.

    ``sequence`` is the highest sequence number received. ``n_frames`` and ``n_bytes``
    count what was received since an acknowledgement was last due.
    """

    connection_id: int | None = None
    sequence: int = 0
    n_frames: int = 0
    n_bytes: int = 0
    ack_due: Event = field(default_factory=Event)


def serve_connection(transport, sock, receive):
    """Receive frames until the connection ends or times out."""
    sock.settimeout(HEARTBEAT_DEADLINE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    received = ReceiveState()
    replies = gevent.spawn(_send_acknowledgements, transport, sock, received)
    try:
        _receive_frames(transport, sock, received, receive)
    except PeerError:
        transport.n_dropped_by_reason["unauthenticated"] += 1
    except OSError:
        pass
    finally:
        replies.kill(block=False)
        sock.close()


def _send_acknowledgements(transport, sock, received):
    try:
        while True:
            received.ack_due.wait(timeout=HEARTBEAT_INTERVAL_S)
            received.ack_due.clear()
            connection_id = received.connection_id
            if connection_id is None:
                continue
            content = pack_control(connection_id, received.sequence)
            sealed = seal(transport.key, content, reply_context(str(connection_id)))
            sock.sendall(pack_frame(sealed))
    except OSError:
        sock.close()


def _receive_frames(transport, sock, received, receive):
    context = tcp_context(transport.node)
    while True:
        sealed = read_frame(sock)
        if sealed is None:
            return
        control = unpack_control(unseal(transport.key, sealed, context))
        if control is not None:
            received.connection_id, sequence = control
            # All frames sent before this one were received, even those that could not
            # be decoded.
            received.sequence = max(received.sequence, sequence)
            received.ack_due.set()
            continue
        if received.connection_id is None:
            raise PeerError(
                "received a message before the control frame with the connection's id"
            )
        sequence = receive(transport, sealed, channel="tcp", context=context)
        received.sequence = max(received.sequence, sequence or 0)
        received.n_frames += 1
        received.n_bytes += len(sealed)
        if received.n_frames >= ACK_EVERY_FRAMES or received.n_bytes >= ACK_EVERY_BYTES:
            received.n_frames, received.n_bytes = 0, 0
            received.ack_due.set()
