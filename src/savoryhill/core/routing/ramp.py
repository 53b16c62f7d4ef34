"""Cold start: how many permits an endpoint may have.

The limit starts at the endpoint's cold limit, doubles after enough good
completions and drops back at once on any sign of a cold endpoint.
"""

GOOD_COMPLETIONS_PER_SLOT = 2
FIRST_TOKEN_LATE_FACTOR = 5.0
# Shorter delays come from the network and from the engine's step time.
FIRST_TOKEN_LATE_FLOOR_S = 2.0


def cold_limit(account):
    """Return the number of permits that a cold endpoint can handle."""
    return max(1, min(account.hardware.cold_slots, account.hardware.slots))


def is_cold(account):
    """Return whether the endpoint has not proved its full limit yet."""
    return not account.warm or account.limit < account.hardware.slots


def drop(account):
    """Set the limit back to the cold limit; True if that changed it."""
    changed = account.limit > cold_limit(account)
    account.limit = min(account.limit, cold_limit(account))
    account.n_good = 0
    return changed


def count_good(account):
    """Count a good completion and double the limit after enough of them.

    While the endpoint itself says that it is cold, completions count but the
    limit stays: a cold endpoint fails above its cold limit.
    """
    full = account.hardware.slots
    if account.limit >= full:
        return
    account.n_good += 1
    if account.warm and account.n_good >= GOOD_COMPLETIONS_PER_SLOT * account.limit:
        account.limit = min(full, account.limit * 2)
        account.n_good = 0


def on_load(account, incarnation, warm):
    """Apply what a load report says of the incarnation and the warmth.

    Returns
    -------
    str
        ``restarted``, ``cold`` (the endpoint says so of itself) or an empty
        string.
    """
    first_sight = not account.incarnation
    restarted = not first_sight and account.incarnation != incarnation
    was_warm = account.warm
    account.incarnation = incarnation
    account.warm = warm
    if restarted:
        account.limit = cold_limit(account)
        account.n_good = 0
        return "restarted"
    if not warm:
        changed = drop(account) if was_warm else account.limit > cold_limit(account)
        account.limit = min(account.limit, cold_limit(account))
        return "cold" if changed or was_warm else ""
    if first_sight:
        account.limit = account.hardware.slots
    return ""


def is_late(permit, account, waited_s):
    """Return whether a first token is far later than predicted.

    Short prompts granted after a long one run before it, so their prefill time
    is added to the long one's prediction.
    """
    expected_s = permit.predicted_first_token_s
    if not permit.short:
        later = account.short_tokens_granted - permit.short_tokens_at_grant
        expected_s += later / account.cost.prefill_tokens_per_s
    limit_s = max(
        expected_s * FIRST_TOKEN_LATE_FACTOR, expected_s + FIRST_TOKEN_LATE_FLOOR_S
    )
    return waited_s > limit_s
