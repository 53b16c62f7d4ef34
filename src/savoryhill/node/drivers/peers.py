"""Send and receive messages between nodes."""

from savoryhill.config.model import load_configuration
from savoryhill.core import effects, events
from savoryhill.core.messages import ConfigValue
from savoryhill.errors import ConfigurationError
from savoryhill.node.runtime import submit
from savoryhill.observability.logs import log_event
from savoryhill.peers import transport as peers
from savoryhill.peers.operator import operator_address


def make_peer_drivers(node):
    """Build the drivers that send messages to other nodes."""

    def send_peer(effect):
        peers.send(node.transport, effect.to, effect.message)

    def send_datagram(effect):
        peers.send_datagram(node.transport, effect.to, effect.message)

    return {effects.SendPeer: send_peer, effects.SendDatagram: send_datagram}


def on_peer_unreachable(node, name, message):
    """Report to the core that a message could not be delivered."""
    log_event("peer.unreachable", peer=name, message=type(message).__name__)
    at = node.runtime.clock.monotonic()
    submit(node.runtime, events.PeerUnreachable(at=at, node=name, message=message))


def on_peer_message(node, sender, message):
    """Submit a received message to the core as an event."""
    at = node.runtime.clock.monotonic()
    if operator_address(sender) is not None:
        # Each command-line process has its own sender name and its messages are safe to
        # replay, so its replay window is dropped instead of being kept for ever.
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
