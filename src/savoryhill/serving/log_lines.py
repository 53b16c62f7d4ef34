"""Writes log lines of key=value pairs through a bounded, non-blocking queue."""

import os
import select
import time
from collections import Counter, deque

import gevent

from savoryhill.observability.fields import format_fields

MAX_QUEUED_LINES = 4000
FLUSH_INTERVAL_S = 0.2
# Lines encoded per batch, so that a long queue does not delay requests.
MAX_BATCH_LINES = 200
# Events that are logged for every request; they are dropped first.
ROUTINE_EVENTS = frozenset(("request.sent", "stream.started", "job.decided"))
ANSWERED = "answered"


def is_routine(event, fields):
    """Return whether a line is dropped before those of failures and state changes."""
    return event in ROUTINE_EVENTS or fields.get("outcome") == ANSWERED


class LogWriter:
    """A bounded queue of log lines that are written to a file descriptor.

    When the queue is full, the oldest routine line is dropped, or the oldest line if
    none is routine. Dropped lines are counted by event in ``dropped_by_event``, and a
    ``log.dropped`` line reports them once the reader accepts lines again.

    Parameters
    ----------
    fd : int
        Descriptor to write to; it is made non-blocking.
    node : str
        Name of the node, written in each line.
    max_lines : int
        Maximum number of queued lines.
    """

    def __init__(self, *, fd, node, max_lines=MAX_QUEUED_LINES):
        self._fd = fd
        os.set_blocking(fd, False)
        self._node = node
        self._max_lines = max_lines
        self._lines = deque()
        self._unwritten = b""
        self.dropped_by_event = Counter()
        self._unreported_drops = Counter()

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
        self._unreported_drops[event] += 1

    def flush(self):
        """Write as much as the reader accepts; return whether nothing is left."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._encode_batch()
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed its end, so no line can be delivered.
                self._unwritten = b""
                self._lines.clear()
                return True
            self._unwritten = self._unwritten[written:]
        return True

    def flush_within(self, limit_s):
        """Write what the reader accepts within a time; return whether all is written.

        Nothing else of the process runs meanwhile: this is for its end.
        """
        ends_at = time.monotonic() + limit_s
        while not self.flush():
            left_s = ends_at - time.monotonic()
            if left_s <= 0.0:
                return False
            poll = select.poll()
            poll.register(self._fd, select.POLLOUT)
            poll.poll(1000.0 * left_s)
        return True

    def _encode_batch(self):
        parts = []
        if self._unreported_drops:
            fields = {
                "lines": sum(self._unreported_drops.values()),
                **self._unreported_drops,
            }
            parts.append(self._encode(time.time(), "log.dropped", fields))
            self._unreported_drops.clear()
        for _ in range(min(MAX_BATCH_LINES, len(self._lines))):
            parts.append(self._encode(*self._lines.popleft()))
        return b"".join(parts)

    def _encode(self, at, event, fields):
        text = f"time={at:.6f} node={self._node} event={event} {format_fields(fields)}"
        return text.encode() + b"\n"

    def run(self):
        """Flush periodically until the greenlet is killed."""
        while True:
            gevent.sleep(FLUSH_INTERVAL_S)
            self.flush()
