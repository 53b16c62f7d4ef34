"""Confirm the revision in force through peers and update the node's standing."""

from savoryhill.core.configuration.distribution import (
    MAX_HOPS,
    fetch_if_higher,
    other_live_nodes,
    record_confirmation,
    revision_in_force,
)
from savoryhill.core.configuration.isolation import Standing, determine_standing
from savoryhill.core.configuration.state import CheckRound
from savoryhill.core.configuration.watch import every_node_watches, watchers_of_zone
from savoryhill.core.effects import SendDatagram, SendPeer, record
from savoryhill.core.messages import ConfigCheck, ConfigStatus

# A confirmation by a node's own read of the head is up to 2 s old just before its next
# read. Nodes therefore ask their peers only after that if every node watches, and
# earlier otherwise.
PULL_AGE_S = 1.2
CHECK_AGE_S = 2.1
# Allows for two answered rounds before a confirmation expires at 3 s.
CHECK_INTERVAL_S = 0.6
N_PULL_TARGETS = 4
# All other nodes are asked if there are at most this many, otherwise a random sample.
MAX_CHECK_TARGETS = 24
# A reply counts as missing after the timeout. A round counts for the window.
REPLY_TIMEOUT_S = 0.3
REPLY_WINDOW_S = 1.5
KNOWN_NODES_INTERVAL_S = 1.0
# A longer gap between two ticks means that the process was paused. Ages in messages
# that waited in its socket meanwhile are wrong and must be ignored.
MAX_TICK_GAP_S = 0.5
NEVER_CONFIRMED_AGE_S = 1e9


def confirmed_age_s(state):
    """Return the age of this node's confirmation, capped for messages to peers."""
    age_s = state.now - state.configuration.confirmed_at
    return min(age_s, NEVER_CONFIRMED_AGE_S)


def on_gossip(state, event):
    """Process the revision and confirmation age in a membership message."""
    message = event.message
    current = state.configuration
    if message.config_revision == 0:
        return
    paused = state.now - current.last_tick_at > MAX_TICK_GAP_S
    if not paused and state.now >= current.ages_ignored_until:
        record_confirmation(
            state,
            revision=message.config_revision,
            at=state.now - message.config_confirmed_age_s,
        )
    yield from fetch_if_higher(
        state, revision=message.config_revision, source=event.sender, hops=0
    )


def on_check(state, event):
    """Report the revision in force to a peer or an operator."""
    status = ConfigStatus(
        check=event.message.check,
        revision=revision_in_force(state),
        confirmed_age_s=confirmed_age_s(state),
    )
    # Operators' command lines are not members and do not receive datagrams.
    is_member = event.sender in state.membership.members_by_node
    yield (SendDatagram if is_member else SendPeer)(to=event.sender, message=status)


def on_status(state, event):
    """Process a peer's reply, with its age counted from when the check was sent."""
    message = event.message
    check_round = state.configuration.rounds_by_id.get(message.check)
    if check_round is None or event.sender not in check_round.asked:
        return
    check_round.answered.add(event.sender)
    record_confirmation(
        state,
        revision=message.revision,
        at=check_round.asked_at - message.confirmed_age_s,
    )
    yield from fetch_if_higher(
        state, revision=message.revision, source=event.sender, hops=MAX_HOPS
    )


def check_peers_if_due(state):
    """Ask peers for their confirmation when this node's own is getting old."""
    current = state.configuration
    for number, check_round in tuple(current.rounds_by_id.items()):
        if state.now - check_round.asked_at > REPLY_WINDOW_S:
            del current.rounds_by_id[number]
    age_s = state.now - current.confirmed_at
    if state.now - current.last_check_at < CHECK_INTERVAL_S:
        return
    if age_s >= CHECK_AGE_S:
        nodes = sorted(_known_nodes(state) - {state.node})
        if len(nodes) > MAX_CHECK_TARGETS:
            nodes = state.random.sample(nodes, MAX_CHECK_TARGETS)
    elif age_s >= PULL_AGE_S and not every_node_watches(state):
        nodes = _choose_pull_targets(state)
    else:
        return
    if nodes:
        current.last_check_at = state.now
        current.n_checks += 1
        current.rounds_by_id[current.n_checks] = CheckRound(
            asked_at=state.now, asked=frozenset(nodes)
        )
        for node in nodes:
            yield SendDatagram(to=node, message=ConfigCheck(check=current.n_checks))


def _choose_pull_targets(state):
    others = other_live_nodes(state)
    nodes = set(state.random.sample(others, min(N_PULL_TARGETS - 1, len(others))))
    watchers = set(watchers_of_zone(state, state.zone)) - {state.node}
    if watchers:
        nodes.add(state.random.choice(sorted(watchers)))
    return sorted(nodes)


def _known_nodes(state):
    if state.configuration.known_nodes:
        return state.configuration.known_nodes
    return _current_members(state)


def _current_members(state):
    members = state.membership.members_by_node.values()
    present = {each.node for each in members if each.status != "gone"}
    return frozenset(present | {state.node})


def _count_replies(state):
    """Return how many nodes answered recently, and how many should have."""
    asked, answered = set(), set()
    for check_round in state.configuration.rounds_by_id.values():
        # Rounds from before a pause of the process are outdated.
        if state.now - check_round.asked_at > REPLY_WINDOW_S:
            continue
        answered |= check_round.answered
        if state.now - check_round.asked_at >= REPLY_TIMEOUT_S:
            asked |= check_round.asked
    known = _known_nodes(state)
    if not asked:
        return 1, len(known)
    return 1 + len(answered & known), 1 + len((asked | answered) & known)


def update_standing(state):
    """Update the standing of this node and log a change."""
    current = state.configuration
    n_heard, n_known = _count_replies(state)
    standing = determine_standing(
        confirmed_age_s=state.now - current.confirmed_at,
        n_heard=n_heard,
        n_known=n_known,
        sampled=len(_known_nodes(state)) > MAX_CHECK_TARGETS + 1,
        is_behind=current.highest_seen > revision_in_force(state),
        previous_standing=current.standing,
    )
    current.isolated = standing is Standing.CUT_OFF
    if standing is not current.standing:
        current.standing = standing
        yield record(
            "configuration.standing",
            standing=str(standing),
            n_heard=n_heard,
            n_known=n_known,
        )
    # A node that is cut off will soon consider the others gone, which must not make it
    # a majority of its own: keep the nodes that it knew before it was cut off.
    if (
        not current.isolated
        and state.now - current.known_nodes_updated_at >= KNOWN_NODES_INTERVAL_S
    ):
        current.known_nodes_updated_at = state.now
        current.known_nodes = _current_members(state)


def record_tick(state):
    """Detect a pause of the process and ignore message ages for a while after it."""
    current = state.configuration
    if state.now - current.last_tick_at > MAX_TICK_GAP_S:
        current.ages_ignored_until = state.now + MAX_TICK_GAP_S
    current.last_tick_at = state.now
