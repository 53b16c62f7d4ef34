"""Settle repeated calls: stored responses and lookups at the service."""

from savoryhill.core.effects import LookUpCall
from savoryhill.core.journal import entry_node as journal
from savoryhill.core.journal.responses import pack_response
from savoryhill.core.requests.completion import finish
from savoryhill.core.requests.permits import groups_in_region


def finish_with_stored_response(state, request, stored):
    """Finish a repeated call with the stored response of the earlier one.

    A response that was too large to be stored is described by its size and digest.
    """
    if stored.body is not None:
        yield from finish(
            state,
            request,
            status=stored.status,
            execution="completed",
            detail="answer of the earlier call",
            response=stored.body,
            content_type=stored.content_type,
        )
        return
    yield from finish(
        state,
        request,
        status=409,
        execution="completed",
        detail=(
            f"the earlier call completed with status {stored.status}; its answer of "
            f"{stored.n_bytes} bytes is too large to be kept, its SHA-256 is "
            f"{stored.digest.hex()}"
        ),
        response_missing=True,
    )


def look_up_earlier_call(state, request, earlier):
    """Ask the service for the outcome of the earlier call.

    Endpoints that are leaving are used only if there is no other.
    """
    spec = request.spec
    endpoints = [
        state.active.endpoints_by_id[endpoint]
        for group in groups_in_region(state, spec.target)
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


def finish_as_unknown(state, request, detail_suffix=""):
    """Finish a request because the outcome of the earlier call is unknown."""
    yield from finish(
        state,
        request,
        status=409,
        execution="unknown",
        detail=f"the outcome of the earlier call is unknown{detail_suffix}",
        retry_after_s=1.0,
    )


def on_call_looked_up(state, event):
    """Record and return the earlier call's response if the service executed it."""
    request = state.requests.requests_by_id.get(event.request_id)
    if request is None or request.phase != "looking_up":
        return
    if event.result != "executed":
        # The earlier call may still be on its way to the service, so "not found"
        # does not prove that it will never be executed.
        found = event.result == "not_found"
        detail_suffix = "; the service has not executed it so far" if found else ""
        yield from finish_as_unknown(state, request, detail_suffix)
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
