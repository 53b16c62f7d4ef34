"""Event handlers that take a request from its arrival to its end."""

import heapq

from savoryhill.core.effects import Observe, record
from savoryhill.core.events import (
    AttemptEnded,
    AttemptStarted,
    CallerGone,
    CallLookedUp,
    DeadlineReached,
    DrainRequested,
    PeerUnreachable,
    ProcessResumed,
    RequestArrived,
    Ticked,
)
from savoryhill.core.journal import entry_node as journal
from savoryhill.core.journal.responses import unpack_response
from savoryhill.core.messages import JournalReply, PlaceReply
from savoryhill.core.requests import limits, permits
from savoryhill.core.requests.attempts import on_attempt_ended, on_attempt_started
from savoryhill.core.requests.cancellation import (
    on_caller_gone,
    on_deadline,
    on_drain_requested,
)
from savoryhill.core.requests.completion import finish, refuse
from savoryhill.core.requests.lookups import (
    finish_with_stored_response,
    look_up_earlier_call,
    on_call_looked_up,
)
from savoryhill.core.requests.state import RequestState
from savoryhill.core.requests.undelivered import on_peer_unreachable


def _find_refusal(state, spec):
    """Return (reason, detail) if a new request has to be refused, else None."""
    if state.draining:
        return "draining", "this node is shutting down"
    if state.active is None:
        return "no_configuration", "this node has no configuration yet"
    if state.configuration.isolated:
        return "isolated", "this node is cut off from the rest of the deployment"
    if spec.deadline_at <= state.now:
        return "deadline", "the deadline has passed already"
    if not permits.groups_in_region(state, spec.target):
        return "no_endpoint", f"no endpoint serves {spec.target!r}"
    return None


def _on_request_arrived(state, event):
    spec = event.spec
    request = RequestState(spec=spec, arrived_at=event.at)
    state.requests.requests_by_id[spec.request_id] = request
    refusal = _find_refusal(state, spec)
    if refusal is not None:
        reason, detail = refusal
        yield from refuse(state, request, detail, reason=reason)
        return
    limits.add_retry_tokens(state)
    timer = (spec.deadline_at, spec.request_id, "deadline")
    heapq.heappush(state.requests.timers, timer)
    if not spec.journal_key:
        yield from permits.place(state, request)
        return
    request.phase = "reserving"
    request.journal_attempt, effects = journal.reserve(state, spec)
    yield from effects


# HTTP status, execution, detail and Retry-After in seconds by journal status.
_OUTCOMES_BY_JOURNAL_STATUS = {
    "running": (409, "unknown", "a call with this key is still running", 1.0),
    "unknown": (409, "unknown", "the outcome of the earlier call is unknown", 0.0),
    "mismatch": (422, "not_run", "this key was used with another body", 0.0),
    "unavailable": (503, "not_run", "the journal cannot be reached", 1.0),
}


def _on_journal_reply(state, event):
    reply = event.message
    request = state.requests.requests_by_id.get(reply.request_id)
    if request is None or request.phase != "reserving":
        return
    if reply.attempt != request.journal_attempt:
        return
    if reply.status == "reserved":
        yield from permits.place(state, request)
        return
    request.journal_attempt = ""
    if reply.status == "done":
        stored = unpack_response(reply.response)
        yield from finish_with_stored_response(state, request, stored)
        return
    if reply.status == "unknown" and request.spec.lookup_path:
        yield from look_up_earlier_call(state, request, reply.earlier)
        return
    status, execution, detail, retry_after_s = _OUTCOMES_BY_JOURNAL_STATUS[reply.status]
    yield from finish(
        state,
        request,
        status=status,
        execution=execution,
        detail=detail,
        retry_after_s=retry_after_s,
    )


def _on_wake(state, request):
    if request.phase == "placing":
        yield from permits.request_permit(state, request)
    elif request.phase == "pausing":
        yield from permits.place(state, request)


def _on_tick(state, event):
    requests = state.requests
    while requests.timers and requests.timers[0][0] <= event.at:
        at, request_id, kind = heapq.heappop(requests.timers)
        request = requests.requests_by_id.get(request_id)
        if request is None:
            continue
        if kind == "deadline":
            yield from on_deadline(state, request)
        elif request.wake_at == at:  # else superseded by another wake-up
            yield from _on_wake(state, request)
    yield from permits.report_permits(state)


def _on_deadline_reached(state, event):
    request = state.requests.requests_by_id.get(event.request_id)
    if request is not None and request.spec.deadline_at <= event.at:
        yield from on_deadline(state, request)


def _on_attempt_started(state, event):
    request = state.requests.requests_by_id.get(event.request_id)
    if request is not None and request.attempt == event.attempt:
        yield from on_attempt_started(state, request, event)


def _on_attempt_ended(state, event):
    request = state.requests.requests_by_id.get(event.request_id)
    is_current = request is not None and request.attempt == event.attempt
    if is_current and request.phase in ("running", "detached"):
        yield from on_attempt_ended(state, request, event)
    else:
        yield Observe(metric="late_attempt_ends", value=1.0)
        yield record(
            "attempt.ended_late", request=event.request_id, result=event.result
        )


HANDLERS = {
    RequestArrived: _on_request_arrived,
    JournalReply: _on_journal_reply,
    CallLookedUp: on_call_looked_up,
    PlaceReply: permits.on_place_reply,
    AttemptStarted: _on_attempt_started,
    AttemptEnded: _on_attempt_ended,
    CallerGone: on_caller_gone,
    DeadlineReached: _on_deadline_reached,
    PeerUnreachable: on_peer_unreachable,
    ProcessResumed: permits.on_process_resumed,
    DrainRequested: on_drain_requested,
    Ticked: _on_tick,
}
