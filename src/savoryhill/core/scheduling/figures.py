"""Cost formulas of an engine that processes its work in passes."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineFigures:
    """Figures of the engines of one service.

    ``stride`` is the number of token steps in a pass with writers, ``chunk_tokens``
    the most prompt tokens read in a step.
    """

    slots: int
    memory_tokens: int
    stride: int
    step_s: float
    sequence_step_s: float
    context_step_s_per_token: float
    read_tokens_per_s: float
    pair_s: float
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
        n_tokens / figures.read_tokens_per_s
        + pairs * figures.pair_s
        + n_chunks * figures.step_s
    )


def pass_s(figures, n_writers, context_tokens):
    """Predict the seconds of a pass of writers in which nothing is read."""
    step_s = (
        figures.step_s
        + figures.sequence_step_s * n_writers
        + figures.context_step_s_per_token * context_tokens
    )
    return figures.stride * step_s
