import pytest

from savoryhill.bench._cores import apply_revision, feed, run, start_configured_cores
from savoryhill.core.configuration.distribution import revision_in_force
from savoryhill.core.configuration.isolation import (
    Standing,
    determine_standing,
    may_start,
)
from savoryhill.core.effects import SendDatagram, SendPeer
from savoryhill.core.events import (
    KeyValueAnswered,
    PeerReceived,
    RequestArrived,
    Ticked,
)
from savoryhill.core.messages import Ack, ConfigCheck, ConfigStatus
from savoryhill.core.reducer import reduce
from savoryhill.peers.datagrams import DATAGRAM_TYPES


def standings(cores):
    return {n: s.configuration.standing for n, s in cores.states_by_node.items()}


class TestIsolationRule:
    @pytest.mark.parametrize(
        ("age_s", "n_heard", "sampled", "expected"),
        [
            (2.9, 1, False, Standing.CONFIRMED),
            (3.0, 5, False, Standing.SERVICE_DOWN),
            (3.0, 4, False, Standing.CUT_OFF),
            (3.0, 6, True, Standing.CUT_OFF),
            (3.0, 7, True, Standing.SERVICE_DOWN),
        ],
    )
    def test_standing(self, age_s, n_heard, sampled, expected):
        standing = determine_standing(
            confirmed_age_s=age_s, n_heard=n_heard, n_known=9, sampled=sampled
        )
        assert standing is expected

    def test_half_of_the_nodes_is_no_majority(self):
        # Guards against both halves of a split deployment continuing to start work.
        standing = determine_standing(confirmed_age_s=9.0, n_heard=5, n_known=10)
        assert standing is Standing.CUT_OFF

    def test_keeping_a_sampled_majority_takes_fewer_answers_than_gaining_it(self):
        # Guards against nodes that alternate between accepting and refusing work when
        # messages are lost.
        def next_standing(previous, n_heard):
            return determine_standing(
                confirmed_age_s=9.0,
                n_heard=n_heard,
                n_known=49,
                sampled=True,
                previous_standing=previous,
            )

        assert next_standing(Standing.CUT_OFF, 30) is Standing.CUT_OFF
        assert next_standing(Standing.SERVICE_DOWN, 30) is Standing.SERVICE_DOWN
        assert next_standing(Standing.SERVICE_DOWN, 29) is Standing.CUT_OFF

    @pytest.mark.parametrize(
        ("standing", "idempotent", "allowed"),
        [
            (Standing.CONFIRMED, False, True),
            (Standing.SERVICE_DOWN, True, True),
            (Standing.SERVICE_DOWN, False, False),
            (Standing.CUT_OFF, True, False),
        ],
    )
    def test_work_that_may_start(self, standing, idempotent, allowed):
        assert may_start(standing, idempotent=idempotent) is allowed


class TestNodes:
    def test_outage_of_the_service_isolates_no_node(self):
        # Guards against the whole deployment refusing work in an outage of the service.
        cores = start_configured_cores()
        cores.service.down = True
        run(cores, 10.0)
        assert set(standings(cores).values()) == {Standing.SERVICE_DOWN}
        changes = [r for _, _, r in cores.records if r.name == "configuration.standing"]
        assert all(dict(r.fields)["standing"] != "cut_off" for r in changes[9:])

    @pytest.mark.parametrize("seed", range(3))
    def test_node_cut_off_from_all_is_isolated_within_three_seconds(self, seed):
        # Guards against new work in an availability zone that was withdrawn on the
        # other side of the partition.
        cores = start_configured_cores(seed=seed)
        cores.may_pass = lambda sender, receiver: "node-0" not in (sender, receiver)
        cores.reaches_service = lambda node: node != "node-0"
        run(cores, 3.05)
        assert cores.states_by_node["node-0"].configuration.isolated
        assert list(standings(cores).values()).count(Standing.CONFIRMED) == 8
        # The node then considers all others gone, which must not make it a majority.
        for member in cores.states_by_node[
            "node-0"
        ].membership.members_by_node.values():
            member.status = "live" if member.node == "node-0" else "gone"
        run(cores, 10.0)
        assert cores.states_by_node["node-0"].configuration.isolated
        cores.may_pass = lambda sender, receiver: True
        run(cores, 2.0)
        assert not cores.states_by_node["node-0"].configuration.isolated

    def test_minority_is_isolated_while_the_service_is_down(self):
        cores = start_configured_cores()
        cores.service.down = True
        minority = {"node-0", "node-1", "node-2", "node-3"}
        cores.may_pass = lambda a, b: (a in minority) == (b in minority)
        run(cores, 6.0)
        cut_off = {n for n, s in standings(cores).items() if s is Standing.CUT_OFF}
        assert cut_off == minority

    def test_node_that_reconnects_in_an_outage_waits_for_the_newer_revision(self):
        # Guards against work in an availability zone that was withdrawn while the node
        # was cut off: it hears from a majority again, but no node confirms it.
        cores = start_configured_cores()
        cores.may_pass = lambda sender, receiver: "node-0" not in (sender, receiver)
        cores.reaches_service = lambda node: node != "node-0"
        apply_revision(cores, 2)
        run(cores, 5.0)
        cores.service.down = True
        run(cores, 5.0)
        # All messages are delivered again except configuration contents.
        cores.may_pass = lambda sender, receiver: True
        state = cores.states_by_node["node-0"]
        deliver, cores.deliver_values = cores.deliver_values, False
        run(cores, 3.0)
        assert revision_in_force(state) == 1
        assert state.configuration.isolated
        cores.deliver_values = deliver
        run(cores, 3.0)
        assert revision_in_force(state) == 2
        assert state.configuration.standing is Standing.SERVICE_DOWN

    def test_node_without_the_service_is_confirmed_by_its_peers(self):
        cores = start_configured_cores()
        cores.reaches_service = lambda node: node != "node-0"
        run(cores, 20.0)
        assert standings(cores)["node-0"] is Standing.CONFIRMED
        assert not any(
            dict(record.fields).get("standing") == "cut_off"
            for at, node, record in cores.records
            if node == "node-0" and at > 3.0
        )

    def test_chain_of_peers_does_not_refresh_an_old_confirmation(self):
        # Guards against two nodes that keep confirming each other without the service.
        cores = start_configured_cores()
        cores.service.down = True
        run(cores, 10.0)
        oldest = min(
            s.configuration.confirmed_at for s in cores.states_by_node.values()
        )
        newest = max(
            s.configuration.confirmed_at for s in cores.states_by_node.values()
        )
        assert newest <= 6.0, f"confirmations from {oldest} to {newest}"


