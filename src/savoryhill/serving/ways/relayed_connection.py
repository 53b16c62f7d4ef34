"""Connections to endpoints through another node."""

from dataclasses import dataclass, field

from savoryhill.core.reachability.messages import CONNECTED, RelayReply
from savoryhill.errors import NotConnectedError, PeerError, RelayLostError
from savoryhill.serving.links import encode_frame
from savoryhill.serving.ways.connection import RECV_BYTES, Connection, open_connection
from savoryhill.serving.ways.relay_stream import ChunkReader, read_message


class RelayRefusedError(NotConnectedError):
    """The relay made no connection; ``reply`` tells why."""

    def __init__(self, message, *, reply):
        super().__init__(message)
        self.reply = reply


@dataclass(kw_only=True)
class RelayedConnection(Connection):
    """A connection to an endpoint through the node ``relay``."""

    chunks: ChunkReader = field(default_factory=ChunkReader)

    def receive(self, *, timeout_s):
        """Receive and parse once; return False if the endpoint closed the connection.

        Raises
        ------
        TimeoutError
            If no data arrived in time.
        RelayLostError
            If the relay ended the connection, not the endpoint.
        OSError
            If the endpoint's connection broke.
        MalformedMessageError
            If the bytes are not a valid HTTP response.
        """
        self._raise_if_reset()
        self.sock.settimeout(timeout_s)
        try:
            received = self.sock.recv(RECV_BYTES)
        except ConnectionError as error:
            raise RelayLostError(f"{self.relay}: {error!r}") from error
        if not received:
            self.raise_if_aborted()
            raise RelayLostError(f"{self.relay} ended the connection")
        data = self.chunks.feed(received)
        if data:
            self.reader.feed(data)
        self._raise_if_reset()
        if self.chunks.is_closed:
            self.reader.feed_end()
            return False
        return True

    def _raise_if_reset(self):
        """Raise `ConnectionResetError` if the endpoint's connection was reset."""
        if self.chunks.is_reset:
            raise ConnectionResetError(f"reset at {self.relay}")


def open_relayed(node, request, *, timeout_s, source_host, max_buffered_bytes):
    """Ask a node to relay a connection to an endpoint.

    Parameters
    ----------
    node : NodeRecord
        The node to ask.
    request : RelayRequest
        What it is asked.
    timeout_s : float
        Seconds to connect to the node, and again for its reply.
    source_host : str
        Address of this host from which to connect.
    max_buffered_bytes : int
        How many bytes of a response's body are kept until they are taken.

    Raises
    ------
    RelayRefusedError
        If the relay answered that it made no connection.
    NotConnectedError
        If the relay was not reached, or did not answer. In any case, nothing was sent
        to the endpoint.
    """
    connection = open_connection(
        node.relay_address,
        timeout_s=timeout_s,
        max_buffered_bytes=max_buffered_bytes,
        source_host=source_host,
    )
    try:
        connection.send(encode_frame(request, node=request.node), timeout_s=timeout_s)
        reply = read_message(connection.sock)
        if not isinstance(reply, RelayReply):
            raise PeerError(f"expected a reply, got {type(reply).__name__}")
        if reply.outcome != CONNECTED:
            raise RelayRefusedError(f"{node.name}: {reply.outcome}", reply=reply)
    except (OSError, PeerError) as error:
        connection.close()
        raise NotConnectedError(f"{node.name}: {error!r}") from error
    except BaseException:
        connection.close()
        raise
    return RelayedConnection(
        sock=connection.sock, reader=connection.reader, relay=node.name
    )
