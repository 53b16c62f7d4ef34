"""Calls whose key the journal knows: stored answers and the service's own lookup."""

from savoryhill.core.effects import LookUpCall
from savoryhill.core.journal import entry as journal
from savoryhill.core.journal.answers import pack_response
from savoryhill.core.requests.outcome import finish
from savoryhill.core.requests.permits import groups_of


def finish_stored(state, request, answer):
    """Give a repeated call the answer of the earlier one."""
    if answer.body is not None:
        yield from finish(
            state,
            request,
            status=answer.status,
            execution="completed",
            detail="answer of the earlier call",
            response=answer.body,
            content_type=answer.content_type,
        )
        return
    yield from finish(
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


def look_up(state, request, earlier):
    """Ask the service itself what became of the earlier call."""
    spec = request.spec
    endpoints = [
        state.active.endpoints_by_id[endpoint]
        for group in groups_of(state, spec.target)
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


def unknown_earlier(state, request, addition=""):
    """Tell the caller that the outcome of the earlier call is not known."""
    yield from finish(
        state,
        request,
        status=409,
        execution="unknown",
        detail=f"the outcome of the earlier call is unknown{addition}",
        retry_after_s=1.0,
    )


def on_call_looked_up(state, event):
    """Settle the earlier call if the service has executed it."""
    request = state.requests.requests_by_id.get(event.request_id)
    if request is None or request.phase != "looking_up":
        return
    if event.result != "executed":
        # "Not executed so far" is no proof: the earlier call may still arrive.
        found = event.result == "not_found"
        addition = "; the service has not executed it so far" if found else ""
        yield from unknown_earlier(state, request, addition)
        return
    yield from journal.finish(
        state,
        key=request.spec.journal_key,
        attempt=request.earlier_attempt,
        status="done",
        response=pack_response(
            status=event.status,
            content_type=event.content_type,
            body=event.response,
        ),
    )
    yield from finish(
        state,
        request,
        status=event.status,
        execution="completed",
        detail="answer found by the service's lookup",
        response=event.response,
        content_type=event.content_type,
    )
