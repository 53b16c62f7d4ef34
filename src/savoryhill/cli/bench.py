"""``savoryhill bench``: load, faults and figures."""

from savoryhill.errors import SavoryhillError

POLICIES = ("savoryhill", "random", "round-robin", "least-outstanding")


def bench(scenario, *, seed=1, policy="savoryhill", output="text"):
    """Run a bench scenario over real nodes and stand-ins in this process.

    Parameters
    ----------
    scenario : str
        short-alone, short-beside-long, zone-withdrawal, cold-start,
        engine-deaths or oversize.
    seed : int
        Decides the requests and the faults.
    policy : str
        savoryhill, random, round-robin or least-outstanding.
    output : str
        text or json.
    """
    from savoryhill.bench.report import print_report
    from savoryhill.bench.scenarios import SCENARIOS, run_scenario
    from savoryhill.observability.logs import configure_logs

    if scenario not in SCENARIOS:
        raise SavoryhillError(
            f"unknown scenario {scenario!r}; expected one of {', '.join(SCENARIOS)}"
        )
    if policy not in POLICIES:
        raise SavoryhillError(
            f"unknown policy {policy!r}; expected one of {', '.join(POLICIES)}"
        )
    configure_logs(level="ERROR")
    print_report(run_scenario(scenario, seed=seed, policy=policy), output)
