"""What stays in force when the store comes back from an older copy."""

import json
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryhill.platform.store import StoreRow
from savoryhill.serving.cluster_state import LAPSE_GRACE_S
from savoryhill.serving.cluster_view import ClusterView
from savoryhill.serving.retained_rows import RETENTION_S
from savoryhill.serving.store_position import StorePosition
from savoryhill.serving.store_updates import build_retained_rows, read_rows


def config_row(version, revision):
    content = {"version": version, "routes": [], "services": []}
    value = json.dumps(content).encode()
    return StoreRow(key="op/config", value=value, revision=revision)


def zone_row(revision):
    return StoreRow(key="op/evacuate/a", value=b"{}", revision=revision)


def node_row(revision):
    value = b'{"address":"1.2.3.4:6","zone":"z","capacity":1.0}'
    return StoreRow(key="nodes/n", value=value, revision=revision)


def endpoint_row(revision, *, born=1, sequence=1, state="ready"):
    content = {
        "service": "s",
        "address": "1.2.3.4:5",
        "zone": "z",
        "slots": 1,
        "state": state,
        "born": born,
        "sequence": sequence,
    }
    value = json.dumps(content).encode()
    return StoreRow(key="servers/e", value=value, revision=revision)


def removal(row, revision):
    return StoreRow(key=row.key, value=b"", revision=revision, is_deleted=True)


CONFIG = config_row(3, 2)


def make_view(clock):
    """Return a view of era 1 at revision 10."""
    view = ClusterView(clock=clock, record=lambda event, fields: None)
    view.note_contact(clock.now)
    view.apply([replace(CONFIG, era=1)], 10, is_complete=True, era=1)
    return view


@pytest.fixture
def view(clock):
    return make_view(clock)


def change(view, *rows):
    """Apply rows that a watch brings."""
    rows = [replace(row, era=view.era) for row in rows]
    view.apply(rows, rows[-1].revision, base_revision=view.revision, era=view.era)


def restore(view, *rows, revision=9):
    """Apply the first snapshot of the next era."""
    era = view.era + 1
    rows = [replace(row, era=era) for row in (CONFIG, *rows)]
    assert view.apply(rows, revision, is_complete=True, era=era)


class TestConfiguration:
    def test_is_not_replaced_by_the_older_one_of_the_copy(self, view):
        change(view, config_row(4, 11))
        restore(view)
        assert view.configuration.version == 4

    @pytest.mark.parametrize("revision", [10, 11, 12])
    def test_later_version_is_taken_whatever_its_revision(self, view, revision):
        change(view, config_row(4, 11))
        restore(view)
        change(view, config_row(5, revision))
        assert view.configuration.version == 5

    def test_holds_without_end_while_the_store_has_an_older_one(self, clock, view):
        change(view, config_row(4, 11))
        restore(view)
        clock.now += 10 * RETENTION_S
        view.release_retained_rows()
        assert view.configuration.version == 4


class TestEvacuation:
    def test_zone_that_was_opened_again_stays_open(self, view):
        change(view, zone_row(11))
        change(view, removal(zone_row(11), 12))
        restore(view, zone_row(11), revision=11)
        assert view.evacuated_zones == set()

    def test_zone_evacuated_once_more_is_evacuated_at_once(self, view):
        change(view, zone_row(11))
        change(view, removal(zone_row(11), 12))
        restore(view, zone_row(11), revision=11)
        change(view, zone_row(12))
        assert view.evacuated_zones == {"a"}

    def test_evacuation_that_the_copy_lacks_holds_until_it_is_written_again(
        self, clock, view
    ):
        change(view, zone_row(11))
        restore(view)
        assert view.evacuated_zones == {"a"}
        change(view, zone_row(10))
        clock.now += RETENTION_S
        view.release_retained_rows()
        assert view.evacuated_zones == {"a"}

    @pytest.mark.parametrize("is_in_copy", [True, False])
    def test_word_of_the_store_counts_in_the_end(self, clock, view, is_in_copy):
        change(view, zone_row(11))
        if is_in_copy:
            change(view, removal(zone_row(11), 12))
        restore(view, *([zone_row(11)] if is_in_copy else []), revision=11)
        clock.now += RETENTION_S
        view.release_retained_rows()
        assert view.evacuated_zones == ({"a"} if is_in_copy else set())


