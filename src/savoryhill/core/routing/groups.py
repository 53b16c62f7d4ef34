"""Create and update the state of the groups that this node coordinates."""

from savoryhill.core.coordination.view import (
    fence_of,
    holder_of,
    is_provisional,
    may_grant,
    took_over_at,
)
from savoryhill.core.membership.view import live_nodes
from savoryhill.core.routing import boundary, cold_start, permits
from savoryhill.core.routing.cost import new_cost_model
from savoryhill.core.routing.state import EndpointState, GroupState

# The role lease (3 s) plus `START_BY_S` (2 s): until then a permit of the previous
# coordinator may still be used without having been reported.
TAKEOVER_WAIT_S = 5.0


def own_group(state, group_id):
    """Return the state of a group if this node coordinates it.

    Parameters
    ----------
    state : NodeState
        The node's state.
    group_id : str
        The group.

    Returns
    -------
    GroupState or None
        The state, up to date with the configuration in force; None if another node
        coordinates the group or the configuration does not contain it.
    """
    active = state.configuration.active
    if active is None or group_id not in active.groups_by_id:
        return None
    if holder_of(state, group_id) != state.node:
        return None
    group = state.routing.groups_by_id.get(group_id)
    if group is None:
        group = state.routing.groups_by_id[group_id] = GroupState(id=group_id)
    # When the fence rises, the known permits stay counted: they end by a report or
    # expire, and counting one too many only delays a grant.
    group.fence = fence_of(state, group_id)
    group.took_over_at = took_over_at(state, group_id)
    if group.configuration is not active:
        apply_configuration(group, active)
    return group


def apply_configuration(group, configuration):
    """Apply the configuration in force to the endpoints of a group.

    Endpoints that are leaving or in a withdrawn availability zone get no new permits
    from now on; their existing permits stay counted until they end.
    """
    endpoint_ids = configuration.groups_by_id[group.id].endpoints
    group.is_model = any(
        model.name == configuration.groups_by_id[group.id].target
        for model in configuration.models
    )
    n_open_before = len(group.open_endpoints)
    for endpoint_id in endpoint_ids:
        configured = configuration.endpoints_by_id[endpoint_id]
        hardware = configuration.hardware_by_name[configured.hardware]
        endpoint = group.states_by_endpoint.get(endpoint_id)
        if endpoint is None:
            endpoint = EndpointState(
                id=endpoint_id,
                address=configured.address,
                hardware=hardware,
                cost_model=new_cost_model(hardware),
            )
            endpoint.limit = cold_start.cold_limit(endpoint)
            group.states_by_endpoint[endpoint_id] = endpoint
        elif endpoint.hardware != hardware:
            endpoint.hardware = hardware
            endpoint.cost_model = new_cost_model(hardware)
            endpoint.limit = min(endpoint.limit, hardware.slots)
        endpoint.address = configured.address
        endpoint.is_model = group.is_model
        endpoint.checks_incarnation = configured.checks_incarnation
        endpoint.checks_fencing = configured.checks_fencing
        withdrawn = configuration.zones_by_name[configured.zone].withdrawn
        endpoint.open = not (configured.leaving or withdrawn)
    group.configuration = configuration
    for endpoint_id in tuple(group.states_by_endpoint):
        if endpoint_id not in endpoint_ids:
            endpoint = group.states_by_endpoint[endpoint_id]
            for key in tuple(endpoint.permits_by_key):
                permits.free_permit(group, endpoint, key)
            del group.states_by_endpoint[endpoint_id]
    group.open_endpoints = tuple(
        sorted(
            (each for each in group.states_by_endpoint.values() if each.open),
            key=lambda each: (-each.hardware.memory_tokens, each.id),
        )
    )
    n_open = len(group.open_endpoints)
    if n_open != n_open_before:
        group.n_long_endpoints = boundary.initial_boundary(n_open)
    if group.reservation is not None:
        open_ids = {endpoint.id for endpoint in group.open_endpoints}
        if not group.reservation.endpoints <= open_ids:
            group.reservation = None


def grant_limits(state, group):
    """Return the current limits on what this coordinator may grant.

    Returns
    -------
    tuple of (bool, bool) or None
        ``provisional`` (it may use half of the limit of warm endpoints and no cold
        ones) and ``withhold_cold`` (it may not use cold endpoints, because permits
        of the previous coordinator may be unknown to it); None while it may grant
        nothing.
    """
    if not may_grant(state, group.id):
        return None
    provisional = is_provisional(state, group.id)
    took_over = group.took_over_at
    if state.now >= took_over + TAKEOVER_WAIT_S:
        return provisional, False
    reported_at = group.reported_at_by_entry
    all_reported = all(
        reported_at.get(node, float("-inf")) >= took_over for node in live_nodes(state)
    )
    return provisional, not all_reported
