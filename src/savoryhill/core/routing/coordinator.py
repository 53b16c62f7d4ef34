"""Event handlers for the groups that this node coordinates."""

from savoryhill.core import virtual_counters
from savoryhill.core.effects import Observe, PollLoad, record
from savoryhill.core.events import (
    ConfigurationRead,
    LoadPollFailed,
    LoadReported,
    ProcessResumed,
    Ticked,
)
from savoryhill.core.messages import PermitRelease, PermitReport, PlaceRequest
from savoryhill.core.routing import (
    admission,
    boundary,
    cold_start,
    fairness,
    granting,
    permits,
    placement,
    predictions,
    queue,
    reconciliation,
    summaries,
)
from savoryhill.core.routing.groups import own_group
from savoryhill.core.routing.replies import build_reply, refuse

POLL_INTERVAL_S = 0.5
# An idle endpoint that refuses requests for another incarnation cannot be overloaded
# because of an outdated report, so it is polled less often: the polls of 24 idle
# endpoints took 4% of a core.
IDLE_POLL_INTERVAL_S = 2.0
CHECK_INTERVAL_S = 0.25
# Consecutive failures after which an endpoint gets no more permits. A single lost
# poll does not mean that the endpoint is down.
MAX_POLL_FAILURES = 2
# A prefix that was placed longer ago counts as cached only if the endpoint lists it.
UNCONFIRMED_PREFIX_TTL_S = 10.0
MAX_IDLE_COUNTERS = 1_024


def _on_place_request(state, event):
    message = event.message
    group = own_group(state, message.group)
    if group is None:
        return [build_reply(message, event.sender, None, "moved")]
    key = message.request_id, message.attempt
    if key in group.endpoints_by_permit:
        return granting.repeat_grant(state, group, message, event.sender)
    pending = group.pending_by_key.get(key)
    if pending is not None:
        # The grant must carry the ``asked_at`` of the latest request.
        pending.sender = event.sender
        pending.message = message
        return ()
    return granting.place_new(state, group, message, event.sender)


def _on_permit_release(state, event):
    message = event.message
    group = own_group(state, message.group)
    if group is None:
        return ()
    key = message.request_id, message.attempt
    pending = group.pending_by_key.get(key)
    if pending is not None:
        # The entry node has withdrawn the request; it must not get a permit later.
        queue.remove(group, pending)
    if message.result == "unused" and _other_reply_in_use(group, key):
        return ()
    released = permits.release(group, message, event.at)
    effects = []
    for endpoint, permit in released:
        effects += _learn_from_release(group, endpoint, permit, message)
        if message.result == "completed":
            cold_start.count_success(endpoint)
    if released:
        _refund(group, released[-1][1], message)
    effects += granting.grant_pending(state, group)
    return effects


def _other_reply_in_use(group, key):
    """Return whether another reply with the same permit may be in use.

    An entry node that received the grant twice returns the second reply as unused
    and runs the attempt with the first. The permit then stays counted until a
    permit report or a load report shows whether the attempt runs.
    """
    endpoints = permits.endpoints_with_permit(group, key)
    for endpoint in endpoints:
        endpoint.permits_by_key[key].n_replies -= 1
    return bool(endpoints) and endpoints[-1].permits_by_key[key].n_replies > 0


def _refund(group, permit, message):
    if message.result in ("unused", "withdrawn", "refused", "not_sent"):
        fairness.refund(group, permit.workspace, permit.charged_tokens)
    elif message.result == "completed" and permit.max_tokens:
        n_unused = max(0, permit.max_tokens - message.n_tokens)
        fairness.refund(group, permit.workspace, fairness.OUTPUT_WEIGHT * n_unused)


