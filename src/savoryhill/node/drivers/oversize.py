"""Prefill the parts of an oversize prompt before its answer is streamed."""

import gevent

from savoryhill.endpoints.engine import cancel_stream, prefill_part
from savoryhill.errors import EndpointError, NotSentError
from savoryhill.observability.logs import log_event


def import_parts(node, effect, *, timeout_s):
    """Prefill every part but the last, in the order of the prompt.

    Parameters
    ----------
    node : Node
        Gives the endpoints' addresses.
    effect : StartAttempt
        The attempt with its parts; the last part is on the streaming endpoint.
    timeout_s : float
        Limit for all parts together.

    Returns
    -------
    int
        Tokens that the streaming endpoint imports.

    Raises
    ------
    EndpointError
        If a part could not be prefilled.
    """
    now = node.clock.monotonic
    ends_at = now() + timeout_s
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
            timeout_s=max(0.1, ends_at - now()),
        )
        n_imported += part.n_tokens
    return n_imported


def release_parts(node, effect):
    """Free the memory of all parts but the last on their endpoints."""
    endpoints_by_id = node.runtime.state.active.endpoints_by_id
    for part in effect.parts[:-1]:
        endpoint = endpoints_by_id.get(part.endpoint)
        if endpoint is not None:
            gevent.spawn(_release, endpoint.address, effect.spec.request_id)


def _release(address, request_id):
    try:
        cancel_stream(address, request_id)
    except EndpointError as error:
        # The coordinator finds the part as an orphan and cancels it later.
        log_event("oversize.release_failed", request=request_id, detail=str(error))
