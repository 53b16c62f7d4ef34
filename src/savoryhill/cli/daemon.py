"""The command that runs a node."""

import signal

from fire.decorators import SetParseFn

from savoryhill.cli.commands import EXIT_FAILED, EXIT_OK, deferred

_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@SetParseFn(str)
def node(settings, log_level="INFO"):
    """Run a node until it is told to stop.

    SIGTERM or SIGINT starts a graceful shutdown: the readiness check fails, new
    requests are refused, running ones finish, and the process exits with 0. A
    second signal stops the process at once; it logs what it cuts and exits with 1.

    Parameters
    ----------
    settings : str
        Path of the node's YAML settings.
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
    running = start_node(load_settings(settings))
    code = AsyncResult()

    def wait():
        wait_drained(running)
        running.record("node.stopped", {"graceful": True})
        code.set(EXIT_OK)

    def on_signal():
        if not running.callers.draining:
            gevent.spawn(drain, running)
            return
        running.record("node.stopped", {"graceful": False, **count_unfinished(running)})
        code.set(EXIT_FAILED)

    handlers = [gevent.signal_handler(number, on_signal) for number in _SIGNALS]
    waiter = gevent.spawn(wait)
    result = code.get()
    for handler in handlers:
        handler.cancel()
    waiter.kill()
    stop_node(running)
    return result
