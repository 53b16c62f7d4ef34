"""Check by ratios that costs per node stay bounded as the fleet grows."""

import sys

from savoryhill.bench.capacity import roles

# The targets allow 100 us per decision at 20 engines and 300 us at 600 engines.
MAX_DECISION_RATIO = 3.0
# The cost of gossip per node should not depend on the fleet size; it may grow by at
# most a tenth of the fleet's own growth (9 to 340 members).
MAX_GOSSIP_RATIO = 0.1 * 340 / 9


def check_ratios():
    """Measure the cost ratios between the largest and the smallest size.

    Returns
    -------
    list of tuple of (str, float, float)
        Name of the cost, measured ratio and its bound.
    """
    bounds_by_name = {
        "coordinator.decision": MAX_DECISION_RATIO,
        "coordinator.release": MAX_DECISION_RATIO,
        "membership.steady.cpu_percent": MAX_GOSSIP_RATIO,
        "membership.steady.bytes_per_s": MAX_GOSSIP_RATIO,
    }
    slopes = [*roles.measure_routing(), *roles.measure_membership()]
    return [
        (each.name, each.values[-1] / each.values[0], bounds_by_name[each.name])
        for each in slopes
        if each.name in bounds_by_name
    ]


def main():
    """Print all ratios; exit with 1 if one exceeds its bound."""
    failed = False
    for name, ratio, bound in check_ratios():
        failed = failed or ratio > bound
        verdict = "ok" if ratio <= bound else "OVER"
        print(f"{verdict:<5} {name:<32} ratio={ratio:.2f} bound={bound:.2f}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
