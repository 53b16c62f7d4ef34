"""Limit the rate of one node's calls to the platform's services."""

from dataclasses import dataclass


@dataclass(kw_only=True)
class TokenBucket:
    """A token bucket; ``tokens`` is negative while callers wait for a refill."""

    rate_per_s: float
    burst: float
    tokens: float = 0.0
    refilled_at: float = float("-inf")


def make_bucket(rate_per_s):
    """Build a full bucket that allows a burst of one second of calls, at least one."""
    burst = max(1.0, rate_per_s)
    return TokenBucket(rate_per_s=rate_per_s, burst=burst, tokens=burst)


def take_token(bucket, now, *, max_wait_s):
    """Take a token, or reserve one that will be refilled within ``max_wait_s``.

    Parameters
    ----------
    bucket : TokenBucket
        The bucket, updated in place.
    now : float
        Monotonic time in seconds.
    max_wait_s : float
        Longest time that the caller is willing to wait.

    Returns
    -------
    float or None
        Seconds to wait before the call, or None, without taking a token, if the wait
        would exceed ``max_wait_s``.
    """
    if bucket.refilled_at > float("-inf"):
        refill = max(0.0, now - bucket.refilled_at) * bucket.rate_per_s
        bucket.tokens = min(bucket.burst, bucket.tokens + refill)
    bucket.refilled_at = now
    wait_s = max(0.0, 1.0 - bucket.tokens) / bucket.rate_per_s
    if wait_s > max_wait_s:
        return None
    bucket.tokens -= 1.0
    return wait_s
