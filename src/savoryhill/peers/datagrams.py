"""UDP datagrams for membership gossip and configuration checks."""

import gevent
from gevent import socket

from savoryhill.core.membership.updates import MAX_DATAGRAM_BYTES
from savoryhill.core.messages import (
    Ack,
    ConfigCheck,
    ConfigStatus,
    CoordinatorChanged,
    Ping,
    PingRequest,
)
from savoryhill.errors import PeerError
from savoryhill.peers.auth import TAG_BYTES, seal
from savoryhill.peers.codec import Envelope, encode
from savoryhill.peers.frames import datagram_context

DATAGRAM_TYPES = frozenset(
    (Ping, Ack, PingRequest, CoordinatorChanged, ConfigCheck, ConfigStatus)
)
_RECEIVE_BYTES = 2048


def listen(transport, host, port, receive):
    """Receive datagrams on a port until the transport is closed."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, port))
    transport.datagram_socket = sock
    transport.greenlets.add(gevent.spawn(_receive_forever, transport, sock, receive))


def _receive_forever(transport, sock, receive):
    context = datagram_context(transport.node)
    while True:
        try:
            data, _ = sock.recvfrom(_RECEIVE_BYTES)
        except OSError:
            # The error of an earlier datagram to a closed port is raised here.
            if sock.closed:
                return
            continue
        if len(data) <= TAG_BYTES:
            transport.n_dropped_by_reason["truncated"] += 1
            continue
        try:
            receive(transport, data, channel="udp", context=context)
        except PeerError:
            transport.n_dropped_by_reason["unauthenticated"] += 1


def send(transport, node, message):
    """Send one datagram; count it as dropped if it cannot be sent."""
    address = transport.address_of(node)
    if address is None or transport.datagram_socket is None:
        transport.n_dropped_by_reason["no_address"] += 1
        return
    sequence = transport.datagram_sequences_by_node.get(node, 0) + 1
    transport.datagram_sequences_by_node[node] = sequence
    envelope = Envelope(
        sender=transport.node,
        incarnation=transport.incarnation,
        sequence=sequence,
        message=message,
        hlc=transport.next_stamp(),
    )
    data = seal(transport.key, encode(envelope), datagram_context(node))
    if len(data) > MAX_DATAGRAM_BYTES:
        transport.n_dropped_by_reason["too_long"] += 1
        return
    host, port = address.rsplit(":", 1)
    try:
        transport.datagram_socket.sendto(data, socket.MSG_DONTWAIT, (host, int(port)))
        transport.n_sent_by_channel["udp"] += 1
    except OSError:
        transport.n_dropped_by_reason["not_sent"] += 1
