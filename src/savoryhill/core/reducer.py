"""The reducer that applies every event of a node to its state."""

from collections import deque

from savoryhill.core import configuration, coordination, journal, membership, routing
from savoryhill.core import requests as entry
from savoryhill.core.effects import Emit, SendPeer
from savoryhill.core.events import PeerReceived
from savoryhill.core.pauses import detect_pause

_SUBSYSTEMS = (configuration, membership, coordination, journal, routing, entry)


def merge_handlers(subsystems):
    """Return the handlers by event type, in the order of the subsystems.

    Each subsystem is a module whose ``HANDLERS`` maps event or message types to
    handlers.
    """
    handlers_by_type = {}
    for subsystem in subsystems:
        for event_type, handler in subsystem.HANDLERS.items():
            handlers_by_type.setdefault(event_type, []).append(handler)
    return {
        event_type: tuple(handlers) for event_type, handlers in handlers_by_type.items()
    }


_HANDLERS_BY_TYPE = merge_handlers(_SUBSYSTEMS)


def reduce(state, event, handlers_by_type=_HANDLERS_BY_TYPE):
    """Apply one event to the state and return the resulting effects.

    Emitted events and messages that the node sends to itself are applied within the
    same call. A `PeerReceived` event is dispatched by the type of its message.

    Parameters
    ----------
    state : NodeState
        The node's state, updated in place.
    event : Event
        The event to apply.
    handlers_by_type : dict of type to tuple of callable
        Handlers to call, by default those of all subsystems. Callers that exercise
        only some subsystems pass their own.

    Returns
    -------
    tuple of Effect
        Effects for the drivers to carry out, in order.
    """
    effects = []
    pending = deque(detect_pause(state, event))
    pending.append(event)
    while pending:
        current = pending.popleft()
        state.now = current.at
        event_type = type(current)
        if event_type is PeerReceived:
            event_type = type(current.message)
        for handler in handlers_by_type.get(event_type, ()):
            for effect in handler(state, current) or ():
                if type(effect) is Emit:
                    pending.append(effect.event)
                elif type(effect) is SendPeer and effect.to == state.node:
                    pending.append(
                        PeerReceived(
                            at=current.at, sender=state.node, message=effect.message
                        )
                    )
                else:
                    effects.append(effect)
    return tuple(effects)
