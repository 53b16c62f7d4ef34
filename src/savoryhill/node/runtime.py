"""Run the decision core: apply events and pass the effects to drivers."""

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
    """State of the core, its event queue and its drivers.

    ``drivers_by_effect`` maps the type of an effect to the function that carries it
    out. ``busy`` is true while an event is being applied.
    """

    state: NodeState
    clock: Clock
    drivers_by_effect: dict[type, Callable] = field(default_factory=dict)
    pending: deque[Event] = field(default_factory=deque)
    busy: bool = False
    n_events_by_name: Counter = field(default_factory=Counter)
    n_effects_by_name: Counter = field(default_factory=Counter)
    n_key_value_responses_by_status: Counter = field(default_factory=Counter)


def submit(runtime, event):
    """Apply an event and carry out its effects.

    An event that is submitted while another one is being applied, such as by a driver,
    is queued and applied after it.

    Parameters
    ----------
    runtime : Runtime
        Runtime that owns the state.
    event : Event
        Event to apply.
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
    event_type = type(event)
    runtime.n_events_by_name[event_type.__name__] += 1
    if event_type is KeyValueAnswered:
        runtime.n_key_value_responses_by_status[event.status] += 1
    for effect in reduce(runtime.state, event):
        effect_type = type(effect)
        runtime.n_effects_by_name[effect_type.__name__] += 1
        try:
            runtime.drivers_by_effect[effect_type](effect)
        except Exception as error:
            # Carry on: the remaining effects may belong to other requests.
            log_event(
                "driver.error",
                level="ERROR",
                effect=effect_type.__name__,
                detail=repr(error),
            )


def run_ticks(runtime, interval_s):
    """Submit a `Ticked` event every ``interval_s`` until the greenlet is killed."""
    while True:
        runtime.clock.sleep(interval_s)
        try:
            clock = runtime.clock
            submit(runtime, Ticked(at=clock.monotonic(), wall_s=clock.wall()))
        except Exception as error:
            # Keep ticking: the core enforces deadlines on ticks.
            log_event("runtime.tick_error", level="ERROR", detail=repr(error))
