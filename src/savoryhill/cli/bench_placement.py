"""The command ``savoryhill bench placement``."""

import json

from savoryhill.cli.commands import EXIT_OK, UsageError, check_output, deferred


def placement(
    pattern="wave", engines=18, seed=1, seeds=1, node="node-a", output="text"
):
    """Replay a load pattern on the scheduler and print who was served in time.

    Parameters
    ----------
    pattern : str
        ``wave``, ``burst``, ``overload`` or ``swing``.
    engines : int
        Number of engines.
    seed : int
        First seed.
    seeds : int
        Number of consecutive seeds to run.
    node : str
        Name of the node that leads, which orders engines that are equally good.
    output : str
        ``text`` or ``json`` (one document per seed, on a line of its own).
    """
    check_output(output)

    def start():
        from savoryhill.bench.placement.replay import replay_pattern, summarize

        for current_seed in range(seed, seed + seeds):
            try:
                prompts = replay_pattern(
                    pattern, n_engines=engines, seed=current_seed, node=node
                )
            except ValueError as error:
                raise UsageError(str(error)) from error
            figures = summarize(prompts)
            if output == "json":
                print(json.dumps({"seed": current_seed, **figures}), flush=True)
                continue
            for kind, some in figures.items():
                fields = " ".join(f"{name}={value}" for name, value in some.items())
                print(f"seed={current_seed} kind={kind} {fields}", flush=True)
        return EXIT_OK

    return deferred(start)
