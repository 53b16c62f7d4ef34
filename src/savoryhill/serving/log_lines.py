"""Log lines of key=value pairs, bounded and written without waiting for the reader."""

import os
import time
from collections import Counter, deque

import gevent

from savoryhill.observability.fields import format_fields

MAX_LINES = 4000
FLUSH_S = 0.2
# Lines encoded in one go, so that a long queue does not hold up requests.
MAX_FLUSH_LINES = 200
# Events of which many come with every request; they are dropped first.
ROUTINE_EVENTS = frozenset(("request.sent", "stream.started", "job.decided"))
ANSWERED = "answered"


def is_routine(event, fields):
    """Tell whether a line is dropped before those of failures and beliefs."""
    return event in ROUTINE_EVENTS or fields.get("outcome") == ANSWERED


class LogLines:
    """A bounded queue of lines in front of a file descriptor.

    When the queue is full, routine lines are dropped first, the oldest one first;
    what was dropped is counted by event in ``dropped_by_event`` and logged once the
    reader takes lines again.

    Parameters
    ----------
    fd : int
        Descriptor to write to; it is made non-blocking.
    node : str
        Name of the node, part of each line.
    max_lines : int
        Lines that may wait.
    """

    def __init__(self, *, fd, node, max_lines=MAX_LINES):
        self._fd = fd
        os.set_blocking(fd, False)
        self._node = node
        self._max_lines = max_lines
        self._lines = deque()
        self._rest = b""
        self.dropped_by_event = Counter()
        self._unreported = Counter()

    @property
    def n_dropped(self):
        """Return the number of lines dropped so far."""
        return sum(self.dropped_by_event.values())

    def write(self, event, fields):
        """Queue a line."""
        if len(self._lines) >= self._max_lines:
            self._drop_one()
        self._lines.append((time.time(), event, fields))

    def _drop_one(self):
        index = next(
            (i for i, line in enumerate(self._lines) if is_routine(line[1], line[2])), 0
        )
        event = self._lines[index][1]
        del self._lines[index]
        self.dropped_by_event[event] += 1
        self._unreported[event] += 1

    def flush(self):
        """Write what the reader takes now; return whether it took everything."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._encode_some()
            try:
                written = os.write(self._fd, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed its end; there is nobody left to tell.
                self._rest = b""
                self._lines.clear()
                return True
            self._rest = self._rest[written:]
        return True

    def _encode_some(self):
        parts = []
        if self._unreported:
            fields = {"lines": sum(self._unreported.values()), **self._unreported}
            parts.append(self._encode(time.time(), "log.dropped", fields))
            self._unreported.clear()
        for _ in range(min(MAX_FLUSH_LINES, len(self._lines))):
            parts.append(self._encode(*self._lines.popleft()))
        return b"".join(parts)

    def _encode(self, at, event, fields):
        text = f"time={at:.6f} node={self._node} event={event} {format_fields(fields)}"
        return text.encode() + b"\n"

    def run(self):
        """Flush regularly until the greenlet is killed."""
        while True:
            gevent.sleep(FLUSH_S)
            self.flush()
