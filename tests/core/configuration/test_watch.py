from savoryhill.bench._cores import (
    apply_revision,
    record_names,
    run,
    run_until_in_force,
    start_configured_cores,
)
from savoryhill.config import records
from savoryhill.core.configuration.distribution import revision_in_force


def watchers(cores):
    return {
        node
        for node, state in cores.states_by_node.items()
        if state.configuration.service.watching
    }


class TestWatchers:
    def test_every_node_of_a_small_deployment_watches(self):
        assert len(watchers(start_configured_cores())) == 9

    def test_two_nodes_of_each_availability_zone_watch_a_large_deployment(self):
        cores = start_configured_cores(n_nodes=30, n_zones=3)
        zones = [cores.states_by_node[node].zone for node in watchers(cores)]
        assert sorted(zones) == sorted(["zone-0", "zone-1", "zone-2"] * 2)

    def test_dead_watcher_is_replaced_in_its_availability_zone(self):
        cores = start_configured_cores(n_nodes=30, n_zones=3)
        dead = sorted(watchers(cores))[0]
        zone = cores.states_by_node.pop(dead).zone
        cores.queue = [entry for entry in cores.queue if dead not in entry[2:]]
        for state in cores.states_by_node.values():
            state.membership.members_by_node[dead].status = "gone"
        run(cores, 1.5)
        zones = [cores.states_by_node[node].zone for node in watchers(cores)]
        assert zones.count(zone) == 2


class TestReads:
    def test_only_the_head_is_read_while_nothing_changes(self):
        # Guards against transferring the whole configuration every 2 s.
        cores = start_configured_cores()
        cores.service.rows_by_key.pop(records.CURRENT_KEY)
        n_before = cores.service.n_reads
        run(cores, 10.0)
        assert cores.service.n_reads - n_before <= 9 * 7

    def test_silent_watch_is_detected_and_reopened(self):
        cores = start_configured_cores()
        cores.silent_watches = set(cores.states_by_node)
        apply_revision(cores, 2)
        run_until_in_force(cores, 2, timeout_s=2.1)
        run(cores, 2.5)
        assert "configuration.watch_silent" in record_names(cores)
        assert not cores.silent_watches, "no new watch was opened"

    def test_lagging_watch_neither_confirms_nor_reverts(self):
        cores = start_configured_cores()
        cores.watch_lag_s = 5.0
        for revision in (2, 3, 4):
            apply_revision(cores, revision)
            run(cores, 2.5)
        run(cores, 6.0)
        assert {revision_in_force(s) for s in cores.states_by_node.values()} == {4}

    def test_parts_of_a_large_configuration_are_read(self, monkeypatch):
        monkeypatch.setattr(records, "MAX_CONTENT_BYTES", 500)
        cores = start_configured_cores()
        assert any("/part/" in key for key in cores.service.rows_by_key)
        apply_revision(cores, 2)
        run_until_in_force(cores, 2, timeout_s=2.0)

    def test_damaged_record_is_reported_and_not_put_in_force(self):
        cores = start_configured_cores()
        apply_revision(cores, 2)
        row = cores.service.rows_by_key[records.CURRENT_KEY]
        damaged = row.value.replace(b'"content": "', b'"content": "AAAA')
        cores.service.rows_by_key[records.CURRENT_KEY] = type(row)(
            key=row.key, value=damaged, mod_revision=row.mod_revision
        )
        run(cores, 3.0)
        assert "configuration.undecodable" in record_names(cores)
        assert {revision_in_force(s) for s in cores.states_by_node.values()} == {1}
