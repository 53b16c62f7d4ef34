"""Predict waiting and service times, and find requests that will miss a deadline."""

from math import inf

from savoryhill.core.routing import cost, placement
from savoryhill.core.routing.queue import all_in_order

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
# A queued request is refused only if its predicted wait divided by this factor still
# misses the deadline, so that noise in the cost model does not refuse requests that
# were already accepted into the queue.
WAITING_TOLERANCE = 1.25


def retry_after_s(predicted_s, remaining_s):
    """Return the time after which the backlog will allow the request."""
    if predicted_s == inf:
        return MAX_RETRY_AFTER_S
    return min(max(predicted_s - remaining_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def predict_service_s(group, message, *, busy):
    """Predict the service time on the best endpoint, without queueing.

    Parameters
    ----------
    group : GroupState
        The group.
    message : PlaceRequest
        The placement.
    busy : bool
        Assume a full decode batch instead of an empty one.

    Returns
    -------
    float
        Seconds; infinite if no open endpoint has enough memory for the request.
    """
    best = inf
    needed = message.prompt_tokens + message.max_tokens
    for endpoint in group.open_endpoints:
        if needed > endpoint.hardware.memory_tokens:
            continue
        cached = placement.cached_tokens(
            endpoint, message.prefix_hashes, message.prompt_tokens
        )
        batch = endpoint.limit if busy else 1
        seconds = cost.first_token_s(
            endpoint.cost_model, message.prompt_tokens - cached
        )
        seconds += cost.decode_s(endpoint.cost_model, message.max_tokens, batch)
        best = min(best, seconds)
    return best


class _Capacity:
    """Slots, prefill rate and backlog of a group at one point in time."""

    __slots__ = ("long_backlog_s", "long_rate", "next_slot_s", "slots")

    def __init__(self, *, group, now):
        slots = n_running = 0
        residual_s = long_rate = long_backlog = 0.0
        for position, endpoint in enumerate(group.open_endpoints):
            if not endpoint.ready:
                continue
            cost.update_backlog(endpoint, now)
            n_permits = len(endpoint.permits_by_key)
            slots += endpoint.limit
            n_running += n_permits
            residual_s += max(0.0, endpoint.predicted_end_sum - n_permits * now)
            if position < group.n_long_endpoints:
                long_rate += endpoint.cost_model.prefill_tokens_per_s
                long_backlog += endpoint.long_backlog_tokens
        self.slots = slots
        # If the residual times are uniformly distributed, the first of n slots is
        # expected to be free after twice their mean divided by n + 1.
        mean_s = residual_s / n_running if n_running else 0.0
        is_full = n_running >= slots
        self.next_slot_s = 2.0 * mean_s / (n_running + 1) if is_full else 0.0
        self.long_rate = long_rate
        self.long_backlog_s = long_backlog / long_rate if long_rate else 0.0


def capacity_of(group, now):
    """Return the current capacity of a group."""
    return _Capacity(group=group, now=now)


def predict_wait_s(capacity, queued_service_s, *, short, long_tokens_ahead=0):
    """Predict how long a placement waits for a slot.

    Parameters
    ----------
    capacity : _Capacity
        The group's capacity.
    queued_service_s : float
        Predicted service time of all requests that are served earlier.
    short : bool
        Whether the prompt is short.
    long_tokens_ahead : int
        Prompt tokens of long requests that are served earlier.

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


def find_infeasible(group, now):
    """Find pending placements that can no longer complete before their deadline.

    Returns
    -------
    list of (PendingPlacement, float)
        The placements with the predicted time to their completion in seconds.
    """
    capacity = capacity_of(group, now)
    infeasible = []
    queued_s = 0.0
    long_tokens = 0
    for pending in all_in_order(group):
        remaining_s = pending.deadline_at - now
        service_s = pending.service_s
        wait = predict_wait_s(
            capacity, queued_s, short=pending.short, long_tokens_ahead=long_tokens
        )
        least_s = pending.min_service_s
        if capacity.slots:
            least_s += wait / WAITING_TOLERANCE
        if remaining_s > least_s:
            queued_s += service_s
            if not pending.short:
                long_tokens += pending.message.prompt_tokens
        else:
            infeasible.append((pending, wait + service_s))
    return infeasible
