"""End requests for causes other than an attempt: deadline, disconnect or drain."""

from savoryhill.core.effects import CancelAttempt, StopNode, record
from savoryhill.core.requests.completion import fail, finish, respond
from savoryhill.core.requests.lookups import finish_as_unknown
from savoryhill.core.requests.permits import release_permit, withdraw_placement


def _cancel_attempt(state, request):
    yield CancelAttempt(
        request_id=request.spec.request_id,
        attempt=request.attempt,
        endpoint=request.endpoint,
    )
    yield from release_permit(state, request, "cancelled")


def on_deadline(state, request):
    """Fail a request whose deadline has passed.

    A non-idempotent call that is running continues after its caller has been
    answered, so that its outcome still reaches the journal.
    """
    if request.phase == "detached":
        return
    if request.phase == "looking_up":
        yield from finish_as_unknown(state, request, "; the lookup was late")
        return
    if request.phase != "running":
        yield from withdraw_placement(state, request)
        detail = "deadline passed before the request could start"
        if request.detail:
            detail = f"deadline passed while it was retried: {request.detail}"
        yield from fail(state, request, detail, reason="deadline", status=504)
        return
    request.may_have_run = True
    if request.spec.idempotent:
        yield from _cancel_attempt(state, request)
        yield from fail(
            state, request, "deadline passed", reason="deadline", status=504
        )
        return
    request.phase = "detached"
    yield from respond(
        request,
        status=504,
        execution="unknown",
        detail="deadline passed after the call was sent",
        retry_after_s=0.0,
    )


def on_caller_gone(state, event):
    """Cancel an idempotent request; a non-idempotent one continues to its end."""
    request = state.requests.requests_by_id.get(event.request_id)
    if request is None:
        return
    yield record("request.caller_gone", request=event.request_id, phase=request.phase)
    if not request.spec.idempotent:
        return
    possibly_run = request.may_have_run or request.phase == "running"
    if request.phase == "running":
        yield from _cancel_attempt(state, request)
    else:
        yield from withdraw_placement(state, request)
    yield from finish(
        state,
        request,
        status=499,
        execution="unknown" if possibly_run else "not_run",
        detail="caller gone",
    )


def on_drain_requested(state, event):
    """Stop accepting requests; the node stops when the last one has finished."""
    if state.draining:
        return
    state.draining = True
    yield record("node.draining", requests=len(state.requests.requests_by_id))
    if not state.requests.requests_by_id:
        yield StopNode()
