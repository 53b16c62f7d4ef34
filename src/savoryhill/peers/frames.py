"""Frames on a TCP connection: a length, a digest and the content.

The content is an encoded message or a control frame. A control frame of the client
carries the number of its connection; one of the server repeats it and acknowledges
the highest sequence number received. Both serve as heartbeats.
"""

import struct

from savoryhill.errors import PeerError
from savoryhill.peers.auth import TAG_BYTES

MAX_FRAME_BYTES = 8 * 1024 * 1024
_LENGTH = struct.Struct("!I")
# Version 0 is no message's protocol version.
_CONTROL = struct.Struct("!BQQ")
_CONTROL_VERSION = 0


def tcp_context(node):
    """Return the seal's context of frames to a node."""
    return b"tcp\0" + node.encode()


def reply_context(node):
    """Return the seal's context of control frames back to a client."""
    return b"reply\0" + node.encode()


def datagram_context(node):
    """Return the seal's context of datagrams to a node."""
    return b"udp\0" + node.encode()


def pack_frame(sealed):
    """Prefix sealed content with its length."""
    return _LENGTH.pack(len(sealed)) + sealed


def pack_control(connection, sequence):
    """Encode the content of a control frame."""
    return _CONTROL.pack(_CONTROL_VERSION, connection, sequence)


def unpack_control(content):
    """Decode a control frame, or return None if it is a message.

    Returns
    -------
    tuple of (int, int) or None
        Number of the connection and sequence number.
    """
    if len(content) != _CONTROL.size or content[0] != _CONTROL_VERSION:
        return None
    _, connection, sequence = _CONTROL.unpack(content)
    return connection, sequence


def _read_exactly(sock, n_bytes):
    parts = []
    while n_bytes:
        part = sock.recv(min(n_bytes, 1 << 16))
        if not part:
            return None
        parts.append(part)
        n_bytes -= len(part)
    return b"".join(parts)


def read_frame(sock):
    """Read the sealed content of one frame, None at the end of the stream.

    Raises
    ------
    PeerError
        If the length is out of bounds.
    OSError
        If the connection breaks or stays silent for the socket's time limit.
    """
    header = _read_exactly(sock, _LENGTH.size)
    if header is None:
        return None
    (n_bytes,) = _LENGTH.unpack(header)
    if not TAG_BYTES < n_bytes <= MAX_FRAME_BYTES:
        raise PeerError(f"frame of {n_bytes} bytes is out of bounds")
    return _read_exactly(sock, n_bytes)
