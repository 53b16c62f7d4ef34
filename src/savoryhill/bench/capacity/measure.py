"""Run every capacity measurement and collect the figures."""

import os
from dataclasses import asdict

from savoryhill.bench.capacity import budget, roles
from savoryhill.bench.capacity.configuration import measure_configuration
from savoryhill.bench.capacity.target import TARGET, TODAY


def measure_all(*, with_processes=True):
    """Measure all roles.

    Parameters
    ----------
    with_processes : bool
        Whether to start node processes for the control cost and the relay; the
        rest runs in this process.

    Returns
    -------
    dict
        Slopes, message sizes, key-value rates, and the figures of the processes.
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
                "worst_minute": budget.worst_minute(size),
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
