"""At-most-once journal of non-idempotent calls."""

from savoryhill.core.journal import entry_node, writer


def _chain(first, second):
    def handle(state, event):
        yield from first(state, event) or ()
        yield from second(state, event) or ()

    return handle


HANDLERS = dict(writer.HANDLERS)
for _event_type, _handler in entry_node.HANDLERS.items():
    _registered = HANDLERS.get(_event_type)
    HANDLERS[_event_type] = _chain(_registered, _handler) if _registered else _handler

__all__ = ["HANDLERS"]
