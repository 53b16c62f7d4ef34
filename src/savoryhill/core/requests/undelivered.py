"""Handle messages that could not be delivered to another node."""

from savoryhill.core.messages import PlaceRequest
from savoryhill.core.requests import limits, permits


def on_peer_unreachable(state, event):
    """Repeat a permit request after a backoff.

    The group may have another coordinator by then.
    """
    message = event.message
    if not isinstance(message, PlaceRequest):
        return ()
    request = state.requests.requests_by_id.get(message.request_id)
    if request is None or request.phase != "placing":
        return ()
    if request.attempt == message.attempt:
        delay_s = limits.backoff_s(state, request.n_backoffs)
        request.n_backoffs += 1
        permits.schedule_wake(state, request, event.at + delay_s)
    return ()
