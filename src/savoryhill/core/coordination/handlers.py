"""Event handlers of the coordination subsystem."""

from savoryhill.core.coordination.lease import (
    LEASE_DURATION_S,
    confirm_roles,
    expire_roles,
    track_isolation,
    update_provisional_roles,
)
from savoryhill.core.coordination.records import (
    RECORD_PREFIX,
    decode_record,
    drop_role,
    merge_record,
    record_key,
)
from savoryhill.core.coordination.state import NEVER, CoordinatorRecord, Role
from savoryhill.core.coordination.takeover import (
    accepts_hand_over,
    announce,
    hand_over_all,
    hand_over_misplaced,
    start_takeovers,
    update_groups_to_take_over,
)
from savoryhill.core.effects import KeyValueRange, record
from savoryhill.core.events import (
    DrainRequested,
    KeyValueAnswered,
    ProcessResumed,
    Ticked,
)
from savoryhill.core.messages import CoordinatorChanged, HandOver
from savoryhill.core.state import next_id

READ_INTERVAL_S = 1.0
# Nodes without a role also read, but rarely: a write that takes effect after its
# timeout makes a node the holder although it has stopped reading. At 340 nodes these
# are 11 reads a second.
IDLE_READ_INTERVAL_S = 30.0
UNRESOLVED_TIMEOUT_S = 10.0
REVIEW_INTERVAL_S = 0.25


def _on_tick(state, event):
    if state.active is None:
        return
    coordination = state.coordination
    if event.at >= coordination.review_due_at:
        coordination.review_due_at = event.at + REVIEW_INTERVAL_S
        track_isolation(state)
        update_groups_to_take_over(state)
        confirm_roles(state)
        yield from _announce_new_provisional(state, update_provisional_roles(state))
        yield from hand_over_misplaced(state)
    yield from expire_roles(state)
    yield from _read_if_due(state)


def _read_if_due(state):
    coordination = state.coordination
    unresolved = coordination.unresolved_by_identity
    for identity, started_at in tuple(unresolved.items()):
        if state.now - started_at > UNRESOLVED_TIMEOUT_S:
            del unresolved[identity]
    reads_often = (
        coordination.roles_by_group
        or coordination.groups_to_take_over
        or unresolved
        or not coordination.has_read
    )
    if not reads_often:
        coordination.reads_failing_since = None
    idle_read_due_at = coordination.read_due_at + IDLE_READ_INTERVAL_S - READ_INTERVAL_S
    if state.now >= (coordination.read_due_at if reads_often else idle_read_due_at):
        coordination.read_due_at = state.now + READ_INTERVAL_S
        yield _read(state)


def _announce_new_provisional(state, effects):
    held_before = set(state.coordination.roles_by_group)
    yield from effects
    for group, role in state.coordination.roles_by_group.items():
        if role.provisional and group not in held_before:
            merge_record(
                state,
                group=group,
                holder=state.node,
                fence=role.fence,
                provisional=True,
            )
            yield from announce(
                state,
                group=group,
                holder=state.node,
                fence=role.fence,
                provisional=True,
            )


def _choose_group_to_read(state):
    """Return the only group whose record is needed, or "" to read all records.

    The records of 75 groups take 15 kB, too much for a holder to read every second
    within its share of the control traffic.
    """
    coordination = state.coordination
    needs_all_records = (
        coordination.groups_to_take_over
        or coordination.unresolved_by_identity
        or not coordination.has_read
        or len(coordination.roles_by_group) != 1
        or state.now - coordination.last_full_read_at >= IDLE_READ_INTERVAL_S
    )
    return "" if needs_all_records else next(iter(coordination.roles_by_group))


def _read(state):
    call_id = next_id(state, "coordination-read")
    coordination = state.coordination
    group = _choose_group_to_read(state)
    coordination.groups_by_read_call[call_id] = group
    if not group:
        coordination.last_full_read_at = state.now
    if coordination.reads_failing_since is None:
        coordination.reads_failing_since = state.now
    return KeyValueRange(call_id=call_id, key=record_key(group), prefix=not group)


def _on_key_value_answered(state, event):
    coordination = state.coordination
    if event.call_id in coordination.groups_by_read_call:
        group = coordination.groups_by_read_call.pop(event.call_id)
        if event.status == "ok":
            yield from _handle_records_read(state, event, group)
        return
    takeover = coordination.takeovers_by_call.pop(event.call_id, None)
    if takeover is None:
        return
    if event.status == "ok":
        yield from _assume_role(
            state,
            group=takeover.group,
            fence=takeover.fence,
            identity=takeover.identity,
            started_at=event.started_at,
            has_no_predecessor=takeover.has_no_predecessor,
            predecessor_cannot_extend=takeover.predecessor_cannot_extend,
        )
    else:
        # The write may have taken effect: read the record to resolve its outcome.
        coordination.read_due_at = min(coordination.read_due_at, event.at)


