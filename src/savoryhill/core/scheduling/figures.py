"""Cost formulas of an engine that processes its work in passes."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineProfile:
    """Figures of the engines of one service.

    ``stride`` is the number of token steps in a pass with writers, ``chunk_tokens``
    the most prompt tokens read in a step.
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


def read_s(figures, n_tokens):
    """Predict the seconds one engine needs to read a prompt.

    Parameters
    ----------
    figures : EngineFigures
        Of the engine.
    n_tokens : int
        Length of the prompt, in tokens.

    Returns
    -------
    float
        Seconds, with one step of overhead for each chunk.
    """
    n_chunks = -(-n_tokens // figures.chunk_tokens)
    pairs = n_tokens * n_tokens / 2.0
    return (
        n_tokens / figures.prefill_tokens_per_s
        + pairs * figures.prefill_s_per_token_pair
        + n_chunks * figures.step_s
    )


def pass_s(figures, n_writers, context_tokens):
    """Predict the seconds of a pass of writers in which nothing is read."""
    step_s = (
        figures.step_s
        + figures.step_s_per_sequence * n_writers
        + figures.step_s_per_context_token * context_tokens
    )
    return figures.stride * step_s
