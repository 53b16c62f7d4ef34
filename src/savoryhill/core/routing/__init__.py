"""Coordinator side of routing: permits, placement, cold starts, model orders."""

from savoryhill.core.routing import coordinator, orders
from savoryhill.core.routing.summaries import own_summaries

__all__ = ["HANDLERS", "own_summaries"]


def _merge(*tables):
    """Run the handlers of both modules for an event that both handle."""
    merged = {}
    for kind in {kind for table in tables for kind in table}:
        handlers = tuple(table[kind] for table in tables if kind in table)
        merged[kind] = handlers[0] if len(handlers) == 1 else _in_turn(handlers)
    return merged


def _in_turn(handlers):
    def handle(state, event):
        for handler in handlers:
            yield from handler(state, event) or ()

    return handle


HANDLERS = _merge(coordinator.HANDLERS, orders.HANDLERS)
