"""Predict completions and refuse what cannot make its deadline."""

from math import inf

from savoryhill.core.routing import cost, placement
from savoryhill.core.routing.queue import whole_order

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
# A waiting request is refused only if the prediction misses by this factor, so
# that noise in the model does not refuse work that was accepted to wait.
WAITING_TOLERANCE = 1.25


def retry_after_s(predicted_s, remaining_s):
    """Return after how long the backlog will have drained enough."""
    if predicted_s == inf:
        return MAX_RETRY_AFTER_S
    return min(max(predicted_s - remaining_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def own_service_s(group, message, *, busy):
    """Predict the service time alone on the best endpoint that can hold it.

    Parameters
    ----------
    group : GroupState
        The group.
    message : PlaceRequest
        The placement.
    busy : bool
        Predict with a full decode batch rather than an empty one.

    Returns
    -------
    float
        Seconds; infinite if no open endpoint can hold it.
    """
    best = inf
    needed = message.prompt_tokens + message.max_tokens
    for account in group.open_accounts:
        if needed > account.hardware.memory_tokens:
            continue
        cached = placement.cached_tokens(
            account, message.prefix_hashes, message.prompt_tokens
        )
        batch = account.limit if busy else 1
        seconds = cost.first_token_s(account.cost, message.prompt_tokens - cached)
        seconds += cost.decode_s(account.cost, message.max_tokens, batch)
        best = min(best, seconds)
    return best


class _Capacity:
    """Slots and prefill rate of a group, summed for one pass."""

    __slots__ = ("long_backlog_s", "long_rate", "next_slot_s", "slots")

    def __init__(self, *, group, now):
        slots = n_running = 0
        residual_s = long_rate = long_backlog = 0.0
        for position, account in enumerate(group.open_accounts):
            if not account.ready:
                continue
            cost.settle_backlog(account, now)
            n_permits = len(account.permits_by_key)
            slots += account.limit
            n_running += n_permits
            residual_s += max(0.0, account.ends_sum - n_permits * now)
            if position < group.n_long_endpoints:
                long_rate += account.cost.prefill_tokens_per_s
                long_backlog += account.long_backlog_tokens
        self.slots = slots
        # With residual times spread evenly, the first of n slots is free after
        # twice their mean divided by n + 1.
        mean_s = residual_s / n_running if n_running else 0.0
        full = n_running >= slots
        self.next_slot_s = 2.0 * mean_s / (n_running + 1) if full else 0.0
        self.long_rate = long_rate
        self.long_backlog_s = long_backlog / long_rate if long_rate else 0.0


def capacity_of(group, now):
    """Sum up what a group can do now."""
    return _Capacity(group=group, now=now)


def wait_s(capacity, queued_service_s, *, short, long_tokens_ahead=0):
    """Predict how long a placement waits for a slot.

    Parameters
    ----------
    capacity : _Capacity
        What the group can do.
    queued_service_s : float
        Predicted service of everything served earlier.
    short : bool
        Whether the prompt is short.
    long_tokens_ahead : int
        Prompt tokens of long placements that are served earlier.

    Returns
    -------
    float
        Seconds; infinite without any usable endpoint.
    """
    if not capacity.slots:
        return inf
    slot_wait_s = queued_service_s / capacity.slots + capacity.next_slot_s
    if short or not capacity.long_rate:
        return slot_wait_s
    prefill_s = capacity.long_backlog_s + long_tokens_ahead / capacity.long_rate
    return max(slot_wait_s, prefill_s)


def hopeless(group, now):
    """Find waiting placements that can no longer make their deadline.

    Returns
    -------
    list of (Waiting, float)
        The placements with their predicted completion from now, in seconds.
    """
    capacity = capacity_of(group, now)
    found = []
    queued_s = 0.0
    long_tokens = 0
    for waiting in whole_order(group):
        left_s = waiting.deadline_at - now
        service_s = waiting.service_s
        wait = wait_s(
            capacity, queued_s, short=waiting.short, long_tokens_ahead=long_tokens
        )
        least_s = waiting.min_service_s
        if capacity.slots:
            least_s += wait / WAITING_TOLERANCE
        if left_s > least_s:
            queued_s += service_s
            if not waiting.short:
                long_tokens += waiting.message.prompt_tokens
        else:
            found.append((waiting, wait + service_s))
    return found
