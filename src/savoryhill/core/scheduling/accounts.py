"""What a scheduler believes of each engine: its jobs and the reading ahead of it."""

import math
from collections import deque
from dataclasses import dataclass, field

from savoryhill.core.scheduling.figures import EngineProfile, pass_s, read_s

# A prediction that has run out without a first event still counts this share of the
# part, because the engine is then slower than predicted.
OVERDUE_SHARE = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """One generation that needs an engine.

    Times are of the scheduler's clock. ``due_at`` is when the first event is due,
    ``ends_at`` when the client stops waiting; ``pause_s`` is the longest pause
    between events that is still on time. ``avoid`` names engines not to use, ``zone``
    is that of the node that relays the answer.
    """

    id: str
    service: str
    workspace: str
    prompt_tokens: int
    answer_tokens: int
    first_event_due_at: float
    deadline_at: float
    max_gap_s: float
    priority: int
    avoided_engine_ids: frozenset[str] = frozenset()
    zone: str = ""


@dataclass(kw_only=True, slots=True)
class PlacedJob:
    """A job on its engines; the first of ``engine_ids`` writes the answer."""

    job: Job
    engine_ids: tuple[str, ...]
    part_s: float
    granted_at: float
    predicted_first_at: float
    first_at: float | None = None
    reserved_tokens: tuple[int, ...] = ()

    @property
    def first_tokens(self):
        """Tokens that the first engine holds."""
        whole = self.job.prompt_tokens + self.job.answer_tokens
        return whole - sum(self.reserved_tokens)


@dataclass(kw_only=True)
class EngineAccount:
    """One engine.

    ``jobs_by_id`` holds the jobs that it writes, ``parts_by_id`` the seconds of
    reading of each job that it has not finished reading, ``reserved_by_id`` the
    memory that it holds for jobs of other engines. ``reads_end_at`` is when
    the reading is predicted to end. ``n_failures`` and ``n_refusals`` count those
    since the last first event.
    """

    id: str
    address: str
    zone: str
    slots: int
    figures: EngineProfile
    jobs_by_id: dict[str, PlacedJob] = field(default_factory=dict)
    parts_by_id: dict[str, float] = field(default_factory=dict)
    reserved_by_id: dict[str, int] = field(default_factory=dict)
    reads_end_at: float = 0.0
    is_usable: bool = True
    ejected_until: float = 0.0
    n_failures: int = 0
    n_refusals: int = 0
    grants: deque = field(default_factory=deque)
    # Derived from the jobs, and computed again after a change of them.
    _pass_s: float | None = None
    _shortest_pause_s: float | None = None

    def free_tokens(self, share):
        """Return the tokens of memory, up to a share, that no job may come to hold."""
        held = sum(placed.first_tokens for placed in self.jobs_by_id.values())
        held += sum(self.reserved_by_id.values())
        return int(share * self.figures.memory_tokens) - held

    def pending_s(self, now):
        """Predict the seconds of reading that are ahead."""
        pending_s = max(0.0, self.reads_end_at - now)
        if pending_s == 0.0 and self.parts_by_id:
            return OVERDUE_SHARE * sum(self.parts_by_id.values())
        return pending_s

    def pass_s(self):
        """Predict the seconds of a pass without reading."""
        if self._pass_s is None:
            context = sum(p.job.prompt_tokens for p in self.jobs_by_id.values())
            self._pass_s = pass_s(self.figures, len(self.jobs_by_id), context)
        return self._pass_s

    def shortest_pause_s(self):
        """Return the shortest pause that a stream of the engine allows."""
        if self._shortest_pause_s is None:
            pauses = (placed.job.max_gap_s for placed in self.jobs_by_id.values())
            self._shortest_pause_s = min(pauses, default=math.inf)
        return self._shortest_pause_s

    def _forget_derived(self):
        self._pass_s = self._shortest_pause_s = None

    def room_s(self, now, job, *, share):
        """Return the seconds of reading that a job may add to this engine.

        Load pattern: short streams beside long prompts. A pass that reads delays the
        next event of every writer, so a part fits only where the pass stays within
        the shortest pause that the engine's streams allow. An engine without streams
        may read until the first event is due.

        Parameters
        ----------
        now : float
            Time of the scheduler's clock.
        job : Job
            The job to place.
        share : float
            Share of the time to the first event that reading may take.

        Returns
        -------
        float
            Seconds; not positive if nothing fits.
        """
        pending_s = self.pending_s(now)
        base_s = self.pass_s()
        allowed_s = min(
            (job.first_event_due_at - now) * share,
            self.shortest_pause_s() * PAUSE_SHARE,
        )
        return allowed_s - base_s - pending_s

    def add(self, placed, *, now, is_writer):
        """Account for a granted job or a part of it."""
        if is_writer:
            self.jobs_by_id[placed.job.id] = placed
            self._forget_derived()
        self.parts_by_id[placed.job.id] = placed.part_s
        wait_s = self.pass_s() / 2 if len(self.jobs_by_id) > 1 else 0.0
        self.reads_end_at = max(now + wait_s, self.reads_end_at) + placed.part_s
        self.grants.append(now)

    def finish_reading(self, job_id, now):
        """Forget a part that has been read, or will not be read."""
        if self.parts_by_id.pop(job_id, None) is None:
            return
        left_s = sum(self.parts_by_id.values())
        self.reads_end_at = min(self.reads_end_at, now + left_s)

    def finish(self, job_id, now):
        """Forget a job."""
        if self.jobs_by_id.pop(job_id, None) is not None:
            self._forget_derived()
        self.reserved_by_id.pop(job_id, None)
        self.finish_reading(job_id, now)

    def grants_in_last_second(self, now):
        """Count the grants of the last second."""
        while self.grants and self.grants[0] <= now - 1.0:
            self.grants.popleft()
        return len(self.grants)


# Share of the allowed pause that a predicted pass may take.
PAUSE_SHARE = 0.8


def alone_read_s(account, job):
    """Predict the seconds in which one engine reads a job's prompt."""
    return read_s(account.figures, job.prompt_tokens)
