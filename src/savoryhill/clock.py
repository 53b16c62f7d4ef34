"""Clock of the runtime; tests replace it by one that they control."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent


@dataclass(frozen=True, kw_only=True)
class Clock:
    """Time source of a process.

    ``monotonic`` and ``wall`` return seconds; ``sleep`` suspends the calling
    greenlet for a number of seconds.
    """

    monotonic: Callable[[], float]
    wall: Callable[[], float]
    sleep: Callable[[float], None]


def system_clock():
    """Return the clock of the operating system."""
    return Clock(monotonic=time.monotonic, wall=time.time, sleep=gevent.sleep)
