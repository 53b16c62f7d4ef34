"""TCP connections between nodes."""

import struct
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.queue import Full, Queue
from gevent.server import StreamServer

from savoryhill.core.messages import Message
from savoryhill.errors import PeerError
from savoryhill.peers.auth import ReplayWindow, admit, seal, unseal
from savoryhill.peers.codec import Envelope, decode, encode

_LENGTH = struct.Struct("!I")
MAX_FRAME_BYTES = 8 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 3.0
MAX_QUEUED_FRAMES = 4096


@dataclass(kw_only=True)
class Transport:
    """The peer connections of one node.

    ``address_of`` maps a node's name to ``ip:port`` or None; ``on_message`` is
    called with the sender's name and the message; ``on_unreachable`` with the
    node's name and the message that could not be sent.
    """

    node: str
    incarnation: int
    key: bytes
    address_of: Callable[[str], str | None]
    on_message: Callable[[str, Message], None]
    on_unreachable: Callable[[str, Message], None]
    sequence: int = 0
    n_dropped: int = 0
    windows_by_sender: dict[str, ReplayWindow] = field(default_factory=dict)
    queues_by_node: dict[str, Queue] = field(default_factory=dict)
    writers_by_node: dict[str, gevent.Greenlet] = field(default_factory=dict)
    server: StreamServer | None = None


def listen(transport, address):
    """Accept frames from other nodes on ``ip:port``."""
    host, port = address.rsplit(":", 1)
    transport.server = StreamServer(
        (host, int(port)),
        lambda sock, _: _read_frames(transport, sock),
        # With a pool, stopping the server also ends its connections.
        spawn=Pool(),
    )
    transport.server.start()


def close(transport):
    """Stop accepting and sending."""
    if transport.server is not None:
        transport.server.stop(timeout=0.2)
    gevent.killall(list(transport.writers_by_node.values()))


def send(transport, node, message):
    """Queue a message for a node; a full queue drops it and counts it."""
    queue = transport.queues_by_node.get(node)
    if queue is None:
        queue = transport.queues_by_node[node] = Queue(MAX_QUEUED_FRAMES)
        transport.writers_by_node[node] = gevent.spawn(
            _write_frames, transport, node, queue
        )
    try:
        queue.put_nowait(message)
    except Full:
        transport.n_dropped += 1


def _frame(transport, message):
    transport.sequence += 1
    envelope = Envelope(
        sender=transport.node,
        incarnation=transport.incarnation,
        sequence=transport.sequence,
        message=message,
    )
    sealed = seal(transport.key, encode(envelope))
    return _LENGTH.pack(len(sealed)) + sealed


def _connect(transport, node):
    address = transport.address_of(node)
    if address is None:
        raise PeerError(f"no address is known for node {node!r}")
    host, port = address.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
    sock.settimeout(SEND_TIMEOUT_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _write_frames(transport, node, queue):
    sock = None
    for message in queue:
        frame = _frame(transport, message)
        try:
            if sock is not None:
                sock.sendall(frame)
                continue
        except OSError:
            sock.close()
            sock = None
        # A broken connection says nothing of the peer: try once on a fresh one.
        try:
            sock = _connect(transport, node)
            sock.sendall(frame)
        except (OSError, PeerError):
            sock = None
            transport.on_unreachable(node, message)


def _read_exactly(sock, n_bytes):
    parts = []
    while n_bytes:
        part = sock.recv(min(n_bytes, 1 << 16))
        if not part:
            return None
        parts.append(part)
        n_bytes -= len(part)
    return b"".join(parts)


def _read_frames(transport, sock):
    while True:
        try:
            header = _read_exactly(sock, _LENGTH.size)
            if header is None:
                return
            (n_bytes,) = _LENGTH.unpack(header)
            if n_bytes > MAX_FRAME_BYTES:
                raise PeerError(f"frame of {n_bytes} bytes exceeds {MAX_FRAME_BYTES}")
            sealed = _read_exactly(sock, n_bytes)
            if sealed is None:
                return
            receive(transport, sealed)
        except PeerError:
            transport.n_dropped += 1
            return
        except OSError:
            return


def receive(transport, sealed):
    """Check and decode one sealed message and hand it on.

    Raises
    ------
    PeerError
        If the message is not authentic or cannot be decoded.
    """
    envelope = decode(unseal(transport.key, sealed))
    window = transport.windows_by_sender.setdefault(envelope.sender, ReplayWindow())
    if not admit(window, envelope.incarnation, envelope.sequence):
        transport.n_dropped += 1
        return
    transport.on_message(envelope.sender, envelope.message)
