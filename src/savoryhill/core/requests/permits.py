"""Request permits from coordinators, report the held ones and release them."""

import heapq

from savoryhill.core.coordination.view import fence_of, holder_of
from savoryhill.core.effects import SendPeer, StartAttempt, record
from savoryhill.core.messages import (
    HeldPermit,
    PermitRelease,
    PermitReport,
    PlaceRequest,
)
from savoryhill.core.requests import limits
from savoryhill.core.requests.completion import fail, refuse
from savoryhill.core.routing.fairness import eligible_groups

# A permit that is not used within this time after its request is returned unused.
START_TIMEOUT_S = 2.0
# A permit request is repeated at this interval in case the message was lost.
PERMIT_RETRY_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 1.0
# Every refusal costs a coordinator a decision, so only a few groups are tried.
MAX_REFUSED_PLACEMENTS = 3
# A non-idempotent call may still deliver its outcome this long after its deadline.
DETACHED_TIMEOUT_S = 10.0


def schedule_wake(state, request, at):
    """Schedule the next step of a request for the case that no reply arrives."""
    request.wake_at = at
    heapq.heappush(state.requests.timers, (at, request.spec.request_id, "wake"))


def groups_in_region(state, target):
    """Return the IDs of a target's groups in this node's region."""
    return tuple(
        group
        for group in state.active.group_ids_by_target.get(target, ())
        if state.active.groups_by_id[group].region == state.region
    )


def predicted_wait_s(state, group):
    """Return the wait predicted by a group's coordinator, 0.0 if unknown."""
    summary = state.membership.summaries_by_group.get(group)
    return summary.predicted_wait_s if summary is not None else 0.0


def choose_group(state, request):
    """Choose a group by predicted wait with the power of two choices.

    For a model, groups that are not eligible for the workspace are considered only if
    none is eligible. Groups that have refused the request are considered only if all
    have refused it. Return an empty string if no group serves the target.
    """
    spec = request.spec
    groups = groups_in_region(state, spec.target)
    if spec.is_model:
        n_tokens = spec.prompt_tokens + spec.max_tokens
        allowed = eligible_groups(state.active, spec.workspace, spec.target, n_tokens)
        groups = [group for group in groups if group in allowed] or groups
    candidates = [g for g in groups if g not in request.refused_groups] or groups
    if not candidates:
        return ""
    sampled = state.random.sample(candidates, min(2, len(candidates)))
    return min(sampled, key=lambda group: predicted_wait_s(state, group))


def place(state, request):
    """Start a new placement; grants for earlier ones will be returned."""
    request.attempt += 1
    request.group = choose_group(state, request)
    if not request.group:
        yield from refuse(
            state,
            request,
            f"no endpoint serves {request.spec.target!r}",
            reason="no_endpoint",
        )
        return
    request.phase = "placing"
    yield from request_permit(state, request)


def request_permit(state, request):
    """Request a permit from the group's coordinator, also repeatedly.

    Back off while the group has no known coordinator.
    """
    spec = request.spec
    holder = holder_of(state, request.group)
    if holder is None:
        back_off(state, request)
        return
    request.asked_at = state.now
    schedule_wake(state, request, state.now + PERMIT_RETRY_INTERVAL_S)
    yield SendPeer(
        to=holder,
        message=PlaceRequest(
            request_id=spec.request_id,
            attempt=request.attempt,
            group=request.group,
            workspace=spec.workspace,
            kind=spec.kind,
            prompt_tokens=spec.prompt_tokens + request.n_emitted,
            max_tokens=spec.max_tokens - request.n_emitted,
            remaining_s=spec.deadline_at - state.now,
            prefix_hashes=spec.prefix_hashes,
            avoid=tuple(sorted(request.avoided_endpoints)),
            asked_at=state.now,
        ),
    )


def back_off(state, request):
    """Delay the next placement by an exponential backoff."""
    request.phase = "pausing"
    schedule_wake(
        state, request, state.now + limits.backoff_s(state, request.n_backoffs)
    )
    request.n_backoffs += 1


def on_place_reply(state, event):
    """Use or return a grant, or handle a refusal."""
    reply = event.message
    request = state.requests.requests_by_id.get(reply.request_id)
    is_current = (
        request is not None
        and request.phase == "placing"
        and request.attempt == reply.attempt
        and request.group == reply.group
    )
    if reply.status == "granted":
        yield from _on_grant(
            state, event.sender, reply, request if is_current else None
        )
    elif is_current and reply.status == "moved":
        back_off(state, request)
    elif is_current and reply.status == "refused":
        yield from _on_refusal(state, request, reply)


def _on_grant(state, sender, reply, request):
    requests = state.requests
    max_fence = requests.max_fence_by_group.get(reply.group, 0)
    requests.max_fence_by_group[reply.group] = max(max_fence, reply.fence)
    problem = ""
    if request is None:
        problem = "the request does not wait for this placement any more"
    elif reply.fence < max_fence:
        problem = f"fence is lower than {max_fence}, the highest seen for the group"
    elif state.now - (reply.asked_at or request.asked_at) > START_TIMEOUT_S:
        problem = f"requested more than {START_TIMEOUT_S} s ago"
    elif reply.endpoint not in state.active.endpoints_by_id:
        problem = "endpoint is not in the configuration"
    elif state.now >= request.spec.deadline_at:
        problem = "the request's deadline has passed"
    if not problem:
        request.coordinator = sender
        yield from start_attempt(state, request, reply)
        return
    yield record(
        "permit.given_back",
        request=reply.request_id,
        endpoint=reply.endpoint,
        group=reply.group,
        fence=reply.fence,
        detail=problem,
    )
    yield SendPeer(
        to=sender,
        message=PermitRelease(
            request_id=reply.request_id,
            attempt=reply.attempt,
            group=reply.group,
            endpoint=reply.endpoint,
            result="unused",
        ),
    )
    if request is not None:
        back_off(state, request)


