"""The command that runs soak tests under faults."""

from savoryhill.cli.commands import EXIT_FAILED, EXIT_OK, deferred
from savoryhill.errors import SettingsError

MIN_LENGTH_S = 12.0


def soak(seed=1, minutes=0.5, seeds=1, nodes=4, engines=6, first_host=20):
    """Run real node processes under random faults and check their invariants.

    Parameters
    ----------
    seed : int
        First seed.
    minutes : float
        Duration of the run of each seed, in minutes.
    seeds : int
        Number of consecutive seeds to run, one after the other.
    nodes, engines : int
        Number of nodes and engines in the deployment.
    first_host : int
        Third number of the nodes' loopback addresses, 20 to 250.
    """

    def start():
        from savoryhill.soak.run import run_soak

        if not all(isinstance(value, int) for value in (seed, seeds, nodes, engines)):
            raise SettingsError("seed, seeds, nodes and engines must be whole numbers")
        if not 20 <= first_host <= 250:
            raise SettingsError(f"first_host must be from 20 to 250, got {first_host}")
        length_s = float(minutes) * 60.0
        if length_s < MIN_LENGTH_S or min(seeds, nodes, engines) < 1:
            raise SettingsError(
                f"minutes must be at least {MIN_LENGTH_S / 60:g}, and seeds, nodes and "
                f"engines at least 1"
            )
        n_failed = 0
        for current_seed in range(seed, seed + seeds):
            result = run_soak(
                current_seed,
                length_s=length_s,
                n_nodes=nodes,
                n_engines=engines,
                first_host=first_host,
            )
            print(
                f"seed {current_seed}: {result.n_requests} requests, "
                f"{result.n_answered} answered, {result.n_answered_at_end} of "
                f"{result.n_sent_at_end} at the end, {len(result.findings)} findings",
                flush=True,
            )
            for finding in result.findings[:20]:
                print(f"  {finding.invariant}: {finding.detail}")
            if result.findings:
                n_failed += 1
                print(f"  logs: {result.folder}", flush=True)
        return EXIT_FAILED if n_failed else EXIT_OK

    return deferred(start)
