"""Assemble a node: core, drivers, HTTP front, peers and platform readers."""

from collections import deque
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from savoryhill.clock import Clock, system_clock
from savoryhill.core.events import DrainRequested
from savoryhill.core.membership.seeds import add_seed
from savoryhill.core.state import new_state
from savoryhill.httpapp import serve
from savoryhill.node.drivers import make_drivers
from savoryhill.node.drivers.peers import on_peer_message, on_peer_unreachable
from savoryhill.node.front import front_application
from savoryhill.node.readers import read_hosts_forever
from savoryhill.node.relay import Relay
from savoryhill.node.runtime import Runtime, run_ticks, submit
from savoryhill.node.settings import NodeSettings
from savoryhill.observability.logs import log_event
from savoryhill.peers import transport as peers
from savoryhill.peers.operator import operator_address
from savoryhill.platform.key_value import (
    KeyValueClient,
    connect_key_value,
)

N_TIME_LINE_EVENTS = 20_000


@dataclass(kw_only=True)
class Node:
    """One running node."""

    settings: NodeSettings
    clock: Clock
    runtime: Runtime
    key_value: KeyValueClient
    transport: peers.Transport | None = None
    relays_by_request: dict[str, Relay] = field(default_factory=dict)
    time_line: deque = field(default_factory=lambda: deque(maxlen=N_TIME_LINE_EVENTS))
    values_by_metric: dict[str, list] = field(default_factory=dict)
    stopped: Event = field(default_factory=Event)
    servers: list = field(default_factory=list)
    greenlets: list = field(default_factory=list)

    def observe(self, metric, value, labels):
        """Keep a measurement."""
        self.values_by_metric.setdefault(metric, []).append((value, labels))


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
        key_value=connect_key_value(
            settings.key_value,
            writes_per_s=settings.key_value_writes_per_s,
            reads_per_s=settings.key_value_reads_per_s,
            clock=clock,
            seed=incarnation,
            report=lambda name, **fields: log_event(
                name, level="WARNING", node=settings.node, **fields
            ),
        ),
    )
    node.transport = peers.Transport(
        node=settings.node,
        incarnation=incarnation,
        key=settings.cluster_key.encode(),
        address_of=lambda name: _address_of(state, name),
        on_message=lambda sender, message: on_peer_message(node, sender, message),
        on_unreachable=lambda name, message: on_peer_unreachable(node, name, message),
    )
    node.runtime.drivers_by_effect = make_drivers(node)
    peers.listen(node.transport, settings.peer_listen)
    server, _ = serve(front_application(node), settings.listen)
    node.servers.append(server)
    node.greenlets += [
        gevent.spawn(read_hosts_forever, node),
        gevent.spawn(run_ticks, node.runtime, settings.tick_s),
    ]
    log_event("node.started", node=settings.node, zone=settings.zone)
    return node


def drain(node):
    """Stop accepting requests; ``node.stopped`` is set when none is left."""
    submit(node.runtime, DrainRequested(at=node.clock.monotonic()))


def flush_endings(node, *, timeout_s):
    """Wait until the journal has confirmed how this node's calls ended.

    What is not confirmed in time becomes an unknown outcome for repeated calls.
    """
    with gevent.Timeout(timeout_s, False):
        while node.runtime.state.journal.endings_by_attempt:
            gevent.sleep(0.01)


def stop_node(node):
    """Stop a node at once."""
    gevent.killall(node.greenlets)
    for server in node.servers:
        server.stop(timeout=0.2)
    peers.close(node.transport)


def _address_of(state, name):
    member = state.membership.members_by_node.get(name)
    return member.address if member is not None else operator_address(name)
