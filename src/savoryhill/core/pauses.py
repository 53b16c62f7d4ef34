"""Detect that the process was paused."""

from savoryhill.core.events import ProcessResumed, Ticked

# A paused node is taken for gone after about 5 s. The limit is far above the tick
# interval and far below the tenure of 3 s.
PAUSE_LIMIT_S = 1.0


def detect_pause(state, event):
    """Return the events to apply before ``event``.

    The first event after a pause may be of any kind, so every event is checked
    against the last tick.

    Parameters
    ----------
    state : NodeState
        The node's state; ``ticked_at`` is updated.
    event : Event
        The event about to be applied.

    Returns
    -------
    tuple of ProcessResumed
        One event if the last tick is more than `PAUSE_LIMIT_S` ago, else none.
    """
    last = state.last_tick_at
    if last is None:
        state.last_tick_at = event.at
        return ()
    gap_s = event.at - last
    if gap_s > PAUSE_LIMIT_S:
        state.last_tick_at = event.at
        return (ProcessResumed(at=event.at, gap_s=gap_s),)
    if type(event) is Ticked:
        state.last_tick_at = event.at
    return ()
