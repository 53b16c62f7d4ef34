"""Drive the routing of one coordinator through the real reducer.

The caller advances a virtual time; no process, socket or clock is used.
"""

from dataclasses import dataclass, field, replace

from savoryhill.config import model
from savoryhill.core import routing
from savoryhill.core.coordination.state import CoordinatorRecord, Role
from savoryhill.core.effects import SendPeer
from savoryhill.core.events import (
    ConfigurationRead,
    LoadPollFailed,
    LoadReported,
    PeerReceived,
    Ticked,
)
from savoryhill.core.membership.state import Member
from savoryhill.core.messages import (
    HeldPermit,
    PermitRelease,
    PermitReport,
    PlaceReply,
    PlaceRequest,
)
from savoryhill.core.reducer import merge_handlers, reduce
from savoryhill.core.state import NodeState, new_state

NODE = "node-0"
ENTRY = "node-1"
MODEL = "assistant"
MAX_GROUP_SIZE = 8
HANDLERS_BY_TYPE = merge_handlers((routing,))


@dataclass(kw_only=True)
class RoutingDriver:
    """One coordinator with its virtual time, and the replies and effects so far."""

    state: NodeState
    now: float = 100.0
    replies_by_key: dict[tuple[str, int], PlaceReply] = field(default_factory=dict)
    effects: list = field(default_factory=list)
    n_requests: int = 0


