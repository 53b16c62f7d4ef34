"""Prefill an oversize prompt in parts on several endpoints before streaming."""

import gevent

from savoryhill.endpoints.engine import cancel_stream, prefill_part
from savoryhill.errors import EndpointError, NotSentError
from savoryhill.observability.logs import log_event


def import_parts(node, effect, *, timeout_s):
    """Prefill all parts but the last, in prompt order.

    Parameters
    ----------
    node : Node
        Node whose configuration has the addresses of the endpoints.
    effect : StartAttempt
        Attempt with its parts; the last part is prefilled by the streaming endpoint.
    timeout_s : float
        Time limit for all parts together.

    Returns
    -------
    int
        Number of prefilled tokens that the streaming endpoint is to import.

    Raises
    ------
    EndpointError
        If a part could not be prefilled.
    """
    now = node.clock.monotonic
    deadline_at = now() + timeout_s
    endpoints_by_id = node.runtime.state.active.endpoints_by_id
    n_imported = 0
    for part in effect.parts[:-1]:
        endpoint = endpoints_by_id.get(part.endpoint)
        if endpoint is None:
            raise NotSentError(f"endpoint {part.endpoint!r} is not configured")
        prefill_part(
            endpoint.address,
            request_id=effect.spec.request_id,
            n_tokens=part.n_tokens,
            imported_tokens=n_imported,
            fence=effect.fence,
            incarnation=part.incarnation,
            priority=effect.priority,
            timeout_s=max(0.1, deadline_at - now()),
        )
        n_imported += part.n_tokens
    return n_imported


def release_parts(node, effect):
    """Release the memory of all parts but the last on their endpoints."""
    endpoints_by_id = node.runtime.state.active.endpoints_by_id
    for part in effect.parts[:-1]:
        endpoint = endpoints_by_id.get(part.endpoint)
        if endpoint is not None:
            gevent.spawn(_release_part, endpoint.address, effect.spec.request_id)


def _release_part(address, request_id):
    try:
        cancel_stream(address, request_id)
    except EndpointError as error:
        # The coordinator later detects the part as an orphan and cancels it.
        log_event("oversize.release_failed", request=request_id, detail=str(error))
