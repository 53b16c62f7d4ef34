"""Run the decision core: feed it events and hand its effects to drivers."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from savoryhill.clock import Clock
from savoryhill.core.events import Event, KeyValueAnswered, Ticked
from savoryhill.core.reducer import reduce
from savoryhill.core.state import NodeState
from savoryhill.observability.logs import log_event


@dataclass(kw_only=True)
class Runtime:
    """The core of one node with its drivers.

    ``drivers_by_effect`` maps an effect's type to a function of the effect.
    """

    state: NodeState
    clock: Clock
    drivers_by_effect: dict[type, Callable] = field(default_factory=dict)
    pending: deque[Event] = field(default_factory=deque)
    busy: bool = False
    n_events_by_name: Counter = field(default_factory=Counter)
    n_effects_by_name: Counter = field(default_factory=Counter)
    n_answers_by_status: Counter = field(default_factory=Counter)


def submit(runtime, event):
    """Apply an event and carry out its effects.

    An event submitted by a driver while another is being processed is applied
    after that one.

    Parameters
    ----------
    runtime : Runtime
        The node's runtime.
    event : Event
        What happened.
    """
    runtime.pending.append(event)
    if runtime.busy:
        return
    runtime.busy = True
    try:
        while runtime.pending:
            _apply(runtime, runtime.pending.popleft())
    finally:
        runtime.busy = False


def _apply(runtime, event):
    kind = type(event)
    runtime.n_events_by_name[kind.__name__] += 1
    if kind is KeyValueAnswered:
        runtime.n_answers_by_status[event.status] += 1
    for effect in reduce(runtime.state, event):
        kind = type(effect)
        runtime.n_effects_by_name[kind.__name__] += 1
        try:
            runtime.drivers_by_effect[kind](effect)
        except Exception as error:
            # The remaining effects belong to other requests too.
            log_event(
                "driver.error", level="ERROR", effect=kind.__name__, detail=repr(error)
            )


def run_ticks(runtime, interval_s):
    """Submit a tick at every interval until the greenlet is killed."""
    while True:
        runtime.clock.sleep(interval_s)
        try:
            clock = runtime.clock
            submit(runtime, Ticked(at=clock.monotonic(), wall_s=clock.wall()))
        except Exception as error:
            # Without ticks no deadline would be kept.
            log_event("runtime.tick_error", level="ERROR", detail=repr(error))
