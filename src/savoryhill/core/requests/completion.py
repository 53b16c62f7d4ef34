"""End a request: inform its caller, the journal and the timeline."""

from savoryhill.core.effects import FinishRequest, Observe, StopNode, record
from savoryhill.core.journal import entry_node as journal
from savoryhill.core.journal.responses import pack_response


def respond(request, *, status, execution, detail, retry_after_s, **content):
    """Send the caller the outcome of its request, at most once.

    ``content`` holds the fields of `FinishRequest` that describe the response of an
    endpoint.
    """
    if request.response_sent:
        return
    request.response_sent = True
    spec = request.spec
    yield FinishRequest(
        request_id=spec.request_id,
        status=status,
        execution=execution,
        detail=detail,
        retry_after_s=retry_after_s,
        **content,
    )
    yield record(
        "request.finished",
        request=spec.request_id,
        workspace=spec.workspace,
        kind=spec.kind,
        endpoint=request.last_endpoint,
        status=status,
        execution=execution,
        attempts=request.n_attempts,
        detail=detail,
    )
    yield Observe(
        metric="requests_finished",
        value=1.0,
        labels=(
            ("kind", spec.kind),
            ("workspace", spec.workspace),
            ("status", str(status)),
            ("execution", execution),
        ),
    )


def remove_request(state, request):
    """Remove a request; the last one of a draining node stops the node."""
    del state.requests.requests_by_id[request.spec.request_id]
    if state.draining and not state.requests.requests_by_id:
        yield StopNode()


def finish(
    state, request, *, status, execution, detail="", retry_after_s=0.0, **content
):
    """Respond to the caller and remove the request."""
    yield from respond(
        request,
        status=status,
        execution=execution,
        detail=detail,
        retry_after_s=retry_after_s,
        **content,
    )
    yield from remove_request(state, request)


def refuse(state, request, detail, *, reason, status=503, retry_after_s=1.0):
    """End a request that provably no endpoint has executed."""
    yield Observe(metric="refusals", value=1.0, labels=(("reason", reason),))
    yield from journal_not_sent(state, request)
    yield from finish(
        state,
        request,
        status=status,
        execution="not_run",
        detail=detail,
        retry_after_s=retry_after_s,
    )


def fail(state, request, detail, *, reason, status=502, retry_after_s=1.0):
    """End a failed request.

    It is reported as ``not_run`` only if no attempt may have been executed; the
    status 502 then becomes 503.
    """
    if request.may_have_run:
        yield from finish(
            state, request, status=status, execution="unknown", detail=detail
        )
        return
    yield from refuse(
        state,
        request,
        detail,
        reason=reason,
        status=503 if status == 502 else status,
        retry_after_s=retry_after_s,
    )


def journal_done(state, request, event):
    """Journal the response of a non-idempotent call."""
    if request.journal_attempt:
        packed = pack_response(
            status=event.status or 200,
            content_type=event.content_type,
            body=event.response,
        )
        yield from _journal(state, request, "done", packed)


def journal_not_sent(state, request):
    """Free the journal key of a call that was provably not executed."""
    if request.journal_attempt:
        yield from _journal(state, request, "not_sent")
        request.journal_attempt = ""


def journal_unknown(state, request):
    """Journal that the outcome of a non-idempotent call is unknown."""
    if request.journal_attempt:
        yield from _journal(state, request, "unknown")


def _journal(state, request, status, response=b""):
    yield from journal.finish(
        state,
        key=request.spec.journal_key,
        attempt=request.journal_attempt,
        status=status,
        response=response,
    )
