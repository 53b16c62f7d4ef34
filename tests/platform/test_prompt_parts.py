"""Tests of the header that lists the parts of a prompt."""

import pytest

from savoryhill.platform import names
from savoryhill.platform.headers import decode_request_metadata
from savoryhill.serving.http import Request


def shared_parts(value):
    headers = [] if value is None else [(names.PROMPT_PARTS, value)]
    request = Request(
        method=b"POST", target=b"/x", headers=headers, body=b"", keep_alive=True
    )
    return decode_request_metadata(request).shared_parts


class TestPromptParts:
    @pytest.mark.parametrize(
        ("value", "parts"),
        [
            (None, ()),
            (b"", ()),
            (b"e440:250", ()),
            (b"5C1E:800, 91bd:410,e440:250", ("5c1e", "91bd")),
            (b"5c1e,:7,,91bd:x:y,e440", ("5c1e", "91bd")),
            (b"\xff\xfe:1,e440:2", ("\xff\xfe",)),
        ],
        ids=["none", "empty", "one", "several", "malformed", "not text"],
    )
    def test_last_part_belongs_to_the_request_alone(self, value, parts):
        # Guards against a part that only one request has being taken for a shared one,
        # and against a malformed header that ends the request.
        assert shared_parts(value) == parts
