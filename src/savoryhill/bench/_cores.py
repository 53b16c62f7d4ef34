"""Run the configuration handlers of many cores in virtual time, without sockets."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import lru_cache
from random import Random

from savoryhill.bench._answers import answers_text, make_answers
from savoryhill.bench._memory import MemoryService, memory_read, memory_store
from savoryhill.config.apply import apply_answers
from savoryhill.config.model import load_configuration
from savoryhill.config.records import HEAD_KEY
from savoryhill.core import configuration, effects, events, messages
from savoryhill.core.configuration.confirmation import confirmed_age_s
from savoryhill.core.configuration.distribution import revision_in_force
from savoryhill.core.membership.state import Member
from savoryhill.core.state import NodeState, new_state
from savoryhill.errors import PlatformUnreachableError

TICK_S = 0.05
PROBE_INTERVAL_S = 1.0
SERVICE_LATENCY_S = 0.003

_load = lru_cache(maxsize=64)(load_configuration)


@dataclass(kw_only=True)
class Cores:
    """Cores of many nodes with the links between them, in virtual time.

    ``may_pass`` tells whether a message from one node reaches another and
    ``reaches_service`` whether a node reaches the key-value service. Messages with
    the content of a configuration are lost while ``deliver_values`` is false. Actions
    on a paused node are delayed until its time in ``paused_until_by_node``.
    """

    service: MemoryService
    random: Random
    loss: float = 0.0
    link_latency_s: float = 0.001
    watch_lag_s: float = 0.0
    now: float = 0.0
    n_queued: int = 0
    queue: list = field(default_factory=list)
    states_by_node: dict[str, NodeState] = field(default_factory=dict)
    watch_starts_by_node: dict[str, int] = field(default_factory=dict)
    silent_watches: set[str] = field(default_factory=set)
    deliver_values: bool = True
    paused_until_by_node: dict[str, float] = field(default_factory=dict)
    may_pass: Callable[[str, str], bool] = lambda sender, receiver: True
    reaches_service: Callable[[str], bool] = lambda node: True
    in_force: list[tuple[float, str, int]] = field(default_factory=list)
    records: list[tuple[float, str, effects.Record]] = field(default_factory=list)
    n_messages_by_type: dict[type, int] = field(default_factory=dict)


def start_cores(*, n_nodes, n_zones, seed, loss=0.0):
    """Start cores that know each other, with no configuration in the service."""
    service = MemoryService()
    cores = Cores(service=service, random=Random(seed), loss=loss)
    service.on_put = lambda row: _notify_watches(cores, row)
    zones_by_node = {f"node-{n}": f"zone-{n % n_zones}" for n in range(n_nodes)}
    for node in zones_by_node:
        add_core(cores, node, zones_by_node)
    return cores


def start_configured_cores(*, n_nodes=9, n_zones=3, seed=1, loss=0.0):
    """Start cores and run until revision 1 is in force and confirmed."""
    cores = start_cores(n_nodes=n_nodes, n_zones=n_zones, seed=seed, loss=loss)
    apply_revision(cores, 1)
    run_until_in_force(cores, 1, timeout_s=10.0)
    run(cores, 3.0)
    return cores


def apply_revision(cores, revision):
    """Apply a small change to the revision before the given one."""
    answers = make_answers(n_engines=4, n_workspaces=2)
    answers["policy"] = {"short_prompt_tokens": 4_000 + revision}
    return apply_answers(
        memory_store(cores.service),
        answers_text(answers, taken_from=revision - 1),
        place="bench",
        author="bench",
        attempt=f"attempt-{revision}",
    )


def record_names(cores):
    """Return the names of all log events of the cores, in order."""
    return [record.name for _, _, record in cores.records]


def deliver_value(cores, sender, receiver, content):
    """Deliver a configuration to one core, as a peer or an operator does."""
    message = messages.ConfigValue(revision=0, content=content)
    _deliver(cores, sender, receiver, message)


def add_core(cores, node, zones_by_node):
    """Start one core that knows the given members."""
    state = new_state(
        node=node,
        zone=zones_by_node[node],
        region="south",
        address="",
        incarnation=1,
        seed=cores.random.randrange(2**32),
    )
    for name, zone in zones_by_node.items():
        state.membership.members_by_node[name] = Member(
            node=name, address="", zone=zone
        )
    cores.states_by_node[node] = state
    _schedule(cores, cores.random.random() * TICK_S, node, _tick, node)
    _schedule(cores, cores.random.random() * PROBE_INTERVAL_S, node, _probe, node)


def run(cores, duration_s):
    """Advance the virtual time and run the actions that are due."""
    ends_at = cores.now + duration_s
    while cores.queue and cores.queue[0][0] <= ends_at:
        cores.now, _, node, action, *arguments = heapq.heappop(cores.queue)
        resumes_at = cores.paused_until_by_node.get(node, 0.0)
        if resumes_at > cores.now:
            _schedule(cores, resumes_at - cores.now, node, action, *arguments)
        else:
            action(cores, *arguments)
    cores.now = ends_at


def run_until_in_force(cores, revision, *, timeout_s, nodes=None):
    """Advance the time until a revision is in force on the given nodes.

    Returns
    -------
    float
        Virtual seconds until then.

    Raises
    ------
    TimeoutError
        If the timeout has passed; the message names the nodes on which the revision
        is not in force.
    """
    started_at = cores.now
    nodes = list(cores.states_by_node if nodes is None else nodes)
    while True:
        lagging_nodes = [
            node
            for node in nodes
            if revision_in_force(cores.states_by_node[node]) < revision
        ]
        if not lagging_nodes:
            return cores.now - started_at
        if cores.now - started_at >= timeout_s:
            raise TimeoutError(
                f"revision {revision} is not in force on {lagging_nodes} after "
                f"{timeout_s} s"
            )
        run(cores, 0.01)


def count_reverts(cores):
    """Count how often a node put a revision in force that is not above its highest."""
    highest_by_node, n_reverts = {}, 0
    for _, node, revision in cores.in_force:
        n_reverts += revision <= highest_by_node.get(node, 0)
        highest_by_node[node] = max(revision, highest_by_node.get(node, 0))
    return n_reverts


def feed(cores, node, event):
    """Apply one event to a core and execute the effects."""
    state = cores.states_by_node[node]
    state.now = event.at
    is_message = type(event) is events.PeerReceived
    kind = type(event.message) if is_message else type(event)
    handler = configuration.HANDLERS.get(kind)
    for effect in (handler(state, event) or ()) if handler is not None else ():
        _execute(cores, node, effect)


def _schedule(cores, delay_s, node, action, *arguments):
    """Schedule an action on a node."""
    cores.n_queued += 1
    entry = (cores.now + delay_s, cores.n_queued, node, action, *arguments)
    heapq.heappush(cores.queue, entry)


def _tick(cores, node):
    feed(cores, node, events.Ticked(at=cores.now))
    _schedule(cores, TICK_S, node, _tick, node)


def _gossip_fields(state, now):
    state.now = now
    return {
        "config_revision": revision_in_force(state),
        "config_confirmed_age_s": confirmed_age_s(state),
    }


def _probe(cores, node):
    others = [name for name in cores.states_by_node if name != node]
    if others:
        target = cores.random.choice(others)
        fields = _gossip_fields(cores.states_by_node[node], cores.now)
        ping = messages.Ping(probe=0, target=target, origin=node, **fields)
        _send(cores, node, target, ping)
    _schedule(cores, PROBE_INTERVAL_S, node, _probe, node)


def _send(cores, sender, receiver, message):
    counts = cores.n_messages_by_type
    counts[type(message)] = counts.get(type(message), 0) + 1
    if receiver not in cores.states_by_node or cores.random.random() < cores.loss:
        return
    _schedule(
        cores, cores.link_latency_s, receiver, _deliver, sender, receiver, message
    )


def _deliver(cores, sender, receiver, message):
    if not cores.may_pass(sender, receiver):
        return
    if type(message) is messages.ConfigValue:
        if not cores.deliver_values:
            return
        event = events.ConfigurationRead(
            at=cores.now,
            configuration=_load(message.content),
            source=sender,
            content=message.content,
        )
    else:
        event = events.PeerReceived(at=cores.now, sender=sender, message=message)
    feed(cores, receiver, event)
    if type(message) is messages.Ping:
        fields = _gossip_fields(cores.states_by_node[receiver], cores.now)
        ack = messages.Ack(probe=0, target=receiver, **fields)
        _send(cores, receiver, sender, ack)


def _complete_read(cores, node, effect, started_at):
    try:
        if not cores.reaches_service(node):
            raise PlatformUnreachableError("node cannot reach the key-value service")
        response = memory_read(cores.service, effect.key, prefix=effect.prefix)
        status, rows, revision = "ok", response.rows, response.revision
    except PlatformUnreachableError:
        status, rows, revision = "unreachable", (), 0
    answered = events.KeyValueAnswered(
        at=cores.now + SERVICE_LATENCY_S,
        call_id=effect.call_id,
        status=status,
        started_at=started_at,
        rows=rows,
        revision=revision,
    )
    _schedule(cores, SERVICE_LATENCY_S, node, _deliver_key_value_answer, node, answered)


def _deliver_key_value_answer(cores, node, answered):
    feed(cores, node, replace(answered, at=cores.now))


def _notify_watches(cores, row):
    for node, start in tuple(cores.watch_starts_by_node.items()):
        silent = node in cores.silent_watches or not cores.reaches_service(node)
        if row.key == HEAD_KEY and row.mod_revision >= start and not silent:
            delay_s = cores.watch_lag_s + SERVICE_LATENCY_S
            _schedule(cores, delay_s, node, _deliver_head, node, row.value)


def _deliver_head(cores, node, value):
    feed(cores, node, events.ConfigurationHeadSeen(at=cores.now, value=value))


def _execute(cores, node, effect):
    kind = type(effect)
    if kind in (effects.SendPeer, effects.SendDatagram):
        _send(cores, node, effect.to, effect.message)
    elif kind is effects.KeyValueRange:
        _schedule(cores, SERVICE_LATENCY_S, "", _complete_read, node, effect, cores.now)
    elif kind is effects.WatchConfiguration:
        cores.watch_starts_by_node.pop(node, None)
        if effect.watch:
            cores.watch_starts_by_node[node] = effect.from_revision
            cores.silent_watches.discard(node)
    elif kind is effects.ConfigurationInForce:
        cores.in_force.append((cores.now, node, effect.revision))
    elif kind is effects.Record:
        cores.records.append((cores.now, node, effect))
