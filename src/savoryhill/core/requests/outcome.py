"""End a request: tell its caller, the journal and the time line."""

import heapq

from savoryhill.core.effects import (
    FinishRequest,
    Observe,
    SendPeer,
    StopNode,
    record,
)
from savoryhill.core.journal.writer import shard_of, writer_of
from savoryhill.core.messages import JournalFinish
from savoryhill.core.requests.answers import bound_response
from savoryhill.core.requests.state import Abandoned

# A reservation answered later than this after its request ended stays reserved,
# so that repeated calls get "unknown".
ABANDONED_S = 120.0


def answer(state, request, *, status, execution, detail, retry_after_s, response=b""):
    """Tell the caller how its request ended, once."""
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
        response=response,
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
    state, request, *, status, execution, detail="", retry_after_s=0.0, response=b""
):
    """Answer the caller and forget the request."""
    yield from answer(
        state,
        request,
        status=status,
        execution=execution,
        detail=detail,
        retry_after_s=retry_after_s,
        response=response,
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


def journal_done(state, request, response):
    """Keep the answer of a call that must not be repeated."""
    if request.journal_attempt:
        yield _finish_entry(
            state,
            JournalFinish(
                attempt=request.journal_attempt,
                key=request.spec.journal_key,
                status="done",
                response=bound_response(response),
            ),
        )


def journal_not_sent(state, request):
    """Free the key of a call that was provably not executed.

    The reservation may still be on its way, so a later answer to it is met with
    the same message again.
    """
    if not request.journal_attempt:
        return
    attempt, request.journal_attempt = request.journal_attempt, ""
    key = request.spec.journal_key
    until = state.now + ABANDONED_S
    state.requests.abandoned_by_attempt[attempt] = Abandoned(key=key, until=until)
    heapq.heappush(state.requests.timers, (until, attempt, "forget"))
    yield free_key(state, attempt, key)


def free_key(state, attempt, key):
    """Build the message that frees the key of an attempt that was not sent."""
    return _finish_entry(
        state, JournalFinish(attempt=attempt, key=key, status="not_sent")
    )


def _finish_entry(state, message):
    return SendPeer(to=writer_of(state, shard_of(state, message.key)), message=message)


def resend_finishes(state):
    """Send again what could not be delivered to a journal writer."""
    unsent, state.requests.unsent_finishes = state.requests.unsent_finishes, []
    for until, message in unsent:
        if state.now < until:
            yield _finish_entry(state, message)
