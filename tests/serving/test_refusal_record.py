"""What is refused outlasts a restart of all nodes."""

import json

import pytest

from savoryhill.core.observations.crashes import CRASH
from savoryhill.core.observations.table import Observation
from savoryhill.platform.decode import decode_refusals, encode_refusals

DEADLY = b"deadly"
CRASHED = Observation(
    kind=CRASH,
    subject="request-1",
    source="e1@5",
    version=2,
    observed_at=90.0,
    value=0.25,
    workspace="ws-a",
)


def add_endpoints(deployment):
    return [
        deployment.add_endpoint(f"e{n}", service="app", crashing_bodies={DEADLY})
        for n in range(8)
    ]


def n_crashes(endpoints):
    return sum(len(endpoint.crashes) for endpoint in endpoints)


def ask_until_refused(deployment, node):
    """Send the request until it is refused, and the store holds why."""
    guard = deployment.nodes[node].context.crash_guard
    while not guard.crashing_by_part:
        deployment.ask("/stock/x", node=node, body=DEADLY)
    deployment.wait_until(lambda: "refusals" in deployment.store.rows_by_key)


class TestRestartOfAllNodes:
    def test_refused_request_ends_no_further_endpoint(self, deployment):
        # Guards against three more endpoints that end for each refusal after all nodes
        # have been restarted at the same time.
        endpoints = add_endpoints(deployment)
        for _ in range(2):
            deployment.add_node()
        ask_until_refused(deployment, 0)
        n_before = n_crashes(endpoints)
        for node in deployment.nodes:
            node.stop()
        deployment.add_node()
        deployment.wait_until(lambda: not any(e.is_down for e in endpoints))
        status, headers, _, _ = deployment.ask("/stock/x", node=2, body=DEADLY)
        assert (status, b"retry-after" in headers) == (503, False)
        assert n_crashes(endpoints) == n_before
        assert deployment.ask("/stock/x", node=2, body=b"sound")[0] == 200

    def test_nothing_is_written_while_nothing_is_refused(self, deployment):
        deployment.add_endpoint("e", service="app")
        node = deployment.add_node()
        assert deployment.ask("/stock/x")[0] == 200
        node._refusal_record.write_changes()
        assert "refusals" not in deployment.store.rows_by_key

    def test_row_is_written_once_a_change(self, deployment):
        # Guards against a call to the store each second while something is refused.
        add_endpoints(deployment)
        node = deployment.add_node()
        ask_until_refused(deployment, 0)
        row = deployment.store.rows_by_key["refusals"]
        view = node.context.cluster_view
        deployment.wait_until(lambda: view.stored_value("refusals") is not None)
        for _ in range(3):
            node._refusal_record.write_changes()
        assert deployment.store.rows_by_key["refusals"] == row

    def test_row_lost_with_a_copy_is_written_again(self, deployment):
        # Guards against a store that comes back from a copy without the refusals.
        add_endpoints(deployment)
        deployment.add_node()
        copy = deployment.store.copy()
        ask_until_refused(deployment, 0)
        deployment.store.restore(copy)
        assert "refusals" not in deployment.store.rows_by_key
        deployment.wait_until(lambda: "refusals" in deployment.store.rows_by_key)


class TestRow:
    def test_ages_outlast_the_clock_of_the_node(self):
        value = encode_refusals([CRASHED], now=100.0, wall_now=5_000.0)
        (read,) = decode_refusals(value, now=7.0, wall_now=5_020.0)
        assert read.observed_at == 7.0 - 30.0
        assert (read.key, read.version, read.value) == (CRASHED.key, 2, 0.25)

    def test_crash_of_the_future_is_one_of_the_present(self):
        # Guards against a clock that is ahead and makes a refusal last for long.
        value = encode_refusals([CRASHED], now=90.0, wall_now=5_000.0)
        (read,) = decode_refusals(value, now=7.0, wall_now=4_000.0)
        assert read.observed_at == 7.0

    @pytest.mark.parametrize(
        "field",
        [
            {"subject": 1},
            {"source": None},
            {"workspace": []},
            {"version": "2"},
            {"version": 0},
            {"version": 2**80},
            {"version": 1e30},
            {"observedAt": None},
            {"observedAt": float("inf")},
            {"value": float("nan")},
        ],
        ids=str,
    )
    def test_item_of_another_writer_is_left_out(self, field):
        # Guards against a row that ends the task which reads the store.
        content = json.loads(encode_refusals([CRASHED], now=90.0, wall_now=5_000.0))
        odd = {**content["crashes"][0], **field}
        value = json.dumps({"crashes": [odd, 5, *content["crashes"]]}).encode()
        (read,) = decode_refusals(value, now=7.0, wall_now=5_000.0)
        assert read.subject == "request-1"

    @pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b"{}", b'{"crashes":1}'])
    def test_unreadable_row_names_nothing(self, value):
        assert decode_refusals(value, now=7.0, wall_now=5_000.0) == []
