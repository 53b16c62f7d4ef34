"""Decisions on one request: repeats, final answers and the budget of repeats."""

from collections import deque
from dataclasses import dataclass, field

# Sends that endpoints refused without running don't count as attempts. A prompt that is
# read by many engines may meet one that leaves with each of its first sends.
MAX_REFUSED_SENDS = 12


@dataclass(kw_only=True, slots=True)
class RepeatBudget:
    """Repeated sends that one node may make, or grant, in a sliding window.

    Load pattern: many endpoints fail at once, and each failure asks for another
    send. ``ratio`` of the requests and ``slack`` beside them may be repeated; a send
    of a refused request counts as well.
    """

    window_s: float
    requests: deque = field(default_factory=deque)
    repeats: deque = field(default_factory=deque)

    def note_request(self, now):
        """Count a request of a client."""
        self.requests.append(now)
        self._forget_old(now)

    def try_repeat(self, now, *, ratio, slack):
        """Count a repeated send if the budget allows it."""
        self._forget_old(now)
        if len(self.repeats) + 1 > ratio * len(self.requests) + slack:
            return False
        self.repeats.append(now)
        return True

    def _forget_old(self, now):
        for times in (self.requests, self.repeats):
            while times and times[0] < now - self.window_s:
                times.popleft()


@dataclass(kw_only=True, slots=True)
class AttemptHistory:
    """The sends of one request.

    ``n_runs`` counts sends that may have run, ``n_refused`` those that provably did
    not.
    """

    may_repeat: bool
    max_attempts: int
    n_runs: int = 0
    n_refused: int = 0

    def may_send(self):
        """Tell whether the request may be sent to an endpoint, by its kind."""
        if self.n_refused > MAX_REFUSED_SENDS:
            return False
        if not self.may_repeat:
            return self.n_runs == 0
        return self.n_runs < self.max_attempts

    def failure_status(self, *, is_late):
        """Return the status of the final answer if no endpoint answered.

        503 promises that the request has not run and never will; 502 and 504 promise
        nothing.
        """
        if self.n_runs == 0:
            return 503
        return 504 if is_late else 502
