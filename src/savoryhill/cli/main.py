"""Commands of ``savoryhill``."""

import sys

from savoryhill.cli import bench, questionnaire
from savoryhill.cli.commands import EXIT_OK, Deferred
from savoryhill.errors import SavoryhillError

# A leaving node hands its groups over; the messages need an acknowledgement.
FLUSH_TIMEOUT_S = 2.0


def demo():
    """Start a whole deployment in one process, use it and check the results."""
    from savoryhill.demo.run import print_report, run_demo
    from savoryhill.observability.logs import configure_logs

    configure_logs(level="WARNING")
    if not print_report(*run_demo()):
        sys.exit(1)


def node(settings):
    """Run a node.

    Parameters
    ----------
    settings : str
        Path of the node's YAML settings.
    """
    import signal

    import gevent

    from savoryhill.node.process import drain, flush_endings, start_node, stop_node
    from savoryhill.node.settings import load_settings
    from savoryhill.observability.logs import configure_logs
    from savoryhill.peers.transport import flush

    configure_logs()
    running = start_node(load_settings(settings))
    gevent.signal_handler(signal.SIGTERM, drain, running)
    running.stopped.wait()
    flush_endings(running, timeout_s=FLUSH_TIMEOUT_S)
    flush(running.transport, timeout_s=FLUSH_TIMEOUT_S)
    stop_node(running)


COMMANDS = {
    "bench": bench.COMMANDS,
    "demo": demo,
    "node": node,
    "questionnaire": questionnaire.COMMANDS,
}


def _shown(result):
    return None if isinstance(result, Deferred) else result


def main():
    """Run the command line."""
    import fire

    try:
        result = fire.Fire(COMMANDS, name="savoryhill", serialize=_shown)
        if isinstance(result, Deferred):
            sys.exit(result._start() or EXIT_OK)
    except SavoryhillError as error:
        print(f"savoryhill: {error}", file=sys.stderr)
        sys.exit(2)
