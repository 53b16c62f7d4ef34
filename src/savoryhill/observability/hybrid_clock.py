"""Hybrid logical clock: orders events of several nodes causally.

A stamp is one integer: the wall time in milliseconds, followed by a 16-bit counter. An
event has a higher stamp than the event that caused it, even if the wall clocks of the
two nodes differ.
"""

from collections.abc import Callable
from dataclasses import dataclass

_COUNTER_BITS = 16
# A stamp further ahead comes from a wrong clock and is ignored; merging it would move
# the clocks of all nodes ahead.
MAX_AHEAD_S = 60.0


@dataclass(kw_only=True)
class HybridClock:
    """The clock of one process; ``wall`` returns the wall time in seconds."""

    wall: Callable[[], float]
    latest: int = 0


def _wall_stamp(clock):
    return int(clock.wall() * 1000) << _COUNTER_BITS


def next_stamp(clock):
    """Return a stamp higher than all earlier and merged stamps."""
    clock.latest = max(clock.latest + 1, _wall_stamp(clock))
    return clock.latest


def merge_stamp(clock, stamp):
    """Advance the clock to a stamp received from another node."""
    limit = _wall_stamp(clock) + (int(MAX_AHEAD_S * 1000) << _COUNTER_BITS)
    if stamp <= limit:
        clock.latest = max(clock.latest, stamp)


def wall_seconds(stamp):
    """Return the wall time encoded in a stamp, in seconds."""
    return (stamp >> _COUNTER_BITS) / 1000
