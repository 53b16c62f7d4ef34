"""When endpoints were last heard, whichever request they answered."""

from collections import OrderedDict

MAX_ENDPOINTS = 4_096


class SignsOfLife:
    """When each start of an endpoint last sent an event or a complete answer.

    Load pattern: one of several streams of an endpoint is silent, as its prompt is read
    again, while the others go on. The endpoint is sound.
    """

    def __init__(self):
        self._heard_at_by_incarnation = OrderedDict()

    def note(self, incarnation, now):
        """Record that an endpoint was heard."""
        heard_at = self._heard_at_by_incarnation
        heard_at[incarnation] = now
        heard_at.move_to_end(incarnation)
        if len(heard_at) > MAX_ENDPOINTS:
            heard_at.popitem(last=False)

    def was_heard_after(self, incarnation, moment):
        """Tell whether an endpoint was heard after a moment."""
        return self._heard_at_by_incarnation.get(incarnation, moment) > moment
