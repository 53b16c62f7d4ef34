"""Read the configuration from the key-value service, and watch it on some nodes.

The head names the latest revision. The content is read only if that is higher than the
revision in force.
"""

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
from savoryhill.core.configuration.distribution import (
    KEY_VALUE_SOURCE,
    on_configuration_read,
    other_live_nodes,
    record_confirmation,
    report_lower_revision,
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

HEAD_INTERVAL_S = 2.0
# Without jitter, nodes that started together would read at the same times, and a change
# that no watch reports would be noticed only after the whole interval.
HEAD_INTERVAL_JITTER_S = 0.5
# The client ends calls within its timeout of 2 s; this only covers a lost response.
CALL_TIMEOUT_S = 4.0
BOOTSTRAP_INTERVAL_S = 0.5
WATCHERS_PER_ZONE = 2
MAX_NODES_ALL_WATCH = 12


def watchers_of_zone(state, zone):
    """Return the nodes of an availability zone that should watch the configuration."""
    members = state.membership.members_by_node
    nodes = [
        node
        for node in live_nodes(state)
        if (state.zone if node == state.node else members[node].zone) == zone
    ]
    return rendezvous_order(f"configuration/{zone}", nodes)[:WATCHERS_PER_ZONE]


def every_node_watches(state):
    """Tell whether the deployment is small enough for every node to watch."""
    return len(live_nodes(state)) <= MAX_NODES_ALL_WATCH


def update_watch_role(state):
    """Start or stop watching according to the current membership."""
    service = state.configuration.service
    watching = every_node_watches(state) or state.node in watchers_of_zone(
        state, state.zone
    )
    if watching != service.watching:
        service.watching = watching
        if not watching:
            yield WatchConfiguration(watch=False)
        yield record("configuration.watching", watching=watching)
        service.watched_revision = 0


def read_head_if_due(state):
    """Read the head if due; more often while no configuration is in force."""
    current = state.configuration
    service = current.service
    waited_s = state.now - service.head_asked_at
    bootstrapping = current.active is None
    interval_s = BOOTSTRAP_INTERVAL_S if bootstrapping else service.head_interval_s
    if service.head_call_id and waited_s < CALL_TIMEOUT_S:
        return
    if (service.watching or bootstrapping) and waited_s >= interval_s:
        yield _read_head(state)


def bootstrap_from_peer(state):
    """Ask a random peer for its configuration if this node has none."""
    current = state.configuration
    if current.active is not None or current.offer is not None:
        return
    if state.now - current.last_bootstrap_at < BOOTSTRAP_INTERVAL_S:
        return
    others = other_live_nodes(state)
    if others:
        current.last_bootstrap_at = state.now
        yield SendPeer(
            to=state.random.choice(others), message=ConfigFetch(above_revision=0)
        )


def _read_head(state):
    service = state.configuration.service
    service.head_call_id = core_state.next_id(state, "config-head")
    service.head_asked_at = state.now
    service.head_interval_s = (
        HEAD_INTERVAL_S - HEAD_INTERVAL_JITTER_S * state.random.random()
    )
    return KeyValueRange(call_id=service.head_call_id, key=HEAD_KEY)


def _read_content(state, key, *, prefix=False):
    service = state.configuration.service
    service.content_call_id = core_state.next_id(state, "config-content")
    service.content_asked_at = state.now
    service.content_target_revision = service.highest_head_revision
    if not prefix:
        service.pending_record = b""
    return KeyValueRange(call_id=service.content_call_id, key=key, prefix=prefix)


def on_key_value_answered(state, event):
    """Process the response to a read of the head, the record or its parts."""
    service = state.configuration.service
    if event.call_id == service.head_call_id:
        service.head_call_id = ""
        yield from _handle_head_response(state, event)
    elif event.call_id == service.content_call_id:
        service.content_call_id = ""
        if event.status == "ok":
            yield from _handle_content_response(state, event)


def _handle_head_response(state, event):
    current = state.configuration
    current.key_value_reached = event.status == "ok"
    if event.status != "ok":
        return
    try:
        head = decode_head(event.rows[0].value) if event.rows else Head(revision=0)
    except ConfigurationError as error:
        yield record(
            "configuration.undecodable", source=KEY_VALUE_SOURCE, detail=str(error)
        )
        return
    yield from _handle_head(state, head, read_at=event.started_at)
    service = current.service
    if not service.watching:
        return
    if service.watched_revision == 0:
        service.watched_revision = max(head.revision, 1)
        yield WatchConfiguration(watch=True, from_revision=event.revision + 1)
    elif head.revision > service.watched_revision:
        # The watch should have delivered this revision before the periodic read.
        yield record("configuration.watch_silent", revision=head.revision)
        service.watched_revision = head.revision
        yield WatchConfiguration(watch=True, from_revision=event.revision + 1)


def on_head_seen(state, event):
    """Process a head from the watch; it may lag and so is no confirmation."""
    service = state.configuration.service
    try:
        head = decode_head(event.value)
    except ConfigurationError as error:
        yield record(
            "configuration.undecodable", source=KEY_VALUE_SOURCE, detail=str(error)
        )
        return
    service.watched_revision = max(service.watched_revision, head.revision)
    yield from _handle_head(state, head, read_at=None)


def on_watch_ended(state, event):
    """Reopen the watch with the next read of the head."""
    service = state.configuration.service
    service.watched_revision = 0
    yield record("configuration.watch_ended", detail=event.detail)


def _handle_head(state, head, *, read_at):
    current = state.configuration
    service = current.service
    current_revision = revision_in_force(state)
    service.highest_head_revision = max(service.highest_head_revision, head.revision)
    current.highest_seen = max(current.highest_seen, head.revision)
    if head.revision > current_revision:
        if read_at is not None and (
            service.unconfirmed_head is None
            or head.revision >= service.unconfirmed_head[0]
        ):
            service.unconfirmed_head = (head.revision, read_at)
        waited_s = state.now - service.content_asked_at
        if not service.content_call_id or waited_s >= CALL_TIMEOUT_S:
            yield _read_content(state, CURRENT_KEY)
        return
    if read_at is not None:
        record_confirmation(state, revision=head.revision, at=read_at)
    if head.revision < current_revision and read_at is not None:
        yield from report_lower_revision(state, head.revision, KEY_VALUE_SOURCE)
    elif head.revision == current_revision and head.digest != current.digest:
        yield record(
            "configuration.digest_differs",
            revision=current_revision,
            in_service=head.digest,
            in_force=current.digest,
        )


def _handle_content_response(state, event):
    service = state.configuration.service
    values = [row.value for row in event.rows]
    try:
        if not service.pending_record:
            if not values:
                return
            config_record = decode_record(values[0])
            if config_record.n_parts:
                service.pending_record = values[0]
                prefix = parts_prefix(config_record.revision, config_record.attempt)
                yield _read_content(state, prefix, prefix=True)
                return
            parts = ()
        else:
            config_record, parts = decode_record(service.pending_record), values
            service.pending_record = b""
        _, content = unpack_content(assemble_content(config_record, parts))
        configuration = load_configuration(content)
    except ConfigurationError as error:
        yield record(
            "configuration.undecodable", source=KEY_VALUE_SOURCE, detail=str(error)
        )
        return
    yield from on_configuration_read(
        state,
        ConfigurationRead(
            at=event.started_at,
            configuration=configuration,
            source=KEY_VALUE_SOURCE,
            content=content,
        ),
    )
    # A higher revision may have been seen in a head while this read was pending.
    if service.highest_head_revision > max(
        service.content_target_revision, revision_in_force(state)
    ):
        yield _read_content(state, CURRENT_KEY)
