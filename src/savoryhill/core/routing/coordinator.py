"""Grant permits on the endpoints of the groups that this node coordinates."""

from savoryhill.core.coordination.view import fence_of, holder_of
from savoryhill.core.effects import PollLoad, SendPeer, record
from savoryhill.core.events import LoadPollFailed, LoadReported, Ticked
from savoryhill.core.messages import PermitRelease, PlaceReply, PlaceRequest
from savoryhill.core.routing.state import (
    EndpointAccount,
    GroupState,
    Permit,
    Waiting,
)

POLL_INTERVAL_S = 0.5
SHORT_PRIORITY = 0
LONG_PRIORITY = 1


def _group(state, group_id):
    group = state.routing.groups_by_id.setdefault(group_id, GroupState())
    for endpoint in state.active.groups_by_id[group_id].endpoints:
        if endpoint not in group.accounts_by_endpoint:
            hardware = _hardware(state, endpoint)
            group.accounts_by_endpoint[endpoint] = EndpointAccount(
                id=endpoint, limit=hardware.cold_slots
            )
    return group


def _hardware(state, endpoint):
    return state.active.hardware_by_name[
        state.active.endpoints_by_id[endpoint].hardware
    ]


def _usable(state, account, message):
    endpoint = state.active.endpoints_by_id.get(account.id)
    if endpoint is None or endpoint.leaving or not account.reachable:
        return False
    if state.active.zones_by_name[endpoint.zone].withdrawn:
        return False
    if account.id in message.avoid or not account.incarnation:
        return False
    if len(account.permits_by_key) >= account.limit:
        return False
    used = sum(
        permit.prompt_tokens + permit.max_tokens
        for permit in account.permits_by_key.values()
    )
    memory = _hardware(state, account.id).memory_tokens
    return used + message.prompt_tokens + message.max_tokens <= memory


def _predicted_first_token_s(state, account, message):
    hardware = _hardware(state, account.id)
    tokens = message.prompt_tokens + sum(
        permit.prompt_tokens for permit in account.permits_by_key.values()
    )
    return tokens / hardware.prefill_tokens_per_s


def _refuse(waiting, group_id, detail, retry_after_s):
    return SendPeer(
        to=waiting.sender,
        message=PlaceReply(
            request_id=waiting.message.request_id,
            attempt=waiting.message.attempt,
            group=group_id,
            status="refused",
            retry_after_s=retry_after_s,
            detail=detail,
        ),
    )


def _serve(state, group_id):
    """Grant permits to waiting placements in order while endpoints allow it."""
    group = _group(state, group_id)
    remaining = []
    for waiting in group.queue:
        message = waiting.message
        if state.now - waiting.arrived_at >= message.remaining_s:
            yield _refuse(waiting, group_id, "no endpoint free before deadline", 1.0)
            continue
        usable = [
            account
            for account in group.accounts_by_endpoint.values()
            if _usable(state, account, message)
        ]
        if not usable:
            remaining.append(waiting)
            continue
        account = min(
            usable, key=lambda each: _predicted_first_token_s(state, each, message)
        )
        yield _grant(state, group_id, account, waiting)
    group.queue = remaining


def _grant(state, group_id, account, waiting):
    message = waiting.message
    account.permits_by_key[message.request_id, message.attempt] = Permit(
        request_id=message.request_id,
        attempt=message.attempt,
        entry=waiting.sender,
        prompt_tokens=message.prompt_tokens,
        max_tokens=message.max_tokens,
        granted_at=state.now,
        reported_at=state.now,
    )
    short = message.prompt_tokens < state.active.policy.short_prompt_tokens
    return SendPeer(
        to=waiting.sender,
        message=PlaceReply(
            request_id=message.request_id,
            attempt=message.attempt,
            group=group_id,
            status="granted",
            endpoint=account.id,
            fence=fence_of(state, group_id),
            incarnation=account.incarnation,
            priority=SHORT_PRIORITY if short else LONG_PRIORITY,
        ),
    )


def _on_place_request(state, event):
    message = event.message
    known = state.active is not None and message.group in state.active.groups_by_id
    if not known or holder_of(state, message.group) != state.node:
        yield SendPeer(
            to=event.sender,
            message=PlaceReply(
                request_id=message.request_id,
                attempt=message.attempt,
                group=message.group,
                status="moved",
            ),
        )
        return
    group = _group(state, message.group)
    waiting = Waiting(sender=event.sender, message=message, arrived_at=event.at)
    needed = message.prompt_tokens + message.max_tokens
    largest = max(
        _hardware(state, each).memory_tokens for each in group.accounts_by_endpoint
    )
    if needed > largest:
        yield _refuse(
            waiting,
            message.group,
            f"{needed} tokens exceed the largest endpoint's {largest} tokens",
            0.0,
        )
        return
    if not any(w.message.request_id == message.request_id for w in group.queue):
        group.queue.append(waiting)
    yield from _serve(state, message.group)


def _on_permit_release(state, event):
    message = event.message
    group = state.routing.groups_by_id.get(message.group)
    if group is None:
        return
    account = group.accounts_by_endpoint.get(message.endpoint)
    if account is None:
        return
    account.permits_by_key.pop((message.request_id, message.attempt), None)
    if message.result == "completed":
        account.n_good += 1
        limit = _hardware(state, account.id).slots
        if account.n_good >= 2 * account.limit and account.limit < limit:
            account.limit = min(limit, account.limit * 2)
            account.n_good = 0
    yield from _serve(state, message.group)


def _on_load_reported(state, event):
    endpoint = state.active.endpoints_by_id.get(event.endpoint)
    if endpoint is None or holder_of(state, endpoint.group) != state.node:
        return
    account = _group(state, endpoint.group).accounts_by_endpoint[event.endpoint]
    hardware = _hardware(state, event.endpoint)
    if account.incarnation != event.incarnation or not event.warm:
        if account.incarnation != event.incarnation:
            account.n_good = 0
            account.permits_by_key.clear()
        account.limit = min(account.limit, hardware.cold_slots)
        yield record("routing.endpoint_cold", endpoint=account.id, limit=account.limit)
    elif event.warm and not account.warm:
        account.limit = hardware.slots
    account.incarnation = event.incarnation
    account.warm = event.warm
    account.reachable = True
    yield from _serve(state, endpoint.group)


def _on_load_poll_failed(state, event):
    endpoint = state.active.endpoints_by_id.get(event.endpoint)
    group = endpoint and state.routing.groups_by_id.get(endpoint.group)
    if group and event.endpoint in group.accounts_by_endpoint:
        group.accounts_by_endpoint[event.endpoint].reachable = False


def _on_tick(state, event):
    if state.active is None:
        return
    own = [
        group_id
        for group_id in state.active.groups_by_id
        if holder_of(state, group_id) == state.node
    ]
    for group_id in own:
        if state.routing.groups_by_id.get(group_id, GroupState()).queue:
            yield from _serve(state, group_id)
    if event.at - state.routing.polled_at < POLL_INTERVAL_S:
        return
    state.routing.polled_at = event.at
    for group_id in own:
        for endpoint in state.active.groups_by_id[group_id].endpoints:
            address = state.active.endpoints_by_id[endpoint].address
            yield PollLoad(endpoint=endpoint, address=address)


HANDLERS = {
    PlaceRequest: _on_place_request,
    PermitRelease: _on_permit_release,
    LoadReported: _on_load_reported,
    LoadPollFailed: _on_load_poll_failed,
    Ticked: _on_tick,
}
