"""Framed messages between nodes over TCP."""

import struct
from collections import deque

import gevent
from gevent import socket as gsocket
from gevent.event import Event

from savoryhill.errors import NotConnectedError, PeerError
from savoryhill.peers.codec import Envelope, decode, encode
from savoryhill.serving.ways.connection import open_connection

_LENGTH = struct.Struct("!I")
MAX_FRAME_BYTES = 8 * 1024 * 1024
# A link whose socket accepts no data for this long is closed.
SEND_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.3
RECV_BYTES = 65_536
MAX_QUEUED_FRAMES = 10_000


def encode_frame(message, *, node):
    """Encode a message as a frame that can be sent on several links."""
    envelope = Envelope(sender=node, incarnation=0, sequence=0, message=message)
    content = encode(envelope)
    return _LENGTH.pack(len(content)) + content


class Link:
    """One connection to another node.

    Messages are queued and written by a greenlet of the link, so that callers do not
    block on the other node. ``receive`` fails if nothing arrives for ``silence_s``.
    ``peer_protocol`` tells which messages the other node understands, once it said so.
    """

    def __init__(self, *, sock, node, silence_s):
        sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
        self._sock = sock
        self._node = node
        self._silence_s = silence_s
        self._queue = deque()
        self._wake_writer = Event()
        self._buffer = bytearray()
        self.is_open = True
        self.peer_protocol = 0
        self._writer = gevent.spawn(self._write_queue)

    def send(self, message):
        """Queue a message; a link whose queue is full is closed."""
        self.send_frame(encode_frame(message, node=self._node))

    def send_frame(self, frame):
        """Queue an encoded frame; a link whose queue is full is closed."""
        if not self.is_open:
            return
        if len(self._queue) >= MAX_QUEUED_FRAMES:
            self.close()
            return
        self._queue.append(frame)
        self._wake_writer.set()

    def _write_queue(self):
        while self.is_open:
            self._wake_writer.wait()
            self._wake_writer.clear()
            data = b"".join(self._queue)
            self._queue.clear()
            try:
                self._sock.settimeout(SEND_TIMEOUT_S)
                self._sock.sendall(data)
            except OSError:
                self.close()

    def receive(self):
        """Return the next message.

        Raises
        ------
        PeerError
            If the link was closed, stayed silent too long or carried an invalid frame.
        """
        while True:
            if len(self._buffer) >= _LENGTH.size:
                (length,) = _LENGTH.unpack_from(self._buffer)
                if length > MAX_FRAME_BYTES:
                    raise PeerError(
                        f"frame of {length} bytes exceeds the limit of "
                        f"{MAX_FRAME_BYTES} bytes"
                    )
                end = _LENGTH.size + length
                if len(self._buffer) >= end:
                    content = bytes(self._buffer[_LENGTH.size : end])
                    del self._buffer[:end]
                    return decode(content).message
            self._receive_more()

    def _receive_more(self):
        try:
            gevent.socket.wait_read(
                self._sock.fileno(),
                timeout=self._silence_s,
                timeout_exc=TimeoutError(f"silent for {self._silence_s:g} s"),
            )
            data = self._sock.recv(RECV_BYTES)
        except (OSError, ValueError) as error:
            raise PeerError(f"link failed: {error!r}") from error
        if not data:
            raise PeerError("link was closed")
        self._buffer += data

    def close(self):
        """Close the link; a pending ``receive`` then fails."""
        if self.is_open:
            self.is_open = False
            self._wake_writer.set()
            try:
                self._sock.shutdown(gsocket.SHUT_RDWR)
            except OSError:
                # The connection is already closed.
                return


def open_link(address, *, node, silence_s):
    """Connect to another node.

    Raises
    ------
    NotConnectedError
        If no connection could be made.
    """
    connection = open_connection(address, timeout_s=CONNECT_TIMEOUT_S)
    try:
        return Link(sock=connection.sock, node=node, silence_s=silence_s)
    except OSError as error:
        raise NotConnectedError(f"{address}: {error!r}") from error
