"""Adopt configuration revisions and pass them on to other nodes."""

from savoryhill.config.model import dump_configuration
from savoryhill.core.effects import ConfigurationInForce, SendPeer, record
from savoryhill.core.events import ConfigurationRead
from savoryhill.core.membership.view import live_nodes
from savoryhill.core.messages import ConfigAnnounce, ConfigFetch, ConfigValue

ANNOUNCE_FANOUT = 4


def _on_configuration_read(state, event):
    current = state.configuration
    if event.source == "key-value":
        current.confirmed_at = event.at
        current.key_value_reached = True
    offered = event.configuration
    known = current.active.revision if current.active else 0
    if offered.revision < known:
        yield record(
            "configuration.reverted_revision_ignored",
            revision=offered.revision,
            in_force=known,
            source=event.source,
        )
        return
    if offered.revision == known:
        return
    current.active = offered
    yield record(
        "configuration.in_force", revision=offered.revision, source=event.source
    )
    yield ConfigurationInForce(revision=offered.revision)
    others = [node for node in live_nodes(state) if node != state.node]
    chosen = state.random.sample(others, min(ANNOUNCE_FANOUT, len(others)))
    for node in chosen:
        yield SendPeer(to=node, message=ConfigAnnounce(revision=offered.revision))


def _on_announce(state, event):
    known = state.active.revision if state.active else 0
    if event.message.revision > known:
        yield SendPeer(to=event.sender, message=ConfigFetch(above_revision=known))


def _on_fetch(state, event):
    active = state.active
    if active is not None and active.revision > event.message.above_revision:
        yield SendPeer(
            to=event.sender,
            message=ConfigValue(
                revision=active.revision, content=dump_configuration(active)
            ),
        )


HANDLERS = {
    ConfigurationRead: _on_configuration_read,
    ConfigAnnounce: _on_announce,
    ConfigFetch: _on_fetch,
}
