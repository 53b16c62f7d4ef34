"""Tests of the header by which an endpoint limits what it is sent."""

import math

import pytest

from savoryhill.platform import names
from savoryhill.platform.headers import named_limit
from savoryhill.serving.http import ResponseHead


class TestNamedLimit:
    @pytest.mark.parametrize(
        ("values", "limit"),
        [
            ([], math.inf),
            ([b"1.5"], 1.5),
            ([b"0"], 0.0),
            ([b" 12 "], 12.0),
            ([b"9000000000"], 9e9),
            ([b"3", b"2"], 2.0),
            ([b"3, 2.5"], 2.5),
            ([b"many", b"4"], 4.0),
            ([b""], None),
            ([b"many"], None),
            ([b"nan"], None),
            ([b"inf"], None),
            ([b"-1"], None),
            ([b"1e300"], None),
        ],
    )
    def test_smallest_number_that_is_named_counts(self, values, limit):
        # Guards against a malformed limit that counts as none, or as zero.
        headers = [(names.RATE_LIMIT, value) for value in values]
        assert named_limit(ResponseHead(status=200, headers=headers)) == limit
