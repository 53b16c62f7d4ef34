"""Confirm the revision in force through peers and judge whether to start new work."""

from savoryhill.core.configuration.isolation import Standing, judge
from savoryhill.core.configuration.spread import (
    MAX_HOPS,
    confirm,
    learn,
    other_live_nodes,
    revision_in_force,
)
from savoryhill.core.configuration.state import CheckRound
from savoryhill.core.configuration.watch import all_watch, watchers_of_zone
from savoryhill.core.effects import SendDatagram, SendPeer, record
from savoryhill.core.messages import ConfigCheck, ConfigStatus

# A watcher's own confirmation is up to 2 s old just before its next read, so other
# nodes ask before and watchers only after that.
PULL_AFTER_S = 1.2
CHECK_AFTER_S = 2.1
# Two rounds have been answered when a confirmation expires at 3 s.
CHECK_INTERVAL_S = 0.6
N_PULLED = 4
# Every other node is asked up to this number, a random sample above it.
MAX_CHECKED = 24
# An answer counts as missing after this time, and as heard for the window.
REPLY_WAIT_S = 0.3
HEARD_WINDOW_S = 1.5
KNOWN_INTERVAL_S = 1.0
# A gap between two ticks above this shows that the process was paused, so that ages
# in messages that waited in its socket are not to be believed.
MAX_TICK_GAP_S = 0.5
NEVER_CONFIRMED_AGE_S = 1e9


def confirmed_age_s(state):
    """Return the age of this node's confirmation, for messages to peers."""
    age_s = state.now - state.configuration.confirmed_at
    return min(age_s, NEVER_CONFIRMED_AGE_S)


def on_gossip(state, event):
    """Take revision and confirmation from a membership message."""
    message = event.message
    current = state.configuration
    if message.config_revision == 0:
        return
    paused = state.now - current.ticked_at > MAX_TICK_GAP_S
    if not paused and state.now >= current.ages_ignored_until:
        confirm(
            state,
            revision=message.config_revision,
            at=state.now - message.config_confirmed_age_s,
        )
    yield from learn(
        state, revision=message.config_revision, source=event.sender, hops=0
    )


def on_check(state, event):
    """Tell a peer or an operator which revision is in force here."""
    status = ConfigStatus(
        check=event.message.check,
        revision=revision_in_force(state),
        confirmed_age_s=confirmed_age_s(state),
    )
    # An operator's command line is no member and receives no datagrams.
    is_member = event.sender in state.membership.members_by_node
    yield (SendDatagram if is_member else SendPeer)(to=event.sender, message=status)


def on_status(state, event):
    """Take a peer's answer; its age counts from when it was asked for."""
    message = event.message
    asked = state.configuration.rounds_by_id.get(message.check)
    if asked is None or event.sender not in asked.asked:
        return
    asked.answered.add(event.sender)
    confirm(
        state, revision=message.revision, at=asked.asked_at - message.confirmed_age_s
    )
    yield from learn(
        state, revision=message.revision, source=event.sender, hops=MAX_HOPS
    )


def ask_when_due(state):
    """Ask peers for their confirmation when this node's own grows old."""
    current = state.configuration
    for number, asked in tuple(current.rounds_by_id.items()):
        if state.now - asked.asked_at > HEARD_WINDOW_S:
            del current.rounds_by_id[number]
    age_s = state.now - current.confirmed_at
    if state.now - current.checked_at < CHECK_INTERVAL_S:
        return
    if age_s >= CHECK_AFTER_S:
        nodes = sorted(_known(state) - {state.node})
        if len(nodes) > MAX_CHECKED:
            nodes = state.random.sample(nodes, MAX_CHECKED)
    elif age_s >= PULL_AFTER_S and not all_watch(state):
        nodes = _pulled(state)
    else:
        return
    if nodes:
        current.checked_at = state.now
        current.n_checks += 1
        current.rounds_by_id[current.n_checks] = CheckRound(
            asked_at=state.now, asked=frozenset(nodes)
        )
        for node in nodes:
            yield SendDatagram(to=node, message=ConfigCheck(check=current.n_checks))


def _pulled(state):
    others = other_live_nodes(state)
    nodes = set(state.random.sample(others, min(N_PULLED - 1, len(others))))
    watchers = set(watchers_of_zone(state, state.zone)) - {state.node}
    if watchers:
        nodes.add(state.random.choice(sorted(watchers)))
    return sorted(nodes)


def _known(state):
    if state.configuration.known_nodes:
        return state.configuration.known_nodes
    return _present(state)


def _present(state):
    members = state.membership.members_by_node.values()
    present = {each.node for each in members if each.status != "gone"}
    return frozenset(present | {state.node})


def _count_heard(state):
    """Return how many nodes answered lately, and how many should have."""
    asked, answered = set(), set()
    for each in state.configuration.rounds_by_id.values():
        # After a pause the rounds are old, and their answers show nothing.
        if state.now - each.asked_at > HEARD_WINDOW_S:
            continue
        answered |= each.answered
        if state.now - each.asked_at >= REPLY_WAIT_S:
            asked |= each.asked
    known = _known(state)
    if not asked:
        return 1, len(known)
    return 1 + len(answered & known), 1 + len((asked | answered) & known)


def evaluate(state):
    """Judge how this node stands and report a change."""
    current = state.configuration
    n_heard, n_known = _count_heard(state)
    standing = judge(
        confirmed_age_s=state.now - current.confirmed_at,
        n_heard=n_heard,
        n_known=n_known,
        sampled=len(_known(state)) > MAX_CHECKED + 1,
        behind=current.highest_seen > revision_in_force(state),
        before=current.standing,
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
    # A cut-off node will see the others as gone, so the nodes whose majority counts
    # are those known while it was not cut off.
    if not current.isolated and state.now - current.listed_at >= KNOWN_INTERVAL_S:
        current.listed_at = state.now
        current.known_nodes = _present(state)


def note_tick(state):
    """Notice a pause of this process."""
    current = state.configuration
    if state.now - current.ticked_at > MAX_TICK_GAP_S:
        current.ages_ignored_until = state.now + MAX_TICK_GAP_S
    current.ticked_at = state.now
