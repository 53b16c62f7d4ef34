"""Extend, confirm and expire coordinator roles.

The holder of a role may grant without reading the record again until the lease of the
role expires. The lease is renewed by reading the record, and extended without reads
only while the key-value service is down for all nodes.
"""

from savoryhill.core.coordination.records import drop_role
from savoryhill.core.coordination.state import Role
from savoryhill.core.effects import record
from savoryhill.core.membership.evidence import evidence_window_s
from savoryhill.core.membership.view import (
    has_heard_from_majority,
    is_serving,
    known_nodes,
    peers_last_key_value_success_at,
)

LEASE_DURATION_S = 3.0
# Extensions are short, so that a node that stops checking the conditions for an
# extension also stops granting.
EXTENSION_S = 0.5
# A read counts as failing before it times out: the timeout ends only together with the
# lease.
READ_FAILING_AFTER_S = 0.5
# Ages are rounded to tenths of a second, so that a success of another node from before
# the outage may seem to be up to this much later than the first failing read.
SUCCESS_AGE_TOLERANCE_S = 0.3
RECENT_REFUTATION_S = 5.0
# A holder reads once a second, and evidence of its success is rounded and relayed, so
# its last success may be this much older than its last message.
READ_EVIDENCE_DELAY_S = 2.0


def are_reads_failing(state):
    """Tell whether this node's reads of the records have gone unanswered."""
    reads_failing_since = state.coordination.reads_failing_since
    return (
        reads_failing_since is not None
        and state.now - reads_failing_since > READ_FAILING_AFTER_S
    )


def is_in_contact_with_majority(state, since=None):
    """Tell whether this node heard from a majority and was itself heard by others.

    Only evidence since ``since`` counts. It defaults to the start of the evidence
    window.
    """
    if since is None:
        since = state.now - evidence_window_s(state)
    is_alone = len(known_nodes(state)) == 1
    was_heard = is_alone or state.membership.heard_by_others_at >= since
    return was_heard and has_heard_from_majority(state, since=since)


def is_service_down(state):
    """Tell whether the evidence of a majority shows the service down for all nodes.

    Also false without contact to a majority: other nodes may reach the service then,
    and may have replaced a node that they do not hear from.
    """
    if not are_reads_failing(state):
        return False
    latest = state.coordination.reads_failing_since + SUCCESS_AGE_TOLERANCE_S
    if peers_last_key_value_success_at(state) > latest:
        return False
    return is_in_contact_with_majority(state)


def is_unable_to_extend(state, node):
    """Tell whether a silent holder is known to be unable to extend its lease.

    This is the case if it reached the service when it was last heard from and its
    evidence of a majority has expired since then.
    """
    member = state.membership.members_by_node.get(node)
    return (
        member is not None
        and member.status == "gone"
        and state.now - member.last_heard_at >= evidence_window_s(state)
        and member.last_heard_at - member.last_key_value_success_at
        <= READ_EVIDENCE_DELAY_S
    )


def confirm_roles(state):
    """Mark new roles as confirmed once their previous holders have stopped.

    While both nodes are in contact with a majority, a previous holder that cannot
    reach the service learns of the takeover within one evidence window. If it is cut
    off before that, it may extend its lease for another window. The waiting time
    starts again after this node has lost contact with the majority.
    """
    window_s = evidence_window_s(state)
    in_contact = None
    for role in state.coordination.roles_by_group.values():
        if role.confirmed or role.provisional:
            continue
        if in_contact is None:
            in_contact = is_in_contact_with_majority(state)
        needed_s = 0.0 if role.predecessor_cannot_extend else window_s
        if not in_contact:
            role.held_in_contact_since = state.now
        elif is_in_contact_with_majority(state, role.held_in_contact_since + needed_s):
            role.confirmed = True
            extra_s = (
                0.0
                if role.predecessor_cannot_extend
                else 2 * window_s - LEASE_DURATION_S
            )
            role.took_over_at = role.held_in_contact_since + extra_s


def track_isolation(state):
    """Record the time if this node is not in contact with a majority.

    Other nodes may take its groups over meanwhile, so it must read the records
    before it extends a lease again.
    """
    if not is_in_contact_with_majority(state):
        state.coordination.last_isolated_at = state.now


def expire_roles(state):
    """Extend leases while the service is down, and drop roles whose lease expired."""
    roles_by_group = state.coordination.roles_by_group
    is_down = None
    for group, role in tuple(roles_by_group.items()):
        if role.provisional or state.now < role.lease_expires_at - EXTENSION_S / 2:
            continue
        if is_down is None:
            was_recently_refuted = (
                state.now - state.membership.refuted_at < RECENT_REFUTATION_S
            )
            coordination = state.coordination
            was_isolated = (
                coordination.last_isolated_at >= coordination.last_read_started_at
            )
            is_down = is_service_down(state) and not (
                was_recently_refuted or was_isolated
            )
        if is_down and state.now < role.lease_expires_at:
            role.lease_expires_at = state.now + EXTENSION_S
            if not role.extended:
                role.extended = True
                yield record(
                    "coordination.tenure_extended", group=group, fence=role.fence
                )
        elif state.now >= role.lease_expires_at:
            yield from drop_role(state, group, "tenure ended")


def update_provisional_roles(state):
    """Take, keep or drop provisional roles, held while the service is down for all."""
    coordination = state.coordination
    is_down = None
    for group in coordination.groups_to_take_over:
        known = coordination.records_by_group.get(group)
        role = coordination.roles_by_group.get(group)
        if known is None or (role is not None and not role.provisional):
            continue
        if known.holder and is_serving(state, known.holder):
            continue
        if is_down is None:
            failing_s = state.now - (coordination.reads_failing_since or state.now)
            is_down = failing_s > LEASE_DURATION_S and is_service_down(state)
        if not is_down:
            break
        if role is None:
            role = coordination.roles_by_group[group] = Role(
                fence=known.fence,
                identity="",
                lease_expires_at=state.now,
                held_since=state.now,
                held_in_contact_since=state.now,
                took_over_at=state.now,
                provisional=True,
            )
            yield record("coordination.provisional", group=group, fence=known.fence)
        role.lease_expires_at = state.now + EXTENSION_S
    for group, role in tuple(coordination.roles_by_group.items()):
        if role.provisional and state.now >= role.lease_expires_at:
            yield from drop_role(state, group, "conditions of a provisional role ended")