class TestEndpoint:
    @pytest.mark.parametrize("clock_runs_s", [0.0, 10 * RETENTION_S])
    def test_that_drains_is_not_used_again(self, clock, view, clock_runs_s):
        change(view, endpoint_row(11))
        change(view, endpoint_row(12, state="draining", sequence=2))
        restore(view, endpoint_row(11), revision=11)
        clock.now += clock_runs_s
        view.release_retained_rows()
        assert view.usable_endpoints("s") == []

    def test_that_has_left_is_not_used_again(self, clock, view):
        change(view, endpoint_row(11))
        change(view, removal(endpoint_row(11), 12))
        restore(view, endpoint_row(11), revision=11)
        assert view.endpoints_by_id == {}
        change(view, removal(endpoint_row(11), 12))
        clock.now += RETENTION_S
        view.release_retained_rows()
        assert view.endpoints_by_id == {}

    def test_that_still_writes_to_its_row_is_used_again(self, clock, view):
        # Guards against an endpoint that is never used again because its row had
        # expired before: an unchanged row brings no event.
        change(view, endpoint_row(11))
        change(view, removal(endpoint_row(11), 12))
        restore(view, endpoint_row(11), revision=11)
        clock.now += RETENTION_S
        view.release_retained_rows()
        assert set(view.endpoints_by_id) == {"e"}

    def test_earlier_incarnation_does_not_replace_the_later_one(self, view):
        change(view, endpoint_row(11, born=1, sequence=9))
        change(view, endpoint_row(12, born=2))
        restore(view, endpoint_row(11, born=1, sequence=9), revision=11)
        assert view.endpoints_by_id["e"].born_ms == 2

    @pytest.mark.parametrize("is_back", [True, False])
    def test_that_the_copy_lacks_is_kept_for_the_grace_period(
        self, clock, view, is_back
    ):
        change(view, endpoint_row(11))
        restore(view)
        assert set(view.endpoints_by_id) == {"e"}
        if is_back:
            change(view, endpoint_row(10, sequence=2))
        clock.now += LAPSE_GRACE_S + 0.1
        view.remove_lapsed_endpoints()
        assert set(view.endpoints_by_id) == ({"e"} if is_back else set())


class TestNode:
    def test_that_the_copy_lacks_is_known_until_it_has_registered_again(
        self, clock, view
    ):
        # Guards against a change of the leader in the moment in which the store is
        # back, because its registration was lost.
        change(view, node_row(11))
        restore(view)
        assert set(view.nodes_by_name) == {"n"}
        clock.now += RETENTION_S
        view.release_retained_rows()
        assert view.nodes_by_name == {}


class TestTwoRestorations:
    def test_what_the_first_copy_lacked_outranks_the_second_one_too(self, view):
        change(view, config_row(4, 11), zone_row(12), endpoint_row(13))
        change(view, endpoint_row(14, state="draining", sequence=2))
        restore(view, endpoint_row(13), revision=13)
        restore(view, endpoint_row(13), revision=13)
        assert view.configuration.version == 4
        assert view.evacuated_zones == {"a"}
        assert view.usable_endpoints("s") == []


class TestOtherNodes:
    def test_node_that_knows_only_the_copy_learns_what_outranks_it(self, clock, view):
        # Guards against a node that starts just after the restoration and serves what
        # the copy says.
        change(view, config_row(4, 11), endpoint_row(12), zone_row(13))
        change(view, removal(zone_row(13), 14))
        change(view, endpoint_row(15, state="draining", sequence=2))
        restore(view, endpoint_row(12), zone_row(13), revision=13)
        started = ClusterView(clock=clock, record=lambda event, fields: None)
        rows = [CONFIG, endpoint_row(12), zone_row(13)]
        started.apply(
            [replace(row, era=2) for row in rows], 13, is_complete=True, era=2
        )
        message = build_retained_rows(view)
        started.merge_retained(read_rows(message), age_s=message.age_s)
        assert started.configuration.version == 4
        assert started.usable_endpoints("s") == []
        assert started.evacuated_zones == set()

    def test_retained_row_does_not_hold_against_what_was_written_since(
        self, clock, view
    ):
        change(view, config_row(4, 11), zone_row(12))
        change(view, removal(zone_row(12), 13))
        restore(view, zone_row(12), revision=12)
        message = build_retained_rows(view)
        other = make_view(clock)
        restore(other, zone_row(12), revision=12)
        change(other, config_row(5, 13), zone_row(14))
        other.merge_retained(read_rows(message), age_s=message.age_s)
        assert other.configuration.version == 5
        assert other.evacuated_zones == {"a"}

    def test_node_ahead_in_the_lost_history_is_not_sent_changes_only(self, view):
        # Guards against a row of the lost history that stays for good, because the
        # leader, which has not seen it, does not send that it is gone.
        view.apply([], 12, base_revision=10, era=1)
        rows = [replace(config_row(4, 9), era=2)]
        assert not view.apply(rows, 9, base_revision=10, era=2, base_era=1)
        assert view.apply(rows, 9, base_revision=12, era=2, base_era=1)


