"""Keep or give up roles: tenure, extension in an outage, provisional roles."""

from savoryhill.core.coordination.records import drop_role
from savoryhill.core.coordination.state import Role
from savoryhill.core.effects import record
from savoryhill.core.membership.hearing import HEARD_WINDOW_S, KEY_VALUE_FRESH_S
from savoryhill.core.membership.view import (
    heard_majority,
    is_serving,
    key_value_reached_at_by_others,
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


def is_failing(state):
    """Tell whether this node's reads of the records remain without an answer."""
    failing_since = state.coordination.failing_since
    return failing_since is not None and state.now - failing_since > SLOW_READ_S


def service_is_down(state):
    """Tell whether no node reaches the service, judged by a majority's evidence.

    False as well if only a minority is heard: others may reach the service then.
    """
    if not is_failing(state):
        return False
    latest = state.coordination.failing_since + REACHED_TOLERANCE_S
    if key_value_reached_at_by_others(state) > latest:
        return False
    return heard_majority(state)


def watch_service(state):
    """Remember when neither this node nor another one reached the service."""
    reached_at = max(
        state.membership.key_value_reached_at, key_value_reached_at_by_others(state)
    )
    if state.now - reached_at > KEY_VALUE_FRESH_S:
        state.coordination.gap_at = state.now


def first_cold_wait_starts_at(state, now):
    """Return the time from which a new holder counts its wait for cold endpoints.

    After an outage the previous holder may have extended its tenure until it
    hears that the service is back, which takes up to the window of evidence.
    """
    if now - state.coordination.gap_at <= HEARD_WINDOW_S:
        return now + HEARD_WINDOW_S - TENURE_S
    return now


def confirm_roles(state):
    """Confirm the roles since whose takeover a majority was heard of."""
    for role in state.coordination.roles_by_group.values():
        if not role.confirmed and not role.provisional:
            role.confirmed = heard_majority(state, since=role.gained_at)


def expire_roles(state):
    """Extend the tenure of roles in an outage, and drop those that have ended."""
    roles_by_group = state.coordination.roles_by_group
    down = None
    for group, role in tuple(roles_by_group.items()):
        if role.provisional or state.now < role.tenure_ends_at - EXTENSION_S / 2:
            continue
        if down is None:
            recently = state.now - state.membership.refuted_at < REFUTED_RECENTLY_S
            down = service_is_down(state) and not recently
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
                gained_at=state.now,
                took_over_at=state.now,
                provisional=True,
            )
            yield record("coordination.provisional", group=group, fence=known.fence)
        role.tenure_ends_at = state.now + EXTENSION_S
    for group, role in tuple(coordination.roles_by_group.items()):
        if role.provisional and state.now >= role.tenure_ends_at:
            yield from drop_role(state, group, "conditions of a provisional role ended")
