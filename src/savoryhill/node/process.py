"""Assemble a node: decision core, effect drivers, HTTP servers and peer transport."""

from collections import deque
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from savoryhill.clock import Clock, system_clock
from savoryhill.core.events import DrainRequested
from savoryhill.core.membership.seeds import add_seed
from savoryhill.core.state import new_state
from savoryhill.endpoints.load import EndpointMonitor
from savoryhill.httpapp import serve
from savoryhill.node.admin import admin_application
from savoryhill.node.callers import CallerServer, serve_callers
from savoryhill.node.drivers import make_drivers
from savoryhill.node.drivers.attempts import watch_silent_attempts
from savoryhill.node.drivers.peers import on_peer_message, on_peer_unreachable
from savoryhill.node.front import front_application
from savoryhill.node.gauges import make_gauges
from savoryhill.node.readers import read_hosts_forever
from savoryhill.node.relay import Relay
from savoryhill.node.runtime import Runtime, run_ticks, submit
from savoryhill.node.settings import NodeSettings
from savoryhill.observability import timeline
from savoryhill.observability.hybrid_clock import (
    HybridClock,
    merge_stamp,
    next_stamp,
)
from savoryhill.observability.logs import log_event
from savoryhill.observability.metrics import Metrics, observe
from savoryhill.peers import transport as peers
from savoryhill.peers.operator import operator_address
from savoryhill.platform.key_value import (
    KeyValueClient,
    make_key_value_client,
)

# Bounds the wait for journal writes, and then the wait for acknowledgements of peers.
SETTLE_TIMEOUT_S = 3.0
_SETTLE_POLL_S = 0.02


@dataclass(kw_only=True)
class Node:
    """A running node: its core, connections, servers and greenlets."""

    settings: NodeSettings
    clock: Clock
    runtime: Runtime
    key_value: KeyValueClient
    hybrid_clock: HybridClock
    transport: peers.Transport | None = None
    callers: CallerServer | None = None
    relays_by_request: dict[str, Relay] = field(default_factory=dict)
    monitors_by_endpoint: dict[str, EndpointMonitor] = field(default_factory=dict)
    timeline_events: deque = field(
        default_factory=lambda: deque(maxlen=timeline.MAX_EVENTS)
    )
    metrics: Metrics = field(default_factory=Metrics)
    stopped: Event = field(default_factory=Event)
    servers: list = field(default_factory=list)
    greenlets: list = field(default_factory=list)

    def observe(self, metric, value, labels):
        """Add a value to a metric."""
        observe(self.metrics, metric, value, labels)

    def record(self, name, fields):
        """Write an event to the log and to the timeline buffer."""
        log_event(name, node=self.settings.node, **fields)
        timeline.add_event(self.timeline_events, self.hybrid_clock, name, fields)


def start_node(settings, *, clock=None):
    """Start a node in this process.

    Parameters
    ----------
    settings : NodeSettings
        Addresses, keys and limits of the node.
    clock : Clock, optional
        Clock of the runtime; the system clock by default.

    Returns
    -------
    Node
        The running node.
    """
    clock = clock or system_clock()
    incarnation = int(clock.wall() * 1000)
    state = new_state(
        node=settings.node,
        zone=settings.zone,
        region=settings.region,
        address=settings.peer_listen,
        incarnation=incarnation,
        seed=incarnation,
    )
    state.now = clock.monotonic()
    for seed, address in settings.seeds.items():
        add_seed(state, seed, address)
    node = Node(
        settings=settings,
        clock=clock,
        runtime=Runtime(state=state, clock=clock),
        key_value=make_key_value_client(
            settings.key_value,
            writes_per_s=settings.key_value_writes_per_s,
            reads_per_s=settings.key_value_reads_per_s,
            clock=clock,
            seed=incarnation,
            report=lambda name, **fields: log_event(
                name, level="WARNING", node=settings.node, **fields
            ),
        ),
        hybrid_clock=HybridClock(wall=clock.wall),
    )
    node.transport = peers.Transport(
        node=settings.node,
        incarnation=incarnation,
        key=settings.cluster_key.encode(),
        address_of=lambda name: _address_of(state, name),
        on_message=lambda sender, message: on_peer_message(node, sender, message),
        on_unreachable=lambda name, message: on_peer_unreachable(node, name, message),
        next_stamp=lambda: next_stamp(node.hybrid_clock),
        merge_stamp=lambda stamp: merge_stamp(node.hybrid_clock, stamp),
    )
    node.runtime.drivers_by_effect = make_drivers(node)
    peers.listen(node.transport, settings.peer_listen)
    node.callers = serve_callers(
        front_application(node),
        settings.listen,
        settings.limits,
        monotonic=clock.monotonic,
    )
    admin, _ = serve(admin_application(node, drain), settings.admin_listen)
    node.servers += [node.callers.wsgi, admin]
    node.metrics.gauges.update(make_gauges(node))
    node.greenlets += [
        gevent.spawn(read_hosts_forever, node),
        gevent.spawn(run_ticks, node.runtime, settings.tick_s),
        gevent.spawn(watch_silent_attempts, node),
    ]
    node.record("node.started", {"zone": settings.zone, "listen": settings.listen})
    return node


def drain(node):
    """Start a graceful shutdown.

    New requests are refused, and ``node.stopped`` is set once no request is in flight.
    """
    node.callers.draining = True
    submit(node.runtime, DrainRequested(at=node.clock.monotonic()))


def wait_drained(node):
    """Wait until every request has ended and its response is written.

    Then wait, with a time limit, for the journal and for acknowledgements of peers.
    The first wait is bounded too: every request has a deadline, and a caller that does
    not read its response is disconnected.
    """
    node.stopped.wait()
    while node.callers.n_answering:
        gevent.sleep(_SETTLE_POLL_S)
    settle_until = node.clock.monotonic() + SETTLE_TIMEOUT_S
    while not _is_journal_settled(node) and node.clock.monotonic() < settle_until:
        gevent.sleep(_SETTLE_POLL_S)
    # Permit releases, journal outcomes and group hand-overs must be acknowledged.
    peers.flush(node.transport, timeout_s=SETTLE_TIMEOUT_S)


def _is_journal_settled(node):
    """Tell whether no batch is queued or in flight and every outcome is confirmed."""
    journal = node.runtime.state.journal
    shards = journal.shards_by_number.values()
    writing = any(shard.pending or shard.in_flight_batch for shard in shards)
    return not writing and not journal.outcomes_by_attempt


def count_unfinished(node):
    """Count what an immediate stop would abort: responses, and requests by phase."""
    counts = {"answers": node.callers.n_answering}
    for request in node.runtime.state.requests.requests_by_id.values():
        counts[request.phase] = counts.get(request.phase, 0) + 1
    return counts


def stop_node(node):
    """Stop a node immediately, without draining it."""
    gevent.killall(node.greenlets)
    for server in node.servers:
        server.stop(timeout=0.2)
    peers.close(node.transport)


def _address_of(state, name):
    member = state.membership.members_by_node.get(name)
    return member.address if member is not None else operator_address(name)
