"""Simulated environment for the cores of a few nodes, in one process.

Nothing happens on its own: messages between nodes, key-value calls, timers and
service calls stay pending until the test carries them out, in any order and with
any fault, and the clock moves only when the test advances it. The cores and the
key-value client are the real ones; only the HTTP layer below the client is replaced.
"""

import json
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace

from savoryhill.clock import Clock
from savoryhill.core import effects, events, journal, messages, requests
from savoryhill.core.coordination.state import CoordinatorRecord
from savoryhill.core.membership.state import Member
from savoryhill.core.reducer import merge_handlers, reduce
from savoryhill.core.state import NodeState, new_state
from savoryhill.errors import NotConnectedError
from savoryhill.node.drivers.platform import call_key_value
from savoryhill.platform.key_value import make_key_value_client, transaction_body
from savoryhill.standins import platform_store as kv
from savoryhill.standins.world_configuration import SERVICE, order_configuration

# The test sets membership and coordination itself, so only the handlers of these
# subsystems run.
HANDLERS_BY_TYPE = merge_handlers((journal, requests))
COORDINATOR = "coordinator"
DEADLINE_S = 5.0
CALL_RESULTS = ("ok", "lost", "delayed", "refused", "down", "not_connected")
ATTEMPT_RESULTS = ("completed", "lost", "dropped", "not_sent", "refused", "delayed")


@dataclass(kw_only=True)
class WorldNode:
    """A node's core with its pending calls, timers and attempts.

    A paused node receives no messages, timers or ticks.
    """

    name: str
    state: NodeState
    client: object
    incarnation: int = 1
    paused: bool = False
    calls: list = field(default_factory=list)
    timers: list[tuple[float, str]] = field(default_factory=list)
    attempts: list[effects.StartAttempt] = field(default_factory=list)
    lookups: list[effects.LookUpCall] = field(default_factory=list)


@dataclass(kw_only=True)
class World:
    """The nodes, the key-value store and the service they call.

    ``delayed_writes`` holds key-value writes that may still arrive after their
    sender stopped waiting; ``delayed_executions`` holds such service calls.
    ``record_counts`` counts the events that the nodes logged, by name.
    """

    store: kv.StoreState = field(default_factory=kv.StoreState)
    now: float = 100.0
    n_requests: int = 0
    fault: str = "ok"
    nodes: dict[str, WorldNode] = field(default_factory=dict)
    in_flight_messages: list[tuple[str, str, messages.Message]] = field(
        default_factory=list
    )
    delayed_writes: list[dict] = field(default_factory=list)
    delayed_executions: list[messages.RequestSpec] = field(default_factory=list)
    specs: dict[str, messages.RequestSpec] = field(default_factory=dict)
    executions_by_key: Counter = field(default_factory=Counter)
    executed_requests: set[str] = field(default_factory=set)
    finishes: dict[str, effects.FinishRequest] = field(default_factory=dict)
    record_counts: Counter = field(default_factory=Counter)


def make_world(n_nodes):
    """Build a world with nodes named ``node-0``, ``node-1`` and so on."""
    world = World()
    for number in range(n_nodes):
        start_node(world, f"node-{number}")
    return world


def start_node(world, name):
    """Start a node, or restart it with the next incarnation."""
    previous = world.nodes.get(name)
    incarnation = previous.incarnation + 1 if previous else 1
    state = new_state(
        node=name,
        zone="zone-a",
        region="south",
        address=f"{name}:1",
        incarnation=incarnation,
        seed=incarnation,
    )
    state.configuration.active = order_configuration()
    state.coordination.records_by_group["orders/south/0"] = CoordinatorRecord(
        holder=COORDINATOR, fence=1
    )
    clock = Clock(
        monotonic=lambda: world.now,
        wall=lambda: world.now + 1e6,
        sleep=lambda seconds: None,
    )
    client = make_key_value_client("127.0.0.1:1", clock=clock, writes_per_s=1e6)
    client.reads.rate_per_s = client.reads.burst = client.reads.tokens = 1e6
    client.transport.http = SimpleNamespace(
        request=lambda method, path, body, headers: _serve_key_value(world, path, body)
    )
    world.nodes[name] = WorldNode(
        name=name, state=state, client=client, incarnation=incarnation
    )
    set_live_nodes(world, name, world.nodes)
    for other in world.nodes:
        if other != name:
            set_live_nodes(world, other, world.nodes)


