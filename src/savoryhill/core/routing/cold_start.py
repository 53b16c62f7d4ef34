"""Cold start: limit the number of permits on an endpoint until it is warm.

The limit starts at the endpoint's cold limit, doubles after enough successful
completions, and returns to the cold limit at once on any sign of a cold endpoint.
"""

SUCCESSES_PER_SLOT = 2
FIRST_TOKEN_LATE_FACTOR = 5.0
# Shorter delays are caused by the network and by the engine's step time.
MIN_FIRST_TOKEN_DELAY_S = 2.0


def cold_limit(endpoint):
    """Return the number of permits that the endpoint can handle while cold."""
    return max(1, min(endpoint.hardware.cold_slots, endpoint.hardware.slots))


def is_cold(endpoint):
    """Return whether the endpoint is cold or has not reached its full limit yet."""
    return not endpoint.warm or endpoint.limit < endpoint.hardware.slots


def reset_to_cold_limit(endpoint):
    """Lower the limit to the cold limit; return whether that changed it."""
    is_lowered = endpoint.limit > cold_limit(endpoint)
    endpoint.limit = min(endpoint.limit, cold_limit(endpoint))
    endpoint.n_successes = 0
    return is_lowered


def count_success(endpoint):
    """Count a successful completion and double the limit after enough of them.

    While the endpoint reports that it is cold, completions are counted but the limit
    stays, because a cold endpoint fails above its cold limit.
    """
    full_limit = endpoint.hardware.slots
    if endpoint.limit >= full_limit:
        return
    endpoint.n_successes += 1
    if endpoint.warm and endpoint.n_successes >= SUCCESSES_PER_SLOT * endpoint.limit:
        endpoint.limit = min(full_limit, endpoint.limit * 2)
        endpoint.n_successes = 0


def apply_load_report(endpoint, incarnation, warm):
    """Update the limit from the incarnation and warm state in a load report.

    Returns
    -------
    str
        ``restarted``, ``cold`` (the endpoint reports that it is cold) or an empty
        string if neither is new.
    """
    is_first_report = not endpoint.incarnation
    is_restarted = not is_first_report and endpoint.incarnation != incarnation
    was_warm = endpoint.warm
    endpoint.incarnation = incarnation
    endpoint.warm = warm
    if is_restarted:
        endpoint.limit = cold_limit(endpoint)
        endpoint.n_successes = 0
        return "restarted"
    if not warm:
        is_lowered = (
            reset_to_cold_limit(endpoint)
            if was_warm
            else endpoint.limit > cold_limit(endpoint)
        )
        endpoint.limit = min(endpoint.limit, cold_limit(endpoint))
        return "cold" if is_lowered or was_warm else ""
    if is_first_report:
        endpoint.limit = endpoint.hardware.slots
    return ""


def is_first_token_late(permit, endpoint, waited_s):
    """Return whether a first token is far later than predicted.

    Short prompts granted after a long one are prefilled before it, so their prefill
    time is added to the prediction of the long one.
    """
    expected_s = permit.predicted_first_token_s
    if not permit.short:
        overtaking_tokens = endpoint.short_tokens_granted - permit.short_tokens_at_grant
        expected_s += overtaking_tokens / endpoint.cost_model.prefill_tokens_per_s
    limit_s = max(
        expected_s * FIRST_TOKEN_LATE_FACTOR, expected_s + MIN_FIRST_TOKEN_DELAY_S
    )
    return waited_s > limit_s
