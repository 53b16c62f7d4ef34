"""Encoding of coordinator records, and merging of records learned from peers."""

import json

from savoryhill.core.coordination.state import NEVER, CoordinatorRecord
from savoryhill.core.effects import record

RECORD_PREFIX = "/coordinator/"


def record_key(group):
    """Return the key of a group's record in the key-value service."""
    return RECORD_PREFIX + group


def encode_record(*, holder, fence, identity):
    """Encode a record as JSON."""
    values = {"holder": holder, "fence": fence, "identity": identity}
    return json.dumps(values, separators=(",", ":")).encode()


def decode_record(value, mod_revision):
    """Decode a record, or return None if it is malformed."""
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
    """Return (fence, provisional) for each group that this node coordinates."""
    return {
        group: (role.fence, role.provisional)
        for group, role in state.coordination.roles_by_group.items()
    }


def drop_role(state, group, reason):
    """Stop coordinating a group and log the reason."""
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
    """Merge what another node reports about a group's holder.

    A lower fence than the known one is ignored. A higher fence also ends this node's
    own role for the group.

    Returns
    -------
    bool
        Whether the known record changed.
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
