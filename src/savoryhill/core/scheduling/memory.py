"""Memory that a job needs on the engines that prefill its prompt."""

# Share of an engine's memory that one prompt may use.
MEMORY_SHARE = 0.95


def needed_tokens(job):
    """Return the number of tokens of memory that a job needs at most."""
    return job.prompt_tokens + job.answer_tokens


def reservations(job, engines):
    """Return the tokens to reserve on each engine, or None if the job doesn't fit.

    The first engine holds all tokens that are not reserved on other engines. Tokens
    are reserved only if the job does not fit into the memory of the first engine.
    """
    remaining = needed_tokens(job) - engines[0].free_tokens(MEMORY_SHARE)
    reserved = [0]
    for engine in engines[1:]:
        n_tokens = max(0, min(remaining, engine.free_tokens(MEMORY_SHARE)))
        reserved.append(n_tokens)
        remaining -= n_tokens
    return tuple(reserved) if remaining <= 0 else None


def fits(job, engines):
    """Return whether the engines together have enough memory for a job."""
    return reservations(job, engines) is not None
