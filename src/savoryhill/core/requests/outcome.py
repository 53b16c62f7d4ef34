"""End a request: tell its caller, the journal and the time line."""

from savoryhill.core.effects import FinishRequest, Observe, StopNode, record
from savoryhill.core.journal import entry as journal
from savoryhill.core.journal.answers import pack_response


def answer(request, *, status, execution, detail, retry_after_s, **content):
    """Tell the caller how its request ended, once.

    ``content`` are the fields of `FinishRequest` on an endpoint's answer.
    """
    if request.answered:
        return
    request.answered = True
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
        attempts=request.n_tries,
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


def forget(state, request):
    """Drop a request from the node's state."""
    del state.requests.requests_by_id[request.spec.request_id]
    if state.draining and not state.requests.requests_by_id:
        yield StopNode()


def finish(
    state, request, *, status, execution, detail="", retry_after_s=0.0, **content
):
    """Answer the caller and forget the request."""
    yield from answer(
        request,
        status=status,
        execution=execution,
        detail=detail,
        retry_after_s=retry_after_s,
        **content,
    )
    yield from forget(state, request)


def refuse(state, request, detail, *, reason, status=503, retry_after_s=1.0):
    """End a request that no endpoint has executed."""
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
    """End a request that failed, as not run only if that is certain."""
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
    """Keep the answer of a call that must not be repeated."""
    if request.journal_attempt:
        answer = pack_response(
            status=event.status or 200,
            content_type=event.content_type,
            body=event.response,
        )
        yield from _journal(state, request, "done", answer)


def journal_not_sent(state, request):
    """Free the key of a call that was provably not executed."""
    if request.journal_attempt:
        yield from _journal(state, request, "not_sent")
        request.journal_attempt = ""


def journal_unknown(state, request):
    """Note that the outcome of a call that must not be repeated is not known."""
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
