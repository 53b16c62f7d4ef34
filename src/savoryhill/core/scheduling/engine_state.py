"""Scheduler's view of each engine: its jobs and its pending prefill."""

import math
from collections import deque
from dataclasses import dataclass, field
from zlib import crc32

from savoryhill.core.scheduling.engine_profile import (
    EngineProfile,
    decode_pass_s,
    prefill_s,
)
from savoryhill.core.scheduling.pace import TRIAL_PREFILL_S, EnginePace
from savoryhill.core.scheduling.pace_notes import FirstEventPrediction
from savoryhill.core.scheduling.read_queue import ReadQueue

# Part of a job's time that its reading must not use up: the first decode pass and the
# way to the client follow it.
AFTER_READING_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A generation to be placed on engines.

    Times are in seconds of the scheduler's clock. The client stops waiting at
    ``deadline_at``. ``max_gap_s`` is the longest gap between events that meets the
    latency objective. ``queued_at`` is when the scheduler received the job. ``zone`` is
    the availability zone of the node that relays the output.
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
    excluded_until_by_id: dict[str, float] = field(default_factory=dict)
    zone: str = ""
    queued_at: float = 0.0

    @property
    def has_own_engines(self):
        """Whether the job chooses among other engines than most jobs."""
        return bool(self.avoided_engine_ids or self.excluded_until_by_id)

    def excludes(self, engine_id, now):
        """Return whether an engine must not be used for the job at a time."""
        return self.excluded_until_by_id.get(engine_id, 0.0) > now


@dataclass(kw_only=True, slots=True)
class PlacedJob:
    """A job and the engines it runs on.

    The first of ``engine_ids`` generates the output; all of them prefill a part of
    the prompt, which takes ``prefill_part_s`` each and may be delayed until
    ``due_at``. ``charged_s`` is the engine time that its workspace was charged.
    ``prediction`` is None if another scheduler has placed the job.
    """

    job: Job
    engine_ids: tuple[str, ...]
    prefill_part_s: float
    granted_at: float
    due_at: float
    first_event_at: float | None = None
    reserved_tokens: tuple[int, ...] = ()
    charged_s: float = 0.0
    prediction: FirstEventPrediction | None = None

    @property
    def first_engine_tokens(self):
        """Number of tokens that the first engine holds."""
        total = self.job.prompt_tokens + self.job.answer_tokens
        return total - sum(self.reserved_tokens)


