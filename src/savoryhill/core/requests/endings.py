"""Ends that do not come from an endpoint: deadline, caller gone, drain."""

from savoryhill.core.effects import CancelAttempt, StopNode, record
from savoryhill.core.requests.lookups import unknown_earlier
from savoryhill.core.requests.outcome import answer, fail, finish
from savoryhill.core.requests.permits import release, withdraw


def _cancel(state, request):
    yield CancelAttempt(
        request_id=request.spec.request_id,
        attempt=request.attempt,
        endpoint=request.endpoint,
    )
    yield from release(state, request, "cancelled")


def on_deadline(state, request):
    """Fail a request whose deadline has come.

    A call that must not be repeated is followed further, so that its answer
    still gets into the journal.
    """
    if request.phase == "detached":
        return
    if request.phase == "looking_up":
        yield from unknown_earlier(state, request, "; the lookup was late")
        return
    if request.phase != "running":
        yield from withdraw(state, request)
        detail = "deadline passed before the request could start"
        if request.detail:
            detail = f"deadline passed while it was retried: {request.detail}"
        yield from fail(state, request, detail, reason="deadline", status=504)
        return
    request.may_have_run = True
    if request.spec.idempotent:
        yield from _cancel(state, request)
        yield from fail(
            state, request, "deadline passed", reason="deadline", status=504
        )
        return
    request.phase = "detached"
    yield from answer(
        request,
        status=504,
        execution="unknown",
        detail="deadline passed after the call was sent",
        retry_after_s=0.0,
    )


def on_caller_gone(state, event):
    """Stop repeatable work; a call that must not be repeated runs to its end."""
    request = state.requests.requests_by_id.get(event.request_id)
    if request is None:
        return
    yield record("request.caller_gone", request=event.request_id, phase=request.phase)
    if not request.spec.idempotent:
        return
    ran = request.may_have_run or request.phase == "running"
    if request.phase == "running":
        yield from _cancel(state, request)
    else:
        yield from withdraw(state, request)
    yield from finish(
        state,
        request,
        status=499,
        execution="unknown" if ran else "not_run",
        detail="caller gone",
    )


def on_drain_requested(state, event):
    """Accept no more requests; the node stops when none is left."""
    if state.draining:
        return
    state.draining = True
    yield record("node.draining", requests=len(state.requests.requests_by_id))
    if not state.requests.requests_by_id:
        yield StopNode()
