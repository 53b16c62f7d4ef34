"""The command ``savoryhill bench orders``."""

import json

from savoryhill.cli.commands import EXIT_FAILED, EXIT_OK, check_output, deferred


def orders(seed=1, seeds=1, faults="all", count=60, rate=30.0, nodes=3, output="text"):
    """Place orders under faults and count duplicates and false refusals.

    Parameters
    ----------
    seed : int
        First seed.
    seeds : int
        Number of consecutive seeds to run.
    faults : str
        ``all`` or ``none``.
    count : int
        Orders per seed.
    rate : float
        Orders per second.
    nodes : int
        Number of entry nodes.
    output : str
        ``text`` or ``json`` (one document per seed, on a line of its own).
    """
    check_output(output)

    def start():
        from savoryhill.bench.orders import run_orders
        from savoryhill.observability.logs import configure_logs

        configure_logs(level="ERROR")
        failed = False
        for current_seed in range(seed, seed + seeds):
            result = run_orders(
                seed=current_seed,
                faults=faults,
                n_orders=count,
                rate_per_s=rate,
                n_nodes=nodes,
            )
            failed = failed or bool(result["duplicates"] or result["false_not_run"])
            if output == "json":
                print(json.dumps(result), flush=True)
            else:
                fields = (f"{name}={value}" for name, value in result.items())
                print(" ".join(fields), flush=True)
        return EXIT_FAILED if failed else EXIT_OK

    return deferred(start)
