"""Drivers of messages between nodes."""

from savoryhill.config.model import load_configuration
from savoryhill.core import effects, events
from savoryhill.core.messages import ConfigValue
from savoryhill.errors import ConfigurationError
from savoryhill.node.runtime import submit
from savoryhill.observability.logs import log_event
from savoryhill.peers import transport as peers
from savoryhill.peers.operator import operator_address


def make_peer_drivers(node):
    """Build the drivers of effects on other nodes."""

    def send_peer(effect):
        peers.send(node.transport, effect.to, effect.message)

    def send_datagram(effect):
        peers.send_datagram(node.transport, effect.to, effect.message)

    return {effects.SendPeer: send_peer, effects.SendDatagram: send_datagram}


def on_peer_unreachable(node, name, message):
    """Tell the core of a message that could not be delivered."""
    log_event("peer.unreachable", peer=name, message=type(message).__name__)
    at = node.runtime.clock.monotonic()
    submit(node.runtime, events.PeerUnreachable(at=at, node=name, message=message))


def on_peer_message(node, sender, message):
    """Turn a peer's message into an event."""
    at = node.runtime.clock.monotonic()
    if operator_address(sender) is not None:
        # Every command line has a name of its own, and its messages may be repeated
        # without harm, so nothing is kept of it.
        node.transport.replay_windows_by_sender.pop((sender, "tcp"), None)
    if type(message) is ConfigValue:
        try:
            configuration = load_configuration(message.content)
        except ConfigurationError as error:
            log_event("configuration.undecodable", sender=sender, detail=str(error))
            return
        event = events.ConfigurationRead(
            at=at,
            configuration=configuration,
            source=sender,
            content=message.content,
        )
    else:
        event = events.PeerReceived(at=at, sender=sender, message=message)
    submit(node.runtime, event)
