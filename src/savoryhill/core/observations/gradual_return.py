"""The return of something that was out of use, by a few requests first.

Load pattern: what waited for an endpoint, or for a path, comes back all at once when it
is usable again, and brings it down once more.
"""

from dataclasses import dataclass

# One request is sent in each such time. Each one that succeeds halves the time, down to
# a time below which all are sent.
FIRST_INTERVAL_S = 0.2
MIN_INTERVAL_S = 0.02


@dataclass(kw_only=True, slots=True)
class GradualReturn:
    """A return that is under way; the next request may be sent at ``next_at``.

    Times are in seconds of the caller's clock.
    """

    next_at: float
    interval_s: float = FIRST_INTERVAL_S

    def note_sent(self, now):
        """Record a request; the next one has to wait."""
        self.next_at = max(self.next_at, now + self.interval_s)

    def note_success(self):
        """Record a success; return whether the return is complete."""
        self.interval_s /= 2
        return self.interval_s < MIN_INTERVAL_S
