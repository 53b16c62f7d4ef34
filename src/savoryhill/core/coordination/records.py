"""Coordinator records: their form in the key-value service and what is known."""

import json

from savoryhill.core.coordination.state import NEVER, CoordinatorRecord
from savoryhill.core.effects import record

RECORD_PREFIX = "/coordinator/"


def key_of(group):
    """Return the key of a group's record."""
    return RECORD_PREFIX + group


def encode_record(*, holder, fence, identity):
    """Encode a record as JSON."""
    values = {"holder": holder, "fence": fence, "identity": identity}
    return json.dumps(values, separators=(",", ":")).encode()


def decode_record(value, mod_revision):
    """Decode a record, or return None if it cannot be read."""
    try:
        values = json.loads(value)
        return CoordinatorRecord(
            holder=str(values["holder"]),
            fence=int(values["fence"]),
            identity=str(values["identity"]),
            mod_revision=mod_revision,
        )
    except (ValueError, KeyError, TypeError):
        return None


def held_roles(state):
    """Return fence and provisional flag of each group that this node coordinates."""
    return {
        group: (role.fence, role.provisional)
        for group, role in state.coordination.roles_by_group.items()
    }


def drop_role(state, group, reason):
    """Stop coordinating a group."""
    role = state.coordination.roles_by_group.pop(group, None)
    if role is not None:
        yield record(
            "coordination.role_dropped",
            group=group,
            fence=role.fence,
            provisional=role.provisional,
            reason=reason,
        )


def merge_record(state, *, group, holder, fence, provisional):
    """Take over what another node tells of a group's holder.

    Returns
    -------
    bool
        Whether it was new.
    """
    coordination = state.coordination
    known = coordination.records_by_group.get(group)
    if known is not None and fence < known.fence:
        return False
    if known is None or fence > known.fence:
        coordination.records_by_group[group] = CoordinatorRecord(
            holder="" if provisional else holder,
            fence=fence,
            provisional_holder=holder if provisional else "",
            changed_at=state.now if known is not None and not provisional else NEVER,
        )
        role = coordination.roles_by_group.get(group)
        if role is not None and role.fence < fence:
            del coordination.roles_by_group[group]
        return True
    if provisional:
        is_new = known.provisional_holder != holder
        known.provisional_holder = holder
        return is_new
    if known.holder:
        return False
    known.holder = holder
    return True
