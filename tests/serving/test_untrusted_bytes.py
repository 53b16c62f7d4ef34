"""Fuzzing of the parsers of what clients, endpoints and other nodes send."""

import struct

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from savoryhill.errors import MalformedMessageError, PeerError
from savoryhill.peers.codec import decode
from savoryhill.serving.event_splitter import EventSplitter
from savoryhill.serving.http import RequestReader, ResponseReader

LINES = st.sampled_from(
    [
        b"POST /a HTTP/1.1\r\n",
        b"GET / HTTP/1.0\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 103 Hints\r\n",
        b"HTTP/1.1 204 None\r\n",
        b"content-length: 5\r\n",
        b"Content-Length: 6\r\n",
        b"content-length: +5\r\n",
        b"content-length: 5, 5\r\n",
        b"content-length: 99999999999999999999\r\n",
        b"transfer-encoding: chunked\r\n",
        b"transfer-encoding: identity\r\n",
        b"transfer-encoding: gzip, chunked\r\n",
        b"transfer-encoding : chunked\r\n",
        b"host: a\r\n",
        b" folded\r\n",
        b"name\x00: value\r\n",
        b"bare: lf\n",
        b"bare: cr\r",
        b"upgrade: h2c\r\nconnection: upgrade\r\n",
        b"expect: 100-continue\r\n",
        b"\r\n",
        b"\n\n",
        b"5\r\nhello\r\n",
        b"0\r\n\r\n",
        b"0\r\nx: y\r\n\r\n",
        b"ffffffffffffffffff\r\n",
        b"-1\r\n",
        b"5;ext=1\r\nhello\r\n",
        b"hello",
    ]
)
PIECES = st.lists(LINES | st.binary(max_size=20), max_size=12)
# Requests that two parsers may understand differently must be refused.
SMUGGLING = {
    "two lengths": b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n"
    b"content-length: 6\r\n\r\nhello",
    "length and chunked": b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n"
    b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "signed length": b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: +5\r\n\r\nhello",
    "space before colon": b"POST /a HTTP/1.1\r\nhost: a\r\n"
    b"transfer-encoding : chunked\r\n\r\n0\r\n\r\n",
    "unknown coding": b"POST /a HTTP/1.1\r\nhost: a\r\n"
    b"transfer-encoding: chunked, gzip\r\n\r\nhello",
    "null in name": b"POST /a HTTP/1.1\r\nhost: a\r\nna\x00me: 1\r\n\r\n",
    "bare carriage return": b"POST /a HTTP/1.1\r\nhost: a\r\na: b\rc: d\r\n\r\n",
    "huge chunk size": b"POST /a HTTP/1.1\r\nhost: a\r\n"
    b"transfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
    "folded header": b"POST /a HTTP/1.1\r\nhost: a\r\nx: y\r\n"
    b" transfer-encoding: chunked\r\n\r\n",
}


def make_request_reader():
    return RequestReader(max_header_bytes=4096, max_body_bytes=4096)


class TestRequests:
    @settings(max_examples=2_000, deadline=None)
    @given(pieces=PIECES)
    def test_any_bytes_are_requests_or_malformed(self, pieces):
        reader = make_request_reader()
        try:
            for piece in pieces:
                reader.feed(piece)
        except MalformedMessageError as error:
            assert str(error)
        for request in reader.requests:
            assert len(request.body) <= 4096

    @pytest.mark.parametrize("kind", SMUGGLING)
    @pytest.mark.parametrize("n_bytes", [1, 7, 10_000])
    def test_ambiguous_request_is_refused(self, kind, n_bytes):
        # Guards against a request that is smuggled inside another one.
        reader, data = make_request_reader(), SMUGGLING[kind]
        try:
            for start in range(0, len(data), n_bytes):
                reader.feed(data[start : start + n_bytes])
        except MalformedMessageError:
            assert not reader.requests
            return
        assert not reader.requests
        assert reader.error_status is not None


class TestResponses:
    @settings(max_examples=2_000, deadline=None)
    @given(pieces=PIECES)
    @example(pieces=[b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", b"HTTP/1.1"])
    def test_any_bytes_are_a_response_or_malformed(self, pieces):
        reader = ResponseReader(max_buffered_bytes=4096)
        try:
            for piece in pieces:
                reader.feed(piece)
            reader.feed_end()
        except MalformedMessageError as error:
            assert str(error)
        assert reader.head is None or reader.head.status >= 200
        assert len(reader.take_body()) <= 4096 + 20


class TestEvents:
    @settings(max_examples=1_000, deadline=None)
    @given(
        data=st.lists(
            st.sampled_from(
                [b"id: 1\n", b"id: 2\r\n", b"data: x\n", b"\n", b"\r\n", b"\r", b": c"]
            ),
            max_size=30,
        ).map(b"".join),
        cuts=st.lists(st.integers(0, 200), max_size=8),
    )
    def test_events_do_not_depend_on_the_packets(self, data, cuts):
        # Guards against a separator that is overlooked because it arrived in parts.
        whole, parts = EventSplitter(), EventSplitter()
        expected = whole.feed(data)
        bounds = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        events = []
        for start, end in zip(bounds, bounds[1:], strict=False):
            events += parts.feed(data[start:end])
        assert b"".join(events) == b"".join(expected)
        assert parts.last_id == whole.last_id
        assert parts.n_with_data == whole.n_with_data


class TestFrames:
    @settings(max_examples=1_000, deadline=None)
    @given(
        content=st.binary(max_size=80)
        | st.builds(
            lambda kind, rest: (
                struct.pack("!BBQQQB", 2, kind, 0, 0, 0, 1) + b"n" + rest
            ),
            st.integers(0, 255),
            st.binary(max_size=60),
        )
    )
    def test_any_content_is_a_message_or_an_error(self, content):
        try:
            decode(content)
        except PeerError as error:
            assert str(error)
