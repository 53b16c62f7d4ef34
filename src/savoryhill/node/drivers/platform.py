"""Drivers of the platform's services."""

import gevent

from savoryhill.core import effects, events
from savoryhill.errors import OutcomeUnknownError, PlatformUnreachableError
from savoryhill.node.runtime import submit
from savoryhill.platform.key_value import read_range, transact


def make_platform_drivers(node):
    """Build the drivers of effects on the platform's services."""

    def call_key_value(effect):
        gevent.spawn(_call_key_value, node, effect)

    def set_timer(effect):
        gevent.spawn(_fire_timer, node, effect)

    return {
        effects.KeyValueTransaction: call_key_value,
        effects.KeyValueRange: call_key_value,
        effects.SetTimer: set_timer,
    }


def _fire_timer(node, effect):
    node.clock.sleep(effect.delay_s)
    at = node.clock.monotonic()
    submit(node.runtime, events.TimerFired(at=at, name=effect.name))


def _call_key_value(node, effect):
    now = node.clock.monotonic
    started_at = now()
    rows, revision = (), 0
    try:
        if type(effect) is effects.KeyValueRange:
            answer = read_range(
                node.key_value,
                effect.key,
                prefix=effect.prefix,
                range_end=effect.range_end,
            )
        else:
            answer = transact(
                node.key_value,
                compares=effect.compares,
                puts=effect.puts,
                deletes=effect.deletes,
                delete_ranges=effect.delete_ranges,
            )
        status = "ok" if answer.succeeded else "conflict"
        rows, revision = answer.rows, answer.revision
    except PlatformUnreachableError:
        status = "unreachable"
    except OutcomeUnknownError:
        status = "unknown"
    submit(
        node.runtime,
        events.KeyValueAnswered(
            at=now(),
            call_id=effect.call_id,
            status=status,
            started_at=started_at,
            rows=rows,
            revision=revision,
        ),
    )
