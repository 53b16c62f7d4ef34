"""What a bench run sends, drawn from a seed before the run starts."""

from dataclasses import dataclass
from math import exp, log
from random import Random

from savoryhill.prompts import BYTES_PER_TOKEN

SHORT_BELOW_TOKENS = 4_000
LONG_FROM_TOKENS = 100_000
# One prompt in fifty is over 100k tokens.
LONG_SHARE = 0.02
MIDDLE_SHARE = 0.12
ORDER_SHARE = 0.05
SHARED_PREFIX_SHARE = 0.3
N_SHARED_PREFIXES = 12


@dataclass(frozen=True, kw_only=True, slots=True)
class Planned:
    """One request of the plan.

    ``at_s`` counts from the beginning of the run. ``prefix`` is the number of a
    shared beginning, -1 if the prompt shares none.
    """

    number: int
    at_s: float
    band: str
    prompt_tokens: int
    max_tokens: int
    kind: str
    prefix: int = -1
    entry: int = 0


def _log_uniform(random, low, high):
    return int(exp(random.uniform(log(low), log(high))))


def _size(random, band):
    if band == "short":
        return random.randint(1_000, SHORT_BELOW_TOKENS - 1)
    if band == "middle":
        return _log_uniform(random, SHORT_BELOW_TOKENS, LONG_FROM_TOKENS)
    return _log_uniform(random, LONG_FROM_TOKENS, 300_000)


def mean_prompt_tokens(*, with_long):
    """Return the mean prompt length of a plan's model requests, in tokens.

    Parameters
    ----------
    with_long : bool
        Whether the plan has middle and long prompts beside the short ones.
    """
    random = Random(0)
    short = sum(_size(random, "short") for _ in range(2_000)) / 2_000
    if not with_long:
        return short
    middle = sum(_size(random, "middle") for _ in range(2_000)) / 2_000
    long = sum(_size(random, "long") for _ in range(2_000)) / 2_000
    short_share = 1 - MIDDLE_SHARE - LONG_SHARE
    return short_share * short + MIDDLE_SHARE * middle + LONG_SHARE * long


def make_plan(*, seed, duration_s, requests_per_s, with_long=True, first_number=0):
    """Draw a plan of Poisson arrivals.

    Parameters
    ----------
    seed : int
        The same seed gives the same plan.
    duration_s : float
        Length of the plan.
    requests_per_s : float
        Model requests a second; orders come on top.
    with_long : bool
        Whether middle and long prompts are sent beside the short ones, which are
        the same either way.
    first_number : int
        Number of the first request.

    Returns
    -------
    list of Planned
        The requests in the order of their times.
    """
    random = Random(seed)
    plan = []
    at_s = random.expovariate(requests_per_s)
    while at_s < duration_s:
        draw = random.random()
        band = "short"
        if draw < LONG_SHARE:
            band = "long"
        elif draw < LONG_SHARE + MIDDLE_SHARE:
            band = "middle"
        is_order = random.random() < ORDER_SHARE
        prompt_tokens = _size(random, band)
        shares = random.random() < SHARED_PREFIX_SHARE
        prefix = random.randrange(N_SHARED_PREFIXES) if shares else -1
        entry = random.randrange(1 << 30)
        max_tokens = random.randint(4, 16)
        if band == "short" or with_long:
            plan.append(
                Planned(
                    number=first_number + len(plan),
                    at_s=at_s,
                    band="order" if is_order and band == "short" else band,
                    prompt_tokens=prompt_tokens,
                    max_tokens=max_tokens,
                    kind="completion",
                    prefix=prefix,
                    entry=entry,
                )
            )
        at_s += random.expovariate(requests_per_s)
    return plan


def prompt_text(planned, *, seed):
    """Return the prompt of a planned request.

    The first half of a prompt with a shared beginning is the same for all
    prompts with that beginning, as far as both are long enough.
    """
    n_bytes = planned.prompt_tokens * BYTES_PER_TOKEN
    own = f"request {seed} {planned.number} "
    if planned.prefix < 0:
        return (own * (n_bytes // len(own) + 1))[:n_bytes]
    shared = f"shared {planned.prefix} "
    n_shared = n_bytes // 2
    head = (shared * (n_shared // len(shared) + 1))[:n_shared]
    n_own = n_bytes - n_shared
    return head + (own * (n_own // len(own) + 1))[:n_own]
