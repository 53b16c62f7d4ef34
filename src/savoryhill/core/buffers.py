"""Bounds on the bytes that a node keeps of all unfinished messages together."""

from dataclasses import dataclass, field

# What one message may keep in any case. Small messages are served beside large ones
# that use up the rest.
ALWAYS_KEPT_BYTES = 65_536


@dataclass(kw_only=True, slots=True, eq=False)
class Buffer:
    """The bytes kept of one message; ``owner`` is whoever sends it.

    A buffer that has been evicted must be given up by whoever fills it. One that is not
    ``is_evictable`` is only written out any more.
    """

    owner: str
    on_evict: object = None
    n_bytes: int = 0
    is_evictable: bool = True
    is_evicted: bool = False


@dataclass(kw_only=True)
class BufferBudget:
    """A limit on the sum of all buffers, of which each may keep a little in any case.

    Load pattern: one faulty endpoint answers many requests without an end, or many
    clients send large bodies at once. ``limit_bytes()`` returns the limit, ``n_bytes``
    is the present sum, and ``n_refused`` counts the buffers that did not fit.
    """

    limit_bytes: object
    n_bytes: int = 0
    n_refused: int = 0
    _buffers: dict = field(default_factory=dict)

    def open(self, owner, *, on_evict=None):
        """Return a new, empty buffer of a sender.

        ``on_evict()`` is called if another buffer's growth evicts it.
        """
        buffer = Buffer(owner=owner, on_evict=on_evict)
        self._buffers[buffer] = None
        return buffer

    def close(self, buffer):
        """Give back what a buffer keeps; it may be closed more than once."""
        if buffer in self._buffers:
            del self._buffers[buffer]
            self.n_bytes -= buffer.n_bytes
            buffer.n_bytes = 0

    def resize(self, buffer, n_bytes):
        """Set what a buffer keeps, and evict buffers until the sum is in the limit.

        The buffers of the sender that keeps most are evicted first, the largest before
        the others; that may be the buffer itself.
        """
        if buffer not in self._buffers:
            return
        self._set_size(buffer, n_bytes)
        while self.n_bytes > self.limit_bytes():
            victim = self._choose_victim()
            if victim is None:
                return
            self._evict(victim, is_own=victim is buffer)

    def try_resize(self, buffer, n_bytes):
        """Set what a buffer keeps if the sum stays in the limit, or return False."""
        if buffer not in self._buffers:
            return False
        growth_bytes = n_bytes - buffer.n_bytes
        if n_bytes > ALWAYS_KEPT_BYTES and not self.has_room(growth_bytes):
            self.n_refused += 1
            return False
        self._set_size(buffer, n_bytes)
        return True

    def has_room(self, n_bytes):
        """Tell whether so many bytes more would stay in the limit."""
        return self.n_bytes + n_bytes <= self.limit_bytes()

    def _set_size(self, buffer, n_bytes):
        self.n_bytes += n_bytes - buffer.n_bytes
        buffer.n_bytes = n_bytes

    def _choose_victim(self):
        evictable = [
            buffer
            for buffer in self._buffers
            if buffer.is_evictable and buffer.n_bytes > ALWAYS_KEPT_BYTES
        ]
        if not evictable:
            return None
        sums_by_owner = {}
        for buffer in self._buffers:
            kept = sums_by_owner.get(buffer.owner, 0)
            sums_by_owner[buffer.owner] = kept + buffer.n_bytes
        return max(
            evictable, key=lambda each: (sums_by_owner[each.owner], each.n_bytes)
        )

    def _evict(self, buffer, *, is_own):
        self.close(buffer)
        buffer.is_evicted = True
        self.n_refused += 1
        if not is_own and buffer.on_evict is not None:
            buffer.on_evict()
