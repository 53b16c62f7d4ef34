"""Roll out the configured version of a model to its engines.

All orders of a model come from one node, the coordinator of the model's first
group. At most a fixed share of the engines is updated at the same time, beginning
with a single engine, and the rollout stops if the first engines fail. Both rules
are from "Deploys at GameChanger" by K. Gittens; `docs/decisions/routing.md` has
the measurement.
"""

from savoryhill.core.coordination.view import (
    fence_of,
    holder_of,
    is_provisional,
    may_grant,
    took_over_at,
)
from savoryhill.core.effects import PollLoad, SendOrder, record
from savoryhill.core.events import LoadReported, OrderAnswered, Ticked
from savoryhill.core.routing.state import Rollout

# Share of a model's engines that may be updated at the same time.
WAVE_SHARE = 0.1
# A rollout is broken once this share of the engines that finished has failed.
BROKEN_FAILURE_SHARE = 0.2
ORDER_TIMEOUT_S = 180.0
CHECK_INTERVAL_S = 1.0
POLL_INTERVAL_S = 5.0
# Time until no order of the previous issuer can arrive any more: its role lease
# (3 s) plus the time limit for sending an order (2 s).
EARLIER_ORDERS_WAIT_S = 5.0


def issuer_of(state, model_name):
    """Return the node that issues a model's orders, and its first group.

    Parameters
    ----------
    state : NodeState
        The node's state.
    model_name : str
        The model.

    Returns
    -------
    tuple of (str or None, str)
        Node and group; an empty group if no endpoint serves the model.
    """
    group_ids = state.active.group_ids_by_target.get(model_name, ())
    if not group_ids:
        return None, ""
    return holder_of(state, group_ids[0]), group_ids[0]


def wave_limit(n_engines, n_succeeded):
    """Return how many engines of a model may be updated at the same time."""
    if not n_succeeded:
        return 1
    return max(1, int(WAVE_SHARE * n_engines))


def is_broken(rollout):
    """Return whether too many engines of a rollout have failed."""
    outcomes = rollout.outcomes_by_endpoint.values()
    n_failed = sum(outcome == "failed" for outcome in outcomes)
    n_ended = sum(outcome in ("ok", "failed") for outcome in outcomes)
    return n_failed > 0 and n_failed >= BROKEN_FAILURE_SHARE * n_ended


def _engines_of(state, model_name):
    active = state.active
    for group_id in active.group_ids_by_target.get(model_name, ()):
        for endpoint_id in active.groups_by_id[group_id].endpoints:
            yield active.endpoints_by_id[endpoint_id]


def _current_rollout(state, model, fence):
    """Return the model's rollout; a new version or fence starts a new one."""
    rollouts = state.routing.rollouts_by_model
    rollout = rollouts.get(model.name)
    if rollout is None or rollout.version != model.version or rollout.fence != fence:
        rollout = Rollout(version=model.version, started_at=state.now, fence=fence)
        rollouts[model.name] = rollout
    return rollout


def _update_outcomes(state, rollout, engines):
    """Update the outcomes of running orders from the reported versions."""
    for engine in engines:
        if rollout.outcomes_by_endpoint.get(engine.id) != "running":
            continue
        if state.routing.versions_by_endpoint.get(engine.id) == rollout.version:
            rollout.outcomes_by_endpoint[engine.id] = "ok"
        elif state.now - rollout.ordered_at_by_endpoint[engine.id] > ORDER_TIMEOUT_S:
            rollout.outcomes_by_endpoint[engine.id] = "failed"


