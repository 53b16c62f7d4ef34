"""Check the coordination models and print state counts, times and verdicts.

Run with ``PYTHONPATH=specs python specs/check_coordination.py``.
"""

import time

import outage
import permits
from minicheck import check_safety

MAX_STATES = 600_000


def check(protocol, expected):
    """Check a model; return whether every verdict is as expected."""
    started = time.perf_counter()
    result = check_safety(protocol, max_states=MAX_STATES)
    elapsed_s = time.perf_counter() - started
    verdicts = {name: each["holds"] for name, each in result["properties"].items()}
    wrong = {name for name, holds in expected.items() if verdicts[name] is not holds}
    print(
        f"{protocol.name}: {result['reachable_states']} states, "
        f"exhaustive={result['exhaustive']}, {elapsed_s:.1f} s, {verdicts}"
        + (f" UNEXPECTED {sorted(wrong)}" if wrong else ""),
        flush=True,
    )
    return not wrong


def main():
    """Check both models and their mutations; exit with 1 on a wrong verdict."""
    all_hold = True
    for checks_fencing in (True, False):
        protocol = permits.make_protocol(checks_fencing=checks_fencing)
        all_hold &= check(protocol, dict.fromkeys(protocol.invariants, True))
    for mutation, (checks_fencing, name) in permits.MUTATIONS.items():
        protocol = permits.make_protocol(
            checks_fencing=checks_fencing, mutation=mutation
        )
        all_hold &= check(protocol, {name: False})
    protocol = outage.make_protocol()
    all_hold &= check(protocol, dict.fromkeys(protocol.invariants, True))
    for mutation, name in outage.MUTATIONS.items():
        all_hold &= check(outage.make_protocol(mutation=mutation), {name: False})
    raise SystemExit(0 if all_hold else 1)


if __name__ == "__main__":
    main()
