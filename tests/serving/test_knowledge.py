"""What a node takes from the store and from other nodes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savoryhill.clock import system_clock
from savoryhill.platform.store import StoreRow
from savoryhill.serving.knowledge import MAX_REMOVALS, ClusterView
from savoryhill.serving.watching import FALLBACK_AGE_S


def cluster_view():
    return ClusterView(clock=system_clock(), record=lambda event, fields: None)


def zone(name, revision, *, is_deleted=False):
    return StoreRow(
        key=f"op/evacuate/{name}",
        value=b"{}",
        revision=revision,
        is_deleted=is_deleted,
    )


CHANGES = st.lists(
    st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=12
)


def rows_of(changes):
    """Return rows of zones, numbered from 1; the second value tells a removal."""
    return [
        zone(name, number, is_deleted=gone)
        for number, (name, gone) in enumerate(changes, start=1)
    ]


class TestUpdates:
    def test_update_after_a_gap_is_not_taken(self):
        # Guards against a node that takes the newest change from one node and never
        # learns of those before it.
        known = cluster_view()
        known.apply([zone("a", 1)], 1)
        assert not known.apply([zone("c", 3)], 3, base_revision=2)
        assert known.revision == 1
        assert known.apply([zone("b", 2), zone("c", 3)], 3, base_revision=1)
        assert known.evacuated_zones == {"a", "b", "c"}

    def test_removed_row_does_not_come_back_with_an_older_update(self):
        known = cluster_view()
        known.apply([zone("a", 1)], 1)
        known.apply([zone("a", 2, is_deleted=True)], 2, base_revision=1)
        known.apply([zone("a", 1)], 1, is_complete=True)
        known.apply([zone("a", 1)], 2, base_revision=0)
        assert known.evacuated_zones == set()

    @given(changes=CHANGES, data=st.data())
    def test_any_order_of_updates_leads_to_a_state_that_existed(self, changes, data):
        rows = rows_of(changes)
        states = [set()]
        for row in rows:
            name = row.key.rpartition("/")[2]
            changed = states[-1] - {name} if row.is_deleted else states[-1] | {name}
            states.append(changed)
        known = cluster_view()
        for _ in range(6):
            base = data.draw(st.integers(0, len(rows) - 1))
            end = data.draw(st.integers(base + 1, len(rows)))
            if data.draw(st.booleans()):
                whole = {row.key: row for row in rows[:end]}
                left = [row for row in whole.values() if not row.is_deleted]
                known.apply(left, end, is_complete=True)
            else:
                known.apply(rows[base:end], end, base_revision=base)
            assert known.evacuated_zones == states[known.revision]

    @given(changes=CHANGES, data=st.data())
    def test_missing_changes_lead_to_the_same_state(self, changes, data):
        # Guards against a removed row that stays at a node which asks for what it
        # missed instead of everything.
        rows = rows_of(changes)
        snapshot_at = data.draw(st.integers(0, len(rows)))
        behind_at = data.draw(st.integers(0, len(rows)))
        ahead, behind = cluster_view(), cluster_view()
        whole = {row.key: row for row in rows[:snapshot_at]}
        left = [row for row in whole.values() if not row.is_deleted]
        ahead.apply(left, snapshot_at, is_complete=True)
        ahead.apply(rows[snapshot_at:], len(rows), base_revision=snapshot_at)
        behind.apply(rows[:behind_at], behind_at)
        missing = ahead.rows_after(behind_at)
        if behind_at < snapshot_at:
            assert missing is None
        else:
            assert behind.apply(missing, len(rows), base_revision=behind_at)
            assert behind.evacuated_zones == ahead.evacuated_zones

    def test_few_removals_are_remembered(self):
        known = cluster_view()
        for number in range(1, MAX_REMOVALS + 10):
            gone = zone("a", number, is_deleted=True)
            known.apply([gone], number, base_revision=number - 1)
        assert len(known.removals) == MAX_REMOVALS
        assert known.rows_after(5) is None
        assert len(known.rows_after(20)) == MAX_REMOVALS + 9 - 20


def endpoint_row(revision):
    return StoreRow(
        key="servers/e",
        value=b'{"service":"s","address":"1.2.3.4:5","zone":"z","slots":1,'
        b'"state":"ready"}',
        revision=revision,
    )


class TestOutage:
    @pytest.mark.parametrize("is_back", [True, False])
    def test_lapsed_endpoint_is_kept_for_two_seconds(self, clock, is_back):
        known = ClusterView(clock=clock, record=lambda event, fields: None)
        known.note_contact(clock.now)
        known.apply([endpoint_row(1)], 1)
        clock.now += 5.0
        known.note_contact(clock.now)
        gone = StoreRow(key="servers/e", value=b"", revision=2, is_deleted=True)
        known.apply([gone], 2, base_revision=1)
        assert "e" in known.endpoints_by_id
        if is_back:
            known.apply([endpoint_row(3)], 3, base_revision=2)
        clock.now += 3.0
        known.remove_lapsed_endpoints()
        assert ("e" in known.endpoints_by_id) == is_back

    def test_wait_for_news_is_no_outage(self, clock):
        # Guards against an endpoint that left and is used for two seconds more,
        # because its node had heard nothing while the scheduling node was replaced.
        known = ClusterView(clock=clock, record=lambda event, fields: None)
        known.note_contact(clock.now)
        known.apply([endpoint_row(1)], 1)
        clock.now += FALLBACK_AGE_S + 0.4
        known.note_contact(clock.now)
        gone = StoreRow(key="servers/e", value=b"", revision=2, is_deleted=True)
        known.apply([gone], 2, base_revision=1)
        assert known.endpoints_by_id == {}
