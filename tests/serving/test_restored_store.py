"""Nodes while the store comes back from an older copy of itself."""

import gevent

from savoryhill.soak.deployment import route
from savoryhill.standins.serving.store import RESET


def new_routes():
    """Return routes without the old ``stock`` and with a new one."""
    return [
        route("chat", "streaming", "pool", resumable=True),
        route("lager", "idempotent", "app"),
    ]


def restore(deployment, copy, *, outage_s=0.3):
    """Make the store unavailable for a moment, and restore it from a copy."""
    deployment.store.fault = RESET
    gevent.sleep(outage_s)
    deployment.store.restore(copy)
    deployment.store.fault = None


class TestRestoredStore:
    def test_versions_written_after_a_restoration_are_in_force_at_all_nodes(
        self, deployment
    ):
        # Guards against nodes that take what the store says for older than what they
        # know, because its revisions have gone back.
        deployment.add_endpoint("e", service="app")
        for _ in range(3):
            deployment.add_node()
        copy = deployment.store.copy()
        for version in (2, 3, 4):
            deployment.configure(version=version)
        views = [node.context.cluster_view for node in deployment.nodes]
        deployment.wait_until(
            lambda: all(view.configuration.version == 4 for view in views)
        )
        restore(deployment, copy)
        deployment.configure(version=4)
        deployment.configure(version=5, routes=new_routes())
        deployment.wait_until(
            lambda: all(view.configuration.version == 5 for view in views), limit_s=2.0
        )
        for number in range(3):
            assert deployment.ask("/stock/1", node=number, method=b"GET")[0] == 404
            assert deployment.ask("/lager/1", node=number, method=b"GET")[0] == 200

    def test_changes_in_revisions_given_out_again_are_noticed(self, deployment):
        # Guards against a view that goes on from a revision of the lost history once
        # the store has given it out again.
        node = deployment.add_node()
        view = node.context.cluster_view
        copy = deployment.store.copy()
        deployment.store.put("op/evacuate/zone-b", b"{}")
        deployment.wait_until(lambda: view.evacuated_zones == {"zone-b"})
        lost_revision = deployment.store.revision
        restore(deployment, copy, outage_s=0.0)
        for zone in ("zone-c", "zone-d", "zone-e", "zone-f"):
            deployment.store.put(f"op/evacuate/{zone}", b"{}")
        assert deployment.store.revision > lost_revision
        deployment.wait_until(
            lambda: {"zone-c", "zone-d"} <= view.evacuated_zones, limit_s=2.0
        )

    def test_registrations_lost_with_the_copy_are_written_again(self, deployment):
        # Guards against a node that is missing from the store for good, because the id
        # of its lease names the lease of another node now.
        copy = deployment.store.copy()
        first, second = deployment.add_node(), deployment.add_node()
        names = {f"nodes/{node.context.settings.node}" for node in (first, second)}
        deployment.wait_until(lambda: names <= set(deployment.store.rows_by_key))
        restore(deployment, copy, outage_s=0.0)
        for lease in (1, 2):
            deployment.store._grant_lease({"ttlMs": 10_000})
            assert lease in deployment.store.expires_at_by_lease
        deployment.wait_until(
            lambda: names <= set(deployment.store.rows_by_key), limit_s=6.0
        )


class TestNodeThatStartsAfterARestoration:
    def test_does_not_serve_what_only_the_copy_says(self, deployment):
        # Guards against a node that is ready with the configuration of the copy while
        # another one, which ran before, knows a later version.
        deployment.add_endpoint("e", service="app")
        view = deployment.add_node().context.cluster_view
        copy = deployment.store.copy()
        deployment.configure(version=4, routes=new_routes())
        deployment.wait_until(lambda: view.configuration.version == 4)
        restore(deployment, copy)
        deployment.wait_until(lambda: view.era == 2)
        started = deployment.add_node()
        assert started.context.cluster_view.configuration.version == 4
        assert deployment.ask("/lager/1", node=1, method=b"GET")[0] == 200

    def test_serves_soon_if_no_other_node_answers(self, deployment):
        # Guards against a node that waits for ever for others whose registrations
        # have come back with the copy.
        value = b'{"address":"127.0.0.1:9","zone":"zone-a","capacity":9.0}'
        deployment.store.put("nodes/lost", value)
        started = deployment.add_node()
        assert started.context.cluster_view.configuration.version == 1
