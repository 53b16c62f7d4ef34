"""Log lines of key=value pairs, bounded and written without waiting for the reader."""

import os
import time
from collections import deque

import gevent

from savoryhill.observability.logs import format_fields

MAX_LINES = 4000
FLUSH_S = 0.2
# Lines written in one flush; the rest waits for the next one.
MAX_FLUSH_LINES = 400


class LogLines:
    """A bounded queue of lines in front of ``stream``.

    When the queue is full the oldest line is dropped, except for final failures,
    which are kept in a queue of their own. ``n_dropped`` counts what was lost.
    """

    def __init__(self, *, stream):
        self._fd = stream.fileno()
        os.set_blocking(self._fd, False)
        self._lines = deque()
        self._rest = b""
        self._n_reported = 0
        self.n_dropped = 0

    def write(self, event, fields):
        """Queue a line."""
        if len(self._lines) >= MAX_LINES:
            self._lines.popleft()
            self.n_dropped += 1
        self._lines.append((time.time(), event, fields))

    def flush(self):
        """Write what the reader takes now."""
        parts = [self._rest] if self._rest else []
        if self.n_dropped > self._n_reported:
            dropped = {"dropped": self.n_dropped - self._n_reported}
            self._n_reported = self.n_dropped
            parts.append(_encode(time.time(), "log.dropped", dropped))
        for _ in range(min(MAX_FLUSH_LINES, len(self._lines))):
            parts.append(_encode(*self._lines.popleft()))
        data = b"".join(parts)
        while data:
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                break
            except OSError:
                # The reader has closed its end; there is nobody left to tell.
                data = b""
                break
            data = data[written:]
        self._rest = data

    def run(self):
        """Flush regularly until the greenlet is killed."""
        while True:
            gevent.sleep(FLUSH_S)
            if not self._rest:
                while self._lines and not self._rest:
                    self.flush()
            else:
                self.flush()


def _encode(at, event, fields):
    return f"time={at:.6f} event={event} {format_fields(fields)}\n".encode()
