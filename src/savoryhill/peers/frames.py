"""Frames on a TCP connection: length, digest and content.

The content is an encoded message or a control frame. A control frame of the client
carries the id of the connection. A control frame of the server repeats the id and
acknowledges the highest sequence number received. Both also serve as heartbeats.
"""

import struct

from savoryhill.errors import PeerError
from savoryhill.peers.auth import TAG_BYTES

MAX_FRAME_BYTES = 8 * 1024 * 1024
_LENGTH = struct.Struct("!I")
# No message has protocol version 0, so it marks control frames.
_CONTROL = struct.Struct("!BQQ")
_CONTROL_VERSION = 0


def tcp_context(node):
    """Return the context for sealing TCP frames to a node."""
    return b"tcp\0" + node.encode()


def reply_context(connection_id):
    """Return the context for sealing control frames that a server sends to a client.

    ``connection_id`` is the id of the connection as text.
    """
    return b"reply\0" + connection_id.encode()


def datagram_context(node):
    """Return the context for sealing datagrams to a node."""
    return b"udp\0" + node.encode()


def pack_frame(sealed):
    """Prefix sealed content with its length."""
    return _LENGTH.pack(len(sealed)) + sealed


def pack_control(connection_id, sequence):
    """Encode the content of a control frame."""
    return _CONTROL.pack(_CONTROL_VERSION, connection_id, sequence)


def unpack_control(content):
    """Decode a control frame; return None if the content is a message.

    Returns
    -------
    tuple of (int, int) or None
        Connection id and sequence number.
    """
    if len(content) != _CONTROL.size or content[0] != _CONTROL_VERSION:
        return None
    _, connection_id, sequence = _CONTROL.unpack(content)
    return connection_id, sequence


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
    """Read the sealed content of one frame; return None at the end of the stream.

    Raises
    ------
    PeerError
        If the length is out of bounds.
    OSError
        If the connection breaks or no data arrives within the socket's timeout.
    """
    header = _read_exactly(sock, _LENGTH.size)
    if header is None:
        return None
    (n_bytes,) = _LENGTH.unpack(header)
    if not TAG_BYTES < n_bytes <= MAX_FRAME_BYTES:
        raise PeerError(
            f"frame of {n_bytes} bytes is out of bounds: more than {TAG_BYTES} and "
            f"at most {MAX_FRAME_BYTES} bytes are allowed"
        )
    return _read_exactly(sock, n_bytes)
