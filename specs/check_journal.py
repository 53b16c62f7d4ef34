"""Check the journal model in all scenarios and refute its mutations.

Run ``python specs/check_journal.py`` to print the state counts and times of all
scenarios. The tests check only the small scenarios.
"""

import sys
import time

from journal_model import INITIAL, INVARIANTS, NO_FAULTS, State, transitions
from minicheck import Protocol, check_safety

# Small scenarios, which the tests check.
SCENARIOS = {
    "no fault": NO_FAULTS,
    "a lost response": NO_FAULTS._replace(lost_responses=1),
    "a crash": NO_FAULTS._replace(crashes=1),
    "a fold": NO_FAULTS._replace(folds=1),
    "an outage": NO_FAULTS._replace(outages=1),
}
# Scenarios that are checked only by running this file.
LARGE_SCENARIOS = {
    "a late write and a fold": NO_FAULTS._replace(
        lost_responses=1, folds=1, max_in_flight=2
    ),
    "a late write and a crash": NO_FAULTS._replace(
        lost_responses=1, crashes=1, max_in_flight=2
    ),
    "a late write and an outage": NO_FAULTS._replace(
        lost_responses=1, outages=1, max_in_flight=2
    ),
    "a reservation at two writers and a fold": NO_FAULTS._replace(
        repeated_reservations=1, folds=1, max_in_flight=2
    ),
    "a crash and a fold": NO_FAULTS._replace(crashes=1, folds=1),
    "three attempts and a crash": NO_FAULTS._replace(attempts=3, crashes=1),
}

ONE_FOLD = NO_FAULTS._replace(folds=1, max_in_flight=2)
# For each mutation, which removes a rule: the violated property and the scenario.
MUTATIONS = {
    "a taken position is overwritten": ("runs at most once", ONE_FOLD),
    "a folded position is created again": ("runs at most once", ONE_FOLD),
    "an unknown call is sent again": ("runs at most once", NO_FAULTS),
    "a lookup that finds nothing frees the key": ("runs at most once", NO_FAULTS),
    "a broken call counts as not run": (
        "a call reported as not run did not run",
        NO_FAULTS,
    ),
    "a fold deletes batches it has not read": ("a done response is kept", ONE_FOLD),
}
MAX_STATES = 2_000_000
# State limits tried in turn when refuting, smallest first.
MUTATION_BOUNDS = (4_500, 16_000, 100_000)


def check(limits, *, mutation="", max_states=MAX_STATES):
    """Check the protocol or a mutation of it in a scenario.

    Returns
    -------
    dict
        The result of `minicheck.check_safety`, with ``seconds`` as the time taken.
    """
    model = Protocol(
        name="journal",
        candidate=not mutation,
        fields=State._fields,
        initial=INITIAL._replace(limits=limits),
        transitions=lambda state: transitions(state, mutation),
        invariants=INVARIANTS,
    )
    started = time.monotonic()
    result = check_safety(model, max_states=max_states)
    return {**result, "seconds": time.monotonic() - started}


def refute(mutation):
    """Search for a trace in which a mutation violates its property.

    Returns
    -------
    tuple of (dict, list of str or None)
        The last result, and the labels of the shortest trace if one was found.
    """
    name, limits = MUTATIONS[mutation]
    for bound in MUTATION_BOUNDS:
        result = check(limits, mutation=mutation, max_states=bound)
        verdict = result["properties"][name]
        if verdict["holds"] is False:
            return result, [step["label"] for step in verdict["counterexample"][1:]]
    return result, None


def main():
    """Print results; exit with 1 if a verdict is not as expected."""
    failed = False
    for name, limits in {**SCENARIOS, **LARGE_SCENARIOS}.items():
        result = check(limits)
        all_hold = all(each["holds"] for each in result["properties"].values())
        failed = failed or not all_hold
        print(
            f"{name}: {result['reachable_states']} states, "
            f"{result['seconds']:.1f} s, exhaustive={result['exhaustive']}, "
            f"all properties hold={all_hold}",
            flush=True,
        )
    for mutation, (name, _) in MUTATIONS.items():
        result, trace = refute(mutation)
        failed = failed or trace is None
        verdict = f"refutes {name!r}: {', '.join(trace)}" if trace else "NOT REFUTED"
        print(
            f"{mutation}: {result['reachable_states']} states, "
            f"{result['seconds']:.1f} s, {verdict}",
            flush=True,
        )
    sys.exit(failed)


if __name__ == "__main__":
    main()
