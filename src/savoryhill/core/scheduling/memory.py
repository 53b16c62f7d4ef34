"""Memory of a job over the engines that read its prompt."""

# Share of an engine's memory that may be planned for one prompt.
MEMORY_SHARE = 0.95


def needed_tokens(job):
    """Return the tokens that a job may come to hold."""
    return job.prompt_tokens + job.answer_tokens


def reservations(job, chosen):
    """Return the tokens to reserve on each engine, or None if they don't fit.

    The first engine holds what no reservation holds. Reservations are made only for
    a prompt that the first engine can't hold.
    """
    left = needed_tokens(job) - chosen[0].free_tokens(MEMORY_SHARE)
    reserved = [0]
    for account in chosen[1:]:
        part = max(0, min(left, account.free_tokens(MEMORY_SHARE)))
        reserved.append(part)
        left -= part
    return tuple(reserved) if left <= 0 else None


def fits(job, chosen):
    """Tell whether the chosen engines can hold a job."""
    return reservations(job, chosen) is not None
