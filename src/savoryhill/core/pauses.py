"""Detection of pauses of the process."""

from savoryhill.core.events import ProcessResumed, Ticked

# Well above the tick interval, and well below both the coordinator's lease (3 s) and
# the time after which other nodes declare a paused node gone (about 5 s).
PAUSE_THRESHOLD_S = 1.0


def detect_pause(state, event):
    """Return the events to apply before ``event``.

    The first event after a pause may be of any type, so the time of every event is
    compared with that of the last tick.

    Parameters
    ----------
    state : NodeState
        The node's state; ``last_tick_at`` is updated.
    event : Event
        The event about to be applied.

    Returns
    -------
    tuple of ProcessResumed
        One event if the last tick is more than `PAUSE_THRESHOLD_S` ago, else none.
    """
    last_tick_at = state.last_tick_at
    if last_tick_at is None:
        state.last_tick_at = event.at
        return ()
    gap_s = event.at - last_tick_at
    if gap_s > PAUSE_THRESHOLD_S:
        state.last_tick_at = event.at
        return (ProcessResumed(at=event.at, gap_s=gap_s),)
    if type(event) is Ticked:
        state.last_tick_at = event.at
    return ()
