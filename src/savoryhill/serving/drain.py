"""The drain of a node that stops, and the end of its connections after it."""

import contextlib

import gevent.event
from gevent import socket as gsocket

# Seconds before the end of the grace period at which the drain ends.
GRACE_MARGIN_S = 0.6
# Bound of the end of connections, within the margin: for requests that are refused at
# the last moment.
CLOSE_LIMIT_S = 0.2
DRAIN_CHECK_S = 0.05
# A draining node accepts connections at least for this long, because clients are sent
# to it until the platform's readiness check has taken it out.
DRAIN_ACCEPT_S = 3.0
# Streams are refused this long before that: the platform's rules count from the moment
# at which the signal was sent, and a busy or throttled process notices it later.
SIGNAL_MARGIN_S = 0.3
# Share of the drain's length in which requests begin that may not end within the rest.
ACCEPT_SHARE = 0.5


class Drain:
    """Ends the service of a node without cutting requests.

    Parameters
    ----------
    context : NodeContext
        State shared by the requests of the node.
    record : callable
        Writes a log line from an event and its fields.
    """

    def __init__(self, *, context, record):
        self._context = context
        self._record = record
        self._has_ended = gevent.event.Event()

    def run(self):
        """Wait until requests are read and finished, at most for the grace period.

        A further call waits for the end of the first one.

        New connections are served meanwhile, at least for ``DRAIN_ACCEPT_S`` if the
        grace period allows. Nothing begins once the drain has ended: the process may
        end at any moment from then on.
        """
        context = self._context
        if context.is_draining():
            # The platform may send a signal again, or another one that ends the node.
            self._has_ended.wait()
            return
        started_at = context.clock.monotonic()
        ends_at = started_at + context.settings.grace_s - GRACE_MARGIN_S
        min_accept_until = min(ends_at, started_at + DRAIN_ACCEPT_S)
        context.draining_since = started_at
        context.accepts_all_until = min(
            started_at + DRAIN_ACCEPT_S - SIGNAL_MARGIN_S,
            started_at + ACCEPT_SHARE * (ends_at - started_at),
        )
        context.stops_at = ends_at
        self._record("node.draining", {"running": context.n_running})
        while context.clock.monotonic() < ends_at:
            context.clock.sleep(DRAIN_CHECK_S)
            if context.is_idle() and context.clock.monotonic() >= min_accept_until:
                break
        # Set before anything else runs, so that no request begins after the check.
        context.has_stopped = True
        for exchange in tuple(context.exchanges):
            exchange.record_cut()
        self._record("node.stopped", {"unfinished": context.n_running})
        self._has_ended.set()


def close_connections(context, client_pool):
    """Close the connections of clients after the drain.

    Clients that are being refused get their refusal, for ``CLOSE_LIMIT_S`` at most.

    Parameters
    ----------
    context : NodeContext
        State shared by the requests of the node.
    client_pool : Pool
        The greenlets that serve the connections.
    """
    for sock in tuple(context.waiting_sockets):
        # What has arrived is still read, and refused.
        with contextlib.suppress(OSError):
            sock._sock.shutdown(gsocket.SHUT_RD)
    client_pool.join(timeout=CLOSE_LIMIT_S)
