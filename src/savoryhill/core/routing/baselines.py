"""Simple policies to compare with: one FIFO queue, the same slot limits.

They know no engine priority, size classes, prefix affinity or predictions.
"""

from savoryhill.core.routing import cost
from savoryhill.core.routing.placement import Candidate, effective_limit, n_occupied


def choose_baseline(state, group, message, *, provisional, cold_hold):
    """Choose an endpoint by the baseline named in the routing state.

    Parameters
    ----------
    state : NodeState
        The node's state, for its random numbers and the policy's name.
    group : GroupState
        The group.
    message : PlaceRequest
        The placement.
    provisional, cold_hold : bool
        Limits on what this coordinator may grant.

    Returns
    -------
    Candidate or None
        The chosen endpoint, or None if none has a free slot and memory.
    """
    needed = message.prompt_tokens + message.max_tokens
    held = () if group.hold is None else group.hold.endpoints
    usable = [
        account
        for account in group.open_accounts
        if account.ready
        and account.id not in message.avoid
        and account.id not in held
        and n_occupied(account)
        < effective_limit(group, account, provisional=provisional, cold_hold=cold_hold)
        and needed
        <= account.hardware.memory_tokens - account.used_tokens - account.orphan_tokens
    ]
    if not usable:
        return None
    policy = state.routing.policy
    if policy == "random":
        account = state.random.choice(usable)
    elif policy == "round-robin":
        order = [each.id for each in group.open_accounts]
        n_endpoints = len(order)
        start = group.next_round_robin % n_endpoints
        account = min(
            usable, key=lambda each: (order.index(each.id) - start) % n_endpoints
        )
        group.next_round_robin = order.index(account.id) + 1
    else:
        account = min(usable, key=lambda each: (n_occupied(each), each.id))
    ahead = account.short_backlog_tokens + account.long_backlog_tokens
    first_s = cost.first_token_s(account.cost, ahead + message.prompt_tokens)
    decoding_s = cost.decode_s(account.cost, message.max_tokens, n_occupied(account))
    return Candidate(
        account=account,
        uncached_tokens=message.prompt_tokens,
        ahead_tokens=ahead,
        first_token_s=first_s,
        completion_s=first_s + decoding_s,
    )
