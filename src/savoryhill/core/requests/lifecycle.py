"""Carry a request from arrival over permits and attempts to its end."""

import heapq

from savoryhill.core.coordination.view import holder_of
from savoryhill.core.effects import (
    CancelAttempt,
    FinishRequest,
    LookUpCall,
    Observe,
    SendPeer,
    StartAttempt,
    StopNode,
    record,
)
from savoryhill.core.events import (
    AttemptEnded,
    AttemptStarted,
    CallerGone,
    CallLookedUp,
    DrainRequested,
    RequestArrived,
    Ticked,
)
from savoryhill.core.journal import entry as journal
from savoryhill.core.journal.answers import pack_answer, unpack_answer
from savoryhill.core.messages import (
    JournalReply,
    PermitRelease,
    PlaceReply,
    PlaceRequest,
)
from savoryhill.core.requests.state import RequestState

# A permit not used this long after it was asked for is given back unused.
START_BY_S = 2.0
ASK_AGAIN_S = 1.0
MAX_ATTEMPTS = 3
RETRY_TOKENS_PER_REQUEST = 0.1
MAX_RETRY_TOKENS = 20.0


def _finish(state, request, *, status, execution, detail="", retry_after_s=0.0, **more):
    spec = request.spec
    del state.requests.requests_by_id[spec.request_id]
    yield FinishRequest(
        request_id=spec.request_id,
        status=status,
        execution=execution,
        detail=detail,
        retry_after_s=retry_after_s,
        **more,
    )
    yield record(
        "request.finished",
        request=spec.request_id,
        workspace=spec.workspace,
        kind=spec.kind,
        status=status,
        execution=execution,
        attempts=request.attempt,
        detail=detail,
    )
    if state.draining and not state.requests.requests_by_id:
        yield StopNode()


def _release(request, result, state, n_tokens=0, incarnation=""):
    if not request.endpoint:
        return
    first = request.first_token_at - request.started_at
    yield SendPeer(
        to=holder_of(state, request.group) or state.node,
        message=PermitRelease(
            request_id=request.spec.request_id,
            attempt=request.attempt,
            group=request.group,
            endpoint=request.endpoint,
            result=result,
            n_tokens=n_tokens,
            first_token_s=max(0.0, first),
            duration_s=max(0.0, state.now - request.started_at),
            incarnation=incarnation,
        ),
    )
    request.endpoint = ""


def _journal_finish(state, request, status, response=b""):
    if not request.spec.journal_key or not request.journal_attempt:
        return
    yield from journal.finish(
        state,
        key=request.spec.journal_key,
        attempt=request.journal_attempt,
        status=status,
        response=response,
    )


def _refuse(state, request, detail, *, status=503, retry_after_s=1.0):
    yield from _journal_finish(state, request, "not_sent")
    yield from _finish(
        state,
        request,
        status=status,
        execution="not_run",
        detail=detail,
        retry_after_s=retry_after_s,
    )


def _ask(state, request):
    spec = request.spec
    groups = state.active.group_ids_by_target.get(spec.target, ())
    request.phase = "placing"
    request.group = state.random.choice(groups)
    request.asked_at = state.now
    yield SendPeer(
        to=holder_of(state, request.group) or state.node,
        message=PlaceRequest(
            request_id=spec.request_id,
            attempt=request.attempt,
            group=request.group,
            workspace=spec.workspace,
            kind=spec.kind,
            prompt_tokens=spec.prompt_tokens,
            max_tokens=spec.max_tokens,
            remaining_s=spec.deadline_at - state.now,
            prefix_hashes=spec.prefix_hashes,
            avoid=tuple(request.avoid),
        ),
    )


def _on_request_arrived(state, event):
    spec = event.spec
    request = RequestState(spec=spec, arrived_at=event.at)
    state.requests.requests_by_id[spec.request_id] = request
    budget = state.requests.retry_tokens + RETRY_TOKENS_PER_REQUEST
    state.requests.retry_tokens = min(MAX_RETRY_TOKENS, budget)
    if state.active is None or state.draining:
        detail = "draining" if state.draining else "no configuration yet"
        yield from _refuse(state, request, detail)
        return
    if not state.active.group_ids_by_target.get(spec.target):
        detail = f"no endpoint serves {spec.target!r}"
        yield from _refuse(state, request, detail, status=404, retry_after_s=0.0)
        return
    heapq.heappush(state.requests.deadlines, (spec.deadline_at, spec.request_id))
    if not spec.journal_key:
        request.attempt = 1
        yield from _ask(state, request)
        return
    request.phase = "reserving"
    request.journal_attempt, effects = journal.reserve(state, spec)
    yield from effects


