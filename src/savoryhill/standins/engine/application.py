"""HTTP interface of the engine stand-in."""

import json
from hashlib import blake2b

import falcon
import gevent
from gevent.queue import Queue

from savoryhill.httpapp import make_resource
from savoryhill.prompts import BYTES_PER_TOKEN, prefix_chain
from savoryhill.standins.engine.batching import (
    answer_text,
    cached_tokens,
    emit,
    evict,
    finish,
    restart,
)
from savoryhill.standins.engine.state import Job, Part, memory_used, n_running

# Shortest time between two samples of the load.
LOAD_SAMPLE_S = 0.05
MODEL_LOAD_S = 0.5


def engine_application(state):
    """Build the WSGI application of an engine stand-in."""
    application = falcon.App()
    add_route = application.add_route
    add_route("/v1/completions", make_resource(state, post=_on_completion))
    add_route("/admin/load", make_resource(state, get=_on_load))
    add_route("/admin/cancel/{request_id}", make_resource(state, post=_on_cancel))
    add_route("/admin/prefill", make_resource(state, post=_on_prefill))
    add_route("/admin/orders", make_resource(state, post=_on_order))
    add_route("/control/fault", make_resource(state, post=_on_fault))
    return application


def _wait_while_dead(state):
    while state.dead:
        # A dead host sends no response; the caller's timeout ends the request.
        gevent.sleep(0.05)


def _check_permit(state, req):
    """Refuse a request for another incarnation or with an outdated fence."""
    expected = req.get_header("X-Incarnation")
    if state.checks_incarnation and expected and expected != state.incarnation:
        raise falcon.HTTPPreconditionFailed(
            description=f"incarnation is {state.incarnation}, not {expected}"
        )
    fence = int(req.get_header("X-Fence") or 0)
    if state.checks_fencing and fence < state.highest_fence:
        raise falcon.HTTPConflict(
            description=f"fence {fence} is below {state.highest_fence}"
        )
    state.highest_fence = max(state.highest_fence, fence)


def _check_capacity(state, needed_tokens):
    """Refuse a request that does not fit; crash if it exceeds the cold limit."""
    if not state.warm and n_running(state) >= state.cold_slots:
        state.n_cold_violations += 1
        restart(state)
        raise falcon.HTTPServiceUnavailable(description="fell over while cold")
    if n_running(state) >= state.slots:
        raise falcon.HTTPTooManyRequests(description="all slots are taken")
    free_tokens = state.memory_tokens - memory_used(state)
    if needed_tokens > free_tokens:
        raise falcon.HTTPTooManyRequests(
            description=f"{needed_tokens} tokens do not fit into {free_tokens}"
        )


def _on_completion(state, req, resp):
    _wait_while_dead(state)
    _check_permit(state, req)
    body = req.get_media()
    request_id = req.get_header("X-Request-Id")
    offset = int(req.get_header("X-Resume-Offset") or 0)
    job = state.jobs_by_id.get(request_id)
    if job is not None and offset <= job.next_offset:
        _resume_on_new_connection(job, offset)
    else:
        job = _admit(state, req, body, request_id, offset)
    resp.content_type = "text/event-stream"
    resp.set_header("X-Incarnation", state.incarnation)
    resp.stream = _event_lines(state, job)


def _resume_on_new_connection(job, offset):
    """Move a job to a new connection, which resumes the stream at an offset."""
    job.chunks.put(None)
    job.chunks = Queue()
    if offset < job.next_offset:
        emit(job, offset, job.next_offset - offset)
    if job.ended:
        job.chunks.put(())


