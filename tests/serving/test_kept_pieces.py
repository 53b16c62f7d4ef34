"""What messages in small pieces make a node keep."""

import tracemalloc

import pytest

from savoryhill.serving.http import RequestReader, ResponseReader

N_BYTES = 200_000
RECV_BYTES = 65_536
# What is kept of a body may cost this many times its bytes, with all that is transient.
MAX_COST_FACTOR = 8
REQUEST = b"POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


def request_reader(**fields):
    return RequestReader(max_header_bytes=16_384, max_body_bytes=4_194_304, **fields)


def feed_in_parts(reader, data):
    for start in range(0, len(data), RECV_BYTES):
        reader.feed(data[start : start + RECV_BYTES])


@pytest.fixture
def traced():
    tracemalloc.start()
    yield tracemalloc.get_traced_memory
    tracemalloc.stop()


class TestSmallChunks:
    @pytest.mark.parametrize("n_chunk_bytes", [1, 2, 100])
    @pytest.mark.parametrize("reads", ["request", "response"])
    def test_memory_follows_the_bytes(self, traced, reads, n_chunk_bytes):
        # Guards against an object that is kept for each chunk, which costs many times
        # what it holds.
        head, reader = (
            (REQUEST, request_reader())
            if reads == "request"
            else (RESPONSE, ResponseReader())
        )
        chunk = b"%x\r\n%b\r\n" % (n_chunk_bytes, b"x" * n_chunk_bytes)
        data = head + chunk * (N_BYTES // n_chunk_bytes)
        before = traced()[0]
        feed_in_parts(reader, data)
        assert traced()[1] - before < MAX_COST_FACTOR * N_BYTES

    def test_body_is_whole(self):
        reader = request_reader()
        body = bytes(range(256)) * 300
        chunks = b"".join(b"1\r\n%b\r\n" % body[n : n + 1] for n in range(len(body)))
        feed_in_parts(reader, REQUEST + chunks + b"0\r\n\r\n")
        assert reader.take_request().body == body


class TestRoomForRequests:
    def test_what_is_kept_is_counted_at_its_cost(self, traced):
        # Guards against many headers of a few bytes, which count as little.
        counted = []
        reader = request_reader(may_keep=lambda n: counted.append(n) or True)
        lines = b"a: b\r\n" * 2_500
        before = traced()[0]
        reader.feed(b"POST /x HTTP/1.1\r\n" + lines)
        assert counted[-1] > 0.8 * (traced()[0] - before)

    def test_without_room_the_request_is_refused_and_forgotten(self):
        reader = request_reader(may_keep=lambda n: n < 10_000)
        feed_in_parts(reader, REQUEST + b"4000\r\n" + b"x" * 0x4000 + b"\r\n0\r\n\r\n")
        assert reader.error_status == 503
        assert not reader.requests
        assert reader.n_kept_bytes < 10_000

    def test_complete_requests_count_until_they_are_taken(self):
        reader = request_reader()
        reader.feed(b"GET /a HTTP/1.1\r\n\r\n" * 3)
        n_kept_bytes = reader.n_kept_bytes
        assert n_kept_bytes > 3_000
        for _ in range(3):
            reader.take_request()
        assert reader.n_kept_bytes == 0

    @pytest.mark.parametrize(
        "began",
        [b"POST /x HTTP/1.1\r\na: ", REQUEST + b"1\r\nx\r\n0\r\na: ", REQUEST + b"0"],
        ids=["header", "trailer", "chunk size"],
    )
    def test_what_has_no_end_is_refused(self, began):
        # Guards against a header that the parser keeps until it is complete.
        reader = request_reader()
        reader.feed(began)
        for _ in range(100):
            reader.feed(b"0" * 2_048)
        assert reader.error_status in (400, 431)
