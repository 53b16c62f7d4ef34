"""Cost model of an engine that processes its batch in passes."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineProfile:
    """Capacity and speed of the engines of one service.

    ``stride`` is the number of decode steps in a pass, ``chunk_tokens`` the maximum
    number of prompt tokens that are prefilled in a step. A decode step takes
    ``step_s``, plus a term for each sequence in the batch and for each token of their
    contexts. ``prefill_s_per_token_pair`` is the quadratic term of prefill.
    """

    slots: int
    memory_tokens: int
    stride: int
    step_s: float
    step_s_per_sequence: float
    step_s_per_context_token: float
    prefill_tokens_per_s: float
    prefill_s_per_token_pair: float
    chunk_tokens: int


def prefill_s(profile, n_tokens):
    """Predict the time one engine needs to prefill a prompt.

    Parameters
    ----------
    profile : EngineProfile
        Profile of the engine.
    n_tokens : int
        Length of the prompt, in tokens.

    Returns
    -------
    float
        Seconds, including one step of overhead for each chunk.
    """
    n_chunks = -(-n_tokens // profile.chunk_tokens)
    n_pairs = n_tokens * n_tokens / 2.0
    return (
        n_tokens / profile.prefill_tokens_per_s
        + n_pairs * profile.prefill_s_per_token_pair
        + n_chunks * profile.step_s
    )


def decode_pass_s(profile, n_sequences, context_tokens):
    """Predict the seconds of a pass that decodes sequences and prefills nothing."""
    step_s = (
        profile.step_s
        + profile.step_s_per_sequence * n_sequences
        + profile.step_s_per_context_token * context_tokens
    )
    return profile.stride * step_s
