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
# Quiet time at the end, in which everything must be served again.
QUIET_S = 8.0


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
    kinds = (
        *PROCESS_FAULTS,
        *(f"store_link_{kind}" for kind in LINK_FAULTS),
        *(f"endpoint_link_{kind}" for kind in LINK_FAULTS),
        *STORE_FAULTS,
        *HISTORY_FAULTS,
        *(f"endpoint_{kind}" for kind in ENDPOINT_FAULTS),
        *CHANGES,
    )
    faults = []
    at_s = 1.0
    while True:
        at_s += random.expovariate(1.0 / MEAN_GAP_S)
        if at_s >= length_s - QUIET_S:
            return tuple(faults)
        kind = random.choice(kinds)
        for n in range(random.choice((1, 1, 2, 3))):
            fault = Fault(
                at_s=at_s + 0.3 * n,
                kind=kind,
                target=random.randrange(1_000),
                length_s=min(
                    random.uniform(0.2, MAX_LENGTH_S), length_s - QUIET_S - at_s
                ),
            )
            faults.append(fault)
