"""Start, reload and stop of the serving process of a node."""

import os
import signal
import sys
from dataclasses import fields
from random import Random

import gevent
import gevent.event
from gevent.pool import Pool
from gevent.server import StreamServer

from savoryhill.clock import system_clock
from savoryhill.core.buffers import BufferBudget
from savoryhill.core.client_buffers import ClientBuffers
from savoryhill.core.observations.rate_limits import RateLimiter
from savoryhill.errors import MalformedMessageError, SettingsError
from savoryhill.observability.metrics import Metrics, observe, prometheus_text
from savoryhill.platform.boot_settings import (
    load_settings,
    settings_path,
    settings_version,
)
from savoryhill.platform.names import READINESS_PATH
from savoryhill.platform.store import Store
from savoryhill.serving.balance_grants import BalanceGrants
from savoryhill.serving.balancing import Balancer
from savoryhill.serving.client_connection import serve_client
from savoryhill.serving.cluster_view import ClusterView
from savoryhill.serving.context import NodeContext
from savoryhill.serving.crash_guard import CrashGuard
from savoryhill.serving.dispatch import Dispatcher
from savoryhill.serving.drain import Drain, close_connections
from savoryhill.serving.endpoint_statements import EndpointStatements
from savoryhill.serving.gauges import set_gauges
from savoryhill.serving.http import RequestReader, encode_head
from savoryhill.serving.log_lines import LogWriter
from savoryhill.serving.refusal_record import RefusalRecord
from savoryhill.serving.registration import keep_registered
from savoryhill.serving.repeats import RepeatBudgets
from savoryhill.serving.scheduling import Scheduling
from savoryhill.serving.shared_observations import ObservationSharing
from savoryhill.serving.start import open_listener
from savoryhill.serving.turns import Turns
from savoryhill.serving.watcher import Watcher
from savoryhill.serving.ways.connection import split_address
from savoryhill.serving.ways.endpoint_ways import EndpointWays
from savoryhill.serving.ways.relay_server import RelayServer

MAX_CONNECTIONS = 3000
MAX_METRICS_CONNECTIONS = 16
METRICS_PORT = 9464
METRICS_PATH = b"/metrics"
# Bound of the last flush, within the margin that the drain leaves of the grace period.
LAST_LINES_LIMIT_S = 0.1
EXIT_INVALID_SETTINGS = 2
SETTINGS_CHECK_S = 1.0
TASK_RESTART_DELAY_S = 0.5
# Changes of these settings take effect only after a restart.
RESTART_ONLY_SETTINGS = frozenset(
    (
        "node",
        "client_address",
        "readiness_address",
        "peer_address",
        "relay_address",
        "store_address",
        "max_descriptors",
    )
)
# Part of the process's memory for what is kept of endpoints' responses. A response is
# copied once while it is written to its client.
ANSWER_SHARE = 1.0 / 6.0
# Part of the process's memory for requests, whose bodies are copied while they are sent
# to endpoints.
CLIENT_SHARE = 1.0 / 6.0
# Descriptors that are left to files, listeners and links to other nodes.
RESERVED_DESCRIPTORS = 200


