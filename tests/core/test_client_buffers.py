"""Which clients make room for others when memory or connections run out."""

import pytest

from savoryhill.core.client_buffers import (
    ALWAYS_KEPT_BYTES,
    MAX_STALL_S,
    MIN_BYTES_PER_S,
    ClientBuffers,
)

LIMIT_BYTES = 1_000_000


class Clients:
    """Buffers by the name of their client, on a clock that the test advances."""

    def __init__(self, *, max_connections=100):
        self.now_s = 0.0
        self.evicted = []
        self.buffers = ClientBuffers(
            limit_bytes=lambda: LIMIT_BYTES,
            max_connections=max_connections,
            now=lambda: self.now_s,
        )
        self._by_name = {}

    def open(self, name):
        self._by_name[name] = self.buffers.open(
            on_evict=lambda: self.evicted.append(name)
        )

    def send(self, name, n_bytes):
        """Return whether there is room for so many bytes of a client."""
        if name not in self._by_name:
            self.open(name)
        return self.buffers.try_resize(self._by_name[name], n_bytes)

    def __getitem__(self, name):
        return self._by_name[name]


@pytest.fixture
def clients():
    return Clients()


class TestMemory:
    def test_slowest_request_makes_room(self, clients):
        # Guards against a crowd that stands still and keeps all memory, so that those
        # who come after it are refused.
        clients.send("first", 500_000)
        clients.now_s = 0.5
        clients.send("second", 500_000)
        clients.now_s = 0.6 + MAX_STALL_S
        assert clients.send("ordinary", 100_000)
        assert clients.evicted == ["first"]
        assert clients["first"].is_evicted
        assert clients.buffers.n_bytes == 600_000

    def test_requests_that_arrive_are_kept(self, clients):
        # Guards against requests that take the memory of each other in turn, so that
        # none of them is ever complete.
        clients.send("first", 900_000)
        clients.now_s = MAX_STALL_S / 2
        assert not clients.send("second", 200_000)
        assert clients.evicted == []
        assert clients.buffers.n_refused == 1

    def test_a_trickle_is_no_progress(self, clients):
        for step in range(4):
            clients.now_s = step * MAX_STALL_S / 2
            clients.send("trickle", 950_000 + step)
        assert clients.send("ordinary", 100_000)
        assert clients.evicted == ["trickle"]

    def test_a_slow_link_is_progress(self, clients):
        # A body at the lowest rate is never evicted, however long it takes.
        for step in range(8):
            clients.now_s = step * MAX_STALL_S / 2
            n_bytes = 900_000 + int(clients.now_s * MIN_BYTES_PER_S)
            assert clients.send("slow link", n_bytes)
        assert not clients.send("ordinary", 100_000)
        assert clients.evicted == []

    def test_time_before_the_request_does_not_count(self, clients):
        # Guards against a request on a connection that was idle, which would make room
        # for others before those that have stalled.
        clients.open("idle before")
        clients.send("stalled", 900_000)
        clients.now_s = 60.0
        clients.send("idle before", 100_000)
        clients.now_s = 60.5
        assert clients.send("ordinary", 200_000)
        assert clients.evicted == ["stalled"]

    def test_nobody_is_evicted_in_vain(self, clients):
        clients.send("running", LIMIT_BYTES)
        clients.buffers.begin_serving(clients["running"])
        clients.send("slow", 10_000)
        clients.now_s = 2 * MAX_STALL_S
        assert not clients.send("large", 100_000)
        assert clients.evicted == []

    def test_complete_requests_are_kept(self, clients):
        # Guards against a request that is cut while an endpoint runs it.
        clients.send("running", LIMIT_BYTES)
        clients.buffers.begin_serving(clients["running"])
        clients.now_s = 10 * MAX_STALL_S
        assert not clients.send("large", 100_000)
        assert clients.send("small", ALWAYS_KEPT_BYTES)
        clients.buffers.end_serving(clients["running"], 0)
        assert clients.send("large", 100_000)
        assert clients.evicted == []

    def test_small_requests_are_bounded_as_well(self, clients):
        # Guards against many clients of which each keeps only a little.
        n_kept = sum(clients.send(n, ALWAYS_KEPT_BYTES) for n in range(100))
        assert n_kept == 1.5 * LIMIT_BYTES // ALWAYS_KEPT_BYTES

    def test_an_evicted_buffer_stays_empty(self, clients):
        clients.send("first", LIMIT_BYTES)
        clients.now_s = 2 * MAX_STALL_S
        clients.send("second", LIMIT_BYTES)
        assert not clients.send("first", 1)
        clients.buffers.close(clients["first"])
        assert clients.buffers.n_bytes == LIMIT_BYTES


class TestConnections:
    def test_longest_idle_connection_makes_room(self):
        # Guards against connections that nothing is sent on, and that leave none for
        # those who send.
        clients = Clients(max_connections=3)
        for name in ("first", "second", "third"):
            clients.now_s += 1.0
            clients.open(name)
        assert clients.evicted == ["first"]
        assert len(clients.buffers) == 2

    def test_connections_in_use_are_kept(self):
        clients = Clients(max_connections=2)
        clients.send("running", 10)
        clients.buffers.begin_serving(clients["running"])
        clients.send("arriving", 10)
        clients.now_s = 0.1
        clients.open("third")
        assert clients.evicted == []

    def test_slow_request_makes_room_if_none_is_idle(self):
        clients = Clients(max_connections=2)
        clients.send("stalled", 10)
        clients.now_s = 2 * MAX_STALL_S
        clients.open("next")
        assert clients.evicted == ["stalled"]
