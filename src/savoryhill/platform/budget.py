"""Limit the calls of one node to the platform's services."""

from dataclasses import dataclass


@dataclass(kw_only=True)
class TokenBucket:
    """Tokens for calls; ``tokens`` may be negative while calls wait."""

    rate_per_s: float
    burst: float
    tokens: float = 0.0
    refilled_at: float = float("-inf")


def make_bucket(rate_per_s):
    """Build a full bucket that holds the calls of one second, at least one."""
    burst = max(1.0, rate_per_s)
    return TokenBucket(rate_per_s=rate_per_s, burst=burst, tokens=burst)


def take_token(bucket, now, *, max_wait_s):
    """Take a token, if necessary from the near future.

    Parameters
    ----------
    bucket : TokenBucket
        Where to take it.
    now : float
        Time in seconds.
    max_wait_s : float
        Longest acceptable wait.

    Returns
    -------
    float or None
        Seconds to wait before the call, or None if the wait would be too long;
        then no token is taken.
    """
    if bucket.refilled_at > float("-inf"):
        gained = max(0.0, now - bucket.refilled_at) * bucket.rate_per_s
        bucket.tokens = min(bucket.burst, bucket.tokens + gained)
    bucket.refilled_at = now
    wait_s = max(0.0, 1.0 - bucket.tokens) / bucket.rate_per_s
    if wait_s > max_wait_s:
        return None
    bucket.tokens -= 1.0
    return wait_s