def _on_refusal(state, request, reply):
    request.n_refused_placements += 1
    request.refused_groups.add(reply.group)
    untried = set(groups_in_region(state, request.spec.target)) - request.refused_groups
    if (
        untried
        and request.n_refused_placements < MAX_REFUSED_PLACEMENTS
        and limits.take_retry_token(state)
    ):
        yield limits.count_retry("refused_by_group")
        back_off(state, request)
        return
    yield from fail(
        state,
        request,
        reply.detail,
        reason="coordinator",
        retry_after_s=reply.retry_after_s,
    )


def start_attempt(state, request, reply):
    """Take over the permit of a grant and send the request to its endpoint."""
    request.phase = "running"
    request.endpoint = request.last_endpoint = reply.endpoint
    request.fence = reply.fence
    request.incarnation = reply.incarnation
    request.priority = reply.priority
    request.resumed_in_place = False
    request.parts = reply.parts
    yield from send_attempt(state, request, parts=reply.parts)


def send_attempt(state, request, *, parts=()):
    """Send a request to the endpoint of the permit that it holds.

    A resumed stream continues after the tokens that were already emitted.
    """
    request.n_attempts += 1
    request.started_at = state.now
    request.attempt_first_token_at = 0.0
    deadline_at = request.spec.deadline_at
    idempotent = request.spec.idempotent
    yield record(
        "attempt.started",
        request=request.spec.request_id,
        endpoint=request.endpoint,
        attempt=request.n_attempts,
        offset=request.n_emitted,
        fence=request.fence,
    )
    yield StartAttempt(
        spec=request.spec,
        attempt=request.attempt,
        endpoint=request.endpoint,
        address=state.active.endpoints_by_id[request.endpoint].address,
        fence=request.fence,
        incarnation=request.incarnation,
        priority=request.priority,
        from_offset=request.n_emitted,
        parts=parts,
        start_by=min(deadline_at, state.now + START_TIMEOUT_S),
        first_token_limit_s=limits.first_token_limit_s(state, request),
        gap_limit_s=limits.gap_limit_s(state, request),
        call_until=deadline_at if idempotent else deadline_at + DETACHED_TIMEOUT_S,
    )


def release_permit(state, request, result, *, n_tokens=0, incarnation=""):
    """Release the permit of an attempt and report what was measured."""
    if not request.endpoint:
        return
    time_to_first_token_s = request.attempt_first_token_at - request.started_at
    endpoint, request.endpoint = request.endpoint, ""
    yield SendPeer(
        to=holder_of(state, request.group) or request.coordinator or state.node,
        message=PermitRelease(
            request_id=request.spec.request_id,
            attempt=request.attempt,
            group=request.group,
            endpoint=endpoint,
            result=result,
            n_tokens=n_tokens,
            first_token_s=max(0.0, time_to_first_token_s),
            duration_s=max(0.0, state.now - request.started_at),
            incarnation=incarnation,
        ),
    )


def withdraw_placement(state, request):
    """Remove a waiting placement from its coordinator's queue."""
    if request.phase == "placing":
        yield SendPeer(
            to=holder_of(state, request.group) or state.node,
            message=PermitRelease(
                request_id=request.spec.request_id,
                attempt=request.attempt,
                group=request.group,
                endpoint="",
                result="withdrawn",
            ),
        )


def report_permits(state):
    """Report the held permits of each group to its coordinator.

    An empty report is sent once after the last permit of a group has ended, and once
    to each new coordinator, because it waits for the reports of all nodes.
    """
    requests = state.requests
    if (
        state.active is None
        or state.now - requests.permits_reported_at < REPORT_INTERVAL_S
    ):
        return
    requests.permits_reported_at = state.now
    held_by_group = {}
    for request in requests.requests_by_id.values():
        if request.endpoint:
            held_by_group.setdefault(request.group, []).append(
                HeldPermit(
                    request_id=request.spec.request_id,
                    attempt=request.attempt,
                    endpoint=request.endpoint,
                    prompt_tokens=request.spec.prompt_tokens,
                    max_tokens=request.spec.max_tokens,
                    first_token_seen=request.attempt_first_token_at > 0.0,
                    workspace=request.spec.workspace,
                    parts=request.parts,
                )
            )
    for group, configured in state.active.groups_by_id.items():
        if configured.region != state.region:
            continue
        holder = holder_of(state, group)
        is_new_holder = requests.reported_holder_by_group.get(group) != holder
        held = held_by_group.get(group, ())
        if holder and (held or is_new_holder or group in requests.reported_groups):
            requests.reported_holder_by_group[group] = holder
            # A new coordinator counts permits by this report, so a grant from an
            # earlier coordinator that arrives later must not be used.
            max_fence = requests.max_fence_by_group.get(group, 0)
            requests.max_fence_by_group[group] = max(max_fence, fence_of(state, group))
            yield SendPeer(
                to=holder, message=PermitReport(group=group, permits=tuple(held))
            )
    requests.reported_groups = frozenset(held_by_group)


def on_process_resumed(state, event):
    """Restart every placement, because grants in transit may have expired."""
    for request in tuple(state.requests.requests_by_id.values()):
        if request.phase == "placing":
            yield from place(state, request)
