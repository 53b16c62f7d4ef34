from random import Random

import pytest

from savoryhill.bench._cores import (
    add_core,
    apply_revision,
    count_reverts,
    deliver_value,
    feed,
    record_names,
    run,
    run_until_in_force,
    start_configured_cores,
    start_cores,
)
from savoryhill.config.model import Configuration
from savoryhill.config.records import HEAD_KEY
from savoryhill.core.configuration.distribution import (
    ANNOUNCE_FANOUT,
    MAX_HOPS,
    revision_in_force,
)
from savoryhill.core.effects import SendPeer
from savoryhill.core.events import ConfigurationRead, PeerReceived
from savoryhill.core.messages import ConfigAnnounce, ConfigFetch, Ping
from savoryhill.core.reducer import reduce


def offered(state, revision, source):
    return ConfigurationRead(
        at=state.now, configuration=Configuration(revision=revision), source=source
    )


class TestAdoption:
    def test_lower_revision_never_replaces_a_higher_one(self):
        # Guards against a change undone by a restored service or by a lagging peer.
        state = start_configured_cores().states_by_node["node-0"]
        reduce(state, offered(state, 7, "node-1"))
        effects = reduce(state, offered(state, 6, "key-value"))
        assert revision_in_force(state) == 7
        assert [effect.name for effect in effects] == [
            "configuration.lower_revision_ignored"
        ]
        assert reduce(state, offered(state, 6, "key-value")) == (), "reported twice"

    def test_different_content_with_the_same_revision_is_reported(self):
        # Guards against two services that both assigned the same revision.
        cores = start_configured_cores()
        other = cores.service.rows_by_key[HEAD_KEY].value.replace(
            b'"digest": "', b'"digest": "0'
        )
        cores.service.rows_by_key[HEAD_KEY] = type(cores.service.rows_by_key[HEAD_KEY])(
            key=HEAD_KEY, value=other, mod_revision=99
        )
        run(cores, 2.5)
        assert "configuration.digest_differs" in record_names(cores)


class TestAnnouncements:
    def test_announcement_is_forwarded_once_and_within_the_hop_limit(self):
        # Guards against announcements that circulate forever.
        state = start_configured_cores(n_nodes=20).states_by_node["node-0"]

        def adopt(revision, hops):
            message = ConfigAnnounce(revision=revision, hops=hops)
            reduce(state, PeerReceived(at=state.now, sender="node-1", message=message))
            effects = reduce(state, offered(state, revision, "node-1"))
            effects += reduce(state, offered(state, revision, "node-2"))
            return [
                effect.message.hops
                for effect in effects
                if type(effect) is SendPeer and type(effect.message) is ConfigAnnounce
            ]

        assert adopt(5, hops=2) == [3] * ANNOUNCE_FANOUT
        assert adopt(6, hops=MAX_HOPS) == []

    def test_unanswered_fetch_is_retried_from_another_source(self):
        # Guards against losing a revision when the peer that announced it fails.
        cores = start_configured_cores()
        state = cores.states_by_node["node-0"]
        cores.may_pass = lambda sender, receiver: sender != "node-1"
        cores.reaches_service = lambda node: node == "node-2"
        for sender in ("node-1", "node-2"):
            message = ConfigAnnounce(revision=2)
            feed(
                cores,
                "node-0",
                PeerReceived(at=cores.now, sender=sender, message=message),
            )
        cores.states_by_node["node-2"].configuration.offer = None
        apply_revision(cores, 2)
        run_until_in_force(cores, 2, timeout_s=2.0, nodes=["node-0"])
        assert revision_in_force(state) == 2

    def test_fetch_is_not_answered_without_a_higher_revision(self):
        state = start_configured_cores().states_by_node["node-0"]
        fetch = ConfigFetch(above_revision=1)
        event = PeerReceived(at=state.now, sender="node-1", message=fetch)
        assert reduce(state, event) == ()


class TestRepair:
    def test_higher_revision_in_gossip_is_fetched_from_its_sender(self):
        # Guards against a node without a watch staying behind after it missed an
        # announcement.
        state = start_configured_cores().states_by_node["node-0"]
        ping = Ping(probe=1, target="node-0", origin="node-3", config_revision=2)
        event = PeerReceived(at=state.now, sender="node-3", message=ping)
        (effect,) = (e for e in reduce(state, event) if type(e) is SendPeer)
        assert (effect.to, effect.message) == ("node-3", ConfigFetch(above_revision=1))

    def test_node_without_a_configuration_asks_its_peers(self):
        # Guards against a node started in an outage that only waits for gossip.
        cores = start_cores(n_nodes=3, n_zones=3, seed=1)
        cores.service.down = True
        run(cores, 0.2)
        assert cores.n_messages_by_type[ConfigFetch] == 3


class TestDistributionOverTheDeployment:
    @pytest.mark.parametrize("seed", range(3))
    def test_gossip_repairs_a_node_that_missed_every_announcement(self, seed):
        # Guards against a node without a watch that stays behind permanently.
        cores = start_configured_cores(n_nodes=30, seed=seed, loss=0.3)
        for revision in (2, 3, 4):
            apply_revision(cores, revision)
            run_until_in_force(cores, revision, timeout_s=8.0)
        assert count_reverts(cores) == 0

    def test_node_started_in_an_outage_gets_the_configuration_from_peers(self):
        cores = start_configured_cores()
        cores.service.down = True
        zones = {n: s.zone for n, s in cores.states_by_node.items()}
        zones["node-9"] = "zone-0"
        for state in cores.states_by_node.values():
            state.membership.members_by_node.update(
                {"node-9": state.membership.members_by_node["node-0"]}
            )
        add_core(cores, "node-9", zones)
        run_until_in_force(cores, 1, timeout_s=2.0, nodes=["node-9"])

    def test_pushed_change_spreads_although_the_service_is_down(self):
        # Guards against a withdrawal that takes effect only after an outage.
        cores = start_configured_cores()
        cores.watch_lag_s = 100.0
        accepted = apply_revision(cores, 2)
        cores.service.down = True
        sender = "operator@127.0.0.1:1"
        deliver_value(cores, sender, "node-4", accepted.configuration)
        assert run_until_in_force(cores, 2, timeout_s=3.0) < 3.0

    def test_messages_in_any_order_never_lower_a_revision(self):
        cores = start_configured_cores()
        random = Random(7)
        for _ in range(200):
            node = f"node-{random.randrange(9)}"
            state = cores.states_by_node[node]
            before = revision_in_force(state)
            state.now = cores.now
            reduce(state, offered(state, random.randrange(1, 9), "node-1"))
            assert revision_in_force(state) >= before
