"""Decisions of a scheduler on a job."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Placement of a job on one or more endpoints.

    The first endpoint generates the output; the others prefill equal parts of the
    prompt, each of which takes ``prefill_part_s``. ``reserved_tokens`` holds the
    number of tokens of memory to reserve on each endpoint before the request is sent,
    or 0.
    """

    job_id: str
    endpoint_ids: tuple[str, ...]
    reserved_tokens: tuple[int, ...]
    prefill_part_s: float
    predicted_first_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """Rejection of a job that cannot be served in time; it was not placed."""

    job_id: str
    reason: str
    retry_after_s: float
