"""Read the configuration from the key-value service, and watch it on some nodes."""

from savoryhill.config.model import load_configuration
from savoryhill.config.records import (
    CURRENT_KEY,
    HEAD_KEY,
    Head,
    assemble_content,
    decode_head,
    decode_record,
    parts_prefix,
    unpack_content,
)
from savoryhill.core import state as core_state
from savoryhill.core.configuration.spread import (
    KEY_VALUE,
    confirm,
    ignore_lower,
    on_configuration_read,
    other_live_nodes,
    revision_in_force,
)
from savoryhill.core.coordination.view import rendezvous_order
from savoryhill.core.effects import (
    KeyValueRange,
    SendPeer,
    WatchConfiguration,
    record,
)
from savoryhill.core.events import ConfigurationRead
from savoryhill.core.membership.view import live_nodes
from savoryhill.core.messages import ConfigFetch
from savoryhill.errors import ConfigurationError

RE_READ_S = 2.0
# Nodes that started together would otherwise read at the same moments, and a change
# that no watch reports would wait for the whole interval.
RE_READ_JITTER_S = 0.5
# Calls end within the client's timeout of 2 s; this only guards against a lost answer.
CALL_TIMEOUT_S = 4.0
BOOTSTRAP_INTERVAL_S = 0.5
WATCHERS_PER_ZONE = 2
MAX_NODES_ALL_WATCH = 12


def watchers_of_zone(state, zone):
    """Return the nodes of an availability zone that watch the configuration."""
    members = state.membership.members_by_node
    nodes = [
        node
        for node in live_nodes(state)
        if (state.zone if node == state.node else members[node].zone) == zone
    ]
    return rendezvous_order(f"configuration/{zone}", nodes)[:WATCHERS_PER_ZONE]


def all_watch(state):
    """Tell whether the deployment is so small that every node watches."""
    return len(live_nodes(state)) <= MAX_NODES_ALL_WATCH


def choose_role(state):
    """Start or stop watching after a change of the membership."""
    service = state.configuration.service
    watching = all_watch(state) or state.node in watchers_of_zone(state, state.zone)
    if watching != service.watching:
        service.watching = watching
        if not watching:
            yield WatchConfiguration(watch=False)
        yield record("configuration.watching", watching=watching)
        service.watched_revision = 0


def read_when_due(state):
    """Read the head at its interval, or more often while none is in force."""
    current = state.configuration
    service = current.service
    waited_s = state.now - service.head_asked_at
    bootstrapping = current.active is None
    interval_s = BOOTSTRAP_INTERVAL_S if bootstrapping else service.re_read_s
    if service.head_call and waited_s < CALL_TIMEOUT_S:
        return
    if (service.watching or bootstrapping) and waited_s >= interval_s:
        yield _read_head(state)


def start_from_peer(state):
    """Ask a random peer for its configuration while none is in force here."""
    current = state.configuration
    if current.active is not None or current.offer is not None:
        return
    if state.now - current.bootstrapped_at < BOOTSTRAP_INTERVAL_S:
        return
    others = other_live_nodes(state)
    if others:
        current.bootstrapped_at = state.now
        yield SendPeer(
            to=state.random.choice(others), message=ConfigFetch(above_revision=0)
        )


def _read_head(state):
    service = state.configuration.service
    service.head_call = core_state.next_id(state, "config-head")
    service.head_asked_at = state.now
    service.re_read_s = RE_READ_S - RE_READ_JITTER_S * state.random.random()
    return KeyValueRange(call_id=service.head_call, key=HEAD_KEY)


def _read_content(state, key, *, prefix=False):
    service = state.configuration.service
    service.content_call = core_state.next_id(state, "config-content")
    service.content_asked_at = state.now
    service.content_wanted = service.wanted
    if not prefix:
        service.record_value = b""
    return KeyValueRange(call_id=service.content_call, key=key, prefix=prefix)


