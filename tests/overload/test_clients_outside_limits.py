"""Crowds of clients that the node does not control; they start a process each."""

import gevent
import pytest

ORDINARY_BODY = b"x" * 100_000
# Limits of the configuration that the site's operator has written.
MAX_BODY_BYTES = 4_194_304
MAX_HEADER_BYTES = 16_384
SAMPLE_S = 0.05


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def head(site, *more):
    lines = [b"%b: %b\r\n" % pair for pair in (*site.headers(), *more)]
    return b"POST /order/x HTTP/1.1\r\n" + b"".join(lines) + b"\r\n"


def chunked_head(site):
    return head(site, (b"transfer-encoding", b"chunked"))


# What one client sends, which stops just short of the end and stays open.


def large_chunks(site):
    yield chunked_head(site)
    for _ in range(MAX_BODY_BYTES // 262_144 - 1):
        yield chunk(b"x" * 262_144)
    yield chunk(b"x" * 262_100)


def small_chunks(site):
    yield chunked_head(site)
    for _ in range(50):
        yield chunk(b"xx") * 5_000


def one_byte_chunks(site):
    yield chunked_head(site)
    for _ in range(40):
        yield chunk(b"x") * 5_000


def small_headers(site):
    lines = b"a:\r\n" * (MAX_HEADER_BYTES // 5 - 200)
    yield chunked_head(site)[:-2] + lines + b"\r\n" + chunk(b"x" * 10)


def endless_header(site):
    yield head(site)[:-2] + b"a: "
    for _ in range(64):
        yield b"x" * 65_536


def endless_target(site):
    yield b"POST /order/"
    for _ in range(64):
        yield b"x" * 65_536


def endless_chunk_size(site):
    yield chunked_head(site)
    for _ in range(64):
        yield b"0" * 65_536


def trailers(site):
    yield chunked_head(site) + chunk(b"x" * 10) + b"0\r\n"
    for _ in range(64):
        yield b"a: b\r\n" * 5_000


def pipelined_requests(site):
    yield head(site, (b"content-length", b"0"))
    for _ in range(20):
        yield b"GET /a HTTP/1.1\r\n\r\n" * 5_000


def pipelined_bodies(site):
    for _ in range(4):
        yield head(site, (b"content-length", b"60000")) + b"x" * 60_000
    yield chunked_head(site) + chunk(b"x" * 60_000)


def answers_unread(site):
    for _ in range(500):
        yield head(site, (b"content-length", b"0"))


def nothing(_site):
    return iter(())


# Kinds of clients with the size of their crowd.
CROWDS = {
    "large-chunks": ((large_chunks,), 40),
    "small-chunks": ((small_chunks,), 40),
    "one-byte-chunks": ((one_byte_chunks,), 40),
    "small-headers": ((small_headers,), 200),
    "endless-header": ((endless_header,), 40),
    "endless-target": ((endless_target,), 40),
    "endless-chunk-size": ((endless_chunk_size,), 40),
    "trailers": ((trailers,), 40),
    "pipelined-requests": ((pipelined_requests,), 40),
    "pipelined-bodies": ((pipelined_bodies,), 100),
    "answers-unread": ((answers_unread,), 100),
    "nothing-sent": ((nothing,), 600),
    "mixed": (
        (large_chunks, small_chunks, one_byte_chunks, small_headers, nothing),
        100,
    ),
}


class Watch:
    """The most descriptors of a process, sampled."""

    def __init__(self, node):
        self._node = node
        self.n_descriptors = 0
        self._greenlet = gevent.spawn(self._run)

    def _run(self):
        while self._node.is_alive():
            self.n_descriptors = max(self.n_descriptors, self._node.n_descriptors())
            gevent.sleep(SAMPLE_S)

    def stop(self):
        self._greenlet.kill()


@pytest.fixture
def watch(site):
    watch = Watch(site.node)
    yield watch
    watch.stop()


class TestCrowds:
    @pytest.mark.parametrize("kind", CROWDS)
    def test_node_lives_within_its_limits(self, site, crowd, watch, kind):
        # Guards against clients that end the process, and with it the requests of all
        # others, by what the node keeps for them.
        makers, n_clients = CROWDS[kind]
        for number in range(n_clients):
            crowd.add(makers[number % len(makers)](site))
        crowd.wait()
        assert site.node.is_alive()
        # The crowd stays; an ordinary caller comes back as often as it is told to.
        assert site.serve_ordinary_caller(ORDINARY_BODY) == 200
        crowd.leave()
        assert site.serve_ordinary_caller(ORDINARY_BODY) == 200
        assert site.node.peak_bytes() < site.node.memory_bytes
        assert watch.n_descriptors < site.node.file_descriptors


class TestProperRequests:
    @pytest.mark.parametrize("n_chunk_bytes", [1024, 64])
    def test_large_chunked_body_is_served(self, site, n_chunk_bytes):
        # Guards against bounds that refuse a single request within the limits.
        body = chunk(b"x" * n_chunk_bytes) * (MAX_BODY_BYTES // n_chunk_bytes)
        sent = chunked_head(site) + body + b"0\r\n\r\n"
        assert site.send(sent) == 200

    def test_head_of_many_small_headers_is_served(self, site):
        lines = b"a: b\r\n" * (MAX_HEADER_BYTES // 6 - 100)
        plain = head(site, (b"content-length", b"3"))
        assert site.send(plain[:-2] + lines + b"\r\nxyz") == 200