def _on_journal_reply(state, event):
    reply = event.message
    request = state.requests.requests_by_id.get(reply.request_id)
    if request is None or request.phase != "reserving":
        return
    if reply.status == "reserved":
        request.attempt = 1
        yield from _ask(state, request)
        return
    request.journal_attempt = ""
    if reply.status == "done":
        yield from _finish_stored(state, request, unpack_answer(reply.response))
        return
    if reply.status == "unknown" and request.spec.lookup_path:
        yield from _look_up(state, request, reply.earlier)
        return
    endings = {
        "running": (409, "unknown", "a call with this key is still running"),
        "unknown": (409, "unknown", "the outcome of the earlier call is unknown"),
        "mismatch": (422, "not_run", "this key was used with another body"),
        "unavailable": (503, "not_run", "the journal cannot be reached"),
    }
    status, execution, detail = endings[reply.status]
    yield from _finish(
        state,
        request,
        status=status,
        execution=execution,
        detail=detail,
        retry_after_s=1.0 if status in (409, 503) else 0.0,
    )


def _finish_stored(state, request, answer):
    """Give a repeated call the answer of the earlier one."""
    if answer.body is not None:
        yield from _finish(
            state,
            request,
            status=answer.status,
            execution="completed",
            detail="answer of the earlier call",
            response=answer.body,
            content_type=answer.content_type,
        )
        return
    yield from _finish(
        state,
        request,
        status=409,
        execution="completed",
        detail=(
            f"the earlier call completed with status {answer.status}; its answer of "
            f"{answer.n_bytes} bytes is too large to be kept, its SHA-256 is "
            f"{answer.digest.hex()}"
        ),
        answer_missing=True,
    )


def _look_up(state, request, earlier):
    """Ask the service itself what became of the earlier call."""
    spec = request.spec
    endpoints = [
        state.active.endpoints_by_id[endpoint]
        for group in state.active.group_ids_by_target.get(spec.target, ())
        for endpoint in state.active.groups_by_id[group].endpoints
    ]
    usable = [each for each in endpoints if not each.leaving] or endpoints
    request.phase = "looking_up"
    request.earlier_attempt = earlier
    yield LookUpCall(
        spec=spec,
        address=state.random.choice(usable).address,
        path=spec.lookup_path,
    )


def _on_call_looked_up(state, event):
    request = state.requests.requests_by_id.get(event.request_id)
    if request is None or request.phase != "looking_up":
        return
    if event.result == "executed":
        yield from journal.finish(
            state,
            key=request.spec.journal_key,
            attempt=request.earlier_attempt,
            status="done",
            response=pack_answer(
                status=event.status,
                content_type=event.content_type,
                body=event.response,
            ),
        )
        yield from _finish(
            state,
            request,
            status=event.status,
            execution="completed",
            detail="answer found by the service's lookup",
            response=event.response,
            content_type=event.content_type,
        )
        return
    # "Not executed so far" is no proof: the earlier call may still arrive.
    detail = "the outcome of the earlier call is unknown"
    if event.result == "not_found":
        detail += "; the service has not executed it so far"
    yield from _finish(
        state,
        request,
        status=409,
        execution="unknown",
        detail=detail,
        retry_after_s=1.0,
    )


def _on_place_reply(state, event):
    reply = event.message
    request = state.requests.requests_by_id.get(reply.request_id)
    current = (
        request is not None
        and request.phase == "placing"
        and request.attempt == reply.attempt
        and request.group == reply.group
    )
    highest = state.requests.max_fence_by_group.get(reply.group, 0)
    usable = current and reply.fence >= highest
    if reply.status == "granted":
        if not usable or state.now - request.asked_at > START_BY_S + ASK_AGAIN_S:
            yield SendPeer(
                to=event.sender,
                message=PermitRelease(
                    request_id=reply.request_id,
                    attempt=reply.attempt,
                    group=reply.group,
                    endpoint=reply.endpoint,
                    result="unused",
                ),
            )
            return
        state.requests.max_fence_by_group[reply.group] = reply.fence
        yield from _start(state, request, reply)
    elif current and reply.status == "refused":
        yield from _refuse(
            state, request, reply.detail, retry_after_s=reply.retry_after_s
        )