def make_configuration(
    *,
    n_engines=8,
    n_zones=3,
    slots=8,
    cold_slots=1,
    memory_tokens=600_000,
    prefill_tokens_per_s=100_000.0,
    decode_tokens_per_s=100.0,
    workspaces=(),
    checks_incarnation=True,
    group_size=MAX_GROUP_SIZE,
    kinds=(),
):
    """Build a configuration of one model on equal engines.

    Parameters
    ----------
    n_engines, n_zones, group_size : int
        Number of engines, number of availability zones and largest group.
    slots, cold_slots, memory_tokens : int
        Limits of every engine.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Rates of every engine.
    workspaces : tuple of Workspace
        Workspaces with their weights and limits.
    checks_incarnation : bool
        Whether the engines refuse requests for another incarnation.
    kinds : tuple of RequestKind
        Kinds of requests.

    Returns
    -------
    Configuration
        Revision 1.
    """
    n_groups = -(-n_engines // group_size)
    endpoint_ids = [f"engine-{number}" for number in range(n_engines)]
    return model.Configuration(
        revision=1,
        zones=tuple(
            model.Zone(name=f"zone-{number}", region="south")
            for number in range(n_zones)
        ),
        hardware=(
            model.Hardware(
                name="kind",
                prefill_tokens_per_s=prefill_tokens_per_s,
                decode_tokens_per_s=decode_tokens_per_s,
                memory_tokens=memory_tokens,
                slots=slots,
                cold_slots=cold_slots,
            ),
        ),
        endpoints=tuple(
            model.Endpoint(
                id=endpoint_id,
                address=f"10.0.0.{number % 250}:{8000 + number // 250}",
                zone=f"zone-{number % n_zones}",
                group=f"group-{number % n_groups}",
                hardware="kind",
                checks_incarnation=checks_incarnation,
            )
            for number, endpoint_id in enumerate(endpoint_ids)
        ),
        groups=tuple(
            model.Group(
                id=f"group-{number}",
                target=MODEL,
                region="south",
                endpoints=tuple(endpoint_ids[number::n_groups]),
            )
            for number in range(n_groups)
        ),
        models=(model.Model(name=MODEL, version="1"),),
        workspaces=tuple(workspaces),
        kinds=tuple(kinds),
    )


def make_driver(configuration, *, policy="savoryhill", seed=1, entries=(ENTRY,)):
    """Build a coordinator of all groups with a configuration in force.

    Parameters
    ----------
    configuration : Configuration
        The configuration.
    policy : str
        Routing policy.
    seed : int
        Seed of the core's random numbers.
    entries : tuple of str
        Other live nodes.

    Returns
    -------
    RoutingDriver
        The driver; no endpoint has reported its load yet.
    """
    state = new_state(
        node=NODE,
        zone="zone-0",
        region="south",
        address="10.1.0.0:7000",
        incarnation=1,
        seed=seed,
        policy=policy,
    )
    driver = RoutingDriver(state=state)
    for number, node in enumerate((NODE, *entries)):
        state.membership.members_by_node[node] = Member(
            node=node, address=f"10.1.0.{number}:7000"
        )
    for group in configuration.groups:
        make_coordinator(driver, group.id, fence=1)
    configure(driver, configuration)
    return driver


def make_coordinator(driver, group_id, *, fence, lease_expires_at=float("inf")):
    """Make the driven node the coordinator of a group."""
    never = float("-inf")
    coordination = driver.state.coordination
    coordination.records_by_group[group_id] = CoordinatorRecord(
        holder=NODE, fence=fence
    )
    coordination.roles_by_group[group_id] = Role(
        fence=fence,
        identity="",
        lease_expires_at=lease_expires_at,
        held_since=never,
        held_in_contact_since=never,
        took_over_at=never,
        confirmed=True,
    )


def replace_coordinator(driver, group_id):
    """Make another node the coordinator of a group."""
    coordination = driver.state.coordination
    fence = coordination.records_by_group[group_id].fence + 1
    coordination.records_by_group[group_id] = CoordinatorRecord(
        holder=ENTRY, fence=fence
    )
    del coordination.roles_by_group[group_id]


def reduce_event(driver, event):
    """Apply an event to the routing handlers only and return the effects.

    The last tick is set to the time of the event, so that an advance of the virtual
    time is not taken for a pause of the process.
    """
    driver.state.last_tick_at = event.at
    return reduce(driver.state, event, HANDLERS_BY_TYPE)


def apply(driver, event):
    """Apply an event, record its replies and effects, and return the effects."""
    effects = reduce_event(driver, event)
    for effect in effects:
        if type(effect) is SendPeer and type(effect.message) is PlaceReply:
            key = effect.message.request_id, effect.message.attempt
            driver.replies_by_key[key] = effect.message
    driver.effects.extend(effects)
    return effects


def configure(driver, configuration):
    """Put a configuration into force."""
    driver.state.configuration.active = configuration
    return apply(
        driver,
        ConfigurationRead(at=driver.now, configuration=configuration, source=ENTRY),
    )


def amend(configuration, *, withdrawn=(), leaving=(), **more):
    """Return the next revision of a configuration.

    ``withdrawn`` names the withdrawn zones and ``leaving`` the leaving endpoints;
    ``more`` replaces other fields.
    """
    return replace(
        configuration,
        revision=configuration.revision + 1,
        zones=tuple(
            replace(zone, withdrawn=zone.name in withdrawn)
            for zone in configuration.zones
        ),
        endpoints=tuple(
            replace(endpoint, leaving=endpoint.id in leaving)
            for endpoint in configuration.endpoints
        ),
        **more,
    )


def advance(driver, seconds, *, step_s=0.25):
    """Advance the time with a tick at every step; return all effects."""
    effects = []
    end = driver.now + seconds
    while driver.now < end - 1e-9:
        driver.now = min(end, driver.now + step_s)
        effects += apply(driver, Ticked(at=driver.now))
    return effects


def receive(driver, message, *, sender=ENTRY):
    """Deliver a message from another node."""
    return apply(driver, PeerReceived(at=driver.now, sender=sender, message=message))


def report_load(driver, endpoint, *, incarnation="1", warm=True, streams=None, **more):
    """Deliver the load report of an endpoint.

    By default it lists a stream for every permit on the endpoint.
    """
    if streams is None:
        target = endpoint_state(driver, endpoint)
        streams = (
            tuple(request_id for request_id, _ in target.permits_by_key)
            if target is not None
            else ()
        )
    values = {"running": len(streams), "memory_used_tokens": 0, **more}
    return apply(
        driver,
        LoadReported(
            at=driver.now,
            endpoint=endpoint,
            incarnation=incarnation,
            warm=warm,
            streams=tuple(streams),
            **values,
        ),
    )


def report_all_loads(driver, **more):
    """Deliver a load report of every endpoint."""
    effects = []
    for endpoint in driver.state.active.endpoints_by_id:
        effects += report_load(driver, endpoint, **more)
    return effects


def report_poll_failure(driver, endpoint):
    """Report that a load poll of an endpoint failed."""
    return apply(driver, LoadPollFailed(at=driver.now, endpoint=endpoint))


def endpoint_state(driver, endpoint):
    """Return the routing state of an endpoint, or None if its group has none yet."""
    group_id = driver.state.active.endpoints_by_id[endpoint].group
    group = driver.state.routing.groups_by_id.get(group_id)
    return group.states_by_endpoint.get(endpoint) if group else None


def place(driver, request_id=None, *, sender=ENTRY, **more):
    """Request a permit.

    Parameters
    ----------
    driver : RoutingDriver
        The driver.
    request_id : str, optional
        Identifier of the request; generated if not given.
    sender : str
        The entry node.
    **more
        Other fields of `PlaceRequest`.

    Returns
    -------
    PlaceReply or None
        The reply, or None if the request is queued.
    """
    if request_id is None:
        driver.n_requests += 1
        request_id = f"request-{driver.n_requests}"
    values = {
        "attempt": 1,
        "group": "group-0",
        "workspace": "one",
        "kind": "completion",
        "prompt_tokens": 1_000,
        "max_tokens": 100,
        "remaining_s": 30.0,
        **more,
    }
    key = request_id, values["attempt"]
    driver.replies_by_key.pop(key, None)
    receive(driver, PlaceRequest(request_id=request_id, **values), sender=sender)
    return driver.replies_by_key.get(key)


def release(driver, reply, *, result="completed", sender=ENTRY, **more):
    """Release a permit."""
    message = PermitRelease(
        request_id=reply.request_id,
        attempt=reply.attempt,
        group=reply.group,
        endpoint=reply.endpoint,
        result=result,
        **more,
    )
    return receive(driver, message, sender=sender)


def make_held_permit(reply, *, prompt_tokens=1_000, max_tokens=100, **more):
    """Build the entry of a granted permit in an entry node's permit report."""
    return HeldPermit(
        request_id=reply.request_id,
        attempt=reply.attempt,
        endpoint=reply.endpoint,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        parts=reply.parts,
        **more,
    )


def report_permits(driver, *held, group="group-0", sender=ENTRY):
    """Deliver the permit report of an entry node."""
    return receive(driver, PermitReport(group=group, permits=held), sender=sender)
