"""SWIM-style gossip: probe members, suspect silent ones and spread updates."""

from savoryhill.core.effects import SendDatagram, record
from savoryhill.core.events import (
    ConfigurationRead,
    DrainRequested,
    HostsListed,
    KeyValueAnswered,
    ProcessResumed,
    Ticked,
)
from savoryhill.core.membership.evidence import (
    KEY_VALUE_SUCCESS_MAX_AGE_S,
    encode_evidence,
    has_recent_key_value_success,
    merge_evidence,
    record_evidence,
)
from savoryhill.core.membership.seeds import on_hosts_listed
from savoryhill.core.membership.state import NEVER, Probe, RelayedProbe
from savoryhill.core.membership.summaries import merge_summaries, refresh_summaries
from savoryhill.core.membership.updates import (
    choose_piggyback,
    merge_update,
    own_incarnation,
    remove_member,
    set_status,
)
from savoryhill.core.membership.view import (
    live_nodes,
    peers_last_key_value_success_at,
)
from savoryhill.core.messages import Ack, Ping, PingRequest

PROBE_INTERVAL_S = 1.0
# Three times the longest round trip between zones, to allow for a busy node.
PROBE_TIMEOUT_S = 0.3
N_INDIRECT_PROBES = 3
SUSPICION_TIMEOUT_S = 4.0
# Gone members are still probed at this interval. Otherwise the two sides of a
# partition would not find each other again after it has healed.
REJOIN_INTERVAL_S = 2.0
# While no node reaches the key-value service, decisions depend on liveness evidence
# alone, so it is exchanged in addition, twice as often as members are probed.
OUTAGE_EXCHANGE_INTERVAL_S = 0.5
PURGE_AFTER_S = 600.0
PURGE_INTERVAL_S = 10.0
RELAY_TIMEOUT_S = 2.0


def _piggyback(state, receiver):
    heard = encode_evidence(state, receiver)
    updates, groups = choose_piggyback(state, receiver, len(heard))
    active = state.active
    return {
        "config_revision": active.revision if active is not None else 0,
        "config_confirmed_age_s": max(
            0.0, state.now - state.configuration.confirmed_at
        ),
        "key_value_reached": has_recent_key_value_success(state),
        "updates": updates,
        "groups": groups,
        "heard": heard,
    }


def _next_probe_number(state):
    state.membership.last_probe_number += 1
    return state.membership.last_probe_number


def _ping(state, target, number, origin):
    return SendDatagram(
        to=target,
        message=Ping(
            probe=number, target=target, origin=origin, **_piggyback(state, target)
        ),
    )


def _next_target(state):
    """Return the next member of a shuffled round-robin, so that each is probed soon."""
    membership = state.membership
    members = membership.members_by_node
    for _ in range(2):
        while membership.probe_order:
            node = membership.probe_order.pop()
            if node in members and members[node].status != "gone":
                return node
        order = [node for node, member in members.items() if member.status != "gone"]
        state.random.shuffle(order)
        membership.probe_order = order
    return None


def _send_indirect_probes(state, probe):
    """Ask a few other nodes to probe a member that has not answered."""
    helpers = [
        node
        for node, member in state.membership.members_by_node.items()
        if member.status in ("live", "leaving")
        and node not in (probe.target, state.node)
    ]
    chosen = state.random.sample(helpers, min(N_INDIRECT_PROBES, len(helpers)))
    for node in chosen:
        yield SendDatagram(
            to=node, message=PingRequest(probe=probe.number, target=probe.target)
        )


def _suspect_probe_target(state):
    """Suspect the probed member, because neither it nor a helper has answered."""
    membership = state.membership
    probe, membership.probe = membership.probe, None
    member = membership.members_by_node.get(probe.target)
    if member is None or member.status in ("suspected", "gone"):
        return
    yield from set_status(state, member, "suspected")
    membership.own_suspicions[member.node] = state.now


def _on_tick(state, event):
    membership = state.membership
    now = event.at
    probe = membership.probe
    waited_s = now - probe.sent_at if probe is not None else 0.0
    if waited_s >= PROBE_TIMEOUT_S and not probe.indirect:
        probe.indirect = True
        yield from _send_indirect_probes(state, probe)
    if now >= membership.probe_due_at:
        if membership.probe is not None:
            yield from _suspect_probe_target(state)
        if membership.probe_due_at == NEVER:
            # Random delay, so that nodes that start together do not probe in step.
            membership.probe_due_at = now + state.random.uniform(0, PROBE_INTERVAL_S)
            return
        membership.probe_due_at = now + PROBE_INTERVAL_S
        yield from _start_probes(state)
    yield from _expire_suspicions(state)
    if now >= membership.evidence_exchange_due_at:
        membership.evidence_exchange_due_at = now + OUTAGE_EXCHANGE_INTERVAL_S
        yield from _exchange_evidence(state)
    if now >= membership.purge_due_at:
        membership.purge_due_at = now + PURGE_INTERVAL_S
        _purge_expired(state)


