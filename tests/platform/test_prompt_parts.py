"""Tests of the header that lists the parts of a prompt."""

import pytest

from savoryhill.platform import names
from savoryhill.platform.headers import decode_request_metadata
from savoryhill.serving.http import Request


def shared_parts(*values):
    headers = [(names.PROMPT_PARTS, value) for value in values]
    request = Request(
        method=b"POST", target=b"/x", headers=headers, body=b"", keep_alive=True
    )
    return decode_request_metadata(request).shared_parts


class TestPromptParts:
    @pytest.mark.parametrize(
        ("value", "parts"),
        [
            (b"", ()),
            (b"e440:250", ()),
            (b"5C1E:800, 91bd:410,e440:250", ("5c1e", "91bd")),
            (b"5c1e,:7,,91bd:x:y,e440", ("5c1e", "91bd")),
            (b"\xff\xfe:1,e440:2", ("\xff\xfe",)),
        ],
        ids=["empty", "one", "several", "malformed", "not text"],
    )
    def test_last_part_belongs_to_the_request_alone(self, value, parts):
        # Guards against a part that only one request has being taken for a shared one,
        # and against a malformed header that ends the request.
        assert shared_parts(value) == parts

    def test_no_header_names_no_parts(self):
        assert shared_parts() == ()

    def test_list_may_be_spread_over_several_lines(self):
        # Guards against parts that are never looked at.
        assert shared_parts(b"5c1e:8,91bd:4", b"dead:2,e440:2") == (
            "5c1e",
            "91bd",
            "dead",
        )
