"""Limits on repeated sends, and the status of a request that got no response."""

from collections import deque
from dataclasses import dataclass, field

# Maximum number of refused sends per request. Sends that an endpoint refused without
# running the request don't count as attempts: a prompt whose prefill is split over many
# engines may hit a draining engine with each of its first sends.
MAX_REFUSED_SENDS = 12


@dataclass(kw_only=True, slots=True)
class RepeatBudget:
    """Limit on the repeated sends that one node makes or grants in a sliding window.

    Prevents a retry storm when many endpoints fail at once. Within ``window_s``, the
    number of repeated sends is at most ``ratio`` times the number of requests, plus
    ``slack``. Repeating a send that an endpoint refused counts as well.
    """

    window_s: float
    request_times: deque = field(default_factory=deque)
    repeat_times: deque = field(default_factory=deque)

    def note_request(self, now):
        """Count a client request."""
        self.request_times.append(now)
        self._drop_expired(now)

    def try_repeat(self, now, *, ratio, slack):
        """Count a repeated send and return True if the budget allows it."""
        self._drop_expired(now)
        if len(self.repeat_times) + 1 > ratio * len(self.request_times) + slack:
            return False
        self.repeat_times.append(now)
        return True

    def give_back(self):
        """Forget the latest repeated send, which was counted and not sent."""
        if self.repeat_times:
            self.repeat_times.pop()

    def _drop_expired(self, now):
        for times in (self.request_times, self.repeat_times):
            while times and times[0] < now - self.window_s:
                times.popleft()


@dataclass(kw_only=True, slots=True)
class AttemptHistory:
    """Number of sends of one request, by outcome.

    ``n_runs`` counts the sends that an endpoint may have executed, ``n_refused``
    those that it certainly did not execute. ``may_repeat`` tells whether the request
    may be executed more than once.
    """

    may_repeat: bool
    max_attempts: int
    n_runs: int = 0
    n_refused: int = 0

    def may_send(self):
        """Return whether the request may be sent to another endpoint."""
        if self.n_refused > MAX_REFUSED_SENDS:
            return False
        if not self.may_repeat:
            return self.n_runs == 0
        return self.n_runs < self.max_attempts

    def failure_status(self, *, is_late):
        """Return the HTTP status for the client if no endpoint responded.

        503 guarantees that the request was not executed and will not be; 502 and 504
        (deadline passed) guarantee nothing.
        """
        if self.n_runs == 0:
            return 503
        return 504 if is_late else 502
