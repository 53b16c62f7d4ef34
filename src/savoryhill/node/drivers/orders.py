"""Driver that sends orders, such as to load a version, to engines."""

import gevent

from savoryhill.core import effects, events
from savoryhill.endpoints.engine import send_order
from savoryhill.errors import (
    BrokenStreamError,
    EndpointRefusedError,
    NotSentError,
    PlatformUnreachableError,
)
from savoryhill.node.runtime import submit
from savoryhill.observability.logs import log_event
from savoryhill.platform.weights import has_weights, weights_name


def make_order_drivers(node):
    """Build the driver that sends orders to engines."""

    def start_order(effect):
        gevent.spawn(_send_order, node, effect)

    return {effects.SendOrder: start_order}


def _check_weights(node, effect):
    """Check that the weights of an order exist in the weight store.

    An engine unloads the version it serves before it finds that the new weights are
    missing. If the store cannot be reached, the order is sent unchecked.

    Raises
    ------
    NotSentError
        If the store does not have the weights.
    """
    name = weights_name(effect.model, effect.version)
    if not node.settings.weights:
        return
    try:
        found = has_weights(node.settings.weights, name)
    except PlatformUnreachableError as error:
        log_event("weights.unreachable", level="WARNING", detail=str(error))
        return
    if not found:
        raise NotSentError(f"the weight store has no {name!r}")


def _send_order(node, effect):
    status, detail = "ok", ""
    try:
        _check_weights(node, effect)
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
