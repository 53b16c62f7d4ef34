"""The runtime's clock, which tests pause and advance."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent


@dataclass(frozen=True, kw_only=True)
class Clock:
    """Time as the daemons see it.

    ``monotonic`` and ``wall`` return seconds; ``sleep`` suspends the calling
    greenlet for a number of seconds.
    """

    monotonic: Callable[[], float]
    wall: Callable[[], float]
    sleep: Callable[[float], None]


def system_clock():
    """Return the clock of the operating system."""
    return Clock(monotonic=time.monotonic, wall=time.time, sleep=gevent.sleep)
