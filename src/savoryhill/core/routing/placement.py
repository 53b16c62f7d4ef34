"""Choose an endpoint for a placement by its predicted time to first token."""

from dataclasses import dataclass
from math import inf

from savoryhill.core.routing import cold_start, cost

SHORT_PRIORITY = 0
LONG_PRIORITY = 1
# Tokens of the shortest hashed prefix: 2,048 bytes at four bytes per token.
FIRST_PREFIX_TOKENS = 512
MAX_PLACED_PREFIXES = 4_096
PLACED_PREFIX_TTL_S = 300.0
# An endpoint whose backlog of long prompts takes longer than this to prefill gets no
# further long prompt.
MAX_LONG_BACKLOG_S = 4.0
# Share of an engine's memory that is reserved for short prompts.
SHORT_MEMORY_SHARE = 0.05
# Weight of the slowdown by a larger decode batch relative to the first-token time.
DECODE_SCORE_WEIGHT = 0.2
# Share of its decode time that a short request loses while a long prompt is being
# prefilled on the same engine.
LONG_PREFILL_SCORE_WEIGHT = 0.5


@dataclass(kw_only=True, slots=True)
class Candidate:
    """An endpoint that can take a placement now, with the predicted times."""

    endpoint: object
    uncached_tokens: int
    ahead_tokens: float
    first_token_s: float
    completion_s: float


def cached_tokens(endpoint, prefix_hashes, prompt_tokens):
    """Return how many leading prompt tokens are probably cached on an endpoint."""
    cached, placed = endpoint.cached_prefixes, endpoint.placed_at_by_prefix
    if not cached and not placed:
        return 0
    for index in range(len(prefix_hashes) - 1, -1, -1):
        prefix_hash = prefix_hashes[index]
        if prefix_hash in cached or prefix_hash in placed:
            return min(FIRST_PREFIX_TOKENS << index, prompt_tokens)
    return 0


def record_placed_prefixes(endpoint, prefix_hashes, now):
    """Record the prefixes of a prompt that was placed on an endpoint."""
    placed = endpoint.placed_at_by_prefix
    for prefix_hash in prefix_hashes:
        placed.pop(prefix_hash, None)
        placed[prefix_hash] = now
    while placed:
        oldest = next(iter(placed))
        is_recent = now - placed[oldest] < PLACED_PREFIX_TTL_S
        if is_recent and len(placed) <= MAX_PLACED_PREFIXES:
            return
        del placed[oldest]


def effective_limit(group, endpoint, *, provisional, withhold_cold):
    """Return how many permits this coordinator may have on the endpoint now."""
    if provisional:
        return endpoint.limit // 2 if endpoint.warm else 0
    if withhold_cold and cold_start.is_cold(endpoint):
        return 0
    return endpoint.limit


def n_occupied_slots(endpoint):
    """Return the number of slots used by permits and by streams without a permit."""
    return len(endpoint.permits_by_key) + len(endpoint.first_listed_at_by_orphan)


def choose_endpoint(
    group, message, *, short, aged, now, remaining_s, provisional, withhold_cold, key
):
    """Choose the endpoint for a placement.

    Parameters
    ----------
    group : GroupState
        The group.
    message : PlaceRequest
        The placement.
    short, aged : bool
        Whether the prompt is short; whether it has waited so long that the limits
        on long prompts no longer apply to it.
    now : float
        Time of the event.
    remaining_s : float
        Time to the deadline; endpoints that would miss it are not considered.
    provisional, withhold_cold : bool
        Limits on what this coordinator may grant, see `grant_limits`.
    key : tuple of (str, int)
        Request and attempt; it may use the endpoints that are reserved for it.

    Returns
    -------
    Candidate or None
        The best endpoint, or None if none can take it now.
    """
    prompt, max_tokens = message.prompt_tokens, message.max_tokens
    needed = prompt + max_tokens
    hashes, avoid = message.prefix_hashes, message.avoid
    reservation = group.reservation
    reserved_ids = (
        () if reservation is None or reservation.key == key else reservation.endpoints
    )
    n_allowed = group.n_long_endpoints
    best, best_score, best_warms_up = None, inf, False
    for position, endpoint in enumerate(group.open_endpoints):
        if not endpoint.ready or (avoid and endpoint.id in avoid):
            continue
        limit = endpoint.limit
        if provisional or withhold_cold:
            limit = effective_limit(
                group, endpoint, provisional=provisional, withhold_cold=withhold_cold
            )
        n_running = len(endpoint.permits_by_key) + len(
            endpoint.first_listed_at_by_orphan
        )
        if n_running >= limit:
            continue
        memory = endpoint.hardware.memory_tokens
        free = memory - endpoint.used_tokens - endpoint.orphan_tokens
        if needed > free:
            continue
        if (
            reserved_ids
            and endpoint.id in reserved_ids
            and (not short or n_running + 1 >= limit)
        ):
            continue
        cost_model = endpoint.cost_model
        prefill_rate = cost_model.prefill_tokens_per_s
        if endpoint.short_backlog_tokens or endpoint.long_backlog_tokens:
            cost.update_backlog(endpoint, now)
        ahead = endpoint.short_backlog_tokens
        if not short:
            if not aged:
                if position >= n_allowed:
                    continue
                if endpoint.long_backlog_tokens > MAX_LONG_BACKLOG_S * prefill_rate:
                    continue
                if endpoint.n_long and (
                    endpoint.n_long >= (limit + 1) // 2
                    or free - needed < SHORT_MEMORY_SHARE * memory
                ):
                    continue
            ahead += endpoint.long_backlog_tokens
        uncached = prompt
        if hashes:
            uncached -= cached_tokens(endpoint, hashes, prompt)
        first_s = cost_model.overhead_s + (ahead + uncached) / prefill_rate
        slope = cost_model.decode_slope_s * max_tokens
        decoding_s = max_tokens * cost_model.decode_base_s + slope * (n_running + 1)
        completion_s = first_s + decoding_s
        if completion_s > remaining_s:
            continue
        # An idle cold endpoint is preferred to any prediction, because only completed
        # requests raise its limit.
        warms_up = not n_running and (
            not endpoint.warm or endpoint.limit < endpoint.hardware.slots
        )
        score = first_s + DECODE_SCORE_WEIGHT * slope * n_running
        if short and endpoint.long_backlog_tokens:
            score += LONG_PREFILL_SCORE_WEIGHT * decoding_s
        # Occupancy breaks ties between equal predictions.
        score += 1e-4 * n_running / limit
        if warms_up < best_warms_up or (
            warms_up == best_warms_up and score >= best_score
        ):
            continue
        best, best_score, best_warms_up = endpoint, score, warms_up
        best_estimate = uncached, ahead, first_s, completion_s
    if best is None:
        return None
    uncached, ahead, first_s, completion_s = best_estimate
    return Candidate(
        endpoint=best,
        uncached_tokens=uncached,
        ahead_tokens=ahead,
        first_token_s=first_s,
        completion_s=completion_s,
    )
