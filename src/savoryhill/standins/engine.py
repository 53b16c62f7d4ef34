"""Stand-in for a model engine with continuous batching."""

import json
from dataclasses import dataclass, field
from hashlib import blake2b

import falcon
import gevent
from gevent.event import Event
from gevent.queue import Queue

from savoryhill.httpapp import make_resource

BYTES_PER_TOKEN = 4
STEP_S = 0.01


@dataclass(kw_only=True)
class Job:
    """A request inside the engine."""

    request_id: str
    priority: int
    prompt_tokens: int
    max_tokens: int
    digest: bytes
    next_offset: int
    prefill_left: float
    decode_credit: float = 0.0
    chunks: Queue = field(default_factory=Queue)


@dataclass(kw_only=True)
class EngineState:
    """Configuration, work and switched faults of one engine stand-in.

    Rates are in tokens per second of the engine's own time; ``time_scale`` makes
    that time run faster than real time.
    """

    id: str
    model: str
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    memory_tokens: int
    slots: int
    cold_slots: int = 1
    n_warm_up: int = 3
    time_scale: float = 1.0
    start_number: int = 1
    n_finished_cold: int = 0
    warm: bool = True
    n_cold_violations: int = 0
    n_falls: int = 0
    dead: bool = False
    work_arrived: Event = field(default_factory=Event)
    jobs_by_id: dict[str, Job] = field(default_factory=dict)

    @property
    def incarnation(self):
        """Identity of the engine process; it changes with every start."""
        return f"{self.id}#{self.start_number}"


def token_text(digest, offset):
    """Return the token at an offset; the same for every engine of a model."""
    return blake2b(digest + offset.to_bytes(4, "big"), digest_size=2).hexdigest() + " "


def restart(state, *, warm=False):
    """Drop all work, as a restart or a fall under overload does."""
    jobs = list(state.jobs_by_id.values())
    state.jobs_by_id.clear()
    state.start_number += 1
    state.warm = warm
    state.n_finished_cold = 0
    for job in jobs:
        job.chunks.put(None)


def memory_used(state):
    """Return the tokens of memory that running work occupies."""
    return sum(job.prompt_tokens + job.max_tokens for job in state.jobs_by_id.values())


def run_engine(state):
    """Run the engine's steps until it is killed."""
    while True:
        if not state.jobs_by_id:
            state.work_arrived.clear()
            state.work_arrived.wait()
        gevent.sleep(STEP_S)
        step(state, STEP_S * state.time_scale)


def step(state, seconds):
    """Advance all work: prefill by priority, then one share of decoding each."""
    budget = state.prefill_tokens_per_s * seconds
    decoding = [job for job in state.jobs_by_id.values() if job.prefill_left <= 0]
    waiting = [job for job in state.jobs_by_id.values() if job.prefill_left > 0]
    for job in sorted(waiting, key=lambda each: each.priority):
        used = min(budget, job.prefill_left)
        job.prefill_left -= used
        budget -= used
        if budget <= 0:
            break
    for job in decoding:
        job.decode_credit += state.decode_tokens_per_s * seconds
        n_tokens = min(int(job.decode_credit), job.max_tokens - job.next_offset)
        if n_tokens <= 0 and job.next_offset < job.max_tokens:
            continue
        job.decode_credit -= n_tokens
        offsets = range(job.next_offset, job.next_offset + n_tokens)
        text = "".join(token_text(job.digest, offset) for offset in offsets)
        job.chunks.put((job.next_offset, n_tokens, text))
        job.next_offset += n_tokens
        if job.next_offset >= job.max_tokens:
            job.chunks.put(())
            state.jobs_by_id.pop(job.request_id, None)
            _count_warm_up(state)


def _count_warm_up(state):
    if not state.warm:
        state.n_finished_cold += 1
        state.warm = state.n_finished_cold >= state.n_warm_up


def _on_completion(state, req, resp):
    if state.dead:
        raise falcon.HTTPServiceUnavailable(description="engine is dead")
    expected = req.get_header("X-Incarnation")
    if expected and expected != state.incarnation:
        raise falcon.HTTPPreconditionFailed(description=state.incarnation)
    body = req.get_media()
    prompt = body["prompt"].encode()
    prompt_tokens = max(1, len(prompt) // BYTES_PER_TOKEN)
    max_tokens = int(body.get("max_tokens", 16))
    if memory_used(state) + prompt_tokens + max_tokens > state.memory_tokens:
        raise falcon.HTTPTooManyRequests(description="memory is full")
    if not state.warm and len(state.jobs_by_id) >= state.cold_slots:
        state.n_cold_violations += 1
        state.n_falls += 1
        restart(state)
        raise falcon.HTTPServiceUnavailable(description="fell over while cold")
    if len(state.jobs_by_id) >= state.slots:
        raise falcon.HTTPTooManyRequests(description="all slots are taken")
    offset = int(req.get_header("X-Resume-Offset") or 0)
    job = Job(
        request_id=req.get_header("X-Request-Id"),
        priority=int(req.get_header("X-Priority") or 0),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        digest=blake2b(prompt, digest_size=16).digest(),
        next_offset=offset,
        prefill_left=float(prompt_tokens + offset),
    )
    state.jobs_by_id[job.request_id] = job
    state.work_arrived.set()
    resp.content_type = "text/event-stream"
    resp.stream = _lines(state, job)


def _lines(state, job):
    try:
        while True:
            item = job.chunks.get()
            if item is None:
                return
            if not item:
                yield b"data: [DONE]\n\n"
                return
            offset, n_tokens, text = item
            event = {
                "id": job.request_id,
                "object": "text_completion",
                "offset": offset,
                "n_tokens": n_tokens,
                "choices": [{"index": 0, "text": text, "finish_reason": None}],
            }
            yield b"data: " + json.dumps(event).encode() + b"\n\n"
    finally:
        if state.jobs_by_id.get(job.request_id) is job:
            del state.jobs_by_id[job.request_id]


def _on_load(state, req, resp):
    if state.dead:
        raise falcon.HTTPServiceUnavailable(description="engine is dead")
    resp.media = {
        "incarnation": state.incarnation,
        "warm": state.warm,
        "running": len(state.jobs_by_id),
        "memory_used_tokens": memory_used(state),
        "streams": list(state.jobs_by_id),
    }


def _on_cancel(state, req, resp, request_id):
    job = state.jobs_by_id.pop(request_id, None)
    if job is not None:
        job.chunks.put(None)
    resp.media = {"cancelled": job is not None}


def _on_fault(state, req, resp):
    for name, value in req.get_media().items():
        if name == "restart":
            restart(state, warm=bool(value == "warm"))
        elif name == "dead":
            state.dead = bool(value)
            if state.dead:
                restart(state)
        else:
            raise falcon.HTTPBadRequest(description=f"unknown fault {name!r}")
    resp.media = {}


def engine_application(state):
    """Build the WSGI application of an engine stand-in."""
    application = falcon.App()
    add = application.add_route
    add("/v1/completions", make_resource(state, post=_on_completion))
    add("/admin/load", make_resource(state, get=_on_load))
    add("/admin/cancel/{request_id}", make_resource(state, post=_on_cancel))
    add("/control/fault", make_resource(state, post=_on_fault))
    return application
