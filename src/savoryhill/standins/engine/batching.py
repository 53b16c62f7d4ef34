"""Continuous batching, prefix cache and cold start of the engine stand-in."""

from hashlib import blake2b

import gevent

from savoryhill.standins.engine.state import memory_used

STEP_S = 0.01
# Decoding slows down with the batch size and while prompts are being prefilled.
DECODE_SLOWDOWN_PER_STREAM = 0.03
DECODE_SHARE_DURING_PREFILL = 0.7


def token_text(digest, offset):
    """Return the token at an offset; it is the same on every engine."""
    return blake2b(digest + offset.to_bytes(4, "big"), digest_size=2).hexdigest() + " "


def answer_text(digest, n_tokens):
    """Return the first ``n_tokens`` tokens of the answer to a prompt."""
    return "".join(token_text(digest, offset) for offset in range(n_tokens))


def run_engine(state):
    """Step the engine until the greenlet is killed; wait while it has no work."""
    last_step_at = state.clock()
    while True:
        if not state.jobs_by_id and not state.parts_by_id:
            state.work_arrived.clear()
            state.work_arrived.wait()
            last_step_at = state.clock()
        gevent.sleep(STEP_S)
        now = state.clock()
        if not state.dead:
            step(state, (now - last_step_at) * state.time_scale)
        last_step_at = now


def restart(state, *, warm=False):
    """Drop all work and the cache, as a restart or a crash under overload does."""
    jobs = list(state.jobs_by_id.values())
    parts = list(state.parts_by_id.values())
    state.jobs_by_id.clear()
    state.parts_by_id.clear()
    state.cached_tokens_by_prefix.clear()
    state.start_number += 1
    state.warm = warm
    state.n_finished_cold = 0
    for job in jobs:
        job.chunks.put(None)
    for part in parts:
        part.done.set()


def step(state, seconds):
    """Prefill waiting prompts by priority, then decode all streams.

    Parameters
    ----------
    state : EngineState
        The engine.
    seconds : float
        Simulated time since the last step.
    """
    jobs = list(state.jobs_by_id.values())
    decoding = [
        job for job in jobs if job.remaining_prefill_tokens <= 0 and not job.ended
    ]
    waiting = [job for job in jobs if job.remaining_prefill_tokens > 0]
    waiting += [
        part for part in state.parts_by_id.values() if part.remaining_prefill_tokens > 0
    ]
    _prefill(state, waiting, seconds)
    rate = state.decode_tokens_per_s / (1 + DECODE_SLOWDOWN_PER_STREAM * len(decoding))
    if waiting:
        rate *= DECODE_SHARE_DURING_PREFILL
    for job in decoding:
        _decode(state, job, rate * seconds)


def _prefill(state, waiting, seconds):
    share = 1.0 if state.warm else state.cold_prefill_share
    budget = state.prefill_tokens_per_s * share * seconds
    for work in sorted(waiting, key=lambda item: item.priority):
        used = min(budget, work.remaining_prefill_tokens)
        work.remaining_prefill_tokens -= used
        budget -= used
        if work.remaining_prefill_tokens <= 0 and hasattr(work, "done"):
            work.done.set()
        if budget <= 0:
            return


def _decode(state, job, credit):
    job.decode_credit += credit
    n_tokens = min(int(job.decode_credit), job.max_tokens - job.next_offset)
    if n_tokens > 0:
        job.decode_credit -= n_tokens
        emit(job, job.next_offset, n_tokens)
        job.next_offset += n_tokens
    if job.next_offset >= job.max_tokens:
        # The job is removed only when its connection reads the end, so a detached
        # stream keeps its memory.
        job.ended = True
        job.chunks.put(())


def emit(job, offset, n_tokens):
    """Queue tokens for delivery on the job's connection."""
    text = "".join(token_text(job.digest, n) for n in range(offset, offset + n_tokens))
    job.chunks.put((offset, n_tokens, text))


def finish(state, job):
    """Remove a job whose answer was delivered and cache its prompt."""
    if state.jobs_by_id.get(job.request_id) is not job:
        return
    del state.jobs_by_id[job.request_id]
    store_prefixes(state, job.prefixes)
    if not state.warm:
        state.n_finished_cold += 1
        state.warm = state.n_finished_cold >= state.n_warm_up


def cached_tokens(state, prefixes):
    """Return the length of the longest cached prefix, in tokens.

    The cached prefixes become the most recently used ones.
    """
    longest = 0
    for prefix, n_tokens in prefixes:
        if prefix in state.cached_tokens_by_prefix:
            state.cached_tokens_by_prefix.move_to_end(prefix)
            longest = n_tokens
    return longest


def store_prefixes(state, prefixes):
    """Cache a prompt's prefixes and evict the least recently used ones."""
    for prefix, n_tokens in prefixes:
        if prefix not in state.cached_tokens_by_prefix:
            _publish_cache_event(state, "stored", prefix)
        state.cached_tokens_by_prefix[prefix] = n_tokens
        state.cached_tokens_by_prefix.move_to_end(prefix)
    evict(state)


def evict(state):
    """Evict least recently used prefixes until the cache fits into free memory.

    A prefix contains the shorter ones of the same prompt. As lengths double, their
    sum is at most twice the memory that they occupy together.
    """
    free = state.memory_tokens - memory_used(state)
    total = sum(state.cached_tokens_by_prefix.values())
    while state.cached_tokens_by_prefix and total > free:
        prefix, n_tokens = state.cached_tokens_by_prefix.popitem(last=False)
        total -= n_tokens
        _publish_cache_event(state, "evicted", prefix)


def _publish_cache_event(state, what, prefix):
    """Publish a cache event, or lose it and leave a gap in the sequence numbers."""
    state.n_cache_events += 1
    if state.random.random() >= state.cache_event_loss:
        state.cache_events.append((state.clock(), state.n_cache_events, what, prefix))