HISTORY = st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=8)


def make_rows(changes, *, since, era):
    return [
        StoreRow(
            key=f"op/evacuate/{name}",
            value=b"{}",
            revision=number,
            is_deleted=is_deleted,
            era=era,
        )
        for number, (name, is_deleted) in enumerate(changes, start=since + 1)
    ]


def content(rows):
    rows_by_key = {row.key: row for row in rows}
    return {key: row for key, row in rows_by_key.items() if not row.is_deleted}


class TestModel:
    @settings(max_examples=400, deadline=None)
    @given(before=HISTORY, lost=HISTORY, again=HISTORY, data=st.data())
    def test_view_ends_with_what_the_store_holds(self, before, lost, again, data):
        # Any messages of two eras, lost, late, repeated or reordered, and at the end a
        # message that leads to the present position, or to a full snapshot.
        clock = _Clock()
        view = ClusterView(clock=clock, record=lambda event, fields: None)
        common = make_rows(before, since=0, era=1)
        first_era = common + make_rows(lost, since=len(common), era=1)
        rewritten = make_rows(again, since=len(common), era=2)
        second_era = [replace(row, era=2) for row in common] + rewritten
        for _ in range(data.draw(st.integers(0, 6))):
            era, rows = data.draw(st.sampled_from([(1, first_era), (2, second_era)]))
            first = len(common) if era == 2 else 0
            end = data.draw(st.integers(first, len(rows)))
            base = data.draw(st.integers(first, end))
            if data.draw(st.booleans()):
                snapshot = [
                    replace(row, era=era) for row in content(rows[:end]).values()
                ]
                view.apply(snapshot, end, is_complete=True, era=era)
            else:
                view.apply(rows[base:end], end, base_revision=base, era=era)
        known = view.position
        end = StorePosition(era=2, revision=len(second_era))
        if known.era == 2:
            view.apply(
                second_era[known.revision :],
                end.revision,
                base_revision=known.revision,
                era=2,
            )
        else:
            snapshot = list(content(second_era).values())
            view.apply(snapshot, end.revision, is_complete=True, era=2)
        assert view.position == end
        assert set(view.history.rows_by_key) == set(content(second_era))
        clock.now += RETENTION_S
        view.release_retained_rows()
        assert view.evacuated_zones == {
            key.rpartition("/")[2] for key in content(second_era)
        }

    @settings(max_examples=400, deadline=None)
    @given(before=HISTORY, lost=HISTORY, again=HISTORY, data=st.data())
    def test_node_that_is_behind_follows_into_the_next_era(
        self, before, lost, again, data
    ):
        clock = _Clock()
        leader = ClusterView(clock=clock, record=lambda event, fields: None)
        follower = ClusterView(clock=clock, record=lambda event, fields: None)
        common = make_rows(before, since=0, era=1)
        first_era = common + make_rows(lost, since=len(common), era=1)
        second_era = [replace(row, era=2) for row in common]
        second_era += make_rows(again, since=len(common), era=2)
        for view in (leader, follower):
            end = data.draw(st.integers(0, len(first_era)))
            view.apply(first_era[:end], end, era=1)
        snapshot = list(content(second_era).values())
        leader.apply(snapshot, len(second_era), is_complete=True, era=2)
        known = follower.position
        changes = leader.rows_after(known)
        if changes is None:
            rows = list(leader.history.rows_by_key.values())
            follower.apply(rows, leader.revision, is_complete=True, era=leader.era)
        else:
            assert follower.apply(
                changes,
                leader.revision,
                base_revision=known.revision,
                era=leader.era,
                base_era=known.era,
            )
        clock.now += RETENTION_S
        for view in (leader, follower):
            view.release_retained_rows()
        assert set(follower.history.rows_by_key) == set(leader.history.rows_by_key)
        assert follower.evacuated_zones == leader.evacuated_zones


class _Clock:
    """A clock that only moves when told, one for each example."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now
