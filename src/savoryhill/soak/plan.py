"""A seeded schedule of faults and changes."""

from dataclasses import dataclass
from random import Random

# Faults on a node's process, on its link to the store, on the links to an endpoint,
# on the store itself, and changes by the operator and the endpoints.
PROCESS_FAULTS = ("kill", "pause", "term", "reload")
LINK_FAULTS = ("delay", "reset", "silence", "cut_up", "cut_down")
STORE_FAULTS = ("store_silent", "store_busy", "store_reset", "store_lost", "store_slow")
HISTORY_FAULTS = ("store_forgets", "store_lapses")
ENDPOINT_FAULTS = ("cut", "failing", "full", "silent", "truncated", "foreign", "extra")
CHANGES = ("revoke", "drain", "evacuate", "configure")
MEAN_GAP_S = 0.8
MAX_LENGTH_S = 4.0
# Share of the soak in which everything is disturbed; in the rest only operators and
# endpoints act, so that the bounds for calm times can be checked.
DISTURBED_SHARE = 0.5
# Time for the last disturbance to end.
PAUSE_S = 4.0
ENDPOINT_GAP_S = 0.4
CHANGE_GAP_S = 1.0
# Time at the end in which everything must be served again.
QUIET_S = 6.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One entry of the plan; ``target`` is an index into what the kind applies to."""

    at_s: float
    kind: str
    target: int
    length_s: float


def make_plan(seed, *, length_s):
    """Make a plan in which faults come in series and overlap.

    Parameters
    ----------
    seed : int
        Seed; the same one gives the same plan.
    length_s : float
        Length of the soak, in seconds, with the quiet time at its end.

    Returns
    -------
    tuple of Fault
        In the order of their times.
    """
    random = Random(seed)
    disturbed_until = DISTURBED_SHARE * (length_s - QUIET_S)
    faults = [
        *_disturbed(random, disturbed_until),
        *_calm(random, disturbed_until + PAUSE_S, length_s - QUIET_S),
    ]
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _disturbed(random, until):
    """Yield faults of all kinds, in series and overlapping."""
    kinds = (
        *PROCESS_FAULTS,
        *(f"store_link_{kind}" for kind in LINK_FAULTS),
        *(f"endpoint_link_{kind}" for kind in LINK_FAULTS),
        *STORE_FAULTS,
        *HISTORY_FAULTS,
        *(f"endpoint_{kind}" for kind in ENDPOINT_FAULTS),
        *CHANGES,
    )
    at_s = 1.0
    while True:
        at_s += random.expovariate(1.0 / MEAN_GAP_S)
        if at_s >= until:
            return
        kind = random.choice(kinds)
        for n in range(random.choice((1, 1, 2, 3))):
            length_s = random.uniform(0.2, MAX_LENGTH_S)
            yield Fault(
                at_s=at_s + 0.3 * n,
                kind=kind,
                target=random.randrange(1_000),
                length_s=min(length_s, until - at_s),
            )


def _calm(random, start, until):
    """Yield changes by operators, and faults of endpoints on single requests."""
    endpoint_kinds = [f"endpoint_{kind}" for kind in ENDPOINT_FAULTS]
    series = ((ENDPOINT_GAP_S, endpoint_kinds), (CHANGE_GAP_S, CHANGES))
    for gap_s, kinds in series:
        at_s = start
        while at_s < until:
            yield Fault(
                at_s=at_s,
                kind=random.choice(kinds),
                target=random.randrange(1_000),
                length_s=0.5,
            )
            at_s += random.expovariate(1.0 / gap_s)