def _handle_records_read(state, event, read_group):
    coordination = state.coordination
    if event.started_at < coordination.resumed_at:
        return
    coordination.has_read = True
    coordination.reads_failing_since = None
    coordination.last_read_started_at = max(
        coordination.last_read_started_at, event.started_at
    )
    rows_by_group = {}
    for row in event.rows:
        known = decode_record(row.value, row.mod_revision)
        if known is not None:
            rows_by_group[row.key.removeprefix(RECORD_PREFIX)] = known
    for group, role in tuple(coordination.roles_by_group.items()):
        if role.provisional:
            yield from drop_role(state, group, "key-value service is back")
    for group, row in rows_by_group.items():
        yield from _merge_row(state, group, row, event.started_at)
    for group, role in tuple(coordination.roles_by_group.items()):
        is_covered = read_group in ("", group)
        is_missing = is_covered and group not in rows_by_group
        if is_missing and role.held_since < event.started_at:
            yield from drop_role(state, group, "record is missing")
    if state.active is not None and not read_group:
        update_groups_to_take_over(state)
        yield from start_takeovers(state, rows_by_group)


def _merge_row(state, group, row, started_at):
    coordination = state.coordination
    known = coordination.records_by_group.get(group)
    if known is not None and row.fence < known.fence:
        # Gossip or a write of this node has already shown a newer record.
        return
    if known is None or row.fence > known.fence or not known.identity:
        if known is not None and row.fence > known.fence:
            row.changed_at = state.now
        elif known is not None:
            row.changed_at = known.changed_at
        coordination.records_by_group[group] = row
    role = coordination.roles_by_group.get(group)
    is_own = row.holder == state.node
    if role is not None and is_own and role.identity == row.identity:
        role.lease_expires_at = max(
            role.lease_expires_at, started_at + LEASE_DURATION_S
        )
        role.extended = False
        return
    if role is not None:
        yield from drop_role(state, group, f"record is held by {row.holder}")
    if is_own and row.identity in coordination.unresolved_by_identity:
        # The write took effect although its response was lost.
        yield from _assume_role(
            state,
            group=group,
            fence=row.fence,
            identity=row.identity,
            started_at=started_at,
            has_no_predecessor=False,
            predecessor_cannot_extend=False,
        )


def _assume_role(
    state,
    *,
    group,
    fence,
    identity,
    started_at,
    has_no_predecessor,
    predecessor_cannot_extend,
):
    """Assume the role for a group after a successful takeover by this node.

    The lease runs from ``started_at``. Each takeover yields a role at most once: a
    node that has dropped a role must take the group over again under a higher fence.
    """
    coordination = state.coordination
    coordination.unresolved_by_identity.pop(identity, None)
    known = coordination.records_by_group.get(group)
    superseded = known is not None and known.fence > fence
    too_old = (
        state.now >= started_at + LEASE_DURATION_S
        or started_at < coordination.resumed_at
    )
    if superseded or too_old or state.membership.leaving:
        return
    coordination.handed_over_fences_by_group.pop(group, None)
    coordination.records_by_group[group] = CoordinatorRecord(
        holder=state.node, fence=fence, identity=identity
    )
    coordination.roles_by_group[group] = Role(
        fence=fence,
        identity=identity,
        lease_expires_at=started_at + LEASE_DURATION_S,
        held_since=state.now,
        held_in_contact_since=state.now,
        took_over_at=NEVER if has_no_predecessor else state.now,
        confirmed=has_no_predecessor,
        predecessor_cannot_extend=predecessor_cannot_extend,
    )
    yield record("coordination.took_over", group=group, fence=fence)
    yield from announce(
        state, group=group, holder=state.node, fence=fence, provisional=False
    )


def _on_coordinator_changed(state, event):
    message = event.message
    if message.holder == state.node:
        return
    is_new = merge_record(
        state,
        group=message.group,
        holder=message.holder,
        fence=message.fence,
        provisional=message.provisional,
    )
    if is_new:
        yield from announce(
            state,
            group=message.group,
            holder=message.holder,
            fence=message.fence,
            provisional=message.provisional,
        )


def _on_hand_over(state, event):
    message = event.message
    if not accepts_hand_over(state, message.group):
        return
    coordination = state.coordination
    coordination.handed_over_fences_by_group[message.group] = message.fence
    coordination.read_due_at = min(coordination.read_due_at, event.at)
    update_groups_to_take_over(state)


def _on_process_resumed(state, event):
    """Drop all roles, because other nodes may have taken the groups over meanwhile."""
    coordination = state.coordination
    for group in tuple(coordination.roles_by_group):
        yield from drop_role(state, group, "process was paused")
    coordination.resumed_at = event.at
    coordination.groups_by_read_call.clear()
    coordination.takeovers_by_call.clear()
    coordination.unresolved_by_identity.clear()
    coordination.takeover_due_at_by_group.clear()
    coordination.reads_failing_since = None
    coordination.has_read = False
    coordination.read_due_at = event.at
    coordination.review_due_at = event.at


def _on_drain_requested(state, event):
    yield from hand_over_all(state)


HANDLERS = {
    ProcessResumed: _on_process_resumed,
    Ticked: _on_tick,
    KeyValueAnswered: _on_key_value_answered,
    CoordinatorChanged: _on_coordinator_changed,
    HandOver: _on_hand_over,
    DrainRequested: _on_drain_requested,
}