def set_live_nodes(world, name, live_nodes):
    """Set which nodes a node considers live."""
    members = world.nodes[name].state.membership.members_by_node
    members.clear()
    for other in live_nodes:
        members[other] = Member(node=other, address=f"{other}:1")
    # A suspected member may coordinate a group but is not eligible to write a
    # journal shard.
    members[COORDINATOR] = Member(
        node=COORDINATOR, address=f"{COORDINATOR}:1", status="suspected"
    )


def _serve_key_value(world, path, body):
    """Handle a request of the key-value client under the current fault.

    ``lost`` applies a write and loses its response; ``delayed`` keeps the write so
    that it can be applied later. Reads fail under both.
    """
    fault, body = world.fault, json.loads(body)
    is_write = path == "/v3/kv/txn"
    if fault == "not_connected":
        raise NotConnectedError("no connection")
    if fault == "delayed" and is_write:
        world.delayed_writes.append(body)
    if fault == "delayed" or (fault == "lost" and not is_write):
        raise TimeoutError("no answer")
    if fault in ("refused", "down"):
        return _http_response(429 if fault == "refused" else 503, {})
    content = (kv.apply_transaction if is_write else kv.apply_range)(world.store, body)
    if fault == "lost":
        raise TimeoutError("no answer")
    return _http_response(200, content)


def _http_response(status, content):
    body = json.dumps(content).encode()
    return SimpleNamespace(status_code=status, read=lambda: body, items=dict().items)


def submit(world, node, event):
    """Apply an event to a node's core and queue or carry out its effects."""
    for effect in reduce(node.state, event, HANDLERS_BY_TYPE):
        effect_type = type(effect)
        if effect_type is effects.SendPeer:
            world.in_flight_messages.append((node.name, effect.to, effect.message))
        elif effect_type in (effects.KeyValueRange, effects.KeyValueTransaction):
            node.calls.append((world.now, effect))
        elif effect_type is effects.SetTimer:
            node.timers.append((world.now + effect.delay_s, effect.name))
        elif effect_type is effects.StartAttempt:
            node.attempts.append(effect)
        elif effect_type is effects.CancelAttempt:
            _cancel_attempt(world, node, effect)
        elif effect_type is effects.LookUpCall:
            node.lookups.append(effect)
        elif effect_type is effects.FinishRequest:
            world.finishes[effect.request_id] = effect
        elif effect_type is effects.Record:
            world.record_counts[effect.name] += 1


def _cancel_attempt(world, node, effect):
    for attempt in list(node.attempts):
        if attempt.spec.request_id == effect.request_id:
            node.attempts.remove(attempt)
            # The call may already be on its way, so the service may still execute it.
            world.delayed_executions.append(attempt.spec)


def place_order(world, name, key, *, body=b"body"):
    """Submit an order to a node as a client does; return the request id."""
    world.n_requests += 1
    request_id = f"{world.n_requests:032x}"
    spec = messages.RequestSpec(
        request_id=request_id,
        workspace="workspace-one",
        kind="order",
        target=SERVICE,
        is_model=False,
        prompt_tokens=0,
        max_tokens=0,
        deadline_at=world.now + DEADLINE_S,
        idempotent=False,
        journal_key=key.encode().ljust(16, b"."),
        body_digest=body.ljust(16, b"."),
        lookup_path="/lookup",
    )
    world.specs[request_id] = spec
    submit(world, world.nodes[name], events.RequestArrived(at=world.now, spec=spec))
    return request_id


def deliver(world, index, *, lose=False):
    """Deliver one in-flight message, or drop it if ``lose`` is set.

    The coordinator grants every placement. Messages to a paused node stay in
    flight.
    """
    sender, to, message = world.in_flight_messages.pop(
        index % len(world.in_flight_messages)
    )
    if lose:
        return
    if to == COORDINATOR:
        if type(message) is messages.PlaceRequest:
            reply = messages.PlaceReply(
                request_id=message.request_id,
                attempt=message.attempt,
                group=message.group,
                status="granted",
                endpoint="orders-0",
                fence=1,
            )
            world.in_flight_messages.append((COORDINATOR, sender, reply))
        return
    node = world.nodes[to]
    if node.paused:
        world.in_flight_messages.append((sender, to, message))
        return
    submit(
        world,
        node,
        events.PeerReceived(at=world.now, sender=sender, message=message),
    )


