"""The single reducer over all events of a node."""

from collections import deque

from savoryhill.core import configuration, coordination, journal, membership, routing
from savoryhill.core import requests as entry
from savoryhill.core.effects import Emit, SendPeer
from savoryhill.core.events import PeerReceived
from savoryhill.core.pauses import resumed_after_pause

_SUBJECTS = (configuration, membership, coordination, journal, routing, entry)


def _merge_handlers():
    handlers_by_type = {}
    for subject in _SUBJECTS:
        for event_type, handler in subject.HANDLERS.items():
            handlers_by_type.setdefault(event_type, []).append(handler)
    return {kind: tuple(handlers) for kind, handlers in handlers_by_type.items()}


_HANDLERS_BY_TYPE = _merge_handlers()


def reduce(state, event):
    """Apply one event to the state.

    A message that the node sends to itself is applied within the same call.

    Parameters
    ----------
    state : NodeState
        The node's state, updated in place.
    event : Event
        The event to apply.

    Returns
    -------
    tuple of Effect
        What the drivers must carry out, in order.
    """
    effects = []
    pending = deque(resumed_after_pause(state, event))
    pending.append(event)
    while pending:
        current = pending.popleft()
        state.now = current.at
        kind = type(current)
        if kind is PeerReceived:
            kind = type(current.message)
        for handler in _HANDLERS_BY_TYPE.get(kind, ()):
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
