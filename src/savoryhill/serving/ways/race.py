"""Attempts to connect that are started one after the other; the first one wins."""

import gevent
from gevent.queue import Empty, Queue

from savoryhill.errors import NotConnectedError

# The next attempt starts after this time, or as soon as one has failed. A handshake
# within a region takes a few milliseconds.
STAGGER_S = 0.04


def race(attempts, *, is_decided):
    """Return the first connection that one of several attempts makes.

    Nothing is sent on a connection before it has won, so the others are closed without
    any effect.

    Parameters
    ----------
    attempts : iterable of callable
        Each returns a connection or raises `NotConnectedError`. The next one is taken
        only when it starts.
    is_decided : callable
        Asked after each failure; True starts no further attempts.

    Raises
    ------
    NotConnectedError
        If all attempts have failed; that of the last one.
    """
    waiting, finished = iter(attempts), Queue()
    n_running, last_error, is_waiting = 0, None, True
    try:
        while is_waiting or n_running:
            attempt = next(waiting, None) if is_waiting else None
            is_waiting = attempt is not None
            if is_waiting:
                gevent.spawn(_run, attempt, finished)
                n_running += 1
            elif not n_running:
                break
            try:
                result = finished.get(timeout=STAGGER_S if is_waiting else None)
            except Empty:
                continue
            n_running -= 1
            if not isinstance(result, NotConnectedError):
                return result
            last_error = result
            if is_decided():
                is_waiting = False
        raise last_error
    finally:
        if n_running:
            gevent.spawn(_close_late, finished, n_running)


def _run(attempt, finished):
    try:
        finished.put(attempt())
    except NotConnectedError as error:
        finished.put(error)


def _close_late(finished, n_running):
    """Close the connections that are made after the race."""
    for _ in range(n_running):
        result = finished.get()
        if not isinstance(result, NotConnectedError):
            result.close()
