"""Adopt higher revisions, announce them to peers and fetch them from peers."""

from savoryhill.config.model import dump_configuration
from savoryhill.config.records import compute_digest
from savoryhill.core.configuration.state import Offer
from savoryhill.core.effects import ConfigurationInForce, SendPeer, record
from savoryhill.core.membership.view import live_nodes
from savoryhill.core.messages import ConfigAnnounce, ConfigFetch, ConfigValue

KEY_VALUE_SOURCE = "key-value"
ANNOUNCE_FANOUT = 4
# Reaching 340 nodes with a fan-out of 4 takes 5 hops; the others cover lost messages.
MAX_HOPS = 8
FETCH_TIMEOUT_S = 0.5
MAX_FETCHES = 8
MAX_SOURCES = 4


def revision_in_force(state):
    """Return the revision in force, or 0 if there is none yet."""
    active = state.configuration.active
    return active.revision if active is not None else 0


def other_live_nodes(state):
    """Return the live nodes other than this one."""
    return [node for node in live_nodes(state) if node != state.node]


def record_confirmation(state, *, revision, at):
    """Record that no revision above ``revision`` had been accepted at time ``at``."""
    current = state.configuration
    if current.active is not None and current.active.revision >= revision:
        current.confirmed_at = max(current.confirmed_at, at)


def report_lower_revision(state, revision, source):
    """Log a revision below the one in force, without repeating the latest entry."""
    current = state.configuration
    if current.last_reported_lower_revision != (source, revision):
        current.last_reported_lower_revision = (source, revision)
        yield record(
            "configuration.lower_revision_ignored",
            revision=revision,
            in_force=revision_in_force(state),
            source=source,
        )


def on_configuration_read(state, event):
    """Put a configuration in force if its revision is higher than the current one."""
    current = state.configuration
    offered = event.configuration
    current_revision = revision_in_force(state)
    if offered.revision > current_revision:
        yield from _adopt(state, event)
    elif offered.revision < current_revision:
        yield from report_lower_revision(state, offered.revision, event.source)
    if event.source == KEY_VALUE_SOURCE:
        current.key_value_reached = True
        record_confirmation(state, revision=offered.revision, at=event.at)


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
    unconfirmed_head = current.service.unconfirmed_head
    if unconfirmed_head is not None and offered.revision >= unconfirmed_head[0]:
        record_confirmation(state, revision=unconfirmed_head[0], at=unconfirmed_head[1])
        current.service.unconfirmed_head = None
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


def fetch_if_higher(state, *, revision, source, hops):
    """Fetch a peer's revision if it is higher and not being fetched already."""
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


def retry_fetch(state):
    """Ask the next source if a fetch has timed out."""
    current = state.configuration
    offer = current.offer
    if offer is None or state.now - offer.asked_at < FETCH_TIMEOUT_S:
        return
    if offer.n_fetches >= MAX_FETCHES:
        # If a node still holds the revision, gossip will offer it again.
        current.offer = None
        return
    offer.asked_at = state.now
    offer.n_fetches += 1
    offer.sources.append(offer.sources.pop(0))
    yield _fetch(state, offer.sources[0])


def on_announce(state, event):
    """Fetch an announced revision from the node that announced it."""
    message = event.message
    yield from fetch_if_higher(
        state, revision=message.revision, source=event.sender, hops=message.hops
    )


def on_fetch(state, event):
    """Send the configuration in force to a node that has a lower revision."""
    current = state.configuration
    if revision_in_force(state) > event.message.above_revision:
        content = current.content or dump_configuration(current.active)
        yield SendPeer(
            to=event.sender,
            message=ConfigValue(revision=current.active.revision, content=content),
        )
