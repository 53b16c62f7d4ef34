"""Handle the attempts of a request on endpoints: finish, resume or retry."""

from savoryhill.core.effects import Observe, record
from savoryhill.core.requests import limits, permits
from savoryhill.core.requests.cancellation import on_deadline
from savoryhill.core.requests.completion import (
    fail,
    finish,
    journal_done,
    journal_not_sent,
    journal_unknown,
    refuse,
    remove_request,
)

# Added to the predicted first-token time, so that network latency does not count as
# slowdown for very short prompts.
SLOWDOWN_BASE_S = 0.02


def on_attempt_started(state, request, event):
    """Note when an attempt started and observe the request's time to first token."""
    request.attempt_first_token_at = event.at
    if request.first_token_at:
        return
    request.first_token_at = event.at
    spec = request.spec
    if not spec.is_model:
        return
    elapsed_s = event.at - request.arrived_at
    labels = (
        ("band", limits.prompt_band(spec.prompt_tokens)),
        ("kind", spec.kind),
        ("workspace", spec.workspace),
    )
    yield Observe(metric="first_token_s", value=elapsed_s, labels=labels)
    unloaded_s = limits.unloaded_first_token_s(state, request) + SLOWDOWN_BASE_S
    yield Observe(metric="slowdown", value=elapsed_s / unloaded_s, labels=labels)


def on_attempt_ended(state, request, event):
    """Finish, resume or retry a request whose attempt has ended."""
    request.n_emitted += event.n_tokens
    if event.result == "completed":
        yield from permits.release_permit(
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
    yield from permits.release_permit(
        state, request, event.result, incarnation=event.incarnation
    )
    if not provably_not_run:
        yield from journal_unknown(state, request)
    if request.response_sent:
        if provably_not_run:
            yield from journal_not_sent(state, request)
        yield from remove_request(state, request)
    elif provably_not_run:
        yield from refuse(state, request, event.detail, reason=event.result)
    else:
        yield from fail(state, request, event.detail, reason=event.result)


def _resume_or_retry(state, request, event):
    if state.now >= request.spec.deadline_at:
        yield from on_deadline(state, request)
        return
    can_resume_in_place = request.spec.is_model and not request.resumed_in_place
    interrupted = event.result in ("broken", "silent")
    connected = event.result != "not_sent"
    if event.result == "refused":
        # The endpoint has not executed the attempt, so it uses up neither an attempt
        # nor a retry token: after several engines restarted at once, three refusals
        # in a row used up all attempts.
        request.n_attempts -= 1
        request.n_refused_attempts += 1
        if request.n_refused_attempts > limits.MAX_REFUSED_ATTEMPTS:
            yield from _give_up(state, request, event, "refused")
            return
    elif request.resumed_in_place and not connected:
        # A resume that could not connect puts no load on the endpoint, so it uses up
        # neither an attempt nor a retry token.
        request.n_attempts -= 1
    elif request.n_attempts >= limits.MAX_ATTEMPTS:
        yield from _give_up(state, request, event, "attempts")
        return
    elif not limits.take_retry_token(state):
        yield from _give_up(state, request, event, "budget")
        return
    is_configured = request.endpoint in state.active.endpoints_by_id
    if can_resume_in_place and interrupted and is_configured:
        request.resumed_in_place = True
        yield limits.count_retry("resumed")
        yield from permits.send_attempt(state, request)
        return
    yield limits.count_retry(event.result)
    request.avoided_endpoints.add(request.endpoint)
    yield from permits.release_permit(
        state,
        request,
        event.result,
        n_tokens=event.n_tokens,
        incarnation=event.incarnation,
    )
    # The first retry on another endpoint starts at once, later ones back off.
    if request.n_attempts + request.n_refused_attempts < 2:
        yield from permits.place(state, request)
    else:
        permits.back_off(state, request)


def _give_up(state, request, event, limit):
    yield from permits.release_permit(
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
