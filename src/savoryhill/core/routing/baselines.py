"""Baseline policies for comparison: one FIFO queue with the same slot limits.

They use no engine priority, size classes, prefix affinity or predictions.
"""

from savoryhill.core.routing import cost
from savoryhill.core.routing.placement import (
    Candidate,
    effective_limit,
    n_occupied_slots,
)


def choose_baseline(state, group, message, *, provisional, withhold_cold):
    """Choose an endpoint by the baseline policy named in the routing state.

    Parameters
    ----------
    state : NodeState
        The node's state, which has the random numbers and the policy's name.
    group : GroupState
        The group.
    message : PlaceRequest
        The placement.
    provisional, withhold_cold : bool
        Limits on what this coordinator may grant, see `grant_limits`.

    Returns
    -------
    Candidate or None
        The chosen endpoint, or None if none has a free slot and memory.
    """
    needed = message.prompt_tokens + message.max_tokens
    reserved_ids = () if group.reservation is None else group.reservation.endpoints
    usable = [
        endpoint
        for endpoint in group.open_endpoints
        if endpoint.ready
        and endpoint.id not in message.avoid
        and endpoint.id not in reserved_ids
        and n_occupied_slots(endpoint)
        < effective_limit(
            group, endpoint, provisional=provisional, withhold_cold=withhold_cold
        )
        and needed
        <= endpoint.hardware.memory_tokens
        - endpoint.used_tokens
        - endpoint.orphan_tokens
    ]
    if not usable:
        return None
    policy = state.routing.policy
    if policy == "random":
        endpoint = state.random.choice(usable)
    elif policy == "round-robin":
        ids = [each.id for each in group.open_endpoints]
        n_endpoints = len(ids)
        start = group.next_round_robin % n_endpoints
        endpoint = min(
            usable, key=lambda each: (ids.index(each.id) - start) % n_endpoints
        )
        group.next_round_robin = ids.index(endpoint.id) + 1
    else:
        endpoint = min(usable, key=lambda each: (n_occupied_slots(each), each.id))
    ahead = endpoint.short_backlog_tokens + endpoint.long_backlog_tokens
    first_s = cost.first_token_s(endpoint.cost_model, ahead + message.prompt_tokens)
    decoding_s = cost.decode_s(
        endpoint.cost_model, message.max_tokens, n_occupied_slots(endpoint)
    )
    return Candidate(
        endpoint=endpoint,
        uncached_tokens=message.prompt_tokens,
        ahead_tokens=ahead,
        first_token_s=first_s,
        completion_s=first_s + decoding_s,
    )
