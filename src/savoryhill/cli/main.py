"""Entry point and commands of ``savoryhill``."""

import sys

from savoryhill.cli import bench, capacity, questionnaire
from savoryhill.cli.commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Deferred, deferred
from savoryhill.cli.daemon import node
from savoryhill.cli.explain import explain
from savoryhill.cli.inspection import status, timeline
from savoryhill.cli.soak import soak
from savoryhill.cli.standins import STANDINS
from savoryhill.errors import SavoryhillError


def demo():
    """Start a complete deployment in one process, use it and check the results."""

    def start():
        from savoryhill.demo.run import print_report, run_demo
        from savoryhill.observability.logs import configure_logs

        configure_logs(level="WARNING")
        return EXIT_OK if print_report(run_demo()) else EXIT_FAILED

    return deferred(start)


COMMANDS = {
    "bench": bench.COMMANDS,
    "capacity": capacity.COMMANDS,
    "demo": demo,
    "explain": explain,
    "node": node,
    "questionnaire": questionnaire.COMMANDS,
    "soak": soak,
    "standin": STANDINS,
    "status": status,
    "timeline": timeline,
}


def _serialize_result(result):
    return None if isinstance(result, Deferred) else result


def main():
    """Run the command line and exit with its code.

    The code is 0 on success, 1 if the command failed, and 2 for invalid arguments
    or settings.
    """
    import fire

    try:
        result = fire.Fire(COMMANDS, name="savoryhill", serialize=_serialize_result)
        if isinstance(result, Deferred):
            sys.exit(result._start() or EXIT_OK)
    except SavoryhillError as error:
        print(f"savoryhill: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except KeyboardInterrupt:
        sys.exit(EXIT_FAILED)
