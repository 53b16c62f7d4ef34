"""Follow the attempts of a request on endpoints: success, resume, retry."""

from savoryhill.core.effects import Observe, record
from savoryhill.core.requests import limits, permits
from savoryhill.core.requests.endings import on_deadline
from savoryhill.core.requests.outcome import (
    fail,
    finish,
    forget,
    journal_done,
    journal_not_sent,
    journal_unknown,
    refuse,
)

# Added to the prediction of an idle endpoint, so that very short prompts do not
# show a slowdown that is only the network's.
SLOWDOWN_BASE_S = 0.02


def on_attempt_started(state, request, event):
    """Record the time to the first token of the whole request."""
    request.attempt_first_token_at = event.at
    if request.first_token_at:
        return
    request.first_token_at = event.at
    spec = request.spec
    if not spec.is_model:
        return
    taken_s = event.at - request.arrived_at
    labels = (
        ("band", limits.prompt_band(spec.prompt_tokens)),
        ("kind", spec.kind),
        ("workspace", spec.workspace),
    )
    yield Observe(metric="first_token_s", value=taken_s, labels=labels)
    alone_s = limits.unloaded_first_token_s(state, request) + SLOWDOWN_BASE_S
    yield Observe(metric="slowdown", value=taken_s / alone_s, labels=labels)


def on_attempt_ended(state, request, event):
    """Finish, resume or retry a request after an attempt."""
    request.n_emitted += event.n_tokens
    if event.result == "completed":
        yield from permits.release(
            state,
            request,
            "completed",
            n_tokens=event.n_tokens,
            incarnation=event.incarnation,
        )
        yield from journal_done(state, request, event)
        yield from finish(
            state,
            request,
            status=event.status or 200,
            execution="completed",
            response=event.response,
            content_type=event.content_type,
        )
        return
    request.detail = event.detail
    provably_not_run = event.result in ("not_sent", "refused")
    request.may_have_run |= not provably_not_run
    yield record(
        "attempt.failed",
        request=request.spec.request_id,
        endpoint=request.endpoint,
        result=event.result,
        offset=request.n_emitted,
        detail=event.detail,
    )
    if request.spec.idempotent:
        yield from _resume_or_retry(state, request, event)
        return
    yield from permits.release(
        state, request, event.result, incarnation=event.incarnation
    )
    if not provably_not_run:
        yield from journal_unknown(state, request)
    if request.answered:
        if provably_not_run:
            yield from journal_not_sent(state, request)
        yield from forget(state, request)
    elif provably_not_run:
        yield from refuse(state, request, event.detail, reason=event.result)
    else:
        yield from fail(state, request, event.detail, reason=event.result)


def _resume_or_retry(state, request, event):
    if state.now >= request.spec.deadline_at:
        yield from on_deadline(state, request)
        return
    here = request.spec.is_model and not request.resumed_here
    interrupted = event.result in ("broken", "silent")
    connected = event.result != "not_sent"
    if event.result == "refused":
        # The endpoint has not run it, so it costs neither an attempt nor a token;
        # after several engines restarted at once, three such answers in a row
        # used up all attempts.
        request.n_attempts -= 1
        request.n_refused += 1
        if request.n_refused > limits.MAX_REFUSED:
            yield from _give_up(state, request, event, "refused")
            return
    elif request.resumed_here and not connected:
        # A refused connection after a break costs the endpoint nothing.
        request.n_attempts -= 1
    elif request.n_attempts >= limits.MAX_TRIES:
        yield from _give_up(state, request, event, "attempts")
        return
    elif not limits.take_retry_token(state):
        yield from _give_up(state, request, event, "budget")
        return
    known = request.endpoint in state.active.endpoints_by_id
    if here and interrupted and known:
        request.resumed_here = True
        yield limits.count_retry("resumed")
        yield from permits.send(state, request)
        return
    yield limits.count_retry(event.result)
    request.avoid.add(request.endpoint)
    yield from permits.release(
        state,
        request,
        event.result,
        n_tokens=event.n_tokens,
        incarnation=event.incarnation,
    )
    # The first new placement starts at once; a further one waits.
    if request.n_attempts + request.n_refused < 2:
        yield from permits.place(state, request)
    else:
        permits.pause(state, request)


def _give_up(state, request, event, limit):
    yield from permits.release(
        state,
        request,
        event.result,
        n_tokens=event.n_tokens,
        incarnation=event.incarnation,
    )
    yield Observe(metric="retries_denied", value=1.0, labels=(("limit", limit),))
    yield from fail(
        state,
        request,
        f"gave up after {request.n_attempts} attempts: {event.detail}",
        reason=event.result,
    )
