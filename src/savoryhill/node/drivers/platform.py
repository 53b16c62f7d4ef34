"""Drivers of key-value calls and timers."""

import gevent

from savoryhill.core import effects, events
from savoryhill.errors import OutcomeUnknownError, PlatformError
from savoryhill.node.runtime import submit
from savoryhill.platform.key_value import read_range, transact


def make_platform_drivers(node):
    """Build the drivers of key-value calls and timers."""

    def start_call(effect):
        gevent.spawn(_call_key_value, node, effect)

    def set_timer(effect):
        gevent.spawn(_fire_timer, node, effect)

    return {
        effects.KeyValueTransaction: start_call,
        effects.KeyValueRange: start_call,
        effects.SetTimer: set_timer,
    }


def _fire_timer(node, effect):
    node.clock.sleep(effect.delay_s)
    at = node.clock.monotonic()
    submit(node.runtime, events.TimerFired(at=at, name=effect.name))


def _call_key_value(node, effect):
    now = node.clock.monotonic
    event = call_key_value(node.key_value, effect, started_at=now(), now=now)
    submit(node.runtime, event)


def call_key_value(client, effect, *, started_at, now):
    """Carry out a key-value effect and return its outcome as an event.

    Parameters
    ----------
    client : KeyValueClient
        Client of the key-value service.
    effect : KeyValueRange or KeyValueTransaction
        Call to carry out.
    started_at : float
        Time at which the call was requested, in seconds of the runtime clock.
    now : callable
        Returns the time of the runtime clock in seconds.

    Returns
    -------
    KeyValueAnswered
        The rows and revision of a successful call; ``status`` is ``ok``, ``conflict``,
        ``unknown`` (the call may have taken effect) or ``unreachable``.
    """
    rows, revision = (), 0
    try:
        if type(effect) is effects.KeyValueRange:
            response = read_range(
                client, effect.key, prefix=effect.prefix, range_end=effect.range_end
            )
        else:
            response = transact(
                client,
                compares=effect.compares,
                puts=effect.puts,
                deletes=effect.deletes,
                delete_ranges=effect.delete_ranges,
            )
        status = "ok" if response.succeeded else "conflict"
        rows, revision = response.rows, response.revision
    except OutcomeUnknownError:
        status = "unknown"
    except PlatformError:
        status = "unreachable"
    return events.KeyValueAnswered(
        at=now(),
        call_id=effect.call_id,
        status=status,
        started_at=started_at,
        rows=rows,
        revision=revision,
    )