class TestChecks:
    def test_members_are_answered_by_datagram_and_operators_by_connection(self):
        # A datagram to an operator's command line, which is not a member, is dropped.
        state = start_configured_cores().states_by_node["node-0"]

        def reply_type(sender):
            check = PeerReceived(
                at=state.now, sender=sender, message=ConfigCheck(check=1)
            )
            (effect,) = reduce(state, check)
            return type(effect)

        assert reply_type("node-1") is SendDatagram
        assert reply_type("operator@127.0.0.1:1") is SendPeer
        assert {ConfigCheck, ConfigStatus} <= DATAGRAM_TYPES


class TestAges:
    def test_age_in_a_datagram_read_after_a_pause_is_ignored(self):
        # Guards against wrong ages in datagrams that waited in the socket of a paused
        # process.
        cores = start_configured_cores()
        state = cores.states_by_node["node-0"]
        before = state.configuration.confirmed_at
        message = Ack(
            probe=1, target="node-1", config_revision=1, config_confirmed_age_s=0.1
        )
        at = cores.now + 30.0
        feed(cores, "node-0", PeerReceived(at=at, sender="node-1", message=message))
        feed(cores, "node-0", Ticked(at=at + 0.01))
        feed(
            cores, "node-0", PeerReceived(at=at + 0.1, sender="node-1", message=message)
        )
        assert state.configuration.confirmed_at == before

    def test_age_in_a_status_counts_from_when_the_check_was_sent(self):
        cores = start_configured_cores()
        cores.service.down = True
        cores.may_pass = lambda sender, receiver: False
        run(cores, 2.8)
        state = cores.states_by_node["node-0"]
        number, check_round = next(iter(state.configuration.rounds_by_id.items()))
        message = ConfigStatus(check=number, revision=1, confirmed_age_s=0.5)
        late = PeerReceived(at=cores.now + 30.0, sender="node-1", message=message)
        feed(cores, "node-0", late)
        assert state.configuration.confirmed_at == check_round.asked_at - 0.5

    def test_request_after_a_pause_updates_the_standing_before_the_first_tick(
        self,
    ):
        # Guards against counting replies from before a pause as a majority.
        cores = start_configured_cores()
        cores.service.down = True
        run(cores, 4.0)
        state = cores.states_by_node["node-0"]
        assert state.configuration.standing is Standing.SERVICE_DOWN
        feed(cores, "node-0", RequestArrived(at=cores.now + 60.0, spec=None))
        assert state.configuration.isolated

    def test_slow_read_confirms_the_time_at_which_it_started(self):
        cores = start_configured_cores()
        state = cores.states_by_node["node-0"]
        state.configuration.service.head_call_id = "call"
        row = cores.service.rows_by_key["/config/head"]
        response = KeyValueAnswered(
            at=cores.now + 9.0,
            call_id="call",
            status="ok",
            started_at=cores.now,
            rows=(row,),
        )
        feed(cores, "node-0", response)
        assert state.configuration.confirmed_at == cores.now

    def test_peer_with_a_newer_revision_does_not_confirm_the_old_one(self):
        # Guards against a confirmation of revision 1 by a peer that knows revision 2.
        cores = start_configured_cores()
        state = cores.states_by_node["node-0"]
        before = state.configuration.confirmed_at
        message = Ack(
            probe=1, target="node-1", config_revision=2, config_confirmed_age_s=0.0
        )
        feed(
            cores,
            "node-0",
            PeerReceived(at=cores.now, sender="node-1", message=message),
        )
        assert state.configuration.confirmed_at == before
