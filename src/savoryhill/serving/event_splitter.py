"""Splitting a byte stream of server-sent events into complete events."""

import re

from savoryhill.errors import MalformedMessageError

_SEPARATOR = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
_DATA_LINE = re.compile(rb"^data", re.MULTILINE)
# Engines send no events larger than this.
MAX_ID_DIGITS = 18
MAX_EVENT_BYTES = 1_048_576
# Length of a separator less one: a separator may begin so much before new bytes.
_SEPARATOR_OVERLAP_BYTES = 3


class EventSplitter:
    """Buffers bytes until an event is complete.

    ``last_id`` is the highest event id so far, or None. ``n_with_data`` counts the
    events that carried data; comments, which an engine may send while it is stalled,
    do not. ``has_unnumbered`` tells whether one of them had no id, so that no other run
    can go on after it.

    Parameters
    ----------
    last_id : int or None
        Events up to this id were delivered by an earlier run and are dropped.
    """

    def __init__(self, *, last_id=None):
        self._buffer = b""
        self.last_id = last_id
        self.n_with_data = 0
        self.has_unnumbered = False

    def begin_run(self):
        """Discard the partial event of an earlier run.

        It must not be joined with the first event of the next one.
        """
        self._buffer = b""

    def feed(self, data):
        """Return the events that these bytes complete.

        Raises
        ------
        MalformedMessageError
            If an incomplete event exceeds the maximum size.
        """
        search_from = max(0, len(self._buffer) - _SEPARATOR_OVERLAP_BYTES)
        self._buffer += data
        events, start = [], 0
        for match in _SEPARATOR.finditer(self._buffer, search_from):
            event = self._buffer[start : match.end()]
            start = match.end()
            if self._is_new(event):
                events.append(event)
                self._note_data(event)
        # What is left is copied once, however many events arrived at a time.
        self._buffer = self._buffer[start:]
        self._check_partial_event()
        return events

    def _note_data(self, event):
        if _DATA_LINE.search(event) is None:
            return
        self.n_with_data += 1
        self.has_unnumbered |= _ID_LINE.search(event) is None

    def _check_partial_event(self):
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise MalformedMessageError(
                f"an event of over {MAX_EVENT_BYTES} bytes has no end"
            )

    def _is_new(self, event):
        match = _ID_LINE.search(event)
        if match is None:
            return True
        if len(match.group(1)) > MAX_ID_DIGITS:
            raise MalformedMessageError(
                f"the id of an event has {len(match.group(1))} digits"
            )
        event_id = int(match.group(1))
        if self.last_id is not None and event_id <= self.last_id:
            return False
        self.last_id = event_id
        return True

    def take_rest(self):
        """Return what is left after the last complete event, and forget it."""
        rest, self._buffer = self._buffer, b""
        return rest

    @property
    def n_partial_bytes(self):
        """Return how many bytes of an incomplete event the buffer holds."""
        return len(self._buffer)

    @property
    def has_partial_event(self):
        """Tell whether the buffer holds a part of an event."""
        return bool(self._buffer)