@dataclass(kw_only=True)
class EngineState:
    """State of one engine.

    ``jobs_by_id`` holds the jobs whose output the engine generates, ``reads`` the
    unfinished prefill, and ``reserved_tokens_by_job_id`` the memory reserved for jobs
    that other engines generate. ``has_turn`` is False while a limit that the engine has
    named leaves no turn; it may still prefill a part of another engine's prompt.
    ``n_failures`` and ``n_refusals`` count since the last first event of a job, which
    was at ``heard_at``, and so does ``n_silences``, of jobs that were silent while the
    engine went on with others. Until ``avoided_until`` it is used only if there is no
    other. ``silent_job_ids`` holds the running jobs that were silent for so long that
    the engine was suspected. ``pace`` is how fast this incarnation is, and is used
    unless ``uses_pace`` is False.
    ``rank`` orders engines that are equally good, in another order on each node.
    """

    id: str
    address: str
    zone: str
    slots: int
    profile: EngineProfile
    incarnation: str = ""
    rank: int = 0
    jobs_by_id: dict[str, PlacedJob] = field(default_factory=dict)
    reads: ReadQueue = field(default_factory=ReadQueue)
    reserved_tokens_by_job_id: dict[str, int] = field(default_factory=dict)
    is_usable: bool = True
    has_turn: bool = True
    ejected_until: float = 0.0
    n_failures: int = 0
    n_refusals: int = 0
    n_silences: int = 0
    heard_at: float = -math.inf
    avoided_until: float = 0.0
    silent_job_ids: set[str] = field(default_factory=set)
    grant_times: deque = field(default_factory=deque)
    pace: EnginePace = field(default_factory=EnginePace)
    uses_pace: bool = True
    # Cached values computed from the jobs, cleared whenever the jobs change.
    _decode_pass_s: float | None = None
    _min_gap_s: float | None = None

    def set_capacity(self, *, slots, profile):
        """Set the number of slots and the profile, which operators may change."""
        if (slots, profile) != (self.slots, self.profile):
            self.slots, self.profile = slots, profile
            self._clear_cache()

    def set_incarnation(self, incarnation):
        """Set the incarnation; the pace of an earlier one doesn't apply to it."""
        if incarnation != self.incarnation:
            self.incarnation, self.pace = incarnation, EnginePace()

    def factor(self, now):
        """Return by how much the engine is slower than its profile."""
        factor = self.pace.factor(now) if self.uses_pace else 1.0
        if factor != self.reads.factor:
            self.reads.set_factor(factor, now)
        return factor

    def factor_for(self, job, now):
        """Return the factor for a job that would be read whole; 1 if it is a trial."""
        factor = self.factor(now)
        if (
            factor > 1.0
            and not self.reads.reads_by_job_id
            and self.pace.is_trial_due(now)
            and job_prefill_s(self, job) <= TRIAL_PREFILL_S
        ):
            return 1.0
        return factor

    def free_tokens(self, share):
        """Return how much of a share of the memory is not allocated, in tokens.

        A job counts with the most tokens that it may come to hold.
        """
        held = sum(placed.first_engine_tokens for placed in self.jobs_by_id.values())
        held += sum(self.reserved_tokens_by_job_id.values())
        return int(share * self.profile.memory_tokens) - held

    def pending_prefill_s(self, now):
        """Predict the seconds of prefill that are left, at the engine's pace."""
        self.factor(now)
        return self.reads.pending_s(now)

    def decode_pass_s(self, now):
        """Predict the seconds of a pass without prefill, at the engine's pace."""
        return self._profile_pass_s() * self.factor(now)

    def _profile_pass_s(self):
        if self._decode_pass_s is None:
            context_tokens = sum(p.job.prompt_tokens for p in self.jobs_by_id.values())
            self._decode_pass_s = decode_pass_s(
                self.profile, len(self.jobs_by_id), context_tokens
            )
        return self._decode_pass_s

    def min_gap_s(self):
        """Return the shortest ``max_gap_s`` of the engine's streams."""
        if self._min_gap_s is None:
            gaps = (placed.job.max_gap_s for placed in self.jobs_by_id.values())
            self._min_gap_s = min(gaps, default=math.inf)
        return self._min_gap_s

    def _clear_cache(self):
        self._decode_pass_s = self._min_gap_s = None

    def available_whole_s(self, now, job, *, share):
        """Return the seconds of a whole prompt that a job may add to this engine.

        The prompt is read after all that is pending. Protects short streams on an
        engine that also prefills long prompts. Prefill in a pass delays the next event
        of every sequence that is being decoded, so the pass must stay within the
        shortest gap that the engine's streams allow. An engine without streams may
        prefill until the first event is due.

        Parameters
        ----------
        now : float
            Current time of the scheduler's clock.
        job : Job
            The job to place.
        share : float
            Share of the time to the first event that prefill may take.

        Returns
        -------
        float
            Seconds of the profile; zero or negative if nothing fits.
        """
        # It also sets the factor of the reads.
        factor = self.factor_for(job, now)
        allowed_s = min(
            (job.first_event_due_at - now) * share, self.min_gap_s() * GAP_SHARE
        )
        pass_s = self._profile_pass_s() * factor
        return (allowed_s - pass_s - self.reads.pending_s(now)) / factor

    def available_part_s(self, now, job, *, share):
        """Return the seconds of a part of a prompt that a job may add to this engine.

        The part is read before all that is pending, which must not become late. The
        parameters and the result are those of `available_whole_s`.
        """
        factor = self.factor(now)
        allowed_s = min(
            (job.first_event_due_at - now) * share,
            self.min_gap_s() * GAP_SHARE - self.reads.pending_s(now),
        )
        pass_s = self._profile_pass_s() * factor
        return min(allowed_s - pass_s, self.reads.slack_s(now)) / factor

    def add(self, placed, *, now, is_first):
        """Add a granted job, or the part of its prompt that this engine prefills.

        ``is_first`` tells whether this engine generates the output.
        """
        if is_first:
            self.jobs_by_id[placed.job.id] = placed
            self._clear_cache()
            if len(placed.engine_ids) == 1:
                self.pace.note_granted(now)
        self.reads.add(
            placed.job.id,
            placed.prefill_part_s,
            now,
            is_part=len(placed.engine_ids) > 1,
            ends_by=placed.due_at - AFTER_READING_S,
            wait_s=self._profile_pass_s() / 2 if len(self.jobs_by_id) > 1 else 0.0,
        )
        self.grant_times.append(now)

    def finish_prefill(self, job_id, now):
        """Remove the prefill of a job, finished or not."""
        self.reads.finish(job_id, now)

    def finish(self, job_id, now):
        """Remove a job, with its prefill and its reserved memory."""
        if self.jobs_by_id.pop(job_id, None) is not None:
            self._clear_cache()
        self.reserved_tokens_by_job_id.pop(job_id, None)
        self.silent_job_ids.discard(job_id)
        self.finish_prefill(job_id, now)

    def grants_in_last_second(self, now):
        """Return the number of grants in the last second."""
        while self.grant_times and self.grant_times[0] <= now - 1.0:
            self.grant_times.popleft()
        return len(self.grant_times)


# Share of the shortest allowed gap that a predicted pass may take.
GAP_SHARE = 0.8


def engine_rank(node, engine_id):
    """Return a number by which a node orders engines that are equally good.

    Load pattern: all nodes have lost their leader and each places its own jobs, without
    knowing those of the others. With one order for all they would use the same engines.
    """
    return crc32(f"{node}/{engine_id}".encode())


def job_prefill_s(engine, job):
    """Predict the seconds in which a single engine prefills a job's prompt.

    The prediction is that of the profile and holds for any engine of the service; the
    room of an engine (`available_whole_s`) is in the same unit.
    """
    return prefill_s(engine.profile, job.prompt_tokens)
