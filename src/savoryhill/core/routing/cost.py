"""Cost model of an endpoint: prefill rate, and decode rate by batch size.

The model learns only from permits and their observed first tokens and durations.
Load reports are not used, because they may be late or missing.
"""

from savoryhill.core.routing.state import CostModel

PRIOR_WEIGHT = 4.0
SAMPLE_DECAY = 0.97
PREFILL_LEARNING_RATE = 0.15
OVERHEAD_LEARNING_RATE = 0.1
INITIAL_OVERHEAD_S = 0.01
MAX_OVERHEAD_S = 0.5
MAX_SERVICE_S = 30.0
# Smaller samples update the overhead and not the rate, because the fixed overhead
# exceeds their prefill time.
MIN_PREFILL_SAMPLE_TOKENS = 2_000
# An observation counts as at most this factor away from the estimate, so that one
# stalled stream or clock step does not invalidate it.
MAX_SAMPLE_FACTOR = 4.0


def new_cost_model(hardware):
    """Build a cost model from the rates in the configuration.

    Parameters
    ----------
    hardware : Hardware
        Configured rates and slots.

    Returns
    -------
    CostModel
        A model that predicts the configured rates for every batch size.
    """
    token_s = 1.0 / max(hardware.decode_tokens_per_s, 1e-9)
    sizes = (1.0, float(max(2, hardware.slots)))
    half_weight = PRIOR_WEIGHT / 2
    return CostModel(
        prefill_tokens_per_s=max(hardware.prefill_tokens_per_s, 1e-9),
        overhead_s=INITIAL_OVERHEAD_S,
        weight=PRIOR_WEIGHT,
        sum_batch=half_weight * sum(sizes),
        sum_batch_squared=half_weight * sum(size * size for size in sizes),
        sum_s=PRIOR_WEIGHT * token_s,
        sum_batch_s=half_weight * sum(sizes) * token_s,
        decode_base_s=token_s,
    )


def first_token_s(cost_model, n_tokens):
    """Predict the seconds that ``n_tokens`` of prefill work take."""
    return cost_model.overhead_s + n_tokens / cost_model.prefill_tokens_per_s


def decode_s(cost_model, n_tokens, batch_size):
    """Predict the seconds that generating ``n_tokens`` in a batch takes."""
    return n_tokens * (
        cost_model.decode_base_s + cost_model.decode_slope_s * batch_size
    )


def observe_prefill(cost_model, n_tokens, seconds):
    """Update the model from a first token after ``n_tokens`` of prefill work."""
    if seconds <= 0:
        return
    if n_tokens < MIN_PREFILL_SAMPLE_TOKENS:
        observed_s = seconds - n_tokens / cost_model.prefill_tokens_per_s
        observed_s = min(max(observed_s, 0.0), MAX_OVERHEAD_S)
        cost_model.overhead_s += OVERHEAD_LEARNING_RATE * (
            observed_s - cost_model.overhead_s
        )
        return
    work_s = max(seconds - cost_model.overhead_s, 1e-6)
    factor = n_tokens / work_s / cost_model.prefill_tokens_per_s
    factor = min(max(factor, 1 / MAX_SAMPLE_FACTOR), MAX_SAMPLE_FACTOR)
    cost_model.prefill_tokens_per_s *= factor**PREFILL_LEARNING_RATE


def observe_service(cost_model, seconds):
    """Update the model from the duration of a call to a plain service."""
    observed_s = min(max(seconds, 0.0), MAX_SERVICE_S)
    cost_model.overhead_s += OVERHEAD_LEARNING_RATE * (
        observed_s - cost_model.overhead_s
    )


def observe_decode(cost_model, batch_size, seconds_per_token):
    """Update the model from the mean time per token of a finished stream."""
    if seconds_per_token <= 0:
        return
    expected = decode_s(cost_model, 1, batch_size)
    observed_s = min(
        max(seconds_per_token, expected / MAX_SAMPLE_FACTOR),
        expected * MAX_SAMPLE_FACTOR,
    )
    cost_model.weight = cost_model.weight * SAMPLE_DECAY + 1.0
    cost_model.sum_batch = cost_model.sum_batch * SAMPLE_DECAY + batch_size
    cost_model.sum_batch_squared = (
        cost_model.sum_batch_squared * SAMPLE_DECAY + batch_size * batch_size
    )
    cost_model.sum_s = cost_model.sum_s * SAMPLE_DECAY + observed_s
    cost_model.sum_batch_s = (
        cost_model.sum_batch_s * SAMPLE_DECAY + batch_size * observed_s
    )
    mean_batch = cost_model.sum_batch / cost_model.weight
    mean_s = cost_model.sum_s / cost_model.weight
    variance = cost_model.sum_batch_squared / cost_model.weight - mean_batch**2
    covariance = cost_model.sum_batch_s / cost_model.weight - mean_batch * mean_s
    # The slope cannot be estimated while the batch size hardly varies.
    slope = covariance / variance if variance > 0.25 else cost_model.decode_slope_s
    cost_model.decode_slope_s = min(
        max(slope, 0.0), 0.9 * mean_s / max(mean_batch, 1.0)
    )
    cost_model.decode_base_s = mean_s - cost_model.decode_slope_s * mean_batch


def update_backlog(endpoint, now):
    """Subtract prefill work predicted to be done by ``now``, short prompts first."""
    elapsed_s = now - endpoint.backlog_updated_at
    if elapsed_s <= 0:
        return
    endpoint.backlog_updated_at = now
    short_tokens = endpoint.short_backlog_tokens
    if not short_tokens and not endpoint.long_backlog_tokens:
        return
    done_tokens = elapsed_s * endpoint.cost_model.prefill_tokens_per_s
    if done_tokens < short_tokens:
        endpoint.short_backlog_tokens = short_tokens - done_tokens
        return
    endpoint.short_backlog_tokens = 0.0
    long_tokens = endpoint.long_backlog_tokens - (done_tokens - short_tokens)
    endpoint.long_backlog_tokens = long_tokens if long_tokens > 0 else 0.0