def _advance_rollout(state, model, group_id):
    """Send the next orders of a model within its limits."""
    fence = fence_of(state, group_id)
    rollout = _current_rollout(state, model, fence)
    if rollout.broken:
        return
    engines = tuple(_engines_of(state, model.name))
    _update_outcomes(state, rollout, engines)
    if is_broken(rollout):
        rollout.broken = True
        yield record(
            "routing.rollout_broken",
            model=model.name,
            version=model.version,
            outcomes=",".join(
                f"{endpoint}:{outcome}"
                for endpoint, outcome in rollout.outcomes_by_endpoint.items()
            ),
        )
        return
    versions = state.routing.versions_by_endpoint
    outcomes = rollout.outcomes_by_endpoint
    outdated = [
        engine for engine in engines if versions.get(engine.id) != model.version
    ]
    yield from _poll_engines_of_others(state, rollout, outdated)
    n_running = sum(outcome == "running" for outcome in outcomes.values())
    n_succeeded = sum(outcome == "ok" for outcome in outcomes.values())
    limit = wave_limit(len(engines), n_succeeded)
    waited_s = state.now - took_over_at(state, group_id)
    for engine in outdated:
        if n_running >= limit or state.now < rollout.next_load_at:
            return
        if engine.leaving or not versions.get(engine.id) or engine.id in outcomes:
            continue
        if not engine.checks_fencing and waited_s < EARLIER_ORDERS_WAIT_S:
            # It would also execute a delayed order of the previous issuer.
            continue
        n_running += 1
        outcomes[engine.id] = "running"
        rollout.ordered_at_by_endpoint[engine.id] = state.now
        rollout.next_load_at = state.now + _load_interval_s(state)
        yield SendOrder(
            order_id=f"{model.name}/{model.version}/{engine.id}/{fence}",
            endpoint=engine.id,
            address=engine.address,
            fence=fence,
            action="load_version",
            model=model.name,
            version=model.version,
        )


def _poll_engines_of_others(state, rollout, engines):
    """Poll the outdated engines that belong to groups of other coordinators."""
    if state.now - rollout.polled_at < POLL_INTERVAL_S:
        return
    rollout.polled_at = state.now
    for engine in engines:
        if holder_of(state, engine.group) != state.node:
            yield PollLoad(endpoint=engine.id, address=engine.address)


def _load_interval_s(state):
    """Return the minimum time between two loads that this issuer starts.

    The rate limit of the weight store is divided evenly among the models, because
    each model has its own issuer and the issuers do not communicate.
    """
    rate = state.active.policy.weight_loads_per_s
    return len(state.active.models) / max(rate, 1e-6)


def _on_tick(state, event):
    if state.active is None:
        return
    routing = state.routing
    if event.at - routing.rollouts_checked_at < CHECK_INTERVAL_S:
        return
    routing.rollouts_checked_at = event.at
    for model in state.active.models:
        node, group_id = issuer_of(state, model.name)
        if node != state.node or is_provisional(state, group_id):
            routing.rollouts_by_model.pop(model.name, None)
            continue
        if may_grant(state, group_id):
            yield from _advance_rollout(state, model, group_id)


def _on_load_reported(state, event):
    if event.version:
        state.routing.versions_by_endpoint[event.endpoint] = event.version


def _on_order_answered(state, event):
    rollout = state.routing.rollouts_by_model.get(event.model)
    if rollout is None or rollout.version != event.version:
        return
    if rollout.outcomes_by_endpoint.get(event.endpoint) != "running":
        return
    yield record(
        "routing.order_answered",
        endpoint=event.endpoint,
        model=event.model,
        version=event.version,
        status=event.status,
        detail=event.detail,
    )
    if event.status == "ok":
        # The order was accepted; a load report tells when the version is loaded.
        return
    if event.status == "failed":
        rollout.outcomes_by_endpoint[event.endpoint] = "failed"
    elif event.status == "stale":
        # The engine has seen a higher fence: this node's view is outdated. Without
        # an outcome the engine can get an order again.
        del rollout.outcomes_by_endpoint[event.endpoint]


HANDLERS = {
    Ticked: _on_tick,
    LoadReported: _on_load_reported,
    OrderAnswered: _on_order_answered,
}
