"""Starts, drains and stops the serving process of a node."""

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
from savoryhill.errors import MalformedMessageError, SettingsError
from savoryhill.observability.metrics import Metrics, observe, prometheus_text
from savoryhill.platform.boot_settings import load_settings, settings_path
from savoryhill.platform.names import READINESS_PATH
from savoryhill.platform.store import Store
from savoryhill.serving.balancing import Balancer
from savoryhill.serving.context import NodeContext
from savoryhill.serving.dispatch import Dispatcher
from savoryhill.serving.front import serve_client
from savoryhill.serving.http import RequestReader, encode_head, split_address
from savoryhill.serving.knowledge import Knowledge
from savoryhill.serving.log_lines import LogLines
from savoryhill.serving.registration import keep_registered
from savoryhill.serving.repeats import RepeatBudgets
from savoryhill.serving.scheduling import Scheduling
from savoryhill.serving.start import open_listener
from savoryhill.serving.watching import Watcher

MAX_CONNECTIONS = 3000
METRICS_PORT = 9464
METRICS_PATH = b"/metrics"
# What is left of the grace period when the last streams are ended.
GRACE_MARGIN_S = 0.6
DRAIN_CHECK_S = 0.05
EXIT_SETTINGS = 2
SETTINGS_CHECK_S = 1.0
# Settings that take effect at the next start only.
FIXED_SETTINGS = frozenset(
    (
        "node",
        "client_address",
        "readiness_address",
        "peer_address",
        "store_address",
    )
)
STOP_ACCEPT_S = 3.0


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
        knowledge = Knowledge(clock=clock, record=record)
        store = Store(address=settings.store_address, clock=clock, observe=observe_call)

        repeats = RepeatBudgets(
            settings=lambda: self._settings,
            n_nodes=lambda: len(knowledge.nodes_by_name),
        )
        scheduling = Scheduling(
            clock=clock,
            knowledge=knowledge,
            record=record,
            is_alone=lambda: dispatcher.is_standalone(),
            repeats=repeats,
        )
        dispatcher = Dispatcher(
            node=settings.node,
            address=settings.peer_address,
            clock=clock,
            knowledge=knowledge,
            scheduling=scheduling,
            record=record,
        )
        self._watcher = Watcher(
            store=store,
            knowledge=knowledge,
            must_watch=dispatcher.is_leader,
            publish=dispatcher.publish,
            on_contact=dispatcher.note_store_contact,
            takes_turns=dispatcher.has_leader,
            random=random,
            clock=clock,
        )
        self._store = store
        self._dispatcher = dispatcher
        self.context = NodeContext(
            settings=settings,
            clock=clock,
            random=random,
            knowledge=knowledge,
            dispatcher=dispatcher,
            balancer=Balancer(clock=clock, random=random, knowledge=knowledge),
            repeat_budgets=repeats,
            metrics=metrics,
            log=log,
        )
        knowledge.on_change.append(self.context.on_cluster_view_change)
        self._set_gauges(metrics, scheduling)

    def _set_gauges(self, metrics, scheduling):
        knowledge, context = self.context.knowledge, self.context
        metrics.gauges.update(
            requests_running=lambda: context.n_running,
            configuration_version=lambda: (
                knowledge.configuration.version if knowledge.configuration else 0
            ),
            store_contact_age_s=lambda: min(1e9, knowledge.contact_age_s()),
            nodes_known=lambda: len(knowledge.nodes_by_name),
            endpoints_known=lambda: len(knowledge.endpoints_by_id),
            jobs_waiting=lambda: sum(
                len(s.waiting_by_id) for s in scheduling.schedulers_by_service.values()
            ),
            log_lines_dropped=lambda: self._lines.n_dropped,
            requests_started=lambda: context.n_started,
        )

    def start(self, *, client_listener=None):
        """Listen and start the background work.

        Parameters
        ----------
        client_listener : socket or None
            Listens for clients already; None opens a listener.
        """
        settings, context = self._settings, self.context
        if client_listener is None:
            client_listener = open_listener(settings.client_address)
        self._serve(client_listener, lambda sock, _: serve_client(context, sock))
        readiness_listener = open_listener(settings.readiness_address)
        self._serve(readiness_listener, self._serve_readiness)
        peer_listener = open_listener(settings.peer_address)
        self._serve(peer_listener, self._dispatcher.serve_link)
        metrics_host = split_address(settings.client_address)[0]
        metrics_listener = open_listener(f"{metrics_host}:{METRICS_PORT}")
        self._serve(metrics_listener, self._serve_metrics)
        for work in (
            self._watcher.run,
            self._dispatcher.follow_leader,
            self._dispatcher.place_waiting_periodically,
            self._dispatcher.send_heartbeats_to_followers,
            self._keep_registered,
        ):
            self._greenlets.append(gevent.spawn(work))
        self._record("node.started", {"node": settings.node, "zone": settings.zone})

    def stop(self):
        """Stop listening and end the background work at once."""
        for server in self._servers:
            server.stop(timeout=0)
            server.pool.kill()
        gevent.killall(self._greenlets)

    def _keep_registered(self):
        keep_registered(store=self._store, settings=self._settings, record=self._record)

    def _serve(self, listener, handle):
        server = StreamServer(listener, handle, spawn=Pool(MAX_CONNECTIONS))
        server.start()
        self._servers.append(server)

    def _serve_readiness(self, sock, _address):
        self._serve_text(sock, READINESS_PATH, self._readiness)

    def _readiness(self):
        return (200, b"ready\n") if self.context.is_ready() else (503, b"not ready\n")

    def _serve_metrics(self, sock, _address):
        self._serve_text(
            sock,
            METRICS_PATH,
            lambda: (200, prometheus_text(self.context.metrics).encode()),
        )

    def _serve_text(self, sock, path, content):
        reader = RequestReader(max_header_bytes=8192, max_body_bytes=8192)
        try:
            while True:
                while not reader.requests:
                    sock.settimeout(30.0)
                    data = sock.recv(8192)
                    if not data:
                        return
                    reader.feed(data)
                request = reader.requests.popleft()
                status, body = content() if request.target == path else (404, b"")
                length = str(len(body)).encode()
                sock.sendall(encode_head(status, [(b"content-length", length)]) + body)
                if not request.keep_alive:
                    return
        except (OSError, MalformedMessageError) as error:
            self._record("inspection.broken", {"cause": repr(error)})
        finally:
            sock.close()

    def reload(self):
        """Read the settings file again; what can't change keeps its value."""
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
        at_restart = sorted(set(changed) & FIXED_SETTINGS)
        self._record(
            "settings.reloaded",
            {"changed": ",".join(changed), "at_restart": ",".join(at_restart)},
        )

    def watch_settings(self):
        """Reload when the file changes, as it may without a signal."""
        path = settings_path()
        known = _file_version(path)
        while True:
            gevent.sleep(SETTINGS_CHECK_S)
            version = _file_version(path)
            if version != known:
                known = version
                self.reload()

    def drain(self):
        """Finish what runs, within the grace period, then stop."""
        context = self.context
        if context.is_draining():
            return
        started = context.clock.monotonic()
        context.draining_since = started
        self._record("node.draining", {"running": context.n_running})
        ends_at = started + self._settings.grace_s - GRACE_MARGIN_S
        accept_until = min(ends_at, started + STOP_ACCEPT_S)
        while context.clock.monotonic() < ends_at:
            context.clock.sleep(DRAIN_CHECK_S)
            if context.n_running == 0 and context.clock.monotonic() >= accept_until:
                break
        self._record("node.stopped", {"unfinished": context.n_running})


def _file_version(path):
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; the next check sees the new one.
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def report_invalid_settings(error):
    """Write a line with all findings and return the exit code."""
    lines = LogLines(fd=sys.stdout.fileno(), node="unknown")
    lines.write("settings.invalid", {"cause": str(error)})
    lines.flush()
    return EXIT_SETTINGS


def run(settings, client_listener):
    """Run the process until SIGTERM has been carried out.

    Parameters
    ----------
    settings : ServingSettings
        Of the process.
    client_listener : socket
        Listens for clients already.

    Returns
    -------
    int
        Exit code.
    """
    lines = LogLines(fd=sys.stdout.fileno(), node=settings.node)
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
    gevent.spawn(node.watch_settings)
    stopped.wait()
    flusher.kill()
    lines.flush()
    return 0
