"""Receiving side of a TCP connection between nodes."""

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

# The client waits for an acknowledgement before it exceeds its limits in flight.
ACKNOWLEDGE_FRAMES = 64
ACKNOWLEDGE_BYTES = 1 << 20


@dataclass(kw_only=True)
class Received:
    """What has arrived on one connection."""

    connection: int | None = None
    sequence: int = 0
    n_frames: int = 0
    n_bytes: int = 0
    acknowledge: Event = field(default_factory=Event)


def serve_connection(transport, sock, receive):
    """Receive frames until the connection ends or is silent for too long."""
    sock.settimeout(HEARTBEAT_DEADLINE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    received = Received()
    replies = gevent.spawn(_send_replies, transport, sock, received)
    try:
        _receive_frames(transport, sock, received, receive)
    except PeerError:
        transport.n_dropped_by_reason["unauthenticated"] += 1
    except OSError:
        pass
    finally:
        replies.kill(block=False)
        sock.close()


def _send_replies(transport, sock, received):
    try:
        while True:
            received.acknowledge.wait(timeout=HEARTBEAT_INTERVAL_S)
            received.acknowledge.clear()
            number = received.connection
            if number is None:
                continue
            content = pack_control(number, received.sequence)
            sealed = seal(transport.key, content, reply_context(str(number)))
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
            received.connection, sequence = control
            # Everything sent before this frame has arrived, decodable or not.
            received.sequence = max(received.sequence, sequence)
            received.acknowledge.set()
            continue
        if received.connection is None:
            raise PeerError("a message came before the connection's number")
        sequence = receive(transport, sealed, channel="tcp", context=context)
        received.sequence = max(received.sequence, sequence or 0)
        received.n_frames += 1
        received.n_bytes += len(sealed)
        if (
            received.n_frames >= ACKNOWLEDGE_FRAMES
            or received.n_bytes >= ACKNOWLEDGE_BYTES
        ):
            received.n_frames, received.n_bytes = 0, 0
            received.acknowledge.set()
