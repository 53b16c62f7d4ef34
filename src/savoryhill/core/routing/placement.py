"""Choose an endpoint for a placement by predicted time to first token."""

from dataclasses import dataclass
from math import inf

from savoryhill.core.routing import cost, ramp

SHORT_PRIORITY = 0
LONG_PRIORITY = 1
# Tokens of the shortest prefix that is hashed (2,048 bytes of four bytes each).
FIRST_PREFIX_TOKENS = 512
N_PLACED_PREFIXES = 4_096
PLACED_PREFIX_LIFE_S = 300.0
# Prefill time of long prompts that may wait on one engine before another long
# prompt is placed there.
LONG_BACKLOG_S = 4.0
# Long prompts leave this share of an engine's memory to short ones.
SHORT_MEMORY_SHARE = 0.05
# How strongly a slower decode batch counts beside the first token.
DECODE_SCORE_WEIGHT = 0.2
# Share of its decode time that a short request loses beside a long prefill.
LONG_PREFILL_SCORE = 0.5


@dataclass(kw_only=True, slots=True)
class Candidate:
    """An endpoint that can take a placement now."""

    account: object
    uncached_tokens: int
    ahead_tokens: float
    first_token_s: float
    completion_s: float


def cached_tokens(account, prefix_hashes, prompt_tokens):
    """Return how many leading prompt tokens an endpoint has probably cached."""
    cached, placed = account.cached_prefixes, account.placed_prefixes
    if not cached and not placed:
        return 0
    for index in range(len(prefix_hashes) - 1, -1, -1):
        each = prefix_hashes[index]
        if each in cached or each in placed:
            return min(FIRST_PREFIX_TOKENS << index, prompt_tokens)
    return 0


def note_placed(account, prefix_hashes, now):
    """Remember the prefixes of a prompt placed on an endpoint."""
    placed = account.placed_prefixes
    for each in prefix_hashes:
        placed.pop(each, None)
        placed[each] = now
    while placed:
        oldest = next(iter(placed))
        young = now - placed[oldest] < PLACED_PREFIX_LIFE_S
        if young and len(placed) <= N_PLACED_PREFIXES:
            return
        del placed[oldest]


def effective_limit(group, account, *, provisional, cold_hold):
    """Return how many permits the endpoint may have now."""
    if provisional:
        return account.limit // 2 if account.warm else 0
    if cold_hold and ramp.is_cold(account):
        return 0
    return account.limit


def n_occupied(account):
    """Return the slots taken by permits and by streams without one."""
    return len(account.permits_by_key) + len(account.first_listed_by_orphan)


def choose(
    group, message, *, short, aged, now, remaining_s, provisional, cold_hold, key
):
    """Choose the endpoint for a placement.

    Parameters
    ----------
    group : GroupState
        The group.
    message : PlaceRequest
        The placement.
    short, aged : bool
        Whether the prompt is short; whether it has waited long enough that the
        boundary and the cap for long prompts do not apply.
    now : float
        Time of the event.
    remaining_s : float
        Time to the deadline; endpoints that miss it are left out.
    provisional, cold_hold : bool
        Limits on what this coordinator may grant.
    key : tuple of (str, int)
        Request and attempt, for endpoints held for it.

    Returns
    -------
    Candidate or None
        The best endpoint, or None if none can take it now.
    """
    prompt, max_tokens = message.prompt_tokens, message.max_tokens
    needed = prompt + max_tokens
    hashes, avoid = message.prefix_hashes, message.avoid
    held = group.hold
    held_ids = () if held is None or held.key == key else held.endpoints
    n_allowed = group.n_long_endpoints
    best, best_score, best_warms = None, inf, False
    for position, account in enumerate(group.open_accounts):
        if not account.ready or (avoid and account.id in avoid):
            continue
        limit = account.limit
        if provisional or cold_hold:
            limit = effective_limit(
                group, account, provisional=provisional, cold_hold=cold_hold
            )
        n_running = len(account.permits_by_key) + len(account.first_listed_by_orphan)
        if n_running >= limit:
            continue
        memory = account.hardware.memory_tokens
        free = memory - account.used_tokens - account.orphan_tokens
        if needed > free:
            continue
        if (
            held_ids
            and account.id in held_ids
            and (not short or n_running + 1 >= limit)
        ):
            continue
        model = account.cost
        rate = model.prefill_tokens_per_s
        if account.short_backlog_tokens or account.long_backlog_tokens:
            cost.settle_backlog(account, now)
        ahead = account.short_backlog_tokens
        if not short:
            if not aged:
                if position >= n_allowed:
                    continue
                if account.long_backlog_tokens > LONG_BACKLOG_S * rate:
                    continue
                if account.n_long and (
                    account.n_long >= (limit + 1) // 2
                    or free - needed < SHORT_MEMORY_SHARE * memory
                ):
                    continue
            ahead += account.long_backlog_tokens
        uncached = prompt
        if hashes:
            uncached -= cached_tokens(account, hashes, prompt)
        first_s = model.overhead_s + (ahead + uncached) / rate
        slope = model.decode_slope_s * max_tokens
        decoding_s = max_tokens * model.decode_base_s + slope * (n_running + 1)
        completion_s = first_s + decoding_s
        if completion_s > remaining_s:
            continue
        # A cold endpoint gets one request at a time whatever its prediction,
        # because only completed work lets its limit grow.
        warms = not n_running and (
            not account.warm or account.limit < account.hardware.slots
        )
        score = first_s + DECODE_SCORE_WEIGHT * slope * n_running
        if short and account.long_backlog_tokens:
            score += LONG_PREFILL_SCORE * decoding_s
        # Equal predictions are told apart by occupancy.
        score += 1e-4 * n_running / limit
        if warms < best_warms or (warms == best_warms and score >= best_score):
            continue
        best, best_score, best_warms = account, score, warms
        best_numbers = uncached, ahead, first_s, completion_s
    if best is None:
        return None
    uncached, ahead, first_s, completion_s = best_numbers
    return Candidate(
        account=best,
        uncached_tokens=uncached,
        ahead_tokens=ahead,
        first_token_s=first_s,
        completion_s=completion_s,
    )
