"""Exchange of messages between nodes over TCP and UDP."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.server import StreamServer

from savoryhill.core.messages import Message
from savoryhill.errors import PeerError
from savoryhill.peers import connections, datagrams, server
from savoryhill.peers.auth import ReplayWindow, admit, unseal
from savoryhill.peers.codec import decode
from savoryhill.peers.connections import Peer


@dataclass(kw_only=True)
class Transport:
    """Connections of one node to its peers.

    ``address_of`` maps a node's name to ``ip:port`` or None. ``on_message`` is called
    with the sender's name and the message, ``on_unreachable`` with the node's name
    and the message that could not be delivered. A message reported as unreachable may
    still have been received if only its acknowledgement was lost. ``next_stamp`` and
    ``merge_stamp`` return and merge timestamps of the process's hybrid logical clock.
    """

    node: str
    incarnation: int
    key: bytes
    address_of: Callable[[str], str | None]
    on_message: Callable[[str, Message], None]
    on_unreachable: Callable[[str, Message], None]
    next_stamp: Callable[[], int] = int
    merge_stamp: Callable[[int], None] = bool
    n_dropped_by_reason: Counter = field(default_factory=Counter)
    n_sent_by_channel: Counter = field(default_factory=Counter)
    replay_windows_by_sender: dict[tuple[str, str], ReplayWindow] = field(
        default_factory=dict
    )
    peers_by_node: dict[str, Peer] = field(default_factory=dict)
    datagram_sequences_by_node: dict[str, int] = field(default_factory=dict)
    server: StreamServer | None = None
    datagram_socket: socket.socket | None = None
    greenlets: set[gevent.Greenlet] = field(default_factory=set)

    @property
    def n_dropped(self):
        """Number of messages dropped for any reason."""
        return self.n_dropped_by_reason.total()


def listen(transport, address):
    """Accept frames and datagrams from other nodes on ``ip:port``."""
    host, port = address.rsplit(":", 1)

    def serve(sock, _):
        greenlet = gevent.getcurrent()
        transport.greenlets.add(greenlet)
        try:
            server.serve_connection(transport, sock, receive)
        finally:
            transport.greenlets.discard(greenlet)

    transport.server = StreamServer((host, int(port)), serve)
    transport.server.start()
    datagrams.listen(transport, host, int(port), receive)


def close(transport):
    """Stop receiving and sending immediately; pending messages are lost."""
    if transport.server is not None:
        transport.server.stop(timeout=0.2)
    gevent.killall(
        [peer.greenlet for peer in transport.peers_by_node.values()]
        + list(transport.greenlets)
    )
    if transport.datagram_socket is not None:
        transport.datagram_socket.close()


def flush(transport, *, timeout_s):
    """Wait until all messages are acknowledged or reported, at most ``timeout_s``."""
    with gevent.Timeout(timeout_s, False):
        while any(
            peer.queued or peer.in_flight for peer in transport.peers_by_node.values()
        ):
            gevent.sleep(0.01)


def send(transport, node, message):
    """Queue a message for a node; report it as unreachable if the queue is full."""
    connections.send(transport, node, message)


def send_datagram(transport, node, message):
    """Send a message by UDP without any guarantee of delivery."""
    datagrams.send(transport, node, message)


def receive(transport, sealed, *, channel, context):
    """Authenticate and decode one sealed message and pass it to ``on_message``.

    Parameters
    ----------
    transport : Transport
        The receiving node's transport.
    sealed : bytes
        Digest and encoded envelope.
    channel : str
        ``tcp`` or ``udp``; each has its own sequence numbers.
    context : bytes
        Context in which the message was sealed.

    Returns
    -------
    int or None
        The sequence number, also of a repeated message, which is dropped; None if
        the message was dropped for any other reason.

    Raises
    ------
    PeerError
        If the message is not authentic.
    """
    content = unseal(transport.key, sealed, context)
    try:
        envelope = decode(content)
    except PeerError:
        transport.n_dropped_by_reason["undecodable"] += 1
        return None
    if channel == "udp" and type(envelope.message) not in datagrams.DATAGRAM_TYPES:
        transport.n_dropped_by_reason["unexpected"] += 1
        return None
    window = transport.replay_windows_by_sender.setdefault(
        (envelope.sender, channel), ReplayWindow()
    )
    if admit(window, envelope.incarnation, envelope.sequence):
        transport.merge_stamp(envelope.hlc)
        transport.on_message(envelope.sender, envelope.message)
    else:
        transport.n_dropped_by_reason["repeated"] += 1
    return envelope.sequence
