"""Routing in the coordinator: permits, placement, cold starts and model rollouts."""

from savoryhill.core.routing import coordinator, model_rollout
from savoryhill.core.routing.summaries import own_summaries

__all__ = ["HANDLERS", "own_summaries"]


def _merge_handlers(*tables):
    """Merge tables of handlers; an event in several tables runs all its handlers."""
    merged = {}
    for event_type in {event_type for table in tables for event_type in table}:
        handlers = tuple(table[event_type] for table in tables if event_type in table)
        merged[event_type] = handlers[0] if len(handlers) == 1 else _chain(handlers)
    return merged


def _chain(handlers):
    def handle(state, event):
        for handler in handlers:
            yield from handler(state, event) or ()

    return handle


HANDLERS = _merge_handlers(coordinator.HANDLERS, model_rollout.HANDLERS)
