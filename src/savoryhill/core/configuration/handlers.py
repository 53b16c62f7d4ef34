"""Events that the configuration subject handles."""

from savoryhill.core.configuration import confirmation, spread, watch
from savoryhill.core.events import (
    ConfigurationHeadSeen,
    ConfigurationRead,
    ConfigurationWatchEnded,
    KeyValueAnswered,
    RequestArrived,
    Ticked,
)
from savoryhill.core.messages import (
    Ack,
    ConfigAnnounce,
    ConfigCheck,
    ConfigFetch,
    ConfigStatus,
    Ping,
)

ROLE_INTERVAL_S = 1.0


def _on_tick(state, event):
    current = state.configuration
    confirmation.note_tick(state)
    if event.at - current.role_chosen_at >= ROLE_INTERVAL_S:
        current.role_chosen_at = event.at
        yield from watch.choose_role(state)
    yield from watch.read_when_due(state)
    yield from watch.start_from_peer(state)
    yield from spread.fetch_again(state)
    yield from confirmation.ask_when_due(state)
    yield from confirmation.evaluate(state)


def _on_request_arrived(state, event):
    # The standing must not be older than the request that it decides on.
    return confirmation.evaluate(state)


HANDLERS = {
    ConfigurationRead: spread.on_configuration_read,
    ConfigAnnounce: spread.on_announce,
    ConfigFetch: spread.on_fetch,
    ConfigCheck: confirmation.on_check,
    ConfigStatus: confirmation.on_status,
    Ping: confirmation.on_gossip,
    Ack: confirmation.on_gossip,
    KeyValueAnswered: watch.on_key_value_answered,
    ConfigurationHeadSeen: watch.on_head_seen,
    ConfigurationWatchEnded: watch.on_watch_ended,
    RequestArrived: _on_request_arrived,
    Ticked: _on_tick,
}
