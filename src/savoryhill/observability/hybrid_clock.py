"""Hybrid logical clock: orders events of several nodes by cause.

A stamp is one integer: milliseconds of wall time, then a 16-bit counter. An
event that another one caused has a higher stamp even if the wall clocks of the
two nodes differ.
"""

from collections.abc import Callable
from dataclasses import dataclass

_COUNTER_BITS = 16
# A stamp further ahead comes from a broken clock and would drag all others along.
MAX_AHEAD_S = 60.0


@dataclass(kw_only=True)
class HybridClock:
    """The clock of one process; ``wall`` returns seconds."""

    wall: Callable[[], float]
    latest: int = 0


def _wall_stamp(clock):
    return int(clock.wall() * 1000) << _COUNTER_BITS


def next_stamp(clock):
    """Return a stamp above every earlier and every merged one."""
    clock.latest = max(clock.latest + 1, _wall_stamp(clock))
    return clock.latest


def merge_stamp(clock, stamp):
    """Note a stamp that came with a message of another node."""
    limit = _wall_stamp(clock) + (int(MAX_AHEAD_S * 1000) << _COUNTER_BITS)
    if stamp <= limit:
        clock.latest = max(clock.latest, stamp)


def wall_seconds(stamp):
    """Return the wall time of a stamp in seconds."""
    return (stamp >> _COUNTER_BITS) / 1000
