"""Retry budget, backoff and time limits for silent attempts."""

from savoryhill.core.effects import Observe

MAX_ATTEMPTS = 3
MAX_REFUSED_ATTEMPTS = 8
RETRY_TOKENS_PER_REQUEST = 0.1
# Covers every stream that a node may have on one failed engine with 16 slots.
MAX_RETRY_TOKENS = 20.0

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0

# The endpoint may prefill other prompts first, so the first token can take this many
# times the prediction for an idle endpoint before the attempt counts as silent.
FIRST_TOKEN_FACTOR = 8.0
MIN_FIRST_TOKEN_LIMIT_S = 10.0
# Engines schedule short prompts before long ones, and a stream that is resumed on the
# same endpoint has been prefilled there already, so a longer silence means that the
# engine is dead.
MIN_SHORT_FIRST_TOKEN_LIMIT_S = 1.5
# The usual gap between tokens is at most 74 ms; no batch step takes 50 times as long.
GAP_FACTOR = 50.0
MIN_GAP_LIMIT_S = 3.0
MAX_GAP_LIMIT_S = 10.0

# (upper bound in prompt tokens, label)
PROMPT_BANDS = (
    (4_000, "under_4k"),
    (32_000, "4k_to_32k"),
    (100_000, "32k_to_100k"),
)
LONGEST_PROMPT_BAND = "over_100k"


def prompt_band(prompt_tokens):
    """Return the metric label of a prompt's length band."""
    for upper, label in PROMPT_BANDS:
        if prompt_tokens < upper:
            return label
    return LONGEST_PROMPT_BAND


def add_retry_tokens(state):
    """Credit the node's retry budget for an admitted request."""
    tokens = state.requests.retry_tokens + RETRY_TOKENS_PER_REQUEST
    state.requests.retry_tokens = min(MAX_RETRY_TOKENS, tokens)


def take_retry_token(state):
    """Take a token from the node's retry budget; return False if none is left."""
    if state.requests.retry_tokens < 1.0:
        return False
    state.requests.retry_tokens -= 1.0
    return True


def count_retry(reason):
    """Build the effect that counts a retry."""
    return Observe(metric="retries", value=1.0, labels=(("reason", reason),))


def backoff_s(state, n_earlier_backoffs):
    """Return an exponential backoff with jitter, in seconds."""
    ceiling_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**n_earlier_backoffs)
    return ceiling_s * state.random.uniform(0.5, 1.0)


def unloaded_first_token_s(state, request):
    """Predict the time to first token on an idle endpoint, in seconds.

    The prediction is 0.0 while the endpoint or its hardware is not configured.
    """
    endpoint = state.active.endpoints_by_id.get(request.endpoint)
    hardware = endpoint and state.active.hardware_by_name.get(endpoint.hardware)
    if not hardware:
        return 0.0
    n_tokens = request.spec.prompt_tokens + request.n_emitted
    return n_tokens / hardware.prefill_tokens_per_s


def first_token_limit_s(state, request):
    """Return the time limit for the first content of an attempt, in seconds.

    Without a retry token the short limits do not apply, because an attempt that is
    ended early could not be retried.
    """
    predicted_s = unloaded_first_token_s(state, request)
    is_short = request.spec.prompt_tokens < state.active.policy.short_prompt_tokens
    use_short_limit = (
        is_short or request.resumed_in_place
    ) and state.requests.retry_tokens >= 1.0
    if use_short_limit:
        limit = MIN_SHORT_FIRST_TOKEN_LIMIT_S
        if not request.resumed_in_place:
            limit = max(limit, FIRST_TOKEN_FACTOR * predicted_s)
    else:
        limit = max(MIN_FIRST_TOKEN_LIMIT_S, FIRST_TOKEN_FACTOR * predicted_s)
    return min(limit, max(0.0, request.spec.deadline_at - state.now))


def gap_limit_s(state, request):
    """Return the longest gap allowed in a started stream, in seconds."""
    endpoint = state.active.endpoints_by_id.get(request.endpoint)
    hardware = endpoint and state.active.hardware_by_name.get(endpoint.hardware)
    usual_gap_s = 1.0 / hardware.decode_tokens_per_s if hardware else 0.0
    return min(MAX_GAP_LIMIT_S, max(MIN_GAP_LIMIT_S, GAP_FACTOR * usual_gap_s))
