"""Drivers of orders to engines."""

import gevent

from savoryhill.core import effects, events
from savoryhill.endpoints.engine import send_order
from savoryhill.errors import BrokenStreamError, EndpointRefusedError, NotSentError
from savoryhill.node.runtime import submit


def make_order_drivers(node):
    """Build the driver of orders to engines."""

    def send(effect):
        gevent.spawn(_send, node, effect)

    return {effects.SendOrder: send}


def _send(node, effect):
    status, detail = "ok", ""
    try:
        accepted = send_order(
            effect.address,
            fence=effect.fence,
            action=effect.action,
            value=effect.version,
        )
        status = "ok" if accepted else "failed"
    except EndpointRefusedError as error:
        status, detail = "stale", str(error)
    except NotSentError as error:
        status, detail = "failed", str(error)
    except BrokenStreamError as error:
        status, detail = "unknown", str(error)
    submit(
        node.runtime,
        events.OrderAnswered(
            at=node.clock.monotonic(),
            order_id=effect.order_id,
            endpoint=effect.endpoint,
            model=effect.model,
            version=effect.version,
            status=status,
            detail=detail,
        ),
    )
