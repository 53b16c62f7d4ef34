from savoryhill.bench.configuration import measure_cores, measure_nodes


class TestMeasures:
    def test_changes_reach_real_nodes_without_reverts(self):
        # Guards against a benchmark that no longer works with the nodes or the
        # platform stand-in.
        result = measure_nodes(n_nodes=3, seed=7, n_changes=4)
        assert (result["reverts"], result["not_in_force"]) == (0, 0)
        assert result["in_force_p99_ms"] < 2_000

    def test_changes_reach_a_large_deployment_despite_message_loss(self):
        result = measure_cores(n_nodes=100, n_zones=7, seed=1, n_changes=2, loss=0.1)
        assert result["in_force_max_s"] < 8.0
        assert (result["reverts"], result["isolated_in_outage"]) == (0, 0)
