"""Tests of splitting a stream into complete events."""

import pytest

from savoryhill.errors import MalformedMessageError
from savoryhill.serving.event_splitter import EventSplitter

FIRST = b"id: 1\ndata: a\n\n"
SECOND = b"id: 2\ndata: b\n\n"


class TestEventSplitter:
    @pytest.mark.parametrize("cut", range(1, len(FIRST + SECOND)))
    def test_events_are_complete_wherever_the_bytes_are_split(self, cut):
        data = FIRST + SECOND
        splitter = EventSplitter()
        events = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
        assert events == [FIRST, SECOND]
        assert splitter.last_id == 2
        assert not splitter.has_partial_event

    def test_delivered_events_are_dropped_after_a_resume(self):
        # Guards against delivering an event to the client twice.
        splitter = EventSplitter(last_id=1)
        assert splitter.feed(FIRST + SECOND) == [SECOND]

    def test_event_without_separator_is_limited_in_size(self):
        # Guards against running out of memory when an engine sends no separators.
        splitter = EventSplitter()
        part = b"x" * 65_536
        with pytest.raises(MalformedMessageError, match="no end"):
            for _ in range(64):
                splitter.feed(part)

    def test_id_of_many_digits_is_malformed(self):
        # Guards against a request that ends without an answer, because no integer is
        # made of so many digits.
        with pytest.raises(MalformedMessageError, match="5000 digits"):
            EventSplitter().feed(b"id: " + b"9" * 5000 + b"\ndata: x\n\n")

    def test_incomplete_event_is_reported_as_partial(self):
        splitter = EventSplitter()
        assert splitter.feed(FIRST + b"id: 2\nda") == [FIRST]
        assert splitter.has_partial_event
