"""The single reducer over all events of a node."""

from collections import deque

from savoryhill.core import configuration, coordination, journal, membership, routing
from savoryhill.core import requests as entry
from savoryhill.core.effects import Emit, SendPeer
from savoryhill.core.events import PeerReceived
from savoryhill.core.pauses import detect_pause

_SUBJECTS = (configuration, membership, coordination, journal, routing, entry)


def merge_handlers(subjects):
    """Return the handlers of subjects by event type, in the order of the subjects."""
    handlers_by_type = {}
    for subject in subjects:
        for event_type, handler in subject.HANDLERS.items():
            handlers_by_type.setdefault(event_type, []).append(handler)
    return {kind: tuple(handlers) for kind, handlers in handlers_by_type.items()}


_HANDLERS_BY_TYPE = merge_handlers(_SUBJECTS)


def reduce(state, event, handlers_by_type=_HANDLERS_BY_TYPE):
    """Apply one event to the state.

    A message that the node sends to itself is applied within the same call.

    Parameters
    ----------
    state : NodeState
        The node's state, updated in place.
    event : Event
        The event to apply.
    handlers_by_type : dict of type to tuple of callable
        The handlers, those of all subjects unless a test drives a part.

    Returns
    -------
    tuple of Effect
        What the drivers must carry out, in order.
    """
    effects = []
    pending = deque(detect_pause(state, event))
    pending.append(event)
    while pending:
        current = pending.popleft()
        state.now = current.at
        kind = type(current)
        if kind is PeerReceived:
            kind = type(current.message)
        for handler in handlers_by_type.get(kind, ()):
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
