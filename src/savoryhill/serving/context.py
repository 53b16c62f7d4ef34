"""State and services shared by the requests of a node."""

import math
from dataclasses import dataclass, field
from random import Random

import gevent
from gevent.event import Event

from savoryhill.core.buffers import BufferBudget
from savoryhill.core.client_buffers import ClientBuffers
from savoryhill.core.observations.signs_of_life import SignsOfLife
from savoryhill.observability.metrics import observe
from savoryhill.serving.balancing import Balancer
from savoryhill.serving.cluster_view import ClusterView
from savoryhill.serving.crash_guard import CrashGuard
from savoryhill.serving.endpoint_statements import EndpointStatements
from savoryhill.serving.model import STREAM
from savoryhill.serving.repeats import RepeatBudgets
from savoryhill.serving.turns import Turns
from savoryhill.serving.ways.endpoint_ways import EndpointWays

# A call that may be repeated begins if this multiple of its target latency is left.
LATE_CALL_FACTOR = 2.0
# What still runs is answered this long before the node ends, so that the answer
# reaches the client.
ANSWER_MARGIN_S = 0.1
# If the store is available, a starting node reads it in a fraction of this time.
CONFIGURATION_WAIT_S = 0.5
# A starting node that knows of others serves after this time without their word.
GREETING_WAIT_S = 0.3


@dataclass(kw_only=True)
class NodeContext:
    """State and services of one node.

    ``answer_budget`` bounds what is kept of the responses of endpoints, and
    ``client_buffers`` what is kept for clients, and how many there are.
    ``log(event, **fields)`` writes a log line. ``draining_since`` is None until the
    node shuts down; from then on, requests are served as before until
    ``accepts_all_until``, and the node stops at ``stops_at``. ``has_stopped`` tells
    that the process is about to end: no request begins any more. ``n_reading`` counts
    the requests that have arrived in part, ``n_running`` those that are being served,
    and ``n_relayed`` the connections of other nodes that this one relays.
    ``exchanges`` holds the `Exchange` of each request that is being served, and
    ``waiting_sockets`` are those of clients from which no part of a request has come.
    """

    settings: object
    clock: object
    random: Random
    cluster_view: ClusterView
    dispatcher: object
    balancer: Balancer
    repeat_budgets: RepeatBudgets
    crash_guard: CrashGuard
    endpoint_statements: EndpointStatements
    turns: Turns
    ways: EndpointWays
    answer_budget: BufferBudget
    client_buffers: ClientBuffers
    metrics: object
    log: object
    draining_since: float | None = None
    accepts_all_until: float = 0.0
    stops_at: float = 0.0
    has_stopped: bool = False
    is_configured: Event = field(default_factory=Event)
    n_reading: int = 0
    n_running: int = 0
    n_started: int = 0
    n_relayed: int = 0
    exchanges: set = field(default_factory=set)
    waiting_sockets: set = field(default_factory=set)
    signs_of_life: SignsOfLife = field(default_factory=SignsOfLife)
    _awaits_greeting: bool = field(default=False, init=False)
    _was_greeted: bool = field(default=False, init=False)

    def on_cluster_view_change(self):
        """Wake requests that wait for the first configuration, once it is known.

        Load pattern: a node starts just after the store has come back from an older
        copy. Others know what outranks the copy, so their word is awaited.
        """
        if self.cluster_view.configuration is None or self._awaits_greeting:
            return
        if self._was_greeted or not self._knows_other_nodes():
            self.is_configured.set()
            return
        self._awaits_greeting = True
        gevent.spawn_later(GREETING_WAIT_S, self.is_configured.set)

    def on_greeting(self):
        """Note that another node has told what it knows."""
        self._was_greeted = True
        if self.cluster_view.configuration is not None:
            self.is_configured.set()

    def _knows_other_nodes(self):
        return bool(self.cluster_view.nodes_by_name.keys() - {self.settings.node})

    def await_configuration(self):
        """Wait a short time for the first configuration after a start."""
        self.is_configured.wait(timeout=CONFIGURATION_WAIT_S)

    def is_draining(self):
        """Tell whether the node is shutting down."""
        return self.draining_since is not None

    def stopping_for_s(self):
        """Return for how many seconds the node has been shutting down, or None."""
        if not self.is_draining():
            return None
        return self.clock.monotonic() - self.draining_since

    def answers_until(self):
        """Return until when this node gives answers, in seconds of its clock."""
        if not self.is_draining():
            return math.inf
        return self.stops_at - ANSWER_MARGIN_S

    def may_begin(self, request):
        """Tell whether a request that has just arrived can be served before the end.

        Load pattern: several nodes of an availability zone are stopped at once, and the
        platform goes on sending requests to all of them. A stream that begins late
        would be cut within its answer. A call may take all the time that its client
        gives it; one that may run only once begins only if that much is left.
        """
        if self.has_stopped:
            return False
        now, route = self.clock.monotonic(), request.route
        if not self.is_draining() or now <= self.accepts_all_until:
            return True
        if route.kind == STREAM:
            return False
        if route.may_repeat:
            needed_s = LATE_CALL_FACTOR * route.target_latency_s
            return now + needed_s <= self.answers_until()
        return request.due_at <= self.answers_until()

    def is_idle(self):
        """Tell whether no request is being read, served or relayed."""
        return self.n_reading == self.n_running == self.n_relayed == 0

    def is_ready(self):
        """Tell whether the node accepts new connections."""
        return (
            not self.is_draining()
            and self.is_configured.is_set()
            and self.cluster_view.configuration is not None
        )

    def choose_target(self, targets):
        """Choose the name of a service at random by weight.

        Returns
        -------
        str or None
            None if no service has a weight above 0: none of them gets requests.
        """
        names = [name for name, weight in targets if weight > 0.0]
        weights = [weight for _, weight in targets if weight > 0.0]
        if len(names) < 2:
            return names[0] if names else None
        return self.random.choices(names, weights)[0]

    def observe(self, name, value, route, **labels):
        """Record a metric value, labelled with the name of the request's route."""
        kind = route.name if route is not None else "none"
        observe(self.metrics, name, value, {"kind": kind, **labels})
