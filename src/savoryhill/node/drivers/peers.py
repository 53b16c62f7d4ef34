"""Drivers of messages between nodes."""

import gevent

from savoryhill.config.model import load_configuration
from savoryhill.core import effects, events
from savoryhill.core.messages import ConfigValue
from savoryhill.errors import ConfigurationError
from savoryhill.node.runtime import submit
from savoryhill.observability.logs import log_event
from savoryhill.peers import transport as peers
from savoryhill.peers.operator import answer_operator, operator_address


def make_peer_drivers(node):
    """Build the drivers of effects on other nodes."""

    def send_peer(effect):
        if operator_address(effect.to) is not None:
            gevent.spawn(
                answer_operator,
                node.transport,
                effect.to,
                effect.message,
                send_once=peers.send_once,
            )
            return
        peers.send(node.transport, effect.to, effect.message)

    return {effects.SendPeer: send_peer}


def on_peer_message(node, sender, message):
    """Turn a peer's message into an event."""
    at = node.runtime.clock.monotonic()
    if operator_address(sender) is not None:
        # Every command line has a name of its own, and its messages may be repeated
        # without harm, so nothing is kept of it.
        node.transport.windows_by_sender.pop(sender, None)
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
