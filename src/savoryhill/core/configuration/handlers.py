"""Event handlers of the configuration subsystem."""

from savoryhill.core.configuration import confirmation, distribution, watch
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

WATCH_ROLE_INTERVAL_S = 1.0


def _on_tick(state, event):
    current = state.configuration
    confirmation.record_tick(state)
    if event.at - current.watch_role_updated_at >= WATCH_ROLE_INTERVAL_S:
        current.watch_role_updated_at = event.at
        yield from watch.update_watch_role(state)
    yield from watch.read_head_if_due(state)
    yield from watch.bootstrap_from_peer(state)
    yield from distribution.retry_fetch(state)
    yield from confirmation.check_peers_if_due(state)
    yield from confirmation.update_standing(state)


def _on_request_arrived(state, event):
    # The decision on a request must use a standing that is up to date.
    return confirmation.update_standing(state)


HANDLERS = {
    ConfigurationRead: distribution.on_configuration_read,
    ConfigAnnounce: distribution.on_announce,
    ConfigFetch: distribution.on_fetch,
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