def _start(state, request, reply):
    request.phase = "running"
    request.endpoint = reply.endpoint
    request.started_at = state.now
    yield StartAttempt(
        spec=request.spec,
        attempt=request.attempt,
        endpoint=reply.endpoint,
        address=state.active.endpoints_by_id[reply.endpoint].address,
        fence=reply.fence,
        incarnation=reply.incarnation,
        priority=reply.priority,
        from_offset=request.n_emitted,
    )


def _on_attempt_started(state, event):
    request = state.requests.requests_by_id.get(event.request_id)
    if request is None or request.attempt != event.attempt:
        return
    request.first_token_at = event.at
    yield Observe(
        metric="first_token_s",
        value=event.at - request.arrived_at,
        labels=(("kind", request.spec.kind),),
    )


def _on_attempt_ended(state, event):
    request = state.requests.requests_by_id.get(event.request_id)
    if request is None or request.attempt != event.attempt:
        return
    if request.phase != "running":
        return
    endpoint = request.endpoint
    request.n_emitted += event.n_tokens
    yield from _release(request, event.result, state, event.n_tokens, event.incarnation)
    if event.result == "completed":
        answer = pack_answer(
            status=event.status or 200,
            content_type=event.content_type,
            body=event.response,
        )
        yield from _journal_finish(state, request, "done", answer)
        yield from _finish(
            state,
            request,
            status=event.status or 200,
            execution="completed",
            response=event.response,
            content_type=event.content_type,
        )
        return
    if not request.spec.idempotent:
        if event.result in ("not_sent", "refused"):
            yield from _refuse(state, request, event.detail)
        else:
            yield from _journal_finish(state, request, "unknown")
            yield from _finish(
                state, request, status=502, execution="unknown", detail=event.detail
            )
        return
    request.avoid.add(endpoint)
    yield from _retry(state, request, event)


def _retry(state, request, event):
    if request.attempt >= MAX_ATTEMPTS or state.requests.retry_tokens < 1.0:
        execution = "unknown" if request.n_emitted else "not_run"
        yield from _finish(
            state,
            request,
            status=502,
            execution=execution,
            detail=f"gave up after {request.attempt} attempts: {event.detail}",
            retry_after_s=1.0,
        )
        return
    state.requests.retry_tokens -= 1.0
    request.attempt += 1
    yield from _ask(state, request)


def _on_caller_gone(state, event):
    request = state.requests.requests_by_id.get(event.request_id)
    if request is None:
        return
    if request.phase == "running" and request.spec.idempotent:
        yield CancelAttempt(
            request_id=event.request_id,
            attempt=request.attempt,
            endpoint=request.endpoint,
        )
        yield from _release(request, "cancelled", state)
        yield from _finish(
            state, request, status=499, execution="unknown", detail="caller gone"
        )


def _on_tick(state, event):
    requests = state.requests
    while requests.deadlines and requests.deadlines[0][0] <= event.at:
        _, request_id = heapq.heappop(requests.deadlines)
        request = requests.requests_by_id.get(request_id)
        if request is not None:
            yield from _expire(state, request)
    for request in tuple(requests.requests_by_id.values()):
        waited_s = event.at - request.asked_at
        if request.phase == "placing" and waited_s > ASK_AGAIN_S:
            yield from _ask(state, request)


def _expire(state, request):
    if request.phase == "looking_up":
        yield from _finish(
            state,
            request,
            status=409,
            execution="unknown",
            detail="the outcome of the earlier call is unknown; the lookup was late",
            retry_after_s=1.0,
        )
        return
    if request.phase != "running":
        yield from _refuse(state, request, "deadline passed before it could start")
        return
    yield CancelAttempt(
        request_id=request.spec.request_id,
        attempt=request.attempt,
        endpoint=request.endpoint,
    )
    yield from _release(request, "cancelled", state)
    yield from _journal_finish(state, request, "unknown")
    yield from _finish(
        state, request, status=504, execution="unknown", detail="deadline passed"
    )


def _on_drain_requested(state, event):
    state.draining = True
    if not state.requests.requests_by_id:
        yield StopNode()


HANDLERS = {
    RequestArrived: _on_request_arrived,
    JournalReply: _on_journal_reply,
    CallLookedUp: _on_call_looked_up,
    PlaceReply: _on_place_reply,
    AttemptStarted: _on_attempt_started,
    AttemptEnded: _on_attempt_ended,
    CallerGone: _on_caller_gone,
    DrainRequested: _on_drain_requested,
    Ticked: _on_tick,
}
