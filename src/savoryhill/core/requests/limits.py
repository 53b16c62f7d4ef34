"""Retry budget, waits, and limits on silence."""

from savoryhill.core.effects import Observe

MAX_TRIES = 3
MAX_REFUSED = 8
RETRY_TOKENS_PER_REQUEST = 0.1
# Enough for every stream that one node has on a failed engine of 16 slots.
MAX_RETRY_TOKENS = 20.0

FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 1.0

# A slower first token is not silence while the prediction could be wrong by this
# factor: other prompts may be prefilled before it.
FIRST_TOKEN_FACTOR = 8.0
MIN_FIRST_TOKEN_LIMIT_S = 10.0
# Short prompts go before long ones in an engine, and a stream that is resumed where
# it broke has been prefilled there, so a longer silence means a dead engine.
MIN_SHORT_FIRST_TOKEN_LIMIT_S = 1.5
# 50 times the usual gap of 74 ms or less is beyond any batch step.
GAP_FACTOR = 50.0
MIN_GAP_LIMIT_S = 3.0
MAX_GAP_LIMIT_S = 10.0

# (upper bound in prompt tokens, label)
BANDS = (
    (4_000, "under_4k"),
    (32_000, "4k_to_32k"),
    (100_000, "32k_to_100k"),
)
LAST_BAND = "over_100k"


def prompt_band(prompt_tokens):
    """Return the label of a prompt's length band."""
    for upper, label in BANDS:
        if prompt_tokens < upper:
            return label
    return LAST_BAND


def earn_retry_tokens(state):
    """Add an admitted request's share to the node's retry budget."""
    budget = state.requests.retry_tokens + RETRY_TOKENS_PER_REQUEST
    state.requests.retry_tokens = min(MAX_RETRY_TOKENS, budget)


def take_retry_token(state):
    """Tell whether the node's retry budget allows one more, and take it."""
    if state.requests.retry_tokens < 1.0:
        return False
    state.requests.retry_tokens -= 1.0
    return True


def count_retry(reason):
    """Build the effect that counts a retry."""
    return Observe(metric="retries", value=1.0, labels=(("reason", reason),))


def pause_s(state, n_earlier):
    """Return a wait with jitter that doubles with every earlier one."""
    longest = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**n_earlier)
    return longest * state.random.uniform(0.5, 1.0)


def unloaded_first_token_s(state, request):
    """Return the time to first token on an idle endpoint, in seconds."""
    endpoint = state.active.endpoints_by_id.get(request.endpoint)
    hardware = endpoint and state.active.hardware_by_name.get(endpoint.hardware)
    if not hardware:
        return 0.0
    tokens = request.spec.prompt_tokens + request.n_emitted
    return tokens / hardware.prefill_tokens_per_s


def first_token_limit_s(state, request):
    """Return how long an attempt may be silent before its first content.

    Without a retry token a silent attempt is not given up early, because it could
    not be repeated.
    """
    predicted = unloaded_first_token_s(state, request)
    short = request.spec.prompt_tokens < state.active.policy.short_prompt_tokens
    quick = (short or request.resumed_here) and state.requests.retry_tokens >= 1.0
    if quick:
        limit = MIN_SHORT_FIRST_TOKEN_LIMIT_S
        if not request.resumed_here:
            limit = max(limit, FIRST_TOKEN_FACTOR * predicted)
    else:
        limit = max(MIN_FIRST_TOKEN_LIMIT_S, FIRST_TOKEN_FACTOR * predicted)
    return min(limit, max(0.0, request.spec.deadline_at - state.now))


def gap_limit_s(state, request):
    """Return how long a started stream may be silent."""
    endpoint = state.active.endpoints_by_id.get(request.endpoint)
    hardware = endpoint and state.active.hardware_by_name.get(endpoint.hardware)
    usual = 1.0 / hardware.decode_tokens_per_s if hardware else 0.0
    return min(MAX_GAP_LIMIT_S, max(MIN_GAP_LIMIT_S, GAP_FACTOR * usual))