def _start_probes(state):
    membership = state.membership
    refresh_summaries(state)
    target = _next_target(state)
    if target is not None:
        number = _next_probe_number(state)
        membership.probe = Probe(number=number, target=target, sent_at=state.now)
        yield _ping(state, target, number, state.node)
    # A suspected member can refute the suspicion only if it learns of it.
    for node in membership.own_suspicions:
        if node != target:
            yield _ping(state, node, _next_probe_number(state), state.node)
    if state.now >= membership.rejoin_due_at:
        membership.rejoin_due_at = state.now + REJOIN_INTERVAL_S
        gone = [
            node
            for node, member in membership.members_by_node.items()
            if member.status == "gone" and not member.left
        ]
        if gone:
            yield _ping(
                state, state.random.choice(gone), _next_probe_number(state), state.node
            )


def _exchange_evidence(state):
    last_success_at = max(
        state.membership.key_value_reached_at, peers_last_key_value_success_at(state)
    )
    if state.now - last_success_at <= KEY_VALUE_SUCCESS_MAX_AGE_S:
        return
    others = [node for node in live_nodes(state) if node != state.node]
    for node in state.random.sample(others, min(1, len(others))):
        yield _ping(state, node, _next_probe_number(state), state.node)


def _expire_suspicions(state):
    membership = state.membership
    for node in tuple(membership.suspected):
        member = membership.members_by_node[node]
        if state.now - member.changed_at >= SUSPICION_TIMEOUT_S:
            yield from set_status(state, member, "gone")


def _purge_expired(state):
    membership = state.membership
    for node, member in tuple(membership.members_by_node.items()):
        silent_s = state.now - max(member.changed_at, member.last_heard_at)
        if member.status == "gone" and not member.listed and silent_s >= PURGE_AFTER_S:
            remove_member(state, node)
    relayed = membership.relayed_probes_by_number
    for number, relay in tuple(relayed.items()):
        if state.now - relay.sent_at > RELAY_TIMEOUT_S:
            del relayed[number]


def _merge_piggyback(state, event):
    """Merge the updates, evidence and summaries of a Ping or an Ack."""
    message = event.message
    for update in message.updates:
        yield from merge_update(state, update)
    record_evidence(state, event.sender, at=event.at)
    merge_evidence(state, message.heard, at=event.at)
    merge_summaries(state, message.groups)


def _on_ping(state, event):
    yield from _merge_piggyback(state, event)
    message = event.message
    if message.target == state.node:
        yield SendDatagram(
            to=event.sender,
            message=Ack(
                probe=message.probe,
                target=state.node,
                **_piggyback(state, event.sender),
            ),
        )


def _on_ack(state, event):
    yield from _merge_piggyback(state, event)
    membership = state.membership
    message = event.message
    relay = membership.relayed_probes_by_number.pop(message.probe, None)
    if relay is not None and event.sender == message.target:
        yield SendDatagram(
            to=relay.origin,
            message=Ack(
                probe=relay.origin_probe,
                target=message.target,
                **_piggyback(state, relay.origin),
            ),
        )
        return
    probe = membership.probe
    if probe is not None and (probe.number, probe.target) == (
        message.probe,
        message.target,
    ):
        membership.probe = None


def _on_ping_request(state, event):
    message = event.message
    if message.target not in state.membership.members_by_node:
        return
    number = _next_probe_number(state)
    state.membership.relayed_probes_by_number[number] = RelayedProbe(
        origin=event.sender, origin_probe=message.probe, sent_at=event.at
    )
    yield _ping(state, message.target, number, event.sender)


def _on_process_resumed(state, event):
    """Restart all timeouts, because silence during this node's pause proves nothing."""
    membership = state.membership
    membership.probe = None
    membership.probe_due_at = event.at
    membership.relayed_probes_by_number.clear()
    membership.own_suspicions.clear()
    for node in membership.suspected:
        membership.members_by_node[node].changed_at = event.at
    yield record("process.resumed", gap_s=round(event.gap_s, 3))


def _on_drain_requested(state, event):
    membership = state.membership
    if membership.leaving:
        return
    membership.own_incarnation = own_incarnation(state) + 1
    membership.leaving = True
    others = [
        node
        for node, member in membership.members_by_node.items()
        if member.status == "live" and node != state.node
    ]
    chosen = state.random.sample(others, min(N_INDIRECT_PROBES, len(others)))
    for node in chosen:
        yield _ping(state, node, _next_probe_number(state), state.node)


def _on_key_value_answered(state, event):
    if event.status in ("ok", "conflict"):
        membership = state.membership
        membership.key_value_reached_at = max(
            membership.key_value_reached_at, event.started_at
        )


def _on_configuration_read(state, event):
    if event.source == "key-value":
        membership = state.membership
        membership.key_value_reached_at = max(membership.key_value_reached_at, event.at)


HANDLERS = {
    ProcessResumed: _on_process_resumed,
    Ticked: _on_tick,
    Ping: _on_ping,
    Ack: _on_ack,
    PingRequest: _on_ping_request,
    HostsListed: on_hosts_listed,
    DrainRequested: _on_drain_requested,
    KeyValueAnswered: _on_key_value_answered,
    ConfigurationRead: _on_configuration_read,
}
