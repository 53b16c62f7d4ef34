"""Fuzzing of what the store and its writers send: odd content ends in a typed error."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryhill.core.observations.messages import encode_observations
from savoryhill.errors import PlatformError
from savoryhill.peers.codec import Envelope, encode
from savoryhill.peers.codec import decode as decode_envelope
from savoryhill.platform import decode
from savoryhill.platform.store import Lease, Store, StoreResponse, StoreRow, decode_era
from savoryhill.serving.store_position import StorePosition
from savoryhill.serving.store_updates import build_store_update

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["ready", "draining", "streaming", "AAAA", "1.2.3.4:80", ":", ""])
    | st.sampled_from([10**400, -(10**400), 2**63, 1e308, "1.2.3.4:99999", "\ud800"])
)
FIELDS = st.sampled_from(
    [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "coldRemainingMs",
        "sequence",
        "born",
        "items",
        "asOf",
        "events",
        "key",
        "value",
        "revision",
        "deleted",
        "lease",
        "truncated",
        "routes",
        "services",
        "limits",
        "tenants",
        "name",
        "host",
        "pathPrefix",
        "kind",
        "timeoutMs",
        "targetLatencyMs",
        "targetGapMs",
        "priority",
        "attempts",
        "engine",
        "kvTokens",
        "stride",
        "step_ms",
        "read_per_s",
        "chunk",
        "coldPerS",
        "keys",
        "targets",
        "weight",
        "capacity",
        "resumable",
        "publicAccess",
        "idleTimeoutMs",
        "headerTimeoutMs",
    ]
)
JSON = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(FIELDS, inner, max_size=8)
    ),
    max_leaves=20,
)
OBJECTS = st.dictionaries(FIELDS, JSON, max_size=12)


def make_store(status, content):
    store = Store(address="127.0.0.1:9", clock=None, observe=None)
    response = StoreResponse(status=status, content=content, era=1)
    store._call = lambda *_args, **_kwargs: response
    return store


CALLS = {
    "read_prefix": lambda store: store.read_prefix("op/"),
    "watch": lambda store: store.watch("op/", after_revision=1, wait_s=0.5),
    "grant_lease": lambda store: store.grant_lease(ttl_s=4.0),
    "renew_lease": lambda store: store.renew_lease(Lease(id=3, era=1)),
    "read_row": lambda store: store.read_row("nodes/a"),
    "put": lambda store: store.put("nodes/a", b"{}"),
}


class TestStoreAnswers:
    @pytest.mark.parametrize("call", CALLS)
    @settings(max_examples=300, deadline=None)
    @given(content=JSON | OBJECTS, status=st.sampled_from([200, 200, 204, 410, 500]))
    def test_odd_answer_is_an_error_of_the_platform(self, call, content, status):
        # Guards against a background task that ends for ever with an untyped error,
        # such as the one that keeps the view of the store current.
        try:
            CALLS[call](make_store(status, content))
        except PlatformError as error:
            assert str(error)


class TestItems:
    @settings(max_examples=500, deadline=None)
    @given(items=st.lists(JSON | OBJECTS, max_size=4))
    def test_what_is_read_can_be_sent_to_other_nodes(self, items):
        # Guards against a leader whose links break because of one row.
        store = make_store(200, {"items": items, "asOf": 3})
        read = store.read_prefix("op/")
        position = StorePosition(era=1, revision=read.revision)
        update = build_store_update(
            read.rows, position, base=StorePosition(), is_complete=True
        )
        envelope = Envelope(sender="n", incarnation=0, sequence=0, message=update)
        assert decode_envelope(encode(envelope)) == envelope

    @pytest.mark.parametrize(
        "fields",
        [{"revision": "12"}, {"revision": True}, {"key": 7}, {"key": "servers/\ud800"}],
        ids=["text", "truth value", "key of a number", "half a character"],
    )
    def test_item_that_no_link_can_carry_is_left_out(self, fields):
        item = {"key": "servers/a", "value": "AAAA", "revision": 3}
        store = make_store(200, {"items": [item | fields, item], "asOf": 3})
        assert [row.key for row in store.read_prefix("op/").rows] == ["servers/a"]


class TestRows:
    def test_deeply_nested_value_is_decoded_or_none(self):
        # Guards against a recursion error that ends the task which reads the store.
        for value in (b"[" * 100_000, b'{"a":' * 100_000):
            row = StoreRow(key="servers/x", value=value, revision=3)
            assert decode.decode_endpoint(row) is None
            assert decode.decode_node(row) is None
            assert decode.decode_configuration(value) is None
            assert decode.decode_refusals(value, now=0.0, wall_now=0.0) == []

    @settings(max_examples=500, deadline=None)
    @given(
        crash=st.dictionaries(
            st.sampled_from(
                ["subject", "source", "workspace", "version", "observedAt", "value"]
            ),
            SCALARS,
        )
    )
    def test_refusals_that_are_read_can_be_shared(self, crash):
        value = json.dumps({"crashes": [crash]}).encode()
        crashes = decode.decode_refusals(value, now=5.0, wall_now=5.0)
        message = encode_observations(crashes, 5.0)
        encode(Envelope(sender="n", incarnation=0, sequence=0, message=message))

    @settings(max_examples=1_000, deadline=None)
    @given(content=JSON | OBJECTS)
    def test_row_of_any_json_is_decoded_or_none(self, content):
        value = json.dumps(content).encode()
        for key in ("servers/x", "nodes/x", "op/config"):
            row = StoreRow(key=key, value=value, revision=3)
            decode.decode_endpoint(row)
            decode.decode_node(row)
        decode.decode_configuration(value)

    @pytest.mark.parametrize("field", ["born", "slots", "coldRemainingMs"])
    def test_endpoint_with_an_infinite_number_is_not_used(self, field):
        # Guards against a row that ends the task which reads the store: no integer
        # stands for an infinite number.
        content = {
            "service": "s",
            "address": "1.2.3.4:5",
            "zone": "z",
            "slots": 1,
            "state": "ready",
            field: float("inf"),
        }
        value = json.dumps(content).encode()
        row = StoreRow(key="servers/x", value=value, revision=3)
        assert decode.decode_endpoint(row) is None

    @settings(max_examples=300, deadline=None)
    @given(value=st.binary(max_size=64))
    def test_row_of_any_bytes_is_decoded_or_none(self, value):
        row = StoreRow(key="servers/x", value=value, revision=3)
        decode.decode_endpoint(row)
        decode.decode_node(row)
        decode.decode_configuration(value)


class TestEra:
    @pytest.mark.parametrize(
        "value", [None, b"", b"-1", b"+3", b"1.5", b"two", b"3, 4", b"\xb2", b"9" * 19]
    )
    def test_header_that_is_no_number_names_no_era(self, value):
        assert decode_era(value) == 0

    def test_number_is_the_era(self):
        assert decode_era(b"12") == 12
