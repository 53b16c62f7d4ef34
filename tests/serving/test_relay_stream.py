"""Bytes of a relayed connection."""

from hypothesis import given
from hypothesis import strategies as st

from savoryhill.serving.ways.relay_stream import (
    CLOSED_MARK,
    LENGTH,
    RESET_MARK,
    ChunkReader,
)


def encode(chunks, mark):
    return b"".join(LENGTH.pack(len(chunk)) + chunk for chunk in chunks) + mark


class TestChunkReader:
    @given(
        chunks=st.lists(st.binary(min_size=1, max_size=40)),
        mark=st.sampled_from([b"", CLOSED_MARK, RESET_MARK]),
        cuts=st.lists(st.integers(0, 400)),
    )
    def test_any_split_gives_the_bytes_and_the_end(self, chunks, mark, cuts):
        data, reader, received = encode(chunks, mark), ChunkReader(), b""
        edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        for start, end in zip(edges, edges[1:], strict=False):
            received += reader.feed(data[start:end])
        assert received == b"".join(chunks)
        assert (reader.is_closed, reader.is_reset) == (
            mark == CLOSED_MARK,
            mark == RESET_MARK,
        )

    def test_bytes_after_the_end_are_dropped(self):
        reader = ChunkReader()
        assert reader.feed(CLOSED_MARK + encode([b"late"], b"")) == b""
