"""Keep or give up roles: tenure, extension in an outage, provisional roles."""

from savoryhill.core.coordination.records import drop_role
from savoryhill.core.coordination.state import Role
from savoryhill.core.effects import record
from savoryhill.core.membership.hearing import heard_window_s
from savoryhill.core.membership.view import (
    heard_majority,
    is_serving,
    key_value_reached_at_by_others,
    known_nodes,
)

TENURE_S = 3.0
# An extension is granted in short pieces, so that a node that stops checking the
# conditions stops granting.
EXTENSION_S = 0.5
# A read is taken for failing before its time limit: it would otherwise end only
# together with the tenure.
SLOW_READ_S = 0.5
# Successes of other nodes this long after the first failing read still belong to
# the time before the outage: ages are rounded to tenths of a second.
REACHED_TOLERANCE_S = 0.3
REFUTED_RECENTLY_S = 5.0
# A holder reads every second; evidence of its success is rounded and relayed.
READING_S = 2.0


def is_failing(state):
    """Tell whether this node's reads of the records remain without an answer."""
    failing_since = state.coordination.failing_since
    return failing_since is not None and state.now - failing_since > SLOW_READ_S


def is_in_contact(state, since=None):
    """Tell whether a majority was heard since a time and this node was heard.

    ``since`` is one window of evidence ago if not given.
    """
    if since is None:
        since = state.now - heard_window_s(state)
    alone = len(known_nodes(state)) == 1
    was_heard = alone or state.membership.heard_by_others_at >= since
    return was_heard and heard_majority(state, since=since)


def service_is_down(state):
    """Tell whether no node reaches the service, judged by a majority's evidence.

    False as well without contact to a majority: others may reach the service then,
    and whoever is not heard may have been replaced.
    """
    if not is_failing(state):
        return False
    latest = state.coordination.failing_since + REACHED_TOLERANCE_S
    if key_value_reached_at_by_others(state) > latest:
        return False
    return is_in_contact(state)


def cannot_extend(state, node):
    """Tell whether a silent holder is known to be unable to extend its tenure.

    It reached the service when it was last heard, and since then its evidence of a
    majority has become too old.
    """
    member = state.membership.members_by_node.get(node)
    return (
        member is not None
        and member.status == "gone"
        and state.now - member.heard_at >= heard_window_s(state)
        and member.heard_at - member.key_value_at <= READING_S
    )


def confirm_roles(state):
    """Confirm that the previous holders of new roles have stopped.

    A previous holder without the service hears of the takeover within a window of
    evidence while both are in contact with a majority. If it is cut off before
    that, it extends its tenure for another window. The time counts again after a
    loss of contact.
    """
    window_s = heard_window_s(state)
    in_contact = None
    for role in state.coordination.roles_by_group.values():
        if role.confirmed or role.provisional:
            continue
        if in_contact is None:
            in_contact = is_in_contact(state)
        needed_s = 0.0 if role.is_prompt else window_s
        if not in_contact:
            role.held_in_contact_since = state.now
        elif is_in_contact(state, role.held_in_contact_since + needed_s):
            role.confirmed = True
            extra_s = 0.0 if role.is_prompt else 2 * window_s - TENURE_S
            role.took_over_at = role.held_in_contact_since + extra_s


def watch_majority(state):
    """Remember when this node was not in contact with a majority.

    Others may have taken its groups over since, so that it must read the records
    before it extends a tenure again.
    """
    if not is_in_contact(state):
        state.coordination.isolated_at = state.now


def expire_roles(state):
    """Extend the tenure of roles in an outage, and drop those that have ended."""
    roles_by_group = state.coordination.roles_by_group
    down = None
    for group, role in tuple(roles_by_group.items()):
        if role.provisional or state.now < role.tenure_ends_at - EXTENSION_S / 2:
            continue
        if down is None:
            recently = state.now - state.membership.refuted_at < REFUTED_RECENTLY_S
            coordination = state.coordination
            was_isolated = coordination.isolated_at >= coordination.renewed_at
            down = service_is_down(state) and not (recently or was_isolated)
        if down and state.now < role.tenure_ends_at:
            role.tenure_ends_at = state.now + EXTENSION_S
            if not role.extended:
                role.extended = True
                yield record(
                    "coordination.tenure_extended", group=group, fence=role.fence
                )
        elif state.now >= role.tenure_ends_at:
            yield from drop_role(state, group, "tenure ended")


def review_provisional(state):
    """Take or keep provisional roles while the service is down for everybody."""
    coordination = state.coordination
    down = None
    for group in coordination.wanted_groups:
        known = coordination.records_by_group.get(group)
        role = coordination.roles_by_group.get(group)
        if known is None or (role is not None and not role.provisional):
            continue
        if known.holder and is_serving(state, known.holder):
            continue
        if down is None:
            silent_s = state.now - (coordination.failing_since or state.now)
            down = silent_s > TENURE_S and service_is_down(state)
        if not down:
            break
        if role is None:
            role = coordination.roles_by_group[group] = Role(
                fence=known.fence,
                identity="",
                tenure_ends_at=state.now,
                held_since=state.now,
                held_in_contact_since=state.now,
                took_over_at=state.now,
                provisional=True,
            )
            yield record("coordination.provisional", group=group, fence=known.fence)
        role.tenure_ends_at = state.now + EXTENSION_S
    for group, role in tuple(coordination.roles_by_group.items()):
        if role.provisional and state.now >= role.tenure_ends_at:
            yield from drop_role(state, group, "conditions of a provisional role ended")
