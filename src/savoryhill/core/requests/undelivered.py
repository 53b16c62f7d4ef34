"""React to messages that could not be delivered to another node."""

from savoryhill.core.messages import PlaceRequest
from savoryhill.core.requests import limits, permits


def on_peer_unreachable(state, event):
    """Ask again after a short wait, by then perhaps another node."""
    message = event.message
    if not isinstance(message, PlaceRequest):
        return ()
    request = state.requests.requests_by_id.get(message.request_id)
    if request is None or request.phase != "placing":
        return ()
    if request.attempt == message.attempt:
        wait_s = limits.pause_s(state, request.n_moves)
        request.n_moves += 1
        permits.wake_later(state, request, event.at + wait_s)
    return ()
