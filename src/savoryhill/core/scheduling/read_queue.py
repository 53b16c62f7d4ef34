"""What one engine has still to read, in the order in which it reads.

Load pattern: prompts arrive that several engines read together, while engines still
read parts of earlier ones. An engine reads the part that arrived last first, and what
it reads alone after all parts, so that each new part delays whatever was there.
"""

import math
from dataclasses import dataclass, field

# Share of the unfinished reading that counts as pending once its predicted end has
# passed without a first event, because the engine is then slower than predicted.
OVERDUE_SHARE = 0.25
# Pending seconds and slack of an engine that has nothing to read.
IDLE = (0.0, math.inf)


@dataclass(kw_only=True, slots=True)
class _Read:
    """What is read of one prompt; other reading may delay it until ``ends_by``."""

    total_s: float
    left_s: float
    is_part: bool
    ends_by: float


@dataclass(kw_only=True)
class ReadQueue:
    """Predicted reading of one engine, by job, in the order of arrival.

    A read that has been finished here stays until `finish`, as the job may still wait
    for other engines. Times are in seconds of the scheduler's clock; reads are kept in
    seconds of the profile, which take ``factor`` times as long. ``parts_added_s`` is
    the sum of all parts so far.
    """

    reads_by_job_id: dict[str, _Read] = field(default_factory=dict)
    factor: float = 1.0
    parts_added_s: float = 0.0
    _advanced_at: float = 0.0
    _outlook_at: float | None = None
    _known_outlook: tuple[float, float] = IDLE

    def add(self, job_id, seconds, now, *, is_part, ends_by, wait_s=0.0):
        """Add the reading of a job.

        Parameters
        ----------
        job_id : str
            The job.
        seconds, wait_s : float
            Predicted time to read, and to wait for the running pass if nothing else is
            read, by the profile.
        now : float
            Current time.
        is_part : bool
            Whether other engines read parts of the same prompt.
        ends_by : float
            When it must have been read, if other reading delays it.
        """
        self._advance(now)
        self._outlook_at = None
        is_idle = all(read.left_s <= 0.0 for read in self.reads_by_job_id.values())
        self.reads_by_job_id[job_id] = _Read(
            total_s=seconds,
            left_s=seconds + (wait_s if is_idle else 0.0),
            is_part=is_part,
            ends_by=ends_by,
        )
        if is_part:
            self.parts_added_s += seconds

    def set_factor(self, factor, now):
        """Set by how much the engine is slower than its profile from now on."""
        if factor != self.factor:
            self._advance(now)
            self._outlook_at = None
            self.factor = factor

    def finish(self, job_id, now):
        """Remove the reading of a job, finished or not."""
        self._advance(now)
        self._outlook_at = None
        self.reads_by_job_id.pop(job_id, None)

    def pending_s(self, now):
        """Predict the seconds of reading that are left."""
        return self._outlook(now)[0]

    def slack_s(self, now):
        """Return the seconds by which all that is left may be delayed.

        Returns
        -------
        float
            Infinite if nothing is left; negative if something is late already.
        """
        return self._outlook(now)[1]

    def _outlook(self, now):
        """Return the pending seconds and the slack, computed once for a time."""
        if not self.reads_by_job_id:
            return IDLE
        if now != self._outlook_at:
            self._outlook_at, self._known_outlook = now, self._predict(now)
        return self._known_outlook

    def _predict(self, now):
        self._advance(now)
        pending_s, slack_s = 0.0, math.inf
        for read in self._in_order():
            pending_s += read.left_s * self.factor
            slack_s = min(slack_s, read.ends_by - now - pending_s)
        if pending_s == 0.0:
            overdue = (r for r in self.reads_by_job_id.values() if r.ends_by < now)
            pending_s = OVERDUE_SHARE * sum(read.total_s for read in overdue)
            pending_s *= self.factor
        return pending_s, slack_s

    def _in_order(self):
        """Return the unfinished reads in the order in which the engine reads them."""
        unfinished = [r for r in self.reads_by_job_id.values() if r.left_s > 0.0]
        if len(unfinished) < 2:
            return unfinished
        parts = [read for read in unfinished if read.is_part]
        return [*reversed(parts), *(r for r in unfinished if not r.is_part)]

    def _advance(self, now):
        elapsed_s = (now - self._advanced_at) / self.factor
        self._advanced_at = now
        if elapsed_s <= 0.0 or not self.reads_by_job_id:
            return
        for read in self._in_order():
            spent_s = min(elapsed_s, read.left_s)
            read.left_s -= spent_s
            elapsed_s -= spent_s
            if elapsed_s <= 0.0:
                break
