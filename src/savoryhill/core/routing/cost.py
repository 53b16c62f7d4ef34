"""Cost model of an endpoint: prefill rate, decode rate against batch size.

The model learns from permits and their observed first tokens and durations
only. Load reports are late or missing at times and are no input.
"""

from savoryhill.core.routing.state import CostModel

PRIOR_WEIGHT = 4.0
DECAY = 0.97
PREFILL_LEARNING_RATE = 0.15
OVERHEAD_LEARNING_RATE = 0.1
START_OVERHEAD_S = 0.01
MAX_OVERHEAD_S = 0.5
MAX_SERVICE_S = 30.0
# Below this the fixed overhead outweighs the prefill time.
MIN_PREFILL_SAMPLE_TOKENS = 2_000
# One observation moves the estimate by at most this factor, so that a stalled
# stream or a clock step does not erase what was learned.
MAX_SAMPLE_FACTOR = 4.0


def new_cost_model(hardware):
    """Build a cost model from the configuration's figures.

    Parameters
    ----------
    hardware : Hardware
        Starting figures.

    Returns
    -------
    CostModel
        A model that predicts the configured rates at every batch size.
    """
    token_s = 1.0 / max(hardware.decode_tokens_per_s, 1e-9)
    sizes = (1.0, float(max(2, hardware.slots)))
    half = PRIOR_WEIGHT / 2
    return CostModel(
        prefill_tokens_per_s=max(hardware.prefill_tokens_per_s, 1e-9),
        overhead_s=START_OVERHEAD_S,
        weight=PRIOR_WEIGHT,
        sum_batch=half * sum(sizes),
        sum_batch_squared=half * sum(size * size for size in sizes),
        sum_s=PRIOR_WEIGHT * token_s,
        sum_batch_s=half * sum(sizes) * token_s,
        decode_base_s=token_s,
    )


def first_token_s(cost, n_tokens):
    """Predict the seconds until ``n_tokens`` of prefill work are done."""
    return cost.overhead_s + n_tokens / cost.prefill_tokens_per_s


def decode_s(cost, n_tokens, batch_size):
    """Predict the seconds for ``n_tokens`` generated in a batch."""
    return n_tokens * (cost.decode_base_s + cost.decode_slope_s * batch_size)


def observe_prefill(cost, n_tokens, seconds):
    """Learn from a first token that came after ``n_tokens`` of prefill work."""
    if seconds <= 0:
        return
    if n_tokens < MIN_PREFILL_SAMPLE_TOKENS:
        seen = seconds - n_tokens / cost.prefill_tokens_per_s
        seen = min(max(seen, 0.0), MAX_OVERHEAD_S)
        cost.overhead_s += OVERHEAD_LEARNING_RATE * (seen - cost.overhead_s)
        return
    work_s = max(seconds - cost.overhead_s, 1e-6)
    factor = n_tokens / work_s / cost.prefill_tokens_per_s
    factor = min(max(factor, 1 / MAX_SAMPLE_FACTOR), MAX_SAMPLE_FACTOR)
    cost.prefill_tokens_per_s *= factor**PREFILL_LEARNING_RATE


def observe_service(cost, seconds):
    """Learn from the duration of a plain service's call."""
    seen = min(max(seconds, 0.0), MAX_SERVICE_S)
    cost.overhead_s += OVERHEAD_LEARNING_RATE * (seen - cost.overhead_s)


def observe_decode(cost, batch_size, seconds_per_token):
    """Learn from the pace of a finished stream."""
    if seconds_per_token <= 0:
        return
    expected = decode_s(cost, 1, batch_size)
    seen = min(
        max(seconds_per_token, expected / MAX_SAMPLE_FACTOR),
        expected * MAX_SAMPLE_FACTOR,
    )
    cost.weight = cost.weight * DECAY + 1.0
    cost.sum_batch = cost.sum_batch * DECAY + batch_size
    cost.sum_batch_squared = cost.sum_batch_squared * DECAY + batch_size * batch_size
    cost.sum_s = cost.sum_s * DECAY + seen
    cost.sum_batch_s = cost.sum_batch_s * DECAY + batch_size * seen
    mean_batch = cost.sum_batch / cost.weight
    mean_s = cost.sum_s / cost.weight
    variance = cost.sum_batch_squared / cost.weight - mean_batch**2
    covariance = cost.sum_batch_s / cost.weight - mean_batch * mean_s
    # A batch size that hardly varies says nothing about the slope.
    slope = covariance / variance if variance > 0.25 else cost.decode_slope_s
    cost.decode_slope_s = min(max(slope, 0.0), 0.9 * mean_s / max(mean_batch, 1.0))
    cost.decode_base_s = mean_s - cost.decode_slope_s * mean_batch


def settle_backlog(account, now):
    """Drain the predicted prefill backlog up to ``now``, short prompts first."""
    elapsed_s = now - account.backlog_at
    if elapsed_s <= 0:
        return
    account.backlog_at = now
    short = account.short_backlog_tokens
    if not short and not account.long_backlog_tokens:
        return
    done = elapsed_s * account.cost.prefill_tokens_per_s
    if done < short:
        account.short_backlog_tokens = short - done
        return
    account.short_backlog_tokens = 0.0
    left = account.long_backlog_tokens - (done - short)
    account.long_backlog_tokens = left if left > 0 else 0.0
