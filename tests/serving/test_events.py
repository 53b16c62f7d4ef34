"""Whole events of a stream."""

import pytest

from savoryhill.errors import MalformedMessageError
from savoryhill.serving.events import EventSplitter

FIRST = b"id: 1\ndata: a\n\n"
SECOND = b"id: 2\ndata: b\n\n"


class TestEventSplitter:
    @pytest.mark.parametrize("cut", range(1, len(FIRST + SECOND)))
    def test_events_are_whole_wherever_the_bytes_are_cut(self, cut):
        data = FIRST + SECOND
        splitter = EventSplitter()
        events = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
        assert events == [FIRST, SECOND]
        assert splitter.last_id == 2
        assert not splitter.has_rest

    def test_delivered_events_are_dropped_after_a_resume(self):
        # Guards against an event that reaches the client twice.
        splitter = EventSplitter(last_id=1)
        assert splitter.feed(FIRST + SECOND) == [SECOND]

    def test_event_without_an_end_is_bounded(self):
        # Guards against an engine that sends no separators until the node is out of
        # memory.
        splitter = EventSplitter()
        part = b"x" * 65_536
        with pytest.raises(MalformedMessageError, match="no end"):
            for _ in range(64):
                splitter.feed(part)

    def test_part_of_an_event_is_a_rest(self):
        splitter = EventSplitter()
        assert splitter.feed(FIRST + b"id: 2\nda") == [FIRST]
        assert splitter.has_rest
