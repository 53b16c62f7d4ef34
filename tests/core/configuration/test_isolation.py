import pytest

from savoryhill.bench._cores import apply_revision, feed, run, start_configured_cores
from savoryhill.core.configuration.isolation import Standing, judge, may_start
from savoryhill.core.configuration.spread import revision_in_force
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


class TestRule:
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
        standing = judge(
            confirmed_age_s=age_s, n_heard=n_heard, n_known=9, sampled=sampled
        )
        assert standing is expected

    def test_half_of_the_nodes_is_no_majority(self):
        # Guards against both halves of a split deployment going on.
        standing = judge(confirmed_age_s=9.0, n_heard=5, n_known=10)
        assert standing is Standing.CUT_OFF

    def test_a_sampled_majority_is_kept_with_fewer_answers_than_it_takes(self):
        # Guards against nodes that refuse work in turns when messages are lost.
        def after(before, n_heard):
            return judge(
                confirmed_age_s=9.0,
                n_heard=n_heard,
                n_known=49,
                sampled=True,
                before=before,
            )

        assert after(Standing.CUT_OFF, 30) is Standing.CUT_OFF
        assert after(Standing.SERVICE_DOWN, 30) is Standing.SERVICE_DOWN
        assert after(Standing.SERVICE_DOWN, 29) is Standing.CUT_OFF

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
    def test_an_outage_for_all_isolates_nobody(self):
        # Guards against an outage of the service that stops the whole deployment.
        cores = start_configured_cores()
        cores.service.down = True
        run(cores, 10.0)
        assert set(standings(cores).values()) == {Standing.SERVICE_DOWN}
        changes = [r for _, _, r in cores.records if r.name == "configuration.standing"]
        assert all(dict(r.fields)["standing"] != "cut_off" for r in changes[9:])

    @pytest.mark.parametrize("seed", range(3))
    def test_a_node_cut_off_from_all_is_isolated_within_three_seconds(self, seed):
        # Guards against new work in a zone that was withdrawn on the other side.
        cores = start_configured_cores(seed=seed)
        cores.may_pass = lambda sender, receiver: "node-0" not in (sender, receiver)
        cores.reaches_service = lambda node: node != "node-0"
        run(cores, 3.05)
        assert cores.states_by_node["node-0"].configuration.isolated
        assert list(standings(cores).values()).count(Standing.CONFIRMED) == 8
        # Its members are gone for it after a while, which must not make it a majority.
        for member in cores.states_by_node[
            "node-0"
        ].membership.members_by_node.values():
            member.status = "live" if member.node == "node-0" else "gone"
        run(cores, 10.0)
        assert cores.states_by_node["node-0"].configuration.isolated
        cores.may_pass = lambda sender, receiver: True
        run(cores, 2.0)
        assert not cores.states_by_node["node-0"].configuration.isolated

    def test_a_minority_is_isolated_while_the_service_is_down(self):
        cores = start_configured_cores()
        cores.service.down = True
        minority = {"node-0", "node-1", "node-2", "node-3"}
        cores.may_pass = lambda a, b: (a in minority) == (b in minority)
        run(cores, 6.0)
        cut_off = {n for n, s in standings(cores).items() if s is Standing.CUT_OFF}
        assert cut_off == minority

    def test_a_node_that_returns_in_an_outage_waits_for_the_newer_revision(self):
        # Guards against a node that hears a majority again, is not confirmed by
        # anybody, and starts work in a zone that was withdrawn in its absence.
        cores = start_configured_cores()
        cores.may_pass = lambda sender, receiver: "node-0" not in (sender, receiver)
        cores.reaches_service = lambda node: node != "node-0"
        apply_revision(cores, 2)
        run(cores, 5.0)
        cores.service.down = True
        run(cores, 5.0)
        # Everything passes again but the contents themselves.
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

    def test_a_node_without_the_service_is_confirmed_by_its_peers(self):
        cores = start_configured_cores()
        cores.reaches_service = lambda node: node != "node-0"
        run(cores, 20.0)
        assert standings(cores)["node-0"] is Standing.CONFIRMED
        assert not any(
            dict(record.fields).get("standing") == "cut_off"
            for at, node, record in cores.records
            if node == "node-0" and at > 3.0
        )

    def test_a_chain_of_peers_does_not_refresh_an_old_confirmation(self):
        # Guards against two nodes that confirm each other without the service.
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
        # A datagram to a command line, which is no member, would be dropped.
        state = start_configured_cores().states_by_node["node-0"]

        def answer_to(sender):
            check = PeerReceived(
                at=state.now, sender=sender, message=ConfigCheck(check=1)
            )
            (effect,) = reduce(state, check)
            return type(effect)

        assert answer_to("node-1") is SendDatagram
        assert answer_to("operator@127.0.0.1:1") is SendPeer
        assert {ConfigCheck, ConfigStatus} <= DATAGRAM_TYPES


class TestAges:
    def test_an_age_in_a_datagram_read_after_a_pause_is_not_believed(self):
        # Guards against datagrams that waited in the socket of a paused process.
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

    def test_a_status_counts_from_when_it_was_asked_for(self):
        cores = start_configured_cores()
        cores.service.down = True
        cores.may_pass = lambda sender, receiver: False
        run(cores, 2.8)
        state = cores.states_by_node["node-0"]
        number, asked = next(iter(state.configuration.rounds_by_id.items()))
        message = ConfigStatus(check=number, revision=1, confirmed_age_s=0.5)
        late = PeerReceived(at=cores.now + 30.0, sender="node-1", message=message)
        feed(cores, "node-0", late)
        assert state.configuration.confirmed_at == asked.asked_at - 0.5

    def test_a_request_after_a_pause_is_judged_before_the_first_tick(self):
        # Guards against answers from before a pause that count as a majority.
        cores = start_configured_cores()
        cores.service.down = True
        run(cores, 4.0)
        state = cores.states_by_node["node-0"]
        assert state.configuration.standing is Standing.SERVICE_DOWN
        feed(cores, "node-0", RequestArrived(at=cores.now + 60.0, spec=None))
        assert state.configuration.isolated

    def test_a_slow_read_confirms_the_time_at_which_it_started(self):
        cores = start_configured_cores()
        state = cores.states_by_node["node-0"]
        state.configuration.service.head_call = "call"
        row = cores.service.rows_by_key["/config/head"]
        answer = KeyValueAnswered(
            at=cores.now + 9.0,
            call_id="call",
            status="ok",
            started_at=cores.now,
            rows=(row,),
        )
        feed(cores, "node-0", answer)
        assert state.configuration.confirmed_at == cores.now

    def test_a_peer_without_the_new_revision_does_not_confirm_the_old_one(self):
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
