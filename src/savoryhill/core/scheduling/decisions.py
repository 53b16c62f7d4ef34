"""What a scheduler decides on a job."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """A job may run: the first endpoint writes, the others help to read.

    ``reserved_tokens`` has one number for each endpoint: the memory that must be
    reserved there before the request is sent, 0 for none.
    """

    job_id: str
    endpoint_ids: tuple[str, ...]
    reserved_tokens: tuple[int, ...]
    part_s: float
    predicted_first_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """A job can't be served in time and has not been placed."""

    job_id: str
    reason: str
    retry_after_s: float
