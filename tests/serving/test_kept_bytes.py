"""What a node keeps of messages that are not complete, of all of them together."""

import os

import gevent
import pytest

from savoryhill.serving.http import encode_chunk

N_ENDLESS = 100
# What the settings of the tests' nodes name is 300 MB; a sixth of it is for answers.
MAX_GROWTH_BYTES = 100_000_000
BLOCK = encode_chunk(b"x" * 65_536)
HEAD = b"HTTP/1.1 200 OK\r\nx-attempt-id: %b\r\nx-response-signature: s\r\n"
FRAMINGS = {
    "chunks": (HEAD + b"transfer-encoding: chunked\r\n\r\n", BLOCK),
    "a length": (HEAD + b"content-length: 9999999999\r\n\r\n", BLOCK),
    "neither": (HEAD + b"\r\n", BLOCK),
}


def resident_bytes():
    """Return the memory of this process, without what the kernel holds for it."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class PeakMemory:
    """Samples the memory of the process; ``growth_bytes`` is the largest growth."""

    def __init__(self):
        self._before = resident_bytes()
        self.growth_bytes = 0
        self._greenlet = gevent.spawn(self._sample)

    def _sample(self):
        while True:
            growth_bytes = resident_bytes() - self._before
            self.growth_bytes = max(self.growth_bytes, growth_bytes)
            gevent.sleep(0.005)

    def stop(self):
        self._greenlet.kill()


@pytest.fixture
def peak():
    peak = PeakMemory()
    yield peak
    peak.stop()


def ask_many(deployment, path, n_requests, **headers):
    return [gevent.spawn(deployment.ask, path, **headers) for _ in range(n_requests)]


class TestEndlessAnswers:
    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("path", ["/order/x", "/plain-once/x"])
    def test_node_keeps_a_part_of_its_memory_at_most(
        self, deployment, start_scripted, peak, framing, path
    ):
        # Guards against an endpoint that ends the node, and with it the requests of
        # other clients, by answers without an end.
        first, repeated = FRAMINGS[framing]
        endless = start_scripted("a1", service="app", first=first, repeated=repeated)
        deployment.add_endpoint("e1", service="pool")
        deployment.add_node()
        asked = ask_many(deployment, path, N_ENDLESS)
        deployment.wait_until(lambda: endless.n_requests > N_ENDLESS // 2)
        # Sound requests of other clients are served meanwhile.
        sound = ask_many(deployment, "/chat/y", 20)
        assert [each.get()[::3] for each in sound] == [(200, True)] * 20
        answers = [each.get() for each in asked]
        assert {status for status, *_ in answers} <= {502, 504}
        assert peak.growth_bytes < MAX_GROWTH_BYTES
        assert endless.n_closed == endless.n_requests

    def test_relayed_answers_count_as_well(
        self, deployment, start_scripted, add_cut_node, peak
    ):
        # The node in between passes the bytes on and keeps none.
        first, repeated = FRAMINGS["chunks"]
        endless = start_scripted("a1", service="app", first=first, repeated=repeated)
        add_cut_node([endless.address])
        asked = ask_many(deployment, "/order/x", N_ENDLESS, node=1)
        statuses = {each.get()[0] for each in asked}
        assert statuses <= {502, 503, 504}
        assert endless.n_requests > N_ENDLESS // 4
        assert peak.growth_bytes < MAX_GROWTH_BYTES


N_LARGE = 60
LARGE_BODY = b"x" * 4_000_000


class LargeRequest:
    """A client that sends a large body, and reads the answer meanwhile."""

    def __init__(self, *, deployment, number):
        self.attempt_id = f"large-{number}"
        self._connection = deployment.connect()
        self._reading = gevent.spawn(deployment.finish, self._connection)
        self._writing = gevent.spawn(self._write)

    def _write(self):
        head = (
            f"POST /order/x HTTP/1.1\r\nhost: site.example\r\n"
            f"x-attempt-id: {self.attempt_id}\r\nx-time-remaining: 4000\r\n"
            f"authorization: Bearer key-a\r\ncontent-length: {len(LARGE_BODY)}\r\n\r\n"
        )
        try:
            self._connection.sock.sendall(head.encode())
            self._connection.sock.sendall(LARGE_BODY)
        except OSError:
            # The node has refused the request before it was sent.
            return

    def result(self):
        """Return the status and the headers of the answer."""
        return self._reading.get()[:2]


class TestLargeBodies:
    def test_node_keeps_a_part_of_its_memory_at_most(self, deployment, peak):
        # Guards against clients that end the node, and with it the requests of
        # others, by large bodies sent at once.
        endpoint = deployment.add_endpoint("a1", service="app", response_delay_s=0.5)
        deployment.add_endpoint("e1", service="pool")
        deployment.add_node()
        large = [LargeRequest(deployment=deployment, number=n) for n in range(N_LARGE)]
        gevent.sleep(0.2)
        small = ask_many(deployment, "/chat/y", 20)
        assert [each.get()[::3] for each in small] == [(200, True)] * 20
        results = {each.attempt_id: each.result() for each in large}
        run_ids = {arrival.attempt_id for arrival in endpoint.arrivals}
        served = {name for name, (status, _) in results.items() if status == 200}
        refused = {name for name, (status, _) in results.items() if status == 503}
        assert served | refused == results.keys()
        # The others are told that they have not run, and when to come back.
        assert served <= run_ids and not refused & run_ids
        assert all(b"retry-after" in results[name][1] for name in refused)
        assert len(served) >= 5 and len(refused) >= 5
        assert peak.growth_bytes < 250_000_000
        deployment.wait_until(
            lambda: not deployment.nodes[0].context.client_buffers.n_bytes
        )
