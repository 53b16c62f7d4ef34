"""Adopt higher revisions, announce them and fetch them from peers."""

from savoryhill.config.model import dump_configuration
from savoryhill.config.records import compute_digest
from savoryhill.core.configuration.state import Offer
from savoryhill.core.effects import ConfigurationInForce, SendPeer, record
from savoryhill.core.membership.view import live_nodes
from savoryhill.core.messages import ConfigAnnounce, ConfigFetch, ConfigValue

KEY_VALUE = "key-value"
ANNOUNCE_FANOUT = 4
# log4 of 340 nodes is 5 hops; a few more cover lost messages.
MAX_HOPS = 8
FETCH_TIMEOUT_S = 0.5
MAX_FETCHES = 8
MAX_SOURCES = 4


def revision_in_force(state):
    """Return the revision in force, 0 before the first one."""
    active = state.configuration.active
    return active.revision if active is not None else 0


def other_live_nodes(state):
    """Return the live nodes without this one."""
    return [node for node in live_nodes(state) if node != state.node]


def confirm(state, *, revision, at):
    """Take note that no revision above ``revision`` was accepted before ``at``."""
    current = state.configuration
    if current.active is not None and current.active.revision >= revision:
        current.confirmed_at = max(current.confirmed_at, at)


def ignore_lower(state, revision, source):
    """Report a revision below the one in force, once per source and revision."""
    current = state.configuration
    if current.last_ignored != (source, revision):
        current.last_ignored = (source, revision)
        yield record(
            "configuration.lower_revision_ignored",
            revision=revision,
            in_force=revision_in_force(state),
            source=source,
        )


def on_configuration_read(state, event):
    """Put an offered configuration in force if its revision is higher."""
    current = state.configuration
    offered = event.configuration
    known = revision_in_force(state)
    if offered.revision > known:
        yield from _adopt(state, event)
    elif offered.revision < known:
        yield from ignore_lower(state, offered.revision, event.source)
    if event.source == KEY_VALUE:
        current.key_value_reached = True
        confirm(state, revision=offered.revision, at=event.at)


def _adopt(state, event):
    current = state.configuration
    offered = event.configuration
    offer = current.offer
    hops = offer.hops + 1 if offer is not None and event.source in offer.sources else 0
    current.active = offered
    current.content = event.content or dump_configuration(offered)
    current.digest = compute_digest(current.content)
    if offer is not None and offer.revision <= offered.revision:
        current.offer = None
    unmatched = current.service.unmatched
    if unmatched is not None and offered.revision >= unmatched[0]:
        confirm(state, revision=unmatched[0], at=unmatched[1])
        current.service.unmatched = None
    yield record(
        "configuration.in_force", revision=offered.revision, source=event.source
    )
    yield ConfigurationInForce(revision=offered.revision)
    if hops > MAX_HOPS:
        return
    others = other_live_nodes(state)
    for node in state.random.sample(others, min(ANNOUNCE_FANOUT, len(others))):
        yield SendPeer(
            to=node, message=ConfigAnnounce(revision=offered.revision, hops=hops)
        )


def learn(state, *, revision, source, hops):
    """Fetch a revision that a peer holds, unless it is being fetched already."""
    current = state.configuration
    current.highest_seen = max(current.highest_seen, revision)
    if revision <= revision_in_force(state):
        return
    offer = current.offer
    if offer is not None and offer.revision >= revision:
        if source not in offer.sources and len(offer.sources) < MAX_SOURCES:
            offer.sources.append(source)
        return
    current.offer = Offer(
        revision=revision, hops=hops, sources=[source], asked_at=state.now
    )
    yield _fetch(state, source)


def _fetch(state, node):
    return SendPeer(
        to=node, message=ConfigFetch(above_revision=revision_in_force(state))
    )


def fetch_again(state):
    """Ask the next source when a fetch was not answered in time."""
    current = state.configuration
    offer = current.offer
    if offer is None or state.now - offer.asked_at < FETCH_TIMEOUT_S:
        return
    if offer.n_asked >= MAX_FETCHES:
        # Gossip offers the revision again if any node still holds it.
        current.offer = None
        return
    offer.asked_at = state.now
    offer.n_asked += 1
    offer.sources.append(offer.sources.pop(0))
    yield _fetch(state, offer.sources[0])


def on_announce(state, event):
    """Fetch an announced revision from the node that announced it."""
    message = event.message
    yield from learn(
        state, revision=message.revision, source=event.sender, hops=message.hops
    )


def on_fetch(state, event):
    """Send the configuration in force to a node that has a lower one."""
    current = state.configuration
    if revision_in_force(state) > event.message.above_revision:
        content = current.content or dump_configuration(current.active)
        yield SendPeer(
            to=event.sender,
            message=ConfigValue(revision=current.active.revision, content=content),
        )
