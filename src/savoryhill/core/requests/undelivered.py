"""React to messages that could not be delivered to another node."""

from savoryhill.core.messages import (
    JournalFinish,
    JournalReserve,
    PlaceRequest,
)
from savoryhill.core.requests import limits, permits

# An ending that cannot be delivered for this long leaves its entry reserved.
RESEND_FINISH_S = 30.0


def on_peer_unreachable(state, event):
    """Ask again after a short wait, by then perhaps another node."""
    message = event.message
    if isinstance(message, JournalFinish):
        unsent = (event.at + RESEND_FINISH_S, message)
        state.requests.unsent_finishes.append(unsent)
        return ()
    if not isinstance(message, PlaceRequest | JournalReserve):
        return ()
    request = state.requests.requests_by_id.get(message.request_id)
    if request is None:
        return ()
    if isinstance(message, JournalReserve):
        current = request.phase == "reserving"
    else:
        current = request.phase == "placing" and request.attempt == message.attempt
    if current:
        wait_s = limits.pause_s(state, request.n_moves)
        request.n_moves += 1
        permits.wake_later(state, request, event.at + wait_s)
    return ()
