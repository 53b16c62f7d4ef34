"""Tests of the header by which an endpoint tells its load."""

import pytest

from savoryhill.platform import names
from savoryhill.platform.headers import reported_load
from savoryhill.platform.statements import decode_statement
from savoryhill.serving.http import ResponseHead


class TestReportedLoad:
    @pytest.mark.parametrize(
        ("values", "load"),
        [
            ([b"4,2,6"], (4, 2, 6)),
            ([b" 0, 0 ,6 "], (0, 0, 6)),
            ([], None),
            ([b""], None),
            ([b"4,2"], None),
            ([b"4,2,6,1"], None),
            ([b"-1,2,6"], None),
            ([b"1.5,2,6"], None),
            ([b"idle"], None),
            ([b"\xb2,0,6"], None),
            ([b"9999999999999,0,6"], None),
            ([b"0,0,6", b"6,6,6"], None),
        ],
    )
    def test_only_three_whole_numbers_count(self, values, load):
        # Guards against a malformed load that counts as idle, or ends the request.
        headers = [(names.REPORTED_LOAD, value) for value in values]
        assert reported_load(ResponseHead(status=200, headers=headers)) == load

    @pytest.mark.parametrize(
        ("status", "echoed", "load"),
        [(200, b"a", (6, 6, 6)), (503, b"a", (6, 6, 6)), (421, b"a", None)]
        + [(200, b"of-another-request", None)],
    )
    def test_refusals_tell_it_and_other_endpoints_do_not(self, status, echoed, load):
        # Guards against loads of an address that belongs to another endpoint by now.
        headers = [(names.REPORTED_LOAD, b"6,6,6"), (names.ATTEMPT_ID, echoed)]
        head = ResponseHead(status=status, headers=headers)
        statement = decode_statement(head, attempt_id=b"a", wall_now=0.0)
        assert getattr(statement, "load", None) == load
