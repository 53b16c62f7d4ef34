"""Updates of a node's cluster view, from the store and from other nodes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savoryhill.clock import system_clock
from savoryhill.platform.store import StoreRow
from savoryhill.serving.cluster_view import ClusterView
from savoryhill.serving.row_history import MAX_REMOVALS, MAX_SKIPPED_SPANS
from savoryhill.serving.store_position import StorePosition
from savoryhill.serving.watcher import FALLBACK_AGE_S


def make_view():
    return ClusterView(clock=system_clock(), record=lambda event, fields: None)


def at(revision):
    """Return the position of a revision in the era of a view that knows none."""
    return StorePosition(revision=revision)


def zone_row(name, revision, *, is_deleted=False):
    return StoreRow(
        key=f"op/evacuate/{name}",
        value=b"{}",
        revision=revision,
        is_deleted=is_deleted,
    )


CHANGES = st.lists(
    st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=12
)


def make_rows(changes):
    """Return rows of zones, with revisions from 1, for ``(name, is_deleted)`` pairs."""
    return [
        zone_row(name, number, is_deleted=is_deleted)
        for number, (name, is_deleted) in enumerate(changes, start=1)
    ]


def remaining_rows(changes):
    """Return the rows that are left after changes."""
    rows_by_key = {row.key: row for row in changes}
    return [row for row in rows_by_key.values() if not row.is_deleted]


def apply_snapshot(view, changes, revision):
    """Apply the content of a store whose changes are given up to a revision."""
    view.apply(remaining_rows(changes[:revision]), revision, is_complete=True)


class TestUpdates:
    def test_update_after_a_gap_is_not_applied(self):
        # Guards against applying the newest change while earlier changes are missing,
        # which the node would then never receive.
        view = make_view()
        view.apply([zone_row("a", 1)], 1)
        assert not view.apply([zone_row("c", 3)], 3, base_revision=2)
        assert view.revision == 1
        assert view.apply([zone_row("b", 2), zone_row("c", 3)], 3, base_revision=1)
        assert view.evacuated_zones == {"a", "b", "c"}

    def test_removed_row_is_not_restored_by_an_older_update(self):
        view = make_view()
        view.apply([zone_row("a", 1)], 1)
        view.apply([zone_row("a", 2, is_deleted=True)], 2, base_revision=1)
        view.apply([zone_row("a", 1)], 1, is_complete=True)
        view.apply([zone_row("a", 1)], 2, base_revision=0)
        assert view.evacuated_zones == set()

    @given(changes=CHANGES, data=st.data())
    def test_view_matches_its_revision_after_any_order_of_updates(self, changes, data):
        rows = make_rows(changes)
        states = [set()]
        for row in rows:
            name = row.key.rpartition("/")[2]
            changed = states[-1] - {name} if row.is_deleted else states[-1] | {name}
            states.append(changed)
        view = make_view()
        for _ in range(6):
            base_revision = data.draw(st.integers(0, len(rows) - 1))
            end_revision = data.draw(st.integers(base_revision + 1, len(rows)))
            if data.draw(st.booleans()):
                apply_snapshot(view, rows, end_revision)
            else:
                view.apply(
                    rows[base_revision:end_revision],
                    end_revision,
                    base_revision=base_revision,
                )
            assert view.evacuated_zones == states[view.revision]

    @given(changes=CHANGES, data=st.data())
    def test_node_that_is_behind_catches_up_with_the_missing_changes(
        self, changes, data
    ):
        # Guards against a removed row that stays at a node which is sent the changes
        # that it missed instead of a snapshot.
        rows = make_rows(changes)
        snapshot_revision = data.draw(st.integers(0, len(rows)))
        behind_revision = data.draw(st.integers(0, len(rows)))
        ahead, behind = make_view(), make_view()
        apply_snapshot(ahead, rows, snapshot_revision)
        ahead.apply(
            rows[snapshot_revision:], len(rows), base_revision=snapshot_revision
        )
        behind.apply(rows[:behind_revision], behind_revision)
        missing = ahead.rows_after(at(behind_revision))
        if behind_revision < snapshot_revision:
            assert missing is None
        else:
            assert behind.apply(missing, len(rows), base_revision=behind_revision)
            assert behind.evacuated_zones == ahead.evacuated_zones

    @given(changes=CHANGES, data=st.data())
    def test_node_follows_over_a_snapshot_without_one(self, changes, data):
        # Guards against a snapshot to every node after the store has discarded its
        # history: it takes the leader's link for longer than the heartbeat timeout.
        rows = make_rows(changes)
        known_revision = data.draw(st.integers(0, len(rows)))
        snapshot_revision = data.draw(st.integers(known_revision, len(rows)))
        behind_revision = data.draw(st.integers(0, len(rows)))
        ahead, behind = make_view(), make_view()
        ahead.apply(rows[:known_revision], known_revision)
        apply_snapshot(ahead, rows, snapshot_revision)
        ahead.apply(
            rows[snapshot_revision:], len(rows), base_revision=snapshot_revision
        )
        behind.apply(rows[:behind_revision], behind_revision)
        missing = ahead.rows_after(at(behind_revision))
        if missing is None:
            is_between = known_revision < behind_revision < snapshot_revision
            assert is_between or not remaining_rows(rows[:known_revision])
        else:
            assert behind.apply(missing, len(rows), base_revision=behind_revision)
            assert behind.evacuated_zones == ahead.evacuated_zones

    def test_spans_over_which_changes_are_kept_are_bounded(self):
        view = make_view()
        view.apply([zone_row("a", 1)], 1)
        for revision in range(3, 3 + 2 * MAX_SKIPPED_SPANS):
            view.apply([zone_row("a", 1)], revision, is_complete=True)
        assert len(view.history.skipped_spans) == MAX_SKIPPED_SPANS
        assert view.rows_after(at(1)) is None

    def test_number_of_kept_removals_is_bounded(self):
        view = make_view()
        for number in range(1, MAX_REMOVALS + 10):
            removal = zone_row("a", number, is_deleted=True)
            view.apply([removal], number, base_revision=number - 1)
        assert len(view.history.removals) == MAX_REMOVALS
        assert view.rows_after(at(5)) is None
        assert len(view.rows_after(at(20))) == MAX_REMOVALS + 9 - 20


def endpoint_row(revision):
    return StoreRow(
        key="servers/e",
        value=b'{"service":"s","address":"1.2.3.4:5","zone":"z","slots":1,'
        b'"state":"ready"}',
        revision=revision,
    )


class TestOutage:
    @pytest.mark.parametrize("is_back", [True, False])
    def test_lapsed_endpoint_is_kept_for_the_grace_period(self, clock, is_back):
        view = ClusterView(clock=clock, record=lambda event, fields: None)
        view.note_contact(clock.now)
        view.apply([endpoint_row(1)], 1)
        clock.now += 5.0
        view.note_contact(clock.now)
        removal = StoreRow(key="servers/e", value=b"", revision=2, is_deleted=True)
        view.apply([removal], 2, base_revision=1)
        assert "e" in view.endpoints_by_id
        if is_back:
            view.apply([endpoint_row(3)], 3, base_revision=2)
        clock.now += 3.0
        view.remove_lapsed_endpoints()
        assert ("e" in view.endpoints_by_id) == is_back

    def test_wait_for_updates_is_no_outage(self, clock):
        # Guards against using a deregistered endpoint for two more seconds, because the
        # time without updates while the leader was replaced counted as an outage.
        view = ClusterView(clock=clock, record=lambda event, fields: None)
        view.note_contact(clock.now)
        view.apply([endpoint_row(1)], 1)
        clock.now += FALLBACK_AGE_S + 0.4
        view.note_contact(clock.now)
        removal = StoreRow(key="servers/e", value=b"", revision=2, is_deleted=True)
        view.apply([removal], 2, base_revision=1)
        assert view.endpoints_by_id == {}
