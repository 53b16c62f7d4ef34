"""Commands of ``savoryhill bench``: scenarios, their parts and plots."""

from savoryhill.cli.bench_config import config
from savoryhill.cli.bench_orders import orders
from savoryhill.cli.bench_placement import placement
from savoryhill.cli.commands import EXIT_OK, UsageError, check_output, deferred

SCENARIOS = (
    "short-alone",
    "short-beside-long",
    "zone-withdrawal",
    "cold-start",
    "engine-deaths",
    "oversize",
)
POLICIES = ("savoryhill", "random", "round-robin", "least-outstanding")


def _make_scenario_command(name):
    def command(*, seed=1, policy="savoryhill", output="text"):
        check_output(output)
        if policy not in POLICIES:
            raise UsageError(
                f"--policy: expected one of {', '.join(POLICIES)}, not {policy!r}"
            )

        def start():
            from savoryhill.bench.report import print_report
            from savoryhill.bench.scenarios import run_scenario
            from savoryhill.observability.logs import configure_logs

            configure_logs(level="ERROR")
            print_report(run_scenario(name, seed=seed, policy=policy), output)
            return EXIT_OK

        return deferred(start)

    command.__doc__ = f"""Run {name} on real nodes and stand-ins in this process.

    Parameters
    ----------
    seed : int
        Seed of the requests and the faults.
    policy : str
        Routing policy: savoryhill, random, round-robin or least-outstanding.
    output : str
        text or json.
    """
    return command


def plot(*reports, to):
    """Plot times to the first token of several runs by prompt length and policy.

    Parameters
    ----------
    reports : str
        Files with the JSON output of scenarios, one report per line.
    to : str
        PNG file to write.
    """

    def start():
        from savoryhill.bench.plot import plot as draw

        draw(reports, to)
        return EXIT_OK

    return deferred(start)


COMMANDS = {name: _make_scenario_command(name) for name in SCENARIOS} | {
    "config": config,
    "orders": orders,
    "placement": placement,
    "plot": plot,
}
