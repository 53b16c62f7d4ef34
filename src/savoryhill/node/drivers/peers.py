"""Drivers of messages between nodes."""

from savoryhill.config.model import load_configuration
from savoryhill.core import effects, events
from savoryhill.core.messages import ConfigValue
from savoryhill.errors import ConfigurationError
from savoryhill.node.runtime import submit
from savoryhill.observability.logs import log_event
from savoryhill.peers import transport as peers


def make_peer_drivers(node):
    """Build the drivers of effects on other nodes."""

    def send_peer(effect):
        peers.send(node.transport, effect.to, effect.message)

    return {effects.SendPeer: send_peer}


def on_peer_message(node, sender, message):
    """Turn a peer's message into an event."""
    at = node.runtime.clock.monotonic()
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