def answer_call(world, name, *, fault="ok", index=0):
    """Carry out one pending key-value call of a node, under a fault."""
    node = world.nodes[name]
    started_at, effect = node.calls.pop(index % len(node.calls))
    world.fault = fault
    event = call_key_value(
        node.client, effect, started_at=started_at, now=lambda: world.now
    )
    world.fault = "ok"
    submit(world, node, event)


def apply_delayed_write(world, index):
    """Apply a delayed write to the store."""
    kv.apply_transaction(
        world.store, world.delayed_writes.pop(index % len(world.delayed_writes))
    )


def _execute(world, spec):
    world.executions_by_key[spec.journal_key] += 1
    world.executed_requests.add(spec.request_id)


def execute_delayed_call(world, index):
    """Execute a delayed call at the service."""
    spec = world.delayed_executions.pop(index % len(world.delayed_executions))
    _execute(world, spec)


def service_response(spec):
    """Return the body of the service's response to a request."""
    return spec.request_id.encode()


def run_attempt(world, name, result):
    """Carry out a node's oldest pending call to the service.

    Parameters
    ----------
    world : World
        The world.
    name : str
        The calling node.
    result : str
        One of ``ATTEMPT_RESULTS``. ``lost`` executes the call and loses the
        response, ``dropped`` loses the call before its execution, and ``delayed``
        breaks the connection while the call may still reach the service.
    """
    node = world.nodes[name]
    effect = node.attempts.pop(0)
    spec = effect.spec
    if result in ("completed", "lost"):
        _execute(world, spec)
    elif result == "delayed":
        world.delayed_executions.append(spec)
    is_broken = result in ("lost", "dropped", "delayed")
    submit(
        world,
        node,
        events.AttemptEnded(
            at=world.now,
            request_id=spec.request_id,
            attempt=effect.attempt,
            result="broken" if is_broken else result,
            status=200 if result == "completed" else 0,
            response=service_response(spec) if result == "completed" else b"",
        ),
    )


def answer_lookup(world, name):
    """Answer a node's oldest pending lookup from the service's executions."""
    node = world.nodes[name]
    spec = node.lookups.pop(0).spec
    executed_specs = [
        other
        for other in world.specs.values()
        if other.journal_key == spec.journal_key
        and other.request_id in world.executed_requests
    ]
    submit(
        world,
        node,
        events.CallLookedUp(
            at=world.now,
            request_id=spec.request_id,
            result="executed" if executed_specs else "not_found",
            status=200 if executed_specs else 404,
            response=service_response(executed_specs[0]) if executed_specs else b"",
        ),
    )


def crash(world, name):
    """Crash a node's process and restart it.

    Its messages in flight are lost; its pending writes and service calls may still
    arrive.
    """
    node = world.nodes[name]
    world.delayed_writes += _pending_transactions(node)
    world.delayed_executions += [effect.spec for effect in node.attempts]
    world.in_flight_messages = [
        item for item in world.in_flight_messages if item[0] != name
    ]
    start_node(world, name)


def _pending_transactions(node):
    return [
        transaction_body(
            compares=effect.compares,
            puts=effect.puts,
            deletes=effect.deletes,
            delete_ranges=effect.delete_ranges,
        )
        for _, effect in node.calls
        if type(effect) is effects.KeyValueTransaction
    ]


def advance_time(world, seconds):
    """Advance the clock; fire due timers and a tick on every node not paused."""
    world.now += seconds
    for node in list(world.nodes.values()):
        if node.paused:
            continue
        due = [timer for timer in node.timers if timer[0] <= world.now]
        node.timers = [timer for timer in node.timers if timer[0] > world.now]
        for _, name in due:
            submit(world, node, events.TimerFired(at=world.now, name=name))
        wall_s = world.now + 1e6
        submit(world, node, events.Ticked(at=world.now, wall_s=wall_s))


def run_without_faults(world, *, n_rounds=400):
    """Resume all nodes and run ``n_rounds`` of 0.05 s without faults.

    Each round delivers all messages and carries out all pending calls.
    """
    for node in world.nodes.values():
        node.paused = False
    for _ in range(n_rounds):
        while world.in_flight_messages:
            deliver(world, 0)
        for name, node in world.nodes.items():
            while node.calls:
                answer_call(world, name)
            while node.attempts:
                run_attempt(world, name, "completed")
            while node.lookups:
                answer_lookup(world, name)
        advance_time(world, 0.05)
