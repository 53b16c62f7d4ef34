"""The command ``savoryhill bench config``."""

from savoryhill.cli.commands import EXIT_OK, check_output, deferred


def config(*, nodes=9, seed=1, changes=30, large=False, output="text"):
    """Measure how fast configuration changes come into force, with faults in between.

    Parameters
    ----------
    nodes : int
        Number of real nodes, all in this process.
    seed : int
        Seed of the changes and the faults.
    changes : int
        Number of changes.
    large : bool
        Also measure 340 node cores in virtual time, which takes about half a minute.
    output : str
        text or json.
    """
    check_output(output)

    def start():
        from savoryhill.bench.configuration import bench_config
        from savoryhill.observability.logs import configure_logs

        configure_logs(level="ERROR")
        bench_config(
            nodes=nodes, seed=seed, changes=changes, large=large, output=output
        )
        return EXIT_OK

    return deferred(start)
