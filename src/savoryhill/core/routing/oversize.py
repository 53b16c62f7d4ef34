"""Divide prompts that need the memory of several endpoints.

All parts are granted together or not at all, on at most half of the group's
endpoints, and for one prompt at a time in each group. The parts are prefilled one
after the other; the last endpoint also generates the output.
"""

from savoryhill.core.messages import PromptPart
from savoryhill.core.routing import cost
from savoryhill.core.routing.placement import effective_limit, n_occupied_slots
from savoryhill.core.routing.state import EndpointReservation


def _largest_half_tokens(memory_tokens):
    largest = sorted(memory_tokens, reverse=True)
    return sum(largest[: max(1, len(largest) // 2)])


def capacity_tokens(configuration, group_id):
    """Return the largest total of prompt and output tokens that fits a group.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    group_id : str
        The group.

    Returns
    -------
    int
        Memory in tokens of the larger half of the group's endpoints.
    """
    return _largest_half_tokens(
        configuration.hardware_by_name[
            configuration.endpoints_by_id[each].hardware
        ].memory_tokens
        for each in configuration.groups_by_id[group_id].endpoints
    )


def target_capacity_tokens(configuration, target):
    """Return the largest total of tokens that fits any group of a model."""
    return max(
        (
            capacity_tokens(configuration, each)
            for each in configuration.group_ids_by_target.get(target, ())
        ),
        default=0,
    )


def open_capacity_tokens(group):
    """Return the largest total of tokens that fits the open endpoints of a group."""
    memory_tokens = [
        endpoint.hardware.memory_tokens for endpoint in group.open_endpoints
    ]
    n_allowed = max(1, len(group.states_by_endpoint) // 2)
    return sum(sorted(memory_tokens, reverse=True)[:n_allowed])


def _eligible_endpoints(group, message, *, provisional, withhold_cold):
    for endpoint in group.open_endpoints:
        if not endpoint.ready or endpoint.id in message.avoid:
            continue
        limit = effective_limit(
            group, endpoint, provisional=provisional, withhold_cold=withhold_cold
        )
        if limit:
            yield endpoint, n_occupied_slots(endpoint) < limit


def _free_tokens(endpoint):
    return (
        endpoint.hardware.memory_tokens - endpoint.used_tokens - endpoint.orphan_tokens
    )


def plan_parts(group, message, *, provisional, withhold_cold):
    """Divide a prompt among endpoints that have memory for all of it now.

    Parameters
    ----------
    group : GroupState
        The group.
    message : PlaceRequest
        A placement that does not fit any single endpoint.
    provisional, withhold_cold : bool
        Limits on what this coordinator may grant, see `grant_limits`.

    Returns
    -------
    tuple of PromptPart
        The parts in order of the prompt; empty if they do not all fit now. The
        endpoint of the last part also has memory for the output.
    """
    if group.oversize_key is not None:
        return ()
    candidates = sorted(
        (
            (_free_tokens(endpoint), endpoint)
            for endpoint, has_slot in _eligible_endpoints(
                group, message, provisional=provisional, withhold_cold=withhold_cold
            )
            if has_slot
        ),
        key=lambda each: (-each[0], each[1].id),
    )
    n_allowed = len(group.states_by_endpoint) // 2
    needed = message.prompt_tokens + message.max_tokens
    chosen, total = [], 0
    for n_free, endpoint in candidates[:n_allowed]:
        if n_free <= 0:
            break
        chosen.append((n_free, endpoint))
        total += n_free
        if total >= needed:
            return _divide_prompt(chosen, message, total)
    return ()


def _divide_prompt(chosen, message, total):
    """Use the same share of the free memory on every endpoint."""
    last_free, last = max(chosen, key=lambda each: each[0])
    if last_free <= message.max_tokens:
        return ()
    others = [each for each in chosen if each[1] is not last]
    needed = message.prompt_tokens + message.max_tokens
    n_left = message.prompt_tokens
    parts = []
    for n_free, endpoint in others:
        # Rounded up, so that the last endpoint never exceeds its share.
        n_tokens = min(n_free, -(-n_free * needed // total), n_left - 1)
        if n_tokens <= 0:
            return ()
        parts.append((endpoint, n_tokens))
        n_left -= n_tokens
    parts.append((last, n_left))
    return tuple(
        PromptPart(
            endpoint=endpoint.id, n_tokens=n_tokens, incarnation=endpoint.incarnation
        )
        for endpoint, n_tokens in parts
    )


def service_s(group, message):
    """Predict the service time of an oversize prompt in an idle group.

    The parts are prefilled one after the other, so their times add up.
    """
    needed = message.prompt_tokens + message.max_tokens
    seconds, n_left, last = 0.0, needed, None
    for endpoint in sorted(
        group.open_endpoints, key=lambda each: -each.hardware.memory_tokens
    ):
        if n_left <= 0:
            break
        n_tokens = min(n_left, endpoint.hardware.memory_tokens)
        seconds += cost.first_token_s(endpoint.cost_model, n_tokens)
        n_left -= n_tokens
        last = endpoint
    if last is None or n_left > 0:
        return float("inf")
    return seconds + cost.decode_s(last.cost_model, message.max_tokens, 1)


def reserve_endpoints(group, pending, *, n_endpoints=None):
    """Reserve endpoints for a placement that does not fit yet.

    Other long prompts are not placed on reserved endpoints, and short ones leave one
    slot free there. Otherwise smaller prompts would take the memory as soon as it is
    freed.
    """
    if group.reservation is not None:
        return
    needed = pending.message.prompt_tokens + pending.message.max_tokens
    candidates = sorted(
        (endpoint for endpoint in group.open_endpoints if endpoint.ready),
        key=lambda each: (-_free_tokens(each), each.id),
    )
    chosen, total = [], 0
    for endpoint in candidates:
        if endpoint.hardware.memory_tokens < needed and n_endpoints == 1:
            continue
        chosen.append(endpoint.id)
        total += endpoint.hardware.memory_tokens
        if total >= needed:
            break
    n_allowed = n_endpoints or len(group.states_by_endpoint) // 2
    if total >= needed and len(chosen) <= n_allowed:
        group.reservation = EndpointReservation(
            key=pending.key, endpoints=frozenset(chosen)
        )
