"""Check the journal model in its scenarios, and refute its mutations.

Run with ``python specs/check_journal.py`` to print state counts and times of all
scenarios; the tests check the small ones.
"""

import sys
import time

from journal_model import INITIAL, INVARIANTS, NO_FAULTS, State, transitions
from minicheck import Protocol, check_safety

# Checked by the tests.
SCENARIOS = {
    "no fault": NO_FAULTS,
    "a lost answer": NO_FAULTS._replace(lost=1),
    "a crash": NO_FAULTS._replace(crashes=1),
    "a fold": NO_FAULTS._replace(folds=1),
    "an outage": NO_FAULTS._replace(outages=1),
}
# Checked by running this file.
LARGE_SCENARIOS = {
    "a late write and a fold": NO_FAULTS._replace(lost=1, folds=1, copies=2),
    "a late write and a crash": NO_FAULTS._replace(lost=1, crashes=1, copies=2),
    "a late write and an outage": NO_FAULTS._replace(lost=1, outages=1, copies=2),
    "two writers asked and a fold": NO_FAULTS._replace(
        asked_again=1, folds=1, copies=2
    ),
    "a crash and a fold": NO_FAULTS._replace(crashes=1, folds=1),
    "three attempts and a crash": NO_FAULTS._replace(attempts=3, crashes=1),
}

# Each rule whose removal must break the property, in the scenario.
FOLDED = NO_FAULTS._replace(folds=1, copies=2)
MUTATIONS = {
    "a taken position is overwritten": ("runs at most once", FOLDED),
    "a folded position is created again": ("runs at most once", FOLDED),
    "an unknown call is sent again": ("runs at most once", NO_FAULTS),
    "a lookup that finds nothing frees the key": ("runs at most once", NO_FAULTS),
    "broken is not run": ("not run is true", NO_FAULTS),
    "a fold deletes batches it has not read": ("a done answer is kept", FOLDED),
}
MAX_STATES = 2_000_000
MUTATION_BOUNDS = (4_500, 16_000, 100_000)


def check(limits, *, mutation="", max_states=MAX_STATES):
    """Check the protocol or a mutation of it.

    Returns
    -------
    dict
        minicheck's result with the seconds it took.
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
    """Search for a trace in which a mutation breaks its property.

    Returns
    -------
    tuple of (dict, list of str or None)
        The last result, and the labels of the shortest trace if there is one.
    """
    name, limits = MUTATIONS[mutation]
    for bound in MUTATION_BOUNDS:
        result = check(limits, mutation=mutation, max_states=bound)
        verdict = result["properties"][name]
        if verdict["holds"] is False:
            return result, [step["label"] for step in verdict["counterexample"][1:]]
    return result, None


def main():
    """Print state counts and times; exit with 1 if a verdict is not as expected."""
    failed = False
    for name, limits in {**SCENARIOS, **LARGE_SCENARIOS}.items():
        result = check(limits)
        holds = all(each["holds"] for each in result["properties"].values())
        failed = failed or not holds
        print(
            f"{name}: {result['reachable_states']} states, "
            f"{result['seconds']:.1f} s, exhaustive={result['exhaustive']}, "
            f"all properties hold={holds}",
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
