"""The command that runs a node."""

import signal

from fire.decorators import SetParseFn

from savoryhill.cli.commands import EXIT_FAILED, EXIT_OK, deferred

_SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@SetParseFn(str)
def node(settings, log_level="INFO"):
    """Run a node until a signal stops it.

    SIGTERM or SIGINT starts a graceful shutdown: the readiness check fails, new
    requests are refused, running requests finish, and the process exits with 0. A
    second signal stops the process at once: it logs the numbers of unfinished
    requests and responses and exits with 1.

    Parameters
    ----------
    settings : str
        Path of the node's settings file in YAML.
    log_level : str
        DEBUG, INFO, WARNING or ERROR.
    """
    return deferred(lambda: _run_node(settings, log_level.upper()))


def _run_node(settings, log_level):
    import gevent
    from gevent.event import AsyncResult

    from savoryhill.node.process import (
        count_unfinished,
        drain,
        start_node,
        stop_node,
        wait_drained,
    )
    from savoryhill.node.settings import load_settings
    from savoryhill.observability.logs import configure_logs

    configure_logs(level=log_level)
    running_node = start_node(load_settings(settings))
    exit_code = AsyncResult()

    def wait_until_drained():
        wait_drained(running_node)
        running_node.record("node.stopped", {"graceful": True})
        exit_code.set(EXIT_OK)

    def on_signal():
        if not running_node.callers.draining:
            gevent.spawn(drain, running_node)
            return
        running_node.record(
            "node.stopped", {"graceful": False, **count_unfinished(running_node)}
        )
        exit_code.set(EXIT_FAILED)

    handlers = [
        gevent.signal_handler(signal_number, on_signal)
        for signal_number in _SHUTDOWN_SIGNALS
    ]
    drain_waiter = gevent.spawn(wait_until_drained)
    result = exit_code.get()
    for handler in handlers:
        handler.cancel()
    drain_waiter.kill()
    stop_node(running_node)
    return result