def _learn_from_release(group, endpoint, permit, message):
    result = message.result
    if result == "completed":
        # Adopted permits and parts of oversize prompts carry no prediction.
        predicted = permit.predicted_first_token_s > 0
        if predicted and permits.learn_costs(endpoint, permit, message):
            yield from _reset_limit(group, endpoint, "late_first_token")
    elif result in ("refused", "not_sent", "broken", "silent"):
        if result == "refused":
            yield from _reset_limit(group, endpoint, "refused")
        if result in ("refused", "not_sent"):
            endpoint.ready = False
        yield PollLoad(endpoint=endpoint.id, address=endpoint.address)


def _reset_limit(group, endpoint, reason):
    if cold_start.reset_to_cold_limit(endpoint):
        yield record(
            "routing.limit_dropped",
            group=group.id,
            endpoint=endpoint.id,
            limit=endpoint.limit,
            reason=reason,
        )
        yield Observe(
            metric="limit_drops",
            value=1.0,
            labels=(("endpoint", endpoint.id), ("reason", reason)),
        )


def _on_permit_report(state, event):
    message = event.message
    group = own_group(state, message.group)
    if group is None:
        return
    for endpoint in permits.apply_report(group, event.sender, message, event.at):
        yield from _reset_limit(group, endpoint, "late_first_token")
    yield from granting.grant_pending(state, group)


def _find_endpoint(state, endpoint_id):
    if state.active is None:
        return None, None
    configured = state.active.endpoints_by_id.get(endpoint_id)
    group = configured and own_group(state, configured.group)
    if not group:
        return None, None
    return group, group.states_by_endpoint[endpoint_id]


def _on_load_reported(state, event):
    group, endpoint = _find_endpoint(state, event.endpoint)
    if group is None:
        return
    previous_incarnation = endpoint.incarnation
    change = cold_start.apply_load_report(endpoint, event.incarnation, event.warm)
    if change == "restarted":
        permits.drop_permits_on_restart(group, endpoint, event.at)
        endpoint.placed_at_by_prefix.clear()
        endpoint.first_listed_at_by_orphan.clear()
        endpoint.orphan_tokens = 0
    if change:
        yield record(
            "routing.endpoint_cold",
            endpoint=endpoint.id,
            reason=change,
            limit=endpoint.limit,
            incarnation=event.incarnation,
            earlier=previous_incarnation,
        )
    endpoint.load_reported_at = event.at
    endpoint.version = event.version
    endpoint.n_poll_failures = 0
    endpoint.ready = True
    endpoint.cached_prefixes = frozenset(event.cached_prefixes)
    if endpoint.cached_prefixes:
        _expire_unconfirmed_prefixes(endpoint, event.at)
    if group.is_model:
        yield from reconciliation.reconcile(group, endpoint, event)
    yield from granting.grant_pending(state, group)


def _expire_unconfirmed_prefixes(endpoint, now):
    placed = endpoint.placed_at_by_prefix
    while placed:
        oldest = next(iter(placed))
        if now - placed[oldest] < UNCONFIRMED_PREFIX_TTL_S:
            return
        del placed[oldest]


def _on_load_poll_failed(state, event):
    group, endpoint = _find_endpoint(state, event.endpoint)
    if group is None:
        return
    endpoint.n_poll_failures += 1
    if endpoint.ready and endpoint.n_poll_failures >= MAX_POLL_FAILURES:
        endpoint.ready = False
        yield record(
            "routing.endpoint_unreachable", endpoint=endpoint.id, detail=event.detail
        )