def _admit(state, req, body, request_id, offset):
    prompt = body["prompt"].encode()
    prompt_tokens = max(1, len(prompt) // BYTES_PER_TOKEN)
    imported = int(body.get("imported_tokens", 0))
    max_tokens = int(body.get("max_tokens", 16))
    _check_capacity(state, prompt_tokens - imported + max_tokens)
    digest = blake2b(prompt, digest_size=16).digest()
    if offset and body.get("continuation") != answer_text(digest, offset):
        raise falcon.HTTPBadRequest(
            description=f"the continuation is not the answer's first {offset} tokens"
        )
    prefixes = prefix_chain(prompt) if not imported else ()
    cached = max(cached_tokens(state, prefixes), imported)
    job = Job(
        request_id=request_id,
        priority=int(req.get_header("X-Priority") or 0),
        prompt_tokens=prompt_tokens - imported,
        max_tokens=max_tokens,
        digest=digest,
        prefixes=prefixes,
        next_offset=offset,
        remaining_prefill_tokens=float(prompt_tokens + offset - cached),
    )
    state.jobs_by_id[request_id] = job
    state.n_started += 1
    state.last_start_at = state.clock()
    evict(state)
    state.work_arrived.set()
    return job


def _event_lines(state, job):
    chunks = job.chunks
    while True:
        chunk = chunks.get()
        if chunk is None:
            return
        if not chunk:
            finish(state, job)
            yield b"data: [DONE]\n\n"
            return
        offset, n_tokens, text = chunk
        event = {
            "id": job.request_id,
            "object": "text_completion",
            "offset": offset,
            "n_tokens": n_tokens,
            "choices": [{"index": 0, "text": text, "finish_reason": None}],
        }
        yield b"data: " + json.dumps(event).encode() + b"\n\n"


def _on_prefill(state, req, resp):
    """Prefill one part of an oversize prompt and keep its KV cache for export."""
    _wait_while_dead(state)
    _check_permit(state, req)
    body = req.get_media()
    request_id = req.get_header("X-Request-Id")
    n_tokens = int(body["n_tokens"])
    _check_capacity(state, n_tokens)
    part = Part(
        request_id=request_id,
        n_tokens=n_tokens,
        remaining_prefill_tokens=float(n_tokens),
        priority=int(req.get_header("X-Priority") or 0),
    )
    state.parts_by_id[request_id] = part
    evict(state)
    state.work_arrived.set()
    part.done.wait()
    if state.parts_by_id.get(request_id) is not part:
        raise falcon.HTTPServiceUnavailable(description="the part was dropped")
    resp.media = {"request_id": request_id, "n_tokens": n_tokens}


def _load_report(state):
    return {
        "incarnation": state.incarnation,
        "warm": state.warm,
        "running": n_running(state),
        "memory_used_tokens": memory_used(state),
        "streams": [*state.jobs_by_id, *state.parts_by_id],
        "version": state.version,
        "role": state.role,
    }


def _on_load(state, req, resp):
    _wait_while_dead(state)
    now = state.clock()
    if not state.loads or now - state.loads[-1][0] >= LOAD_SAMPLE_S:
        state.loads.append((now, _load_report(state)))
    visible = [load for at, load in state.loads if now - at >= state.load_lag_s]
    load = visible[-1] if visible else state.loads[0][1]
    after = req.get_param_as_int("cache_after")
    if after is not None:
        load = {**load, "cache_events": _cache_events(state, after)}
    resp.media = load


def _cache_events(state, after):
    visible_at = state.clock() - state.cache_event_lag_s
    return [
        {"sequence": number, "what": what, "prefix": prefix}
        for at, number, what, prefix in state.cache_events
        if number > after and at <= visible_at
    ]


def _on_cancel(state, req, resp, request_id):
    _wait_while_dead(state)
    job = state.jobs_by_id.pop(request_id, None)
    part = state.parts_by_id.pop(request_id, None)
    if job is not None:
        job.chunks.put(None)
    if part is not None:
        part.done.set()
    resp.media = {"cancelled": job is not None or part is not None}


def _on_order(state, req, resp):
    """Execute an order: load a version or an adapter, or change the role."""
    _wait_while_dead(state)
    fence = int(req.get_header("X-Order-Fence") or 0)
    if state.checks_fencing and fence < state.highest_order_fence:
        raise falcon.HTTPConflict(
            description=f"fence {fence} is below {state.highest_order_fence}"
        )
    state.highest_order_fence = max(state.highest_order_fence, fence)
    order = req.get_media()
    gevent.sleep(MODEL_LOAD_S / state.time_scale)
    if state.fail_orders:
        raise falcon.HTTPInternalServerError(description="the order failed")
    if order["what"] == "load_version":
        state.version = order["value"]
        restart(state)
    elif order["what"] == "load_adapter":
        state.adapters.add(order["value"])
    elif order["what"] == "change_role":
        state.role = order["value"]
    else:
        raise falcon.HTTPBadRequest(description=f"unknown order {order['what']!r}")
    resp.media = {"incarnation": state.incarnation, "version": state.version}


def apply_fault(state, name, value):
    """Set a fault of the engine.

    Raises
    ------
    ValueError
        If the fault is unknown.
    """
    if name == "restart":
        restart(state, warm=value == "warm")
    elif name == "dead":
        state.dead = bool(value)
        if state.dead:
            restart(state)
    elif name in ("load_lag_s", "cache_event_lag_s", "cache_event_loss"):
        setattr(state, name, float(value))
    elif name in ("checks_fencing", "checks_incarnation", "fail_orders"):
        setattr(state, name, bool(value))
    else:
        raise ValueError(f"unknown fault {name!r}")


def _on_fault(state, req, resp):
    try:
        for name, value in req.get_media().items():
            apply_fault(state, name, value)
    except ValueError as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error
    resp.media = {}
