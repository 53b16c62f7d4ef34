"""Drivers that run attempts on endpoints and poll the load of endpoints."""

import gevent
from geventhttpclient.response import HTTPParseError

from savoryhill.core import effects, events
from savoryhill.endpoints.engine import cancel_stream, stream_completion
from savoryhill.endpoints.load import make_endpoint_monitor, poll_load
from savoryhill.endpoints.service import call_service, look_up_call
from savoryhill.errors import (
    BrokenStreamError,
    EndpointError,
    EndpointRefusedError,
    NotSentError,
    SilentStreamError,
)
from savoryhill.node.drivers.oversize import import_parts, release_parts
from savoryhill.node.relay import accept_chunk, put_chunk, put_finish
from savoryhill.node.runtime import submit
from savoryhill.observability.logs import log_event

SILENCE_CHECK_INTERVAL_S = 0.1


def make_attempt_drivers(node):
    """Build the drivers for effects on endpoints and for the end of requests."""
    now = node.clock.monotonic

    def start_attempt(effect):
        relay = node.relays_by_request.get(effect.spec.request_id)
        if relay is None:
            return
        relay.attempt = effect.attempt
        relay.connection_number += 1
        run_request = _run_completion if effect.spec.is_model else _run_service_call
        relay.greenlet = gevent.spawn(
            _run_attempt, node, relay, effect, run_request, now
        )

    def cancel_attempt(effect):
        relay = node.relays_by_request.get(effect.request_id)
        if relay is not None and relay.attempt == effect.attempt:
            relay.connection_number += 1
            relay.silence_limit_s = 0.0
            if relay.greenlet is not None:
                relay.greenlet.kill(block=False)
            if relay.spec.is_model:
                cancel_on_endpoint(effect)

    def cancel_on_endpoint(effect):
        endpoint = node.runtime.state.active.endpoints_by_id.get(effect.endpoint)
        if endpoint is not None:
            gevent.spawn(_cancel_stream, endpoint.address, effect.request_id)

    def finish_request(effect):
        relay = node.relays_by_request.pop(effect.request_id, None)
        if relay is not None:
            put_finish(relay, effect)
            if relay.n_dropped:
                node.observe("dropped_chunks", relay.n_dropped, {})

    def start_lookup(effect):
        gevent.spawn(_look_up_call, node, effect, now)

    def start_poll(effect):
        gevent.spawn(_poll_load, node, effect, now)

    return {
        effects.StartAttempt: start_attempt,
        effects.CancelAttempt: cancel_attempt,
        effects.CancelStream: cancel_on_endpoint,
        effects.FinishRequest: finish_request,
        effects.PollLoad: start_poll,
        effects.LookUpCall: start_lookup,
    }


def watch_silent_attempts(node):
    """Fail silent attempts every `SILENCE_CHECK_INTERVAL_S` until killed."""
    while True:
        node.clock.sleep(SILENCE_CHECK_INTERVAL_S)
        fail_silent_attempts(node)


def fail_silent_attempts(node):
    """Fail each attempt that received no content within its silence limit."""
    now = node.clock.monotonic()
    for relay in tuple(node.relays_by_request.values()):
        limit_s = relay.silence_limit_s
        if (
            limit_s
            and now - relay.last_content_at > limit_s
            and relay.greenlet is not None
        ):
            relay.silence_limit_s = 0.0
            error = SilentStreamError(f"no content for {limit_s:.1f} s")
            relay.greenlet.kill(error, block=False)


def _run_attempt(node, relay, effect, run_request, now):
    connection_number = relay.connection_number
    first_offset = relay.next_offset
    outcome = {"result": "completed", "status": 200}
    try:
        if now() > effect.start_by:
            raise NotSentError("the permit's start_by passed before sending")
        outcome.update(run_request(node, relay, effect, now))
    except NotSentError as error:
        outcome = {"result": "not_sent", "detail": str(error)}
    except EndpointRefusedError as error:
        outcome = {"result": "refused", "detail": str(error)}
    except SilentStreamError as error:
        outcome = {"result": "silent", "detail": str(error)}
    except (BrokenStreamError, HTTPParseError) as error:
        outcome = {"result": "broken", "detail": str(error)}
    except Exception as error:
        # Report the failure, or the core would hold the permit until the deadline.
        log_event("attempt.error", level="ERROR", detail=repr(error))
        outcome = {"result": "broken", "detail": "internal error of the relay"}
    if connection_number != relay.connection_number:
        return
    relay.silence_limit_s = 0.0
    submit(
        node.runtime,
        events.AttemptEnded(
            at=now(),
            request_id=relay.spec.request_id,
            attempt=effect.attempt,
            n_tokens=relay.next_offset - first_offset,
            incarnation=effect.incarnation,
            **outcome,
        ),
    )


