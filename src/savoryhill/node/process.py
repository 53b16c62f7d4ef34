"""Assemble a node: core, drivers, HTTP front, peers and platform readers."""

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
from savoryhill.node.drivers.attempts import watch_silence
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

SETTLE_S = 3.0
_SETTLE_STEP_S = 0.02


@dataclass(kw_only=True)
class Node:
    """One running node."""

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
        """Record a measurement."""
        observe(self.metrics, metric, value, labels)

    def record(self, name, fields):
        """Write one event to the log and the time line."""
        log_event(name, node=self.settings.node, **fields)
        timeline.add_event(self.timeline_events, self.hybrid_clock, name, fields)


def start_node(settings, *, clock=None):
    """Start a node in this process.

    Parameters
    ----------
    settings : NodeSettings
        The node's settings.
    clock : Clock, optional
        The runtime's clock, that of the operating system if not given.

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
        gevent.spawn(watch_silence, node),
    ]
    node.record("node.started", {"zone": settings.zone, "listen": settings.listen})
    return node


def drain(node):
    """Stop accepting requests; ``node.stopped`` is set when none is left."""
    node.callers.draining = True
    submit(node.runtime, DrainRequested(at=node.clock.monotonic()))


def wait_drained(node):
    """Wait until every request has ended and its answer is written.

    Every request has a deadline, and a caller that reads nothing is cut off, so
    the wait is bounded.
    """
    node.stopped.wait()
    while node.callers.n_answering:
        gevent.sleep(_SETTLE_STEP_S)
    settled_by = node.clock.monotonic() + SETTLE_S
    while not _journal_settled(node) and node.clock.monotonic() < settled_by:
        gevent.sleep(_SETTLE_STEP_S)
    # Releases, journal endings and handed-over groups need an acknowledgement.
    peers.flush(node.transport, timeout_s=SETTLE_S)


def _journal_settled(node):
    """Tell whether no batch waits to be written and no ending to be confirmed."""
    journal = node.runtime.state.journal
    shards = journal.shards_by_number.values()
    writing = any(shard.pending or shard.flight for shard in shards)
    return not writing and not journal.endings_by_attempt


def count_unfinished(node):
    """Return what a stop at once would cut, by phase."""
    counts = {"answers": node.callers.n_answering}
    for request in node.runtime.state.requests.requests_by_id.values():
        counts[request.phase] = counts.get(request.phase, 0) + 1
    return counts


def stop_node(node):
    """Stop a node at once."""
    gevent.killall(node.greenlets)
    for server in node.servers:
        server.stop(timeout=0.2)
    peers.close(node.transport)


def _address_of(state, name):
    member = state.membership.members_by_node.get(name)
    return member.address if member is not None else operator_address(name)
