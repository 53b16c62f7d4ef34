"""Endpoints that want nothing from this node for a time.

Load pattern: endpoints in need turn requests away and say for how long. What is sent to
them meanwhile is turned away as well, and what comes back at once when the time is over
brings them into need again.
"""

from dataclasses import dataclass

from savoryhill.core.observations.gradual_return import GradualReturn


@dataclass(frozen=True, kw_only=True, slots=True)
class _Pause:
    ends_at: float
    returning: GradualReturn


class WantedPauses:
    """The pauses of endpoints, by `Endpoint.incarnation`, and the time after them."""

    def __init__(self):
        self._by_incarnation = {}

    def __len__(self):
        return len(self._by_incarnation)

    def note_refusal(self, incarnation, pause_s, now):
        """Record that an endpoint wants nothing for some seconds.

        An answer that arrives late does not shorten a pause.
        """
        known = self._by_incarnation.get(incarnation)
        ends_at = now + pause_s
        if known is not None:
            ends_at = max(ends_at, known.ends_at)
        self._by_incarnation[incarnation] = _Pause(
            ends_at=ends_at, returning=GradualReturn(next_at=ends_at)
        )

    def note_accepted(self, incarnation, now):
        """Record an answer without a pause; one that is not over goes on."""
        pause = self._by_incarnation.get(incarnation)
        if pause is None or now < pause.ends_at:
            return
        if pause.returning.note_success():
            del self._by_incarnation[incarnation]

    def note_sent(self, incarnation, now):
        """Record a request to an endpoint, the next one of which has to wait."""
        pause = self._by_incarnation.get(incarnation)
        if pause is not None:
            pause.returning.note_sent(now)

    def next_at(self, incarnation):
        """Return when an endpoint may be sent a request, in seconds."""
        pause = self._by_incarnation.get(incarnation)
        return float("-inf") if pause is None else pause.returning.next_at

    def left_s(self, incarnation, now):
        """Return the seconds until an endpoint's pause ends; 0 if it has none."""
        pause = self._by_incarnation.get(incarnation)
        return 0.0 if pause is None else max(0.0, pause.ends_at - now)

    def forget(self, present_incarnations):
        """Drop the pauses of endpoints that are gone."""
        gone = self._by_incarnation.keys() - present_incarnations
        for incarnation in gone:
            del self._by_incarnation[incarnation]
