"""Fake peers for one real node: run the cores of all other nodes in one process."""

from base64 import b64decode
from dataclasses import dataclass, field
from functools import lru_cache

import gevent

from savoryhill.config.model import load_configuration
from savoryhill.core import effects, events
from savoryhill.core.messages import ConfigValue
from savoryhill.core.reducer import reduce
from savoryhill.core.state import NodeState, new_state
from savoryhill.peers import transport as peers
from savoryhill.peers.auth import TAG_BYTES
from savoryhill.peers.codec import Envelope, encode
from savoryhill.standins.platform_store import (
    StoreState,
    apply_range,
    apply_transaction,
)

TICK_S = 0.25
_load_cached = lru_cache(maxsize=8)(load_configuration)


@dataclass(kw_only=True)
class Traffic:
    """Messages and bytes that the observed node sent to and received from peers."""

    n_sent: int = 0
    sent_bytes: int = 0
    n_received: int = 0
    received_bytes: int = 0


@dataclass(kw_only=True)
class FakePeer:
    """A node's core and transport, without clients, endpoints or an own process."""

    state: NodeState
    transport: peers.Transport | None = None
    is_stopped: bool = False


@dataclass(kw_only=True)
class Fleet:
    """All fake peers, and their traffic with the real node ``observed_node``."""

    observed_node: str
    cluster_key: bytes
    store: StoreState
    clock: object
    peers_by_node: dict[str, FakePeer] = field(default_factory=dict)
    addresses_by_node: dict[str, str] = field(default_factory=dict)
    traffic: Traffic = field(default_factory=Traffic)


def message_bytes(message, sender="node-000"):
    """Return the encoded size of a message without the transport's header."""
    envelope = Envelope(sender=sender, incarnation=1, sequence=1, message=message)
    return len(encode(envelope)) + TAG_BYTES


def start_peer(fleet, node, zone, region):
    """Start a fake peer on its own loopback port."""
    state = new_state(
        node=node,
        zone=zone,
        region=region,
        address="",
        incarnation=1,
        seed=hash(node) & 0xFFFF,
    )
    state.now = fleet.clock()
    peer = FakePeer(state=state)
    peer.transport = peers.Transport(
        node=node,
        incarnation=1,
        key=fleet.cluster_key,
        address_of=fleet.addresses_by_node.get,
        on_message=lambda sender, message: _receive(fleet, peer, sender, message),
        on_unreachable=lambda name, message: None,
    )
    peers.listen(peer.transport, "127.0.0.1:0")
    port = peer.transport.server.server_port
    _move_datagram_socket(peer.transport, port)
    state.address = f"127.0.0.1:{port}"
    fleet.peers_by_node[node] = peer
    fleet.addresses_by_node[node] = state.address


def _move_datagram_socket(transport, port):
    """Rebind the datagram socket to the port assigned to the TCP server."""
    from savoryhill.peers import datagrams

    transport.datagram_socket.close()
    datagrams.listen(transport, "127.0.0.1", port, peers.receive)


def stop_peers(fleet, nodes):
    """Stop peers as if their hosts were lost: they neither send nor respond."""
    for node in nodes:
        peer = fleet.peers_by_node[node]
        peer.is_stopped = True
        peers.close(peer.transport)


def submit(fleet, peer, event):
    """Reduce an event on a fake peer and execute the effects that are supported."""
    if peer.is_stopped:
        return
    for effect in reduce(peer.state, event):
        _execute_effect(fleet, peer, effect)


def run_ticks(fleet):
    """Tick every fake peer once per interval, evenly spread over the interval."""
    while True:
        nodes = list(fleet.peers_by_node.values())
        started = fleet.clock()
        for number, peer in enumerate(nodes):
            due = started + TICK_S * number / len(nodes)
            gevent.sleep(max(0.0, due - fleet.clock()))
            submit(fleet, peer, events.Ticked(at=fleet.clock()))
        gevent.sleep(max(0.0, started + TICK_S - fleet.clock()))


def announce_hosts(fleet):
    """Pass the addresses of all nodes to every fake peer, as the host list does."""
    for peer in fleet.peers_by_node.values():
        event = events.HostsListed(
            at=fleet.clock(), addresses_by_node=dict(fleet.addresses_by_node)
        )
        submit(fleet, peer, event)


def _receive(fleet, peer, sender, message):
    if sender == fleet.observed_node:
        fleet.traffic.n_sent += 1
        fleet.traffic.sent_bytes += message_bytes(message, sender)
    at = fleet.clock()
    if type(message) is ConfigValue:
        event = events.ConfigurationRead(
            at=at,
            configuration=_load_cached(message.content),
            source=sender,
            content=message.content,
        )
    else:
        event = events.PeerReceived(at=at, sender=sender, message=message)
    submit(fleet, peer, event)


def _execute_effect(fleet, peer, effect):
    effect_type = type(effect)
    if effect_type in (effects.SendPeer, effects.SendDatagram):
        if effect.to == fleet.observed_node:
            fleet.traffic.n_received += 1
            size = message_bytes(effect.message, peer.state.node)
            fleet.traffic.received_bytes += size
        send = peers.send if effect_type is effects.SendPeer else peers.send_datagram
        send(peer.transport, effect.to, effect.message)
    elif effect_type in (effects.KeyValueRange, effects.KeyValueTransaction):
        gevent.spawn(_answer_key_value, fleet, peer, effect)


def _answer_key_value(fleet, peer, effect):
    """Execute a key-value call directly on the stand-in's store, without HTTP."""
    from savoryhill.platform.key_value import encode_base64, prefix_end

    started_at = fleet.clock()
    rows, status = (), "ok"
    if type(effect) is effects.KeyValueRange:
        body = {"key": encode_base64(effect.key)}
        if effect.prefix:
            body["range_end"] = encode_base64(prefix_end(effect.key))
        answer = apply_range(fleet.store, body)
        rows = tuple(
            events.KeyValueRow(
                key=b64decode(row["key"]).decode(),
                value=b64decode(row["value"]),
                mod_revision=int(row["mod_revision"]),
            )
            for row in answer["kvs"]
        )
    else:
        body = {
            "compare": [
                {"key": encode_base64(each.key), "mod_revision": str(each.mod_revision)}
                for each in effect.compares
            ],
            "success": [
                {
                    "request_put": {
                        "key": encode_base64(key),
                        "value": encode_base64(value),
                    }
                }
                for key, value in effect.puts
            ]
            + [
                {"request_delete_range": {"key": encode_base64(key)}}
                for key in effect.deletes
            ],
        }
        answer = apply_transaction(fleet.store, body)
        status = "ok" if answer["succeeded"] else "conflict"
    submit(
        fleet,
        peer,
        events.KeyValueAnswered(
            at=fleet.clock(),
            call_id=effect.call_id,
            status=status,
            started_at=started_at,
            rows=rows,
            revision=int(answer["header"]["revision"]),
        ),
    )
