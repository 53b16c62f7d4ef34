"""Commands of ``savoryhill capacity``: measure costs, write the capacity page."""

import json

from savoryhill.cli.commands import EXIT_OK, check_output, deferred
from savoryhill.errors import SavoryhillError


def measure(*, output="json", processes=True):
    """Measure the cost of every role at several deployment sizes.

    Parameters
    ----------
    output : str
        json, or text for one figure per line.
    processes : bool
        Whether to start node processes to measure control and relay cost.
    """
    check_output(output)

    def start():
        from savoryhill.bench.capacity.measure import measure_all
        from savoryhill.observability.logs import configure_logs

        configure_logs(level="ERROR")
        figures = measure_all(with_processes=processes)
        if output == "json":
            print(json.dumps(figures, indent=1))
        else:
            for name, value in figures.items():
                print(f"{name}: {value}")
        return EXIT_OK

    return deferred(start)


def report(figures, *, page="docs/CAPACITY.md"):
    """Rewrite the tables of the capacity page.

    Parameters
    ----------
    figures : str
        File with the JSON output of ``savoryhill capacity measure``.
    page : str
        The page to rewrite.
    """

    def start():
        from savoryhill.bench.capacity.report import replace_tables

        try:
            with open(figures) as file:
                measured = json.load(file)
            with open(page) as file:
                text = file.read()
        except (OSError, ValueError) as error:
            raise SavoryhillError(f"cannot read the report's input: {error}") from error
        with open(page, "w") as file:
            file.write(replace_tables(text, measured))
        return EXIT_OK

    return deferred(start)


COMMANDS = {"measure": measure, "report": report}
