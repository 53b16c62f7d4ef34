"""The at-most-once journal of non-idempotent calls."""

from savoryhill.core.journal import entry, writer


def _both(first, second):
    def handle(state, event):
        yield from first(state, event) or ()
        yield from second(state, event) or ()

    return handle


HANDLERS = dict(writer.HANDLERS)
for _kind, _handler in entry.HANDLERS.items():
    known = HANDLERS.get(_kind)
    HANDLERS[_kind] = _both(known, _handler) if known else _handler

__all__ = ["HANDLERS"]