def max_client_connections(settings):
    """Return how many clients may be connected at once.

    Each may need a connection to an endpoint as well.
    """
    n_left = settings.max_descriptors - RESERVED_DESCRIPTORS
    return max(1, min(MAX_CONNECTIONS, n_left // 2))


class ServingNode:
    """The serving process of one node."""

    def __init__(self, *, settings, clock, lines):
        self._settings = settings
        self._lines = lines
        self._greenlets = []
        self._servers = []
        metrics = Metrics()

        def record(event, fields):
            lines.write(event, fields)

        def log(event, **fields):
            lines.write(event, fields)

        def observe_call(operation, seconds, outcome):
            labels = {"operation": operation, "outcome": outcome}
            observe(metrics, "store_calls", 1.0, labels)
            observe(metrics, "store_call_s", seconds, {"operation": operation})

        self._record = record
        random = Random(f"{settings.node}/{os.getpid()}")
        cluster_view = ClusterView(clock=clock, record=record)
        store = Store(
            address=settings.store_address,
            clock=clock,
            observe=observe_call,
            on_new_era=lambda era, before: log("store.new_era", era=era, before=before),
        )

        repeat_budgets = RepeatBudgets(
            settings=lambda: self._settings,
            n_nodes=lambda: len(cluster_view.nodes_by_name),
        )
        sharing = ObservationSharing(clock=clock)
        crash_guard = CrashGuard(clock=clock, sharing=sharing, record=record)
        rate_limiter = RateLimiter(
            random=random,
            share=lambda: (
                1.0
                if dispatcher.is_leader()
                else 1.0 / max(1, len(cluster_view.nodes_by_name))
            ),
        )
        endpoint_statements = EndpointStatements(
            clock=clock,
            sharing=sharing,
            cluster_view=cluster_view,
            limiter=rate_limiter,
            record=record,
        )
        turns = Turns(clock=clock, limiter=rate_limiter)
        grants = BalanceGrants(clock=clock, random=random, cluster_view=cluster_view)
        balancer = Balancer(
            zone=settings.zone,
            clock=clock,
            random=random,
            cluster_view=cluster_view,
            grants=grants,
        )
        endpoint_statements.on_load = balancer.note_load
        cluster_view.on_change.append(balancer.forget_absent)
        cluster_view.on_change.append(grants.forget_absent)
        scheduling = Scheduling(
            node=settings.node,
            clock=clock,
            cluster_view=cluster_view,
            record=record,
            is_standalone=lambda: dispatcher.is_standalone(),
            repeat_budgets=repeat_budgets,
            crash_guard=crash_guard,
            rate_limiter=rate_limiter,
        )
        dispatcher = Dispatcher(
            node=settings.node,
            address=settings.peer_address,
            clock=clock,
            cluster_view=cluster_view,
            scheduling=scheduling,
            sharing=sharing,
            turns=turns,
            grants=grants,
            record=record,
        )
        host = split_address(settings.peer_address)[0]
        ways = EndpointWays(
            settings=lambda: self._settings,
            host=host,
            clock=clock,
            random=random,
            cluster_view=cluster_view,
            record=record,
        )
        self._watcher = Watcher(
            store=store,
            cluster_view=cluster_view,
            must_watch=dispatcher.is_leader,
            publish=dispatcher.publish,
            on_contact=dispatcher.note_store_contact,
            must_stagger=dispatcher.has_leader,
            random=random,
            clock=clock,
        )
        self._refusal_record = RefusalRecord(
            store=store,
            clock=clock,
            cluster_view=cluster_view,
            sharing=sharing,
            crash_guard=crash_guard,
            is_leader=dispatcher.is_leader,
            record=record,
        )
        self._ways = ways
        self._store = store
        self._sharing = sharing
        self._dispatcher = dispatcher
        self.context = NodeContext(
            settings=settings,
            clock=clock,
            random=random,
            cluster_view=cluster_view,
            dispatcher=dispatcher,
            balancer=balancer,
            repeat_budgets=repeat_budgets,
            crash_guard=crash_guard,
            endpoint_statements=endpoint_statements,
            turns=turns,
            ways=ways,
            answer_budget=BufferBudget(
                limit_bytes=lambda: int(ANSWER_SHARE * self._settings.memory_bytes)
            ),
            client_buffers=ClientBuffers(
                limit_bytes=lambda: int(CLIENT_SHARE * self._settings.memory_bytes),
                max_connections=max_client_connections(settings),
                now=clock.monotonic,
            ),
            metrics=metrics,
            log=log,
        )
        self._drain = Drain(context=self.context, record=record)
        self._relay_server = RelayServer(
            context=self.context, paths=ways.paths, host=host, record=record
        )
        cluster_view.on_change.append(self.context.on_cluster_view_change)
        dispatcher.on_greeting.append(self.context.on_greeting)
        set_gauges(
            metrics, self.context, scheduling=scheduling, store=store, lines=lines
        )

    def start(self, *, client_listener=None):
        """Open the listeners and start the background tasks.

        Parameters
        ----------
        client_listener : socket or None
            Socket that already listens for clients; None opens one.
        """
        settings, context = self._settings, self.context
        if client_listener is None:
            client_listener = open_listener(settings.client_address)
        self._client_server = self._serve(
            client_listener,
            lambda sock, _: serve_client(context, sock),
            max_connections=context.client_buffers.max_connections,
        )
        readiness_listener = open_listener(settings.readiness_address)
        self._serve(readiness_listener, self._serve_readiness)
        peer_listener = open_listener(settings.peer_address)
        self._serve(peer_listener, self._dispatcher.serve_link)
        if settings.relay_address:
            relay_listener = open_listener(settings.relay_address)
            self._serve(relay_listener, self._relay_server.serve)
        metrics_host = split_address(settings.client_address)[0]
        metrics_listener = open_listener(f"{metrics_host}:{METRICS_PORT}")
        self._serve(
            metrics_listener,
            self._serve_metrics,
            max_connections=MAX_METRICS_CONNECTIONS,
        )
        for background_task in (
            self._watcher.run,
            self._dispatcher.follow_leader,
            self._dispatcher.place_waiting_periodically,
            self._dispatcher.send_heartbeats_to_followers,
            self._keep_registered,
            self._sharing.review_periodically,
            self._refusal_record.run,
            self._ways.probe_periodically,
        ):
            self._greenlets.append(gevent.spawn(self._keep_running, background_task))
        self._record("node.started", {"node": settings.node, "zone": settings.zone})

    def _keep_running(self, task):
        """Run a background task, and start it again if it fails.

        A node without one of them would go on with what it knows, for as long as the
        process runs.
        """
        while True:
            try:
                task()
                return
            except Exception as error:
                self._record(
                    "task.failed", {"task": task.__qualname__, "cause": repr(error)}
                )
                gevent.sleep(TASK_RESTART_DELAY_S)

    def close(self):
        """Close the listeners, and let connections end, after the drain."""
        for server in self._servers:
            server.close()
        close_connections(self.context, self._client_server.pool)

    def stop(self):
        """Close the listeners and kill the background tasks immediately."""
        for server in self._servers:
            server.stop(timeout=0)
            server.pool.kill()
        gevent.killall(self._greenlets)

    def _keep_registered(self):
        keep_registered(store=self._store, settings=self._settings, record=self._record)

    def _serve(self, listener, handle, *, max_connections=MAX_CONNECTIONS):
        server = StreamServer(listener, handle, spawn=Pool(max_connections))
        server.start()
        self._servers.append(server)
        return server

    def _serve_readiness(self, sock, _address):
        self._serve_text(sock, READINESS_PATH, self._readiness_response)

    def _readiness_response(self):
        return (200, b"ready\n") if self.context.is_ready() else (503, b"not ready\n")

    def _serve_metrics(self, sock, _address):
        self._serve_text(
            sock,
            METRICS_PATH,
            lambda: (200, prometheus_text(self.context.metrics).encode()),
        )

    def _serve_text(self, sock, path, make_response):
        reader = RequestReader(max_header_bytes=8192, max_body_bytes=8192)
        try:
            while True:
                while not reader.requests:
                    sock.settimeout(30.0)
                    data = sock.recv(8192)
                    if not data:
                        return
                    reader.feed(data)
                    if reader.error_status is not None:
                        return
                request = reader.take_request()
                status, body = make_response() if request.target == path else (404, b"")
                length = str(len(body)).encode()
                sock.sendall(encode_head(status, [(b"content-length", length)]) + body)
                if not request.keep_alive:
                    return
        except (OSError, MalformedMessageError) as error:
            self._record("inspection.broken", {"cause": repr(error)})
        finally:
            sock.close()

    def reload(self):
        """Read the settings file again.

        Settings that need a restart take effect only then. An invalid file changes
        nothing.
        """
        try:
            settings = load_settings(settings_path())
        except SettingsError as error:
            self._record("settings.invalid", {"cause": str(error)})
            return
        changed = [
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        ]
        self._settings = self.context.settings = settings
        at_restart = sorted(set(changed) & RESTART_ONLY_SETTINGS)
        self._record(
            "settings.reloaded",
            {"changed": ",".join(changed), "at_restart": ",".join(at_restart)},
        )

    def watch_settings(self, known):
        """Reload the settings when the file changes, even without a SIGHUP.

        Parameters
        ----------
        known : tuple or None
            The version of the file whose settings are in force.
        """
        path = settings_path()
        while True:
            version = settings_version(path)
            if version != known:
                known = version
                self.reload()
            gevent.sleep(SETTINGS_CHECK_S)

    def drain(self):
        """Wait until requests are read and finished; nothing begins after it."""
        self._drain.run()


def report_invalid_settings(error):
    """Log all errors found in the settings and return the exit code."""
    lines = LogWriter(fd=sys.stdout.fileno(), node="unknown")
    lines.write("settings.invalid", {"cause": str(error)})
    lines.flush()
    return EXIT_INVALID_SETTINGS


def run(settings, client_listener, *, known_version):
    """Run the process until it has shut down on SIGTERM or SIGINT.

    Parameters
    ----------
    settings : ServingSettings
        Settings of the process.
    client_listener : socket
        Socket that already listens for clients.
    known_version : tuple or None
        The version of the file from which the settings were read.

    Returns
    -------
    int
        Exit code.
    """
    lines = LogWriter(fd=sys.stdout.fileno(), node=settings.node)
    node = ServingNode(settings=settings, clock=system_clock(), lines=lines)
    stopped = gevent.event.Event()

    def stop():
        node.drain()
        stopped.set()

    gevent.signal_handler(signal.SIGTERM, lambda: gevent.spawn(stop))
    gevent.signal_handler(signal.SIGINT, lambda: gevent.spawn(stop))
    gevent.signal_handler(signal.SIGHUP, lambda: gevent.spawn(node.reload))
    flusher = gevent.spawn(lines.run)
    node.start(client_listener=client_listener)
    gevent.spawn(node.watch_settings, known_version)
    stopped.wait()
    node.close()
    flusher.kill()
    lines.flush_within(LAST_LINES_LIMIT_S)
    return 0