def on_key_value_answered(state, event):
    """Take the answer to a read of the head, the record or its parts."""
    service = state.configuration.service
    if event.call_id == service.head_call:
        service.head_call = ""
        yield from _on_head_answer(state, event)
    elif event.call_id == service.content_call:
        service.content_call = ""
        if event.status == "ok":
            yield from _on_content_answer(state, event)


def _on_head_answer(state, event):
    current = state.configuration
    current.key_value_reached = event.status == "ok"
    if event.status != "ok":
        return
    try:
        head = decode_head(event.rows[0].value) if event.rows else Head(revision=0)
    except ConfigurationError as error:
        yield record("configuration.undecodable", source=KEY_VALUE, detail=str(error))
        return
    yield from _consider(state, head, read_at=event.started_at)
    service = current.service
    if not service.watching:
        return
    if service.watched_revision == 0:
        service.watched_revision = max(head.revision, 1)
        yield WatchConfiguration(watch=True, from_revision=event.revision + 1)
    elif head.revision > service.watched_revision:
        # The watch should have delivered this revision before the slow re-read did.
        yield record("configuration.watch_silent", revision=head.revision)
        service.watched_revision = head.revision
        yield WatchConfiguration(watch=True, from_revision=event.revision + 1)


def on_head_seen(state, event):
    """Take a head from the watch, which may lag and so confirms nothing."""
    service = state.configuration.service
    try:
        head = decode_head(event.value)
    except ConfigurationError as error:
        yield record("configuration.undecodable", source=KEY_VALUE, detail=str(error))
        return
    service.watched_revision = max(service.watched_revision, head.revision)
    yield from _consider(state, head, read_at=None)


def on_watch_ended(state, event):
    """Open the watch again with the next read of the head."""
    service = state.configuration.service
    service.watched_revision = 0
    yield record("configuration.watch_ended", detail=event.detail)


def _consider(state, head, *, read_at):
    current = state.configuration
    service = current.service
    known = revision_in_force(state)
    service.wanted = max(service.wanted, head.revision)
    current.highest_seen = max(current.highest_seen, head.revision)
    if head.revision > known:
        if read_at is not None and (
            service.unmatched is None or head.revision >= service.unmatched[0]
        ):
            service.unmatched = (head.revision, read_at)
        waited_s = state.now - service.content_asked_at
        if not service.content_call or waited_s >= CALL_TIMEOUT_S:
            yield _read_content(state, CURRENT_KEY)
        return
    if read_at is not None:
        confirm(state, revision=head.revision, at=read_at)
    if head.revision < known and read_at is not None:
        yield from ignore_lower(state, head.revision, KEY_VALUE)
    elif head.revision == known and head.digest != current.digest:
        yield record(
            "configuration.digest_differs",
            revision=known,
            in_service=head.digest,
            in_force=current.digest,
        )


def _on_content_answer(state, event):
    service = state.configuration.service
    values = [row.value for row in event.rows]
    try:
        if not service.record_value:
            if not values:
                return
            found = decode_record(values[0])
            if found.n_parts:
                service.record_value = values[0]
                prefix = parts_prefix(found.revision, found.attempt)
                yield _read_content(state, prefix, prefix=True)
                return
            parts = ()
        else:
            found, parts = decode_record(service.record_value), values
            service.record_value = b""
        _, content = unpack_content(assemble_content(found, parts))
        configuration = load_configuration(content)
    except ConfigurationError as error:
        yield record("configuration.undecodable", source=KEY_VALUE, detail=str(error))
        return
    yield from on_configuration_read(
        state,
        ConfigurationRead(
            at=event.started_at,
            configuration=configuration,
            source=KEY_VALUE,
            content=content,
        ),
    )
    # A higher head may have been seen while this read was under way.
    if service.wanted > max(service.content_wanted, revision_in_force(state)):
        yield _read_content(state, CURRENT_KEY)
