"""Plans of the requests that a benchmark run sends, drawn from a seed."""

from dataclasses import dataclass
from math import exp, log
from random import Random

from savoryhill.prompts import BYTES_PER_TOKEN

SHORT_BELOW_TOKENS = 4_000
LONG_FROM_TOKENS = 100_000
# One prompt in fifty has more than 100k tokens.
LONG_SHARE = 0.02
MIDDLE_SHARE = 0.12
ORDER_SHARE = 0.05
SHARED_PREFIX_SHARE = 0.3
N_SHARED_PREFIXES = 12


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedRequest:
    """One request of a plan.

    ``at_s`` is the time to send it, from the start of the run. ``prefix`` is the number
    of its shared prefix, -1 if it has none. ``entry`` modulo the number of nodes
    selects the entry node.
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


def _draw_prompt_tokens(random, band):
    if band == "short":
        return random.randint(1_000, SHORT_BELOW_TOKENS - 1)
    if band == "middle":
        return _log_uniform(random, SHORT_BELOW_TOKENS, LONG_FROM_TOKENS)
    return _log_uniform(random, LONG_FROM_TOKENS, 300_000)


def mean_prompt_tokens(*, with_long):
    """Estimate the mean prompt length of a plan's model requests, in tokens.

    Parameters
    ----------
    with_long : bool
        Whether the plan has middle and long prompts in addition to short ones.
    """
    random = Random(0)
    short = sum(_draw_prompt_tokens(random, "short") for _ in range(2_000)) / 2_000
    if not with_long:
        return short
    middle = sum(_draw_prompt_tokens(random, "middle") for _ in range(2_000)) / 2_000
    long = sum(_draw_prompt_tokens(random, "long") for _ in range(2_000)) / 2_000
    short_share = 1 - MIDDLE_SHARE - LONG_SHARE
    return short_share * short + MIDDLE_SHARE * middle + LONG_SHARE * long


def make_plan(*, seed, duration_s, requests_per_s, with_long=True, first_number=0):
    """Draw a plan of Poisson arrivals.

    Parameters
    ----------
    seed : int
        Seed of all random numbers; the same seed gives the same plan.
    duration_s : float
        Length of the plan.
    requests_per_s : float
        Arrivals a second if ``with_long`` is true; a share of the short ones is sent
        as orders.
    with_long : bool
        Whether middle and long prompts are sent in addition to the short ones, which
        are the same in both cases.
    first_number : int
        Number of the first request.

    Returns
    -------
    list of PlannedRequest
        The requests in the order of their send times.
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
        prompt_tokens = _draw_prompt_tokens(random, band)
        has_shared_prefix = random.random() < SHARED_PREFIX_SHARE
        prefix = random.randrange(N_SHARED_PREFIXES) if has_shared_prefix else -1
        entry = random.randrange(1 << 30)
        max_tokens = random.randint(4, 16)
        if band == "short" or with_long:
            plan.append(
                PlannedRequest(
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

    The first half of a prompt with a shared prefix consists of that prefix; two such
    prompts begin alike for the length of the shorter half.
    """
    n_bytes = planned.prompt_tokens * BYTES_PER_TOKEN
    unique_text = f"request {seed} {planned.number} "
    if planned.prefix < 0:
        return (unique_text * (n_bytes // len(unique_text) + 1))[:n_bytes]
    shared_text = f"shared {planned.prefix} "
    n_shared = n_bytes // 2
    head = (shared_text * (n_shared // len(shared_text) + 1))[:n_shared]
    n_unique = n_bytes - n_shared
    return head + (unique_text * (n_unique // len(unique_text) + 1))[:n_unique]
