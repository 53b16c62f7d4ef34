"""Drivers that carry out the effects of the core."""

from savoryhill.core import effects
from savoryhill.node.drivers.attempts import make_attempt_drivers
from savoryhill.node.drivers.orders import make_order_drivers
from savoryhill.node.drivers.peers import make_peer_drivers
from savoryhill.node.drivers.platform import make_platform_drivers
from savoryhill.node.readers import make_configuration_drivers

__all__ = ["make_drivers"]


def make_drivers(node):
    """Build the drivers of a node.

    Parameters
    ----------
    node : Node
        Node whose connections the drivers use.

    Returns
    -------
    dict of type to callable
        The function that carries out each type of effect.
    """

    def record_event(effect):
        node.record(effect.name, dict(effect.fields))

    def observe(effect):
        node.observe(effect.metric, effect.value, dict(effect.labels))

    return {
        **make_platform_drivers(node),
        **make_peer_drivers(node),
        **make_attempt_drivers(node),
        **make_order_drivers(node),
        **make_configuration_drivers(node),
        effects.ConfigurationInForce: lambda effect: None,
        effects.Record: record_event,
        effects.Observe: observe,
        effects.StopNode: lambda effect: node.stopped.set(),
    }