def _run_periodic_checks(state, group, now):
    """Apply everything in a group that depends on time only.

    Expires permits, ages queued placements, moves the long-prompt boundary, refuses
    placements that cannot meet their deadline and updates the group's summary.
    """
    group.checked_at = now
    for permit in permits.expire(group, now):
        key = permit.request_id, permit.attempt
        yield record(
            "routing.permit_expired",
            group=group.id,
            request=permit.request_id,
            entry=permit.entry,
            used=permit.phase != "granted",
        )
        if key not in group.endpoints_by_permit:
            fairness.refund(group, permit.workspace, permit.charged_tokens)
    permits.purge_ended_permits(group, now)
    if state.routing.policy == "savoryhill":
        queue.promote_aged(state, group, now)
        for endpoint in group.open_endpoints:
            placement.cost.update_backlog(endpoint, now)
        boundary.adapt_boundary(group, now)
        for pending, predicted_s in admission.find_infeasible(group, now):
            queue.remove(group, pending)
            yield from refuse(
                group,
                pending,
                "cannot complete before its deadline any more",
                admission.retry_after_s(predicted_s, pending.deadline_at - now),
                "deadline",
            )
    for pending in tuple(group.pending_by_key.values()):
        if pending.deadline_at <= now:
            queue.remove(group, pending)
            yield from refuse(
                group, pending, "no endpoint free before deadline", 1.0, "deadline"
            )
    summaries.update_summary(group, now)
    if len(group.counters_by_workspace) > MAX_IDLE_COUNTERS:
        group.counters_by_workspace = virtual_counters.above_floor(
            group.counters_by_workspace, group.counter_floor
        )


def _on_tick(state, event):
    if state.active is None:
        return
    own_groups = []
    for group_id in state.active.groups_by_id:
        group = own_group(state, group_id)
        if group is not None:
            own_groups.append(group)
    yield from _drop_lost_groups(state, own_groups)
    for group in own_groups:
        if event.at - group.checked_at >= CHECK_INTERVAL_S:
            yield from _run_periodic_checks(state, group, event.at)
        yield from granting.grant_pending(state, group)
    if event.at - state.routing.polled_at < POLL_INTERVAL_S:
        return
    state.routing.polled_at = event.at
    for group in own_groups:
        for endpoint in group.states_by_endpoint.values():
            if _poll_is_due(endpoint, event.at):
                yield PollLoad(endpoint=endpoint.id, address=endpoint.address)


def _poll_is_due(endpoint, now):
    is_idle = (
        endpoint.checks_incarnation
        and endpoint.ready
        and endpoint.warm
        and not endpoint.permits_by_key
        and not endpoint.first_listed_at_by_orphan
    )
    return not is_idle or now - endpoint.load_reported_at >= IDLE_POLL_INTERVAL_S


def _drop_lost_groups(state, own_groups):
    """Drop the groups that this node no longer coordinates.

    Their pending placements are answered as moved, so that the entry nodes ask the
    new coordinator.
    """
    if len(own_groups) == len(state.routing.groups_by_id):
        return
    own_ids = {group.id for group in own_groups}
    for group_id in tuple(state.routing.groups_by_id):
        if group_id in own_ids:
            continue
        group = state.routing.groups_by_id.pop(group_id)
        for pending in group.pending_by_key.values():
            yield build_reply(pending.message, pending.sender, None, "moved")


def _on_configuration_read(state, event):
    """Close withdrawn endpoints and refuse what no longer fits without waiting."""
    if state.active is None:
        return
    for group_id, group in tuple(state.routing.groups_by_id.items()):
        if group.configuration is state.active:
            continue
        group = own_group(state, group_id)
        if group is None:
            continue
        for pending in group.pending_by_key.values():
            predictions.set_predictions(group, pending)
        group.queued_service_s = sum(
            pending.service_s for pending in group.pending_by_key.values()
        )
        yield from _run_periodic_checks(state, group, event.at)
        yield from granting.grant_pending(state, group)


def _on_process_resumed(state, event):
    """Drop all groups, because another node may have granted permits meanwhile."""
    state.routing.groups_by_id.clear()
    state.routing.rollouts_by_model.clear()
    return ()


HANDLERS = {
    ProcessResumed: _on_process_resumed,
    ConfigurationRead: _on_configuration_read,
    PlaceRequest: _on_place_request,
    PermitRelease: _on_permit_release,
    PermitReport: _on_permit_report,
    LoadReported: _on_load_reported,
    LoadPollFailed: _on_load_poll_failed,
    Ticked: _on_tick,
}
