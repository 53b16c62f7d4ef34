"""Run all capacity measurements and collect the results."""

import os
from dataclasses import asdict

from savoryhill.bench.capacity import budget, roles
from savoryhill.bench.capacity.configuration import measure_configuration
from savoryhill.bench.capacity.target import TARGET, TODAY


def measure_all(*, with_processes=True):
    """Measure the costs of all roles of a node.

    Parameters
    ----------
    with_processes : bool
        Whether to also measure the control cost and the relay, which start further
        processes. Everything else runs in this process.

    Returns
    -------
    dict
        Fitted lines, message sizes, rates of calls to the key-value service and, if
        measured, control cost and relay.
    """
    slopes = [
        *measure_configuration(),
        *roles.measure_routing(),
        *roles.measure_membership(),
        *roles.measure_permits(),
        *roles.measure_journal(),
    ]
    figures = {
        "n_cores": os.cpu_count(),
        "load_average": round(os.getloadavg()[0], 1),
        "slopes": [asdict(slope) for slope in slopes],
        "message_bytes": roles.measure_messages(),
        "key_value": {
            name: {
                "rates": budget.key_value_rates(size),
                "worst_minute": budget.zone_loss_load(size),
            }
            for name, size in (("today", TODAY), ("target", TARGET))
        },
    }
    if with_processes:
        from savoryhill.bench.capacity.control import measure_control
        from savoryhill.bench.relay import run_relay_bench

        figures["control"] = {
            "today": measure_control(TODAY, settle_s=10.0, window_s=10.0),
            "target": measure_control(TARGET),
        }
        figures["relay"] = run_relay_bench()
    return figures
