"""Tests of the digests of requests and of prompt parts."""

import pytest

from savoryhill.core.observations.parts import (
    MAX_NAMED_DIGESTS,
    MAX_PARTS,
    digest_parts,
    digest_request,
    is_request_digest,
    name_digests,
)
from savoryhill.serving.http import RequestReader

FIELDS = {"host": b"h", "path": b"/a/1", "caller": "ws", "body_digest": b"12345678"}


class TestDigests:
    def test_part_of_another_service_has_another_digest(self):
        # Guards against refusing a part that only engines of another service can't
        # serve.
        assert digest_parts("pool", ["5c1e"]) != digest_parts("other", ["5c1e"])

    def test_repeated_parts_count_once_and_their_number_is_bounded(self):
        ids = [f"{n:x}" for n in range(MAX_PARTS + 10)]
        assert len(digest_parts("pool", ["5c1e", "5c1e"])) == 1
        assert len(digest_parts("pool", ids)) == MAX_PARTS

    def test_names_of_many_are_bounded(self):
        # Guards against log lines, and answers of this node, as long as a prompt's
        # list of parts.
        digests = [f"{n:016x}" for n in range(MAX_NAMED_DIGESTS + 2)]
        named = name_digests(digests)
        assert named.startswith(digests[0])
        assert named.endswith(f"{digests[MAX_NAMED_DIGESTS - 1]},and 2 more")
        assert name_digests(digests[:2]) == ",".join(digests[:2])


class TestRequestDigest:
    @pytest.mark.parametrize("name", FIELDS)
    def test_each_field_tells_requests_apart(self, name):
        other = {**FIELDS, name: FIELDS[name] * 2}
        assert digest_request(**other) != digest_request(**FIELDS)

    def test_border_between_fields_counts(self):
        one = digest_request(**{**FIELDS, "host": b"ab", "path": b"c"})
        assert one != digest_request(**{**FIELDS, "host": b"a", "path": b"bc"})

    def test_differs_from_digests_of_parts(self):
        (part,) = digest_parts("pool", ["5c1e"])
        assert is_request_digest(digest_request(**FIELDS))
        assert not is_request_digest(part)

    @pytest.mark.parametrize("framing", ["length", "chunks"])
    def test_body_has_one_digest_however_it_arrives(self, framing):
        # Guards against repetitions that count as other requests, because the client
        # framed the body differently or it arrived in other pieces.
        if framing == "length":
            message = b"POST /a HTTP/1.1\r\ncontent-length: 6\r\n\r\nabcdef"
        else:
            message = (
                b"POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
                b"2\r\nab\r\n4\r\ncdef\r\n0\r\n\r\n"
            )
        digests = set()
        for n_bytes in (1, 7, len(message)):
            reader = RequestReader(max_header_bytes=1000, max_body_bytes=1000)
            for start in range(0, len(message), n_bytes):
                reader.feed(message[start : start + n_bytes])
            digests.add(reader.requests.popleft().body_digest)
        (digest,) = digests
        assert digest.hex() == "e89757a9631453aa"
