import dataclasses
from random import Random

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryhill.core import messages
from savoryhill.errors import PeerError
from savoryhill.peers.codec import (
    MAX_DECOMPRESSED_BYTES,
    MESSAGE_TYPES,
    Envelope,
    decode,
    encode,
)

COUNTS = st.integers(min_value=0, max_value=2**62)
VALUES_BY_TYPE = {
    str: st.text(max_size=40),
    int: COUNTS,
    bool: st.booleans(),
    bytes: st.binary(max_size=200),
    float: st.floats(width=32, allow_nan=False),
    tuple[str, ...]: st.lists(st.text(max_size=10), max_size=4).map(tuple),
    tuple[int, ...]: st.lists(COUNTS, max_size=8).map(tuple),
    tuple[float, ...]: st.lists(st.floats(allow_nan=False), max_size=4).map(tuple),
}


def messages_of(message_type):
    strategies = {}
    for field in dataclasses.fields(message_type):
        strategy = VALUES_BY_TYPE.get(field.type)
        if strategy is None:
            (item_type, _) = field.type.__args__
            strategy = st.lists(messages_of(item_type), max_size=3).map(tuple)
        strategies[field.name] = strategy
    return st.builds(message_type, **strategies)


ANY_MESSAGE = st.one_of([messages_of(message_type) for message_type in MESSAGE_TYPES])


class TestRoundTrip:
    @given(message=ANY_MESSAGE, sequence=COUNTS)
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_every_message_type_on_a_greenlet(self, message, sequence):
        # Runs on a greenlet, because an exception inside Cap'n Proto crashes the
        # process only there.
        envelope = Envelope(
            sender="node-é",
            incarnation=7,
            sequence=sequence,
            message=message,
            hlc=sequence,
        )
        decoded = gevent.spawn(lambda: decode(encode(envelope))).get()
        assert decoded == envelope


PACKED_FLAG = 0x80


class TestPacking:
    # Guards against packing content that needs more space than packing reserves: the
    # exception in the library crashed the process when raised on a greenlet.
    @pytest.mark.parametrize("n_bytes", [0, 1_000, 60_000, 1_000_000])
    def test_messages_with_byte_content_are_never_packed(self, n_bytes):
        content = bytes(Random(1).choices(range(1, 256), k=n_bytes))
        for message in (
            messages.ConfigValue(revision=2**62, content=content),
            messages.JournalFinish(
                attempt="a" * 80, key=b"k" * 16, status="done", response=content
            ),
        ):
            envelope = Envelope(
                sender="node", incarnation=1, sequence=1, message=message
            )
            data = encode(envelope)
            assert not data[1] & PACKED_FLAG
            assert decode(data) == envelope

    def test_only_small_messages_are_packed(self):
        for n_permits, packed_flag in ((1, PACKED_FLAG), (200, 0)):
            held = messages.HeldPermit(
                request_id="f" * 32,
                attempt=1,
                endpoint="e",
                prompt_tokens=1,
                max_tokens=1,
            )
            message = messages.PermitReport(group="g", permits=(held,) * n_permits)
            envelope = Envelope(
                sender="node", incarnation=1, sequence=1, message=message
            )
            assert encode(envelope)[1] & PACKED_FLAG == packed_flag


class TestInvalidInput:
    @pytest.mark.parametrize(
        ("corrupt", "detail"),
        [
            (lambda data: data[:5], "truncated"),
            (lambda data: b"\x63" + data[1:], "protocol version 99"),
            (lambda data: data[:1] + b"\xff" + data[2:], "message type 127"),
        ],
        ids=["truncated", "version", "type"],
    )
    def test_invalid_header_is_refused_before_the_struct_is_read(self, corrupt, detail):
        envelope = Envelope(
            sender="a",
            incarnation=1,
            sequence=1,
            message=messages.ConfigFetch(above_revision=3),
        )
        with pytest.raises(PeerError, match=detail):
            decode(corrupt(encode(envelope)))


class TestCompression:
    # Guards against a small frame that exhausts a node's memory when decompressed.
    def test_content_that_decompresses_beyond_the_limit_is_refused(self):
        content = bytes(MAX_DECOMPRESSED_BYTES + 1)
        envelope = Envelope(
            sender="a",
            incarnation=1,
            sequence=1,
            message=messages.ConfigValue(revision=1, content=content),
        )
        with pytest.raises(PeerError, match="too large"):
            decode(encode(envelope))
