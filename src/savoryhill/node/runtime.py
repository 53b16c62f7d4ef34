"""Run the decision core: feed it events and hand its effects to drivers."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from savoryhill.clock import Clock
from savoryhill.core.events import Event, Ticked
from savoryhill.core.reducer import reduce
from savoryhill.core.state import NodeState


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
            for effect in reduce(runtime.state, runtime.pending.popleft()):
                runtime.drivers_by_effect[type(effect)](effect)
    finally:
        runtime.busy = False


def run_ticks(runtime, interval_s):
    """Submit a tick at every interval until the greenlet is killed."""
    while True:
        runtime.clock.sleep(interval_s)
        clock = runtime.clock
        submit(runtime, Ticked(at=clock.monotonic(), wall_s=clock.wall()))
