"""Take groups over by compare-and-swap, and hand them over to other nodes."""

from savoryhill.core.coordination.lease import (
    is_in_contact_with_majority,
    is_unable_to_extend,
)
from savoryhill.core.coordination.records import (
    encode_record,
    record_key,
)
from savoryhill.core.coordination.state import Takeover
from savoryhill.core.coordination.view import (
    candidate_among,
    candidate_of,
    current_candidates,
)
from savoryhill.core.effects import (
    Compare,
    KeyValueTransaction,
    SendDatagram,
    SendPeer,
    record,
)
from savoryhill.core.membership.view import (
    in_region,
    is_mass_loss,
    is_serving,
    live_nodes,
)
from savoryhill.core.messages import CoordinatorChanged, HandOver
from savoryhill.core.state import next_id

# Limits the takeovers that a node starts after each read of the records.
MAX_TAKEOVERS_PER_READ = 8
MAX_TAKEOVERS_PER_READ_AFTER_MASS_LOSS = 2
MASS_LOSS_JITTER_S = 3.0
ANNOUNCE_FANOUT = 4
# A node that has just written a record is running, even if gossip does not reach it.
# Without this rule, two nodes with a link that works in only one direction took a group
# from each other twice a second.
RECENT_TAKEOVER_S = 10.0
# A holder hands a group over after another node has been the candidate for this long.
# The delay keeps a rolling restart from moving a group several times.
MISPLACED_TIMEOUT_S = 60.0
HAND_OVER_INTERVAL_S = 5.0
HAND_OVER_TIMEOUT_S = 3.0


def should_take_over(state, group, candidates):
    """Tell whether this node should take over a group that it does not hold."""
    coordination = state.coordination
    if state.membership.leaving:
        return False
    role = coordination.roles_by_group.get(group)
    if role is not None and not role.provisional:
        return False
    known = coordination.records_by_group.get(group)
    if known is not None:
        if coordination.handed_over_fences_by_group.get(group, -1) >= known.fence:
            return True
        if known.holder == state.node:
            # The record was written by an earlier process of this node, or the role
            # was dropped. Work granted under that fence may be unknown, so the group
            # must be taken over under a higher fence.
            return True
        if state.now - known.changed_at < RECENT_TAKEOVER_S:
            return False
        if known.holder and is_serving(state, known.holder):
            return False
    return candidate_among(candidates, group) == state.node


def update_groups_to_take_over(state):
    """Update the groups to take over and the time from which each may be taken."""
    coordination = state.coordination
    candidates = current_candidates(state)
    coordination.groups_to_take_over = tuple(
        group.id
        for group in state.active.groups
        if group.region == state.region
        and should_take_over(state, group.id, candidates)
    )
    takeover_due_at_by_group = coordination.takeover_due_at_by_group
    for group in set(takeover_due_at_by_group).difference(
        coordination.groups_to_take_over
    ):
        del takeover_due_at_by_group[group]
    for group in coordination.groups_to_take_over:
        if group not in takeover_due_at_by_group:
            jitter_s = MASS_LOSS_JITTER_S if is_mass_loss(state) else 0.0
            takeover_due_at_by_group[group] = state.now + state.random.uniform(
                0, jitter_s
            )


def start_takeovers(state, rows_by_group):
    """Start the takeovers that are due, based on the records just read.

    Parameters
    ----------
    state : NodeState
        State of this node.
    rows_by_group : dict of str to CoordinatorRecord
        Records as just read from the key-value service.

    Yields
    ------
    Effect
        One compare-and-swap transaction for each takeover.
    """
    coordination = state.coordination
    limit = MAX_TAKEOVERS_PER_READ
    if is_mass_loss(state):
        limit = MAX_TAKEOVERS_PER_READ_AFTER_MASS_LOSS
    pending = {takeover.group for takeover in coordination.takeovers_by_call.values()}
    candidates = current_candidates(state)
    for group in coordination.groups_to_take_over:
        if limit <= 0:
            return
        due_at = coordination.takeover_due_at_by_group.get(group, state.now)
        if group in pending or state.now < due_at:
            continue
        if not should_take_over(state, group, candidates):
            continue
        limit -= 1
        yield _take_over(state, group, rows_by_group.get(group))


