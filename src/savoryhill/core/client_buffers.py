"""Bounds on what a node keeps for its clients: memory and connections.

Load pattern: many clients that the node does not control each send a part of a request
and stay, or pile up requests. Ordinary clients, whose requests arrive at once, must be
served beside them, so that the slowest of the others make room.
"""

from dataclasses import dataclass, field

from savoryhill.core.buffers import ALWAYS_KEPT_BYTES

# Small requests may use this multiple of the limit, so that large ones leave them room.
SMALL_REQUEST_FACTOR = 1.5
# A request makes progress while it arrives at this rate or faster.
MIN_BYTES_PER_S = 16_384
# A request without progress for so long gives way when there is no room left.
MAX_STALL_S = 1.0
# Part of the connections that is kept free for new clients.
SPARE_CONNECTION_SHARE = 1 / 16


@dataclass(kw_only=True, slots=True, eq=False)
class ClientBuffer:
    """What is kept for one connection; ``on_evict()`` must give it up at once.

    The request is slow if fewer than `MIN_BYTES_PER_S` have arrived since
    ``progressed_at``, when ``progressed_bytes`` were kept. While the connection
    ``is_serving`` a complete request, it is not evicted.
    """

    on_evict: object
    progressed_at: float
    progressed_bytes: int = 0
    n_bytes: int = 0
    is_serving: bool = False
    is_evicted: bool = False


@dataclass(kw_only=True)
class ClientBuffers:
    """Limits on the sum of all client buffers, and on their number.

    ``limit_bytes()`` returns the limit of the sum, ``max_connections`` is that of the
    number, and ``now()`` the time of a monotonic clock in seconds. ``n_bytes`` is the
    present sum. ``n_refused`` counts the requests for which there was no room, and
    ``n_evicted`` those and the idle connections that made room for others.
    """

    limit_bytes: object
    max_connections: int
    now: object
    n_bytes: int = 0
    n_refused: int = 0
    n_evicted: int = 0
    _buffers: dict = field(default_factory=dict)

    def __len__(self):
        return len(self._buffers)

    def open(self, *, on_evict):
        """Return the buffer of a new connection.

        If few connections are left, one that is idle or slow makes room for the next.
        """
        buffer = ClientBuffer(on_evict=on_evict, progressed_at=self.now())
        self._buffers[buffer] = None
        n_spare = max(1, int(SPARE_CONNECTION_SHARE * self.max_connections))
        if len(self._buffers) > self.max_connections - n_spare:
            victim = self._find_idle(buffer) or self._find_slowest(buffer)
            if victim is not None:
                self._evict(victim)
        return buffer

    def close(self, buffer):
        """Give back what a buffer keeps; it may be closed more than once."""
        if buffer in self._buffers:
            del self._buffers[buffer]
            self.n_bytes -= buffer.n_bytes
            buffer.n_bytes = 0

    def has_room(self, n_bytes):
        """Tell whether so many bytes more would stay in the limit."""
        return self.n_bytes + n_bytes <= self.limit_bytes()

    def try_resize(self, buffer, n_bytes):
        """Set what a buffer keeps, or return False if there is no room for it.

        Slow requests of other clients make room.
        """
        if buffer not in self._buffers:
            return False
        growth_bytes = n_bytes - buffer.n_bytes
        if growth_bytes > 0 and not self._make_room(buffer, n_bytes):
            self.n_refused += 1
            return False
        if not buffer.n_bytes:
            # The time before the request began tells nothing of its progress.
            buffer.progressed_at, buffer.progressed_bytes = self.now(), 0
        self._set_size(buffer, n_bytes)
        self._note_progress(buffer)
        return True

    def begin_serving(self, buffer):
        """Protect a buffer whose request is complete."""
        buffer.is_serving = True

    def end_serving(self, buffer, n_bytes):
        """Free all but so many bytes, which belong to requests that follow."""
        buffer.is_serving = False
        if buffer in self._buffers:
            self._set_size(buffer, n_bytes)
        buffer.progressed_at, buffer.progressed_bytes = self.now(), n_bytes

    def _set_size(self, buffer, n_bytes):
        self.n_bytes += n_bytes - buffer.n_bytes
        buffer.n_bytes = n_bytes

    def _make_room(self, buffer, n_bytes):
        limit_bytes = self.limit_bytes()
        if n_bytes <= ALWAYS_KEPT_BYTES:
            limit_bytes *= SMALL_REQUEST_FACTOR
        n_missing = self.n_bytes + n_bytes - buffer.n_bytes - limit_bytes
        if n_missing <= 0:
            return True
        victims = []
        for victim in sorted(self._slow(buffer), key=lambda b: b.progressed_at):
            victims.append(victim)
            n_missing -= victim.n_bytes
            if n_missing <= 0:
                break
        if n_missing > 0:
            return False
        for victim in victims:
            self._evict(victim)
        return True

    def _note_progress(self, buffer):
        now = self.now()
        expected_bytes = MIN_BYTES_PER_S * (now - buffer.progressed_at)
        if buffer.n_bytes - buffer.progressed_bytes >= expected_bytes:
            buffer.progressed_at, buffer.progressed_bytes = now, buffer.n_bytes

    def _find_idle(self, besides):
        """Return the buffer that has been idle for longest, or None."""
        idle = [
            buffer
            for buffer in self._buffers
            if not buffer.n_bytes and not buffer.is_serving and buffer is not besides
        ]
        return min(idle, key=lambda each: each.progressed_at, default=None)

    def _find_slowest(self, besides):
        """Return the buffer of a slow request that has waited longest, or None."""
        slow = self._slow(besides)
        return min(slow, key=lambda each: each.progressed_at, default=None)

    def _slow(self, besides):
        slow_since = self.now() - MAX_STALL_S
        return [
            buffer
            for buffer in self._buffers
            if buffer.n_bytes
            and buffer.progressed_at < slow_since
            and not buffer.is_serving
            and buffer is not besides
        ]

    def _evict(self, buffer):
        self.close(buffer)
        buffer.is_evicted = True
        self.n_evicted += 1
        buffer.on_evict()
