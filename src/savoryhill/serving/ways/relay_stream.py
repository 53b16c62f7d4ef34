"""Format of a relayed connection.

The node that asks sends one message and, once the relay has answered that it is
connected, the bytes for the endpoint as they are. The relay sends its answer and then
the bytes of the endpoint in chunks, each preceded by its length, because the end of the
endpoint's connection must be told from that of the relay.
"""

import struct

from savoryhill.errors import PeerError
from savoryhill.peers.codec import decode

LENGTH = struct.Struct("!I")
MAX_MESSAGE_BYTES = 4_096
# Lengths that stand for the end of the endpoint's connection.
CLOSED = 0
RESET = 0xFFFFFFFF
CLOSED_MARK = LENGTH.pack(CLOSED)
RESET_MARK = LENGTH.pack(RESET)


def read_message(sock):
    """Read one message, and nothing that follows it.

    Raises
    ------
    OSError
        If the connection broke, or was silent for the timeout of the socket.
    PeerError
        If it was closed, or the message is too long or cannot be decoded.
    """
    (length,) = LENGTH.unpack(_read_exactly(sock, LENGTH.size))
    if length > MAX_MESSAGE_BYTES:
        raise PeerError(
            f"message of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
        )
    return decode(_read_exactly(sock, length)).message


def _read_exactly(sock, n_bytes):
    data = b""
    while len(data) < n_bytes:
        part = sock.recv(n_bytes - len(data))
        if not part:
            raise PeerError(f"closed after {len(data)} of {n_bytes} bytes")
        data += part
    return data


class ChunkReader:
    """Takes the endpoint's bytes out of the chunks of a relay.

    ``is_closed`` and ``is_reset`` tell how the endpoint's connection has ended.
    """

    def __init__(self):
        self._header = b""
        self._n_left = 0
        self.is_closed = False
        self.is_reset = False

    def feed(self, data):
        """Return the bytes of the endpoint among received ones."""
        parts, start = [], 0
        while start < len(data) and not (self.is_closed or self.is_reset):
            if self._n_left:
                part = data[start : start + self._n_left]
                parts.append(part)
                self._n_left -= len(part)
                start += len(part)
                continue
            header_part = data[start : start + LENGTH.size - len(self._header)]
            self._header += header_part
            start += len(header_part)
            if len(self._header) == LENGTH.size:
                self._begin_chunk()
        return b"".join(parts)

    def _begin_chunk(self):
        (length,) = LENGTH.unpack(self._header)
        self._header = b""
        if length == CLOSED:
            self.is_closed = True
        elif length == RESET:
            self.is_reset = True
        else:
            self._n_left = length