def _predecessor_cannot_extend(state, group, record):
    """Tell whether the previous holder has stopped or cannot extend its lease."""
    if record is None or record.holder == state.node:
        return True
    handed_over = state.coordination.handed_over_fences_by_group.get(group, -1)
    if handed_over >= record.fence:
        return True
    return is_in_contact_with_majority(state) and is_unable_to_extend(
        state, record.holder
    )


def _new_identity(state):
    """Return an identity that is unique among the takeovers of this node.

    It is short because holders may read the records of all groups once a second.
    """
    state.n_ids += 1
    return f"{state.incarnation:x}-{state.n_ids:x}"


def _take_over(state, group, row):
    known = state.coordination.records_by_group.get(group)
    fence = max(
        row.fence if row is not None else 0, known.fence if known is not None else 0
    )
    takeover = Takeover(
        group=group,
        identity=_new_identity(state),
        fence=fence + 1,
        has_no_predecessor=fence == 0,
        predecessor_cannot_extend=_predecessor_cannot_extend(
            state, group, row or known
        ),
    )
    call_id = next_id(state, "coordination-write")
    state.coordination.takeovers_by_call[call_id] = takeover
    state.coordination.unresolved_by_identity[takeover.identity] = state.now
    value = encode_record(
        holder=state.node, fence=takeover.fence, identity=takeover.identity
    )
    return KeyValueTransaction(
        call_id=call_id,
        compares=(
            Compare(
                key=record_key(group),
                mod_revision=row.mod_revision if row is not None else 0,
            ),
        ),
        puts=((record_key(group), value),),
    )


def announce(state, *, group, holder, fence, provisional):
    """Announce a new coordinator to a few random nodes."""
    others = [node for node in live_nodes(state) if node not in (state.node, holder)]
    chosen = state.random.sample(others, min(ANNOUNCE_FANOUT, len(others)))
    for node in chosen:
        yield SendDatagram(
            to=node,
            message=CoordinatorChanged(
                group=group, holder=holder, fence=fence, provisional=provisional
            ),
        )


def _hand_over(state, group, role):
    target = candidate_of(state, group, without=state.node)
    if target is None:
        return
    yield record("coordination.handed_over", group=group, to=target, fence=role.fence)
    yield SendPeer(to=target, message=HandOver(group=group, fence=role.fence))


def hand_over_all(state):
    """Hand every group over because this node is leaving."""
    roles_by_group = state.coordination.roles_by_group
    for group, role in tuple(roles_by_group.items()):
        del roles_by_group[group]
        if not role.provisional:
            yield from _hand_over(state, group, role)


def hand_over_misplaced(state):
    """Hand over at most one group that another node should hold."""
    coordination = state.coordination
    for group, role in coordination.roles_by_group.items():
        if role.provisional or role.extended:
            continue
        if candidate_of(state, group) == state.node:
            role.misplaced_since = None
        elif role.misplaced_since is None:
            role.misplaced_since = state.now
    if state.now < coordination.hand_over_due_at:
        return
    for group, role in coordination.roles_by_group.items():
        since = role.misplaced_since
        if since is not None and state.now - since >= MISPLACED_TIMEOUT_S:
            coordination.hand_over_due_at = state.now + HAND_OVER_INTERVAL_S
            role.misplaced_since = None
            role.handed_over_until = state.now + HAND_OVER_TIMEOUT_S
            yield from _hand_over(state, group, role)
            return


def accepts_hand_over(state, group):
    """Tell whether this node may take over a group that its holder hands over."""
    known = state.active is not None and group in state.active.groups_by_id
    return (
        known
        and not state.membership.leaving
        and in_region(state, state.node, state.active.groups_by_id[group].region)
    )
