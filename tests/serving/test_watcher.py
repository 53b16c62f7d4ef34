"""Which nodes call the store if updates from the leader stop, and how often."""

from random import Random
from types import SimpleNamespace

import pytest

from savoryhill.platform.store import StoreRow, StoreRows
from savoryhill.serving.cluster_view import ClusterView
from savoryhill.serving.watcher import FALLBACK_AGE_S, Watcher


def make_watcher(clock, seed, *, n_nodes, must_stagger=True):
    cluster_view = ClusterView(clock=clock, record=lambda event, fields: None)
    cluster_view.nodes_by_name = dict.fromkeys(range(n_nodes))
    cluster_view.note_contact(clock.now)
    watcher = Watcher(
        store=None,
        cluster_view=cluster_view,
        must_watch=lambda: False,
        publish=None,
        on_contact=None,
        must_stagger=lambda: must_stagger,
        random=Random(seed),
        clock=clock,
    )
    watcher._needs_snapshot = False
    return watcher


class TestLostHistory:
    def test_followers_get_changes_instead_of_a_snapshot(self, clock):
        # Guards against a leader that sends everything to all nodes once the store has
        # discarded its history. With 195 nodes this took its link for over a second,
        # and half of the nodes changed to other leaders.
        watcher = make_watcher(clock, 1, n_nodes=3)
        published = []
        watcher._publish = lambda rows, position, *, base, is_complete: (
            published.append(
                (
                    sorted(row.key for row in rows),
                    position.revision,
                    {"base_revision": base.revision, "is_complete": is_complete},
                )
            )
        )
        watcher._on_contact = lambda: None

        def zone_row(name, revision):
            return StoreRow(key=f"op/evacuate/{name}", value=b"{}", revision=revision)

        def read_snapshot(rows, revision):
            watcher._needs_snapshot = True
            response = StoreRows(rows=tuple(rows), revision=revision)
            watcher._store = SimpleNamespace(read_prefix=lambda _prefix: response)
            watcher._read_store()

        read_snapshot([zone_row("a", 1), zone_row("b", 2)], 2)
        read_snapshot([zone_row("b", 2), zone_row("c", 5)], 6)
        assert published[0] == (
            ["op/evacuate/a", "op/evacuate/b"],
            2,
            {"base_revision": 0, "is_complete": True},
        )
        assert published[1] == (
            ["op/evacuate/a", "op/evacuate/c"],
            6,
            {"base_revision": 2, "is_complete": False},
        )


class TestStaggeredCalls:
    @pytest.mark.parametrize("n_nodes", [9, 58, 340])
    def test_call_rate_in_an_outage_does_not_grow_with_the_nodes(self, clock, n_nodes):
        # Guards against an outage of the store in which every node calls it twice per
        # second: 680 calls per second with 340 nodes.
        watchers = [make_watcher(clock, n, n_nodes=n_nodes) for n in range(n_nodes)]
        clock.now += FALLBACK_AGE_S
        n_calls = 0
        for _ in range(100):
            clock.now += 0.1
            for watcher in watchers:
                if watcher._is_due():
                    watcher._next_call_at = None
                    n_calls += 1
        assert n_calls < 50 * 10

    @pytest.mark.parametrize("n_nodes", [9, 58, 340])
    def test_some_node_calls_the_store_soon(self, clock, n_nodes):
        # Guards against a change that reaches no node for longer than a deregistered
        # endpoint may still be used, when the leader has lost the store.
        watchers = [make_watcher(clock, n, n_nodes=n_nodes) for n in range(n_nodes)]
        clock.now += FALLBACK_AGE_S + 0.01
        # The store also rejects a third of the nodes.
        accepted_watchers = watchers[n_nodes // 3 :]
        n_calls = 0
        for _ in range(4):
            n_calls += sum(watcher._is_due() for watcher in accepted_watchers)
            clock.now += 0.1
        assert n_calls > 0

    def test_node_without_a_leader_calls_the_store_at_once(self, clock):
        watcher = make_watcher(clock, 1, n_nodes=58, must_stagger=False)
        assert not watcher._is_due()
        clock.now += FALLBACK_AGE_S + 0.01
        assert watcher._is_due()