def _run_completion(node, relay, effect, now):
    if not effect.parts:
        return _relay_completion(node, relay, effect, now, relay.body)
    try:
        remaining_s = effect.spec.deadline_at - now()
        n_imported = import_parts(node, effect, timeout_s=remaining_s)
        body = {**relay.body, "imported_tokens": n_imported}
        return _relay_completion(node, relay, effect, now, body)
    finally:
        release_parts(node, effect)


def _relay_completion(node, relay, effect, now, body):
    connection_number = relay.connection_number
    if effect.from_offset:
        body = {**body, "continuation": "".join(relay.emitted_texts)}
    relay.last_content_at = now()
    relay.silence_limit_s = effect.first_token_limit_s
    has_started = False
    chunks = stream_completion(
        effect.address,
        body=body,
        request_id=relay.spec.request_id,
        fence=effect.fence,
        incarnation=effect.incarnation,
        priority=effect.priority,
        from_offset=effect.from_offset,
        # `watch_silent_attempts` and the deadline end a silent attempt. A timeout on
        # each socket read would take a fifth of the relay's CPU time.
        gap_limit_s=None,
    )
    for chunk in chunks:
        relay.last_content_at = now()
        if not accept_chunk(relay, connection_number, chunk):
            continue
        if not has_started:
            has_started = True
            relay.silence_limit_s = effect.gap_limit_s
            submit(
                node.runtime,
                events.AttemptStarted(
                    at=now(),
                    request_id=relay.spec.request_id,
                    attempt=effect.attempt,
                ),
            )
        put_chunk(relay, chunk)
        relay.last_content_at = now()
    if relay.next_offset < relay.spec.max_tokens and not relay.finish_reason:
        raise BrokenStreamError(
            f"stream ended at token {relay.next_offset} of {relay.spec.max_tokens}"
        )
    return {}


def _run_service_call(node, relay, effect, now):
    spec = relay.spec
    headers = {"Content-Type": relay.content_type, "X-Fence": str(effect.fence)}
    if relay.idempotency_key:
        headers["Idempotency-Key"] = service_idempotency_key(relay)
    service = node.runtime.state.active.services_by_name[spec.target]
    status, content_type, content = call_service(
        effect.address,
        method=relay.method,
        path=relay.path,
        body=relay.body,
        headers=headers,
        timeout_s=effect.call_until - now(),
        not_run_statuses=service.not_run_statuses,
    )
    return {"status": status, "response": content, "content_type": content_type}


def service_idempotency_key(relay):
    """Return the idempotency key sent to a service, unique across workspaces."""
    return f"{relay.spec.workspace}:{relay.idempotency_key}"


def _look_up_call(node, effect, now):
    relay = node.relays_by_request.get(effect.spec.request_id)
    if relay is None:
        return
    lookup = {"result": "failed"}
    try:
        status, content_type, content = look_up_call(
            effect.address,
            path=effect.path,
            key=service_idempotency_key(relay),
            timeout_s=max(0.05, effect.spec.deadline_at - now()),
        )
        lookup = {
            "result": "executed" if status == 200 else "not_found",
            "status": status,
            "content_type": content_type,
            "response": content,
        }
    except EndpointError as error:
        lookup["detail"] = str(error)
    submit(
        node.runtime,
        events.CallLookedUp(at=now(), request_id=effect.spec.request_id, **lookup),
    )


def _cancel_stream(address, request_id):
    try:
        cancel_stream(address, request_id)
    except EndpointError as error:
        log_event("endpoint.cancel_failed", request=request_id, detail=str(error))


def _poll_load(node, effect, now):
    monitors = node.monitors_by_endpoint
    monitor = monitors.get(effect.endpoint)
    if monitor is None or monitor.address != effect.address:
        monitor = monitors[effect.endpoint] = make_endpoint_monitor(effect.address)
    try:
        load = poll_load(monitor)
        event = events.LoadReported(
            at=now(),
            endpoint=effect.endpoint,
            incarnation=load["incarnation"],
            warm=load["warm"],
            running=load["running"],
            memory_used_tokens=load["memory_used_tokens"],
            streams=tuple(load["streams"]),
            cached_prefixes=tuple(monitor.cache.prefixes),
            version=load.get("version", ""),
        )
    except (EndpointError, KeyError, TypeError) as error:
        event = events.LoadPollFailed(
            at=now(), endpoint=effect.endpoint, detail=str(error)
        )
    submit(node.runtime, event)
