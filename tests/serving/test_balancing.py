"""Choice of the endpoints of plain services."""

from collections import Counter
from contextlib import ExitStack
from random import Random
from types import SimpleNamespace

import pytest

from savoryhill.core.balancing import FAILURE_S
from savoryhill.core.observations.messages import BalanceEnd, BalanceRequest
from savoryhill.serving.balance_grants import GRANT_LIFETIME_S, BalanceGrants
from savoryhill.serving.balancing import BY_LEADER, BY_OWN_RUNNING, BY_REPORTS, Balancer

SERVICE = SimpleNamespace(name="app")
ENDPOINTS = [
    SimpleNamespace(
        id=f"{zone}{number}", zone=zone, slots=6, incarnation=f"{zone}{number}@1"
    )
    for zone in ("zone-a", "zone-b", "zone-c")
    for number in range(2)
]


VIEW = SimpleNamespace(
    usable_endpoints=lambda _service: ENDPOINTS,
    endpoints_by_id={endpoint.id: endpoint for endpoint in ENDPOINTS},
)
NEAR = ENDPOINTS[2]


@pytest.fixture
def balancer(clock):
    """The balancer of a node in zone-b."""
    return Balancer(zone="zone-b", clock=clock, random=Random(3), cluster_view=VIEW)


@pytest.fixture
def leader(clock):
    """The grants of the leader."""
    grants = BalanceGrants(clock=clock, random=Random(3), cluster_view=VIEW)
    grants.is_leader = lambda: True
    return grants


@pytest.fixture
def follower(clock, balancer, leader):
    """The balancer of a node that asks the leader, which replies at once."""
    grants = BalanceGrants(clock=clock, random=Random(3), cluster_view=VIEW)
    grants.is_leader = lambda: False

    def send(message):
        if isinstance(message, BalanceRequest):
            grants.handle_reply(leader.decide(message, "link"))
        elif isinstance(message, BalanceEnd):
            leader.handle_end(message, "link")
        else:
            leader.handle_failure(message)
        return True

    grants.send_to_leader = send
    balancer.grants = grants
    return balancer


def serve(balancer, endpoint, load):
    """Serve a request on an endpoint that tells a load."""
    with balancer.track_request(endpoint):
        balancer.note_load(endpoint, load)


def choose(balancer, avoided=()):
    return balancer.choose(SERVICE, avoided_endpoint_ids=avoided)


class TestZones:
    def test_single_requests_stay_in_the_zone(self, balancer):
        # Guards against calls four of five of which cross zones on a deployment with
        # five.
        counts = Counter(choose(balancer).id for _ in range(100))
        assert set(counts) == {"zone-b0", "zone-b1"}

    def test_many_at_once_use_all_zones(self, balancer):
        # Guards against requests that wait in a full zone beside idle endpoints.
        counts = Counter()
        with ExitStack() as running:
            for _ in range(24):
                endpoint = choose(balancer)
                counts[endpoint.id] += 1
                running.enter_context(balancer.track_request(endpoint))
        assert set(counts) == {endpoint.id for endpoint in ENDPOINTS}
        assert max(counts.values()) - min(counts.values()) <= 3

    def test_ejected_and_avoided_ones_are_left_for_another_zone(self, balancer):
        balancer.note_failure(ENDPOINTS[2], is_full=False)
        assert choose(balancer, avoided={"zone-b1"}).zone != "zone-b"


class TestReportedLoads:
    def test_busy_endpoints_are_left_for_another_zone(self, balancer):
        # Guards against calls that wait in a full zone beside idle endpoints because
        # this node has no other call running.
        for endpoint in ENDPOINTS[2:4]:
            serve(balancer, endpoint, (6, 3, 6))
        assert choose(balancer).zone != "zone-b"
        assert balancer.chosen_by == BY_REPORTS

    def test_without_reports_nothing_changes(self, follower):
        # Guards against another choice, and questions to the leader, for services
        # whose endpoints tell nothing.
        serve(follower, NEAR, None)
        assert choose(follower).zone == "zone-b"
        assert follower.chosen_by == BY_OWN_RUNNING
        assert follower.grants.n_asked == 0

    def test_endpoint_that_tells_no_more_is_balanced_as_before(self, follower):
        serve(follower, NEAR, (6, 3, 6))
        serve(follower, NEAR, None)
        choose(follower)
        assert follower.chosen_by == BY_OWN_RUNNING

    def test_refusal_of_an_idle_endpoint_counts(self, clock, balancer):
        serve(balancer, NEAR, (0, 0, 6))
        clock.now += 0.1
        balancer.note_failure(NEAR, is_full=True)
        clock.now += 0.11
        assert not balancer.is_ejected(NEAR)
        assert NEAR.id not in {choose(balancer).id for _ in range(20)}

    def test_report_to_another_node_s_request_is_not_taken(self, balancer):
        # Guards against memory for engines, whose answers are not balanced here.
        balancer.note_load(NEAR, (6, 3, 6))
        assert len(balancer.loads) == 0

    def test_ejected_ones_are_not_chosen_by_the_leader(self, follower):
        serve(follower, NEAR, (0, 0, 6))
        follower.note_failure(NEAR, is_full=False)
        assert {choose(follower).id for _ in range(3)} == {"zone-b1"}
        assert follower.chosen_by == BY_LEADER


class TestLeaderCount:
    def test_requests_of_all_nodes_are_counted(self, follower, leader):
        # Guards against nodes that all choose the same endpoint at one moment.
        serve(follower, NEAR, (0, 0, 6))
        counts = Counter(choose(follower).id for _ in range(36))
        assert set(counts.values()) == {6}
        assert leader.n_granted == 36

    def test_end_of_a_request_is_told(self, follower, leader):
        serve(follower, NEAR, (0, 0, 6))
        endpoint = choose(follower)
        serve(follower, endpoint, (4, 1, 6))
        assert leader.n_granted == 0
        assert leader.loads.expected_load(endpoint, leader.clock.monotonic()) == 5.0

    def test_request_that_was_not_sent_counts_for_a_time_only(
        self, clock, follower, leader
    ):
        # Guards against an endpoint that seems full because of requests that ended
        # between the choice and the send.
        serve(follower, NEAR, (0, 0, 6))
        choose(follower)
        clock.now += GRANT_LIFETIME_S
        endpoint = choose(follower)
        assert leader.n_granted == 1
        serve(follower, endpoint, None)
        assert leader.n_granted == 0

    def test_endpoint_that_refuses_at_once_does_not_draw_all(
        self, clock, follower, leader
    ):
        # Guards against an endpoint that is idle because it refuses: each of many
        # nodes avoids it only after a refusal of its own.
        serve(follower, NEAR, (0, 0, 6))
        for _ in range(3):
            follower.note_failure(NEAR, is_full=True)
        request = BalanceRequest(
            number=1, service="app", zone="zone-b", avoided=("zone-b1",)
        )
        assert leader.decide(request, "other").endpoint != NEAR.id
        clock.now += FAILURE_S
        assert leader.decide(request, "other").endpoint == NEAR.id

    def test_requests_of_a_lost_node_are_forgotten(self, follower, leader):
        serve(follower, NEAR, (0, 0, 6))
        choose(follower)
        leader.drop_link("link")
        assert leader.n_granted == 0
        assert len(leader.loads) == 0

    @pytest.mark.parametrize("endpoint", ["zone-b0@2", "gone@1", "", "zone-b0"])
    def test_report_of_an_unknown_endpoint_is_not_kept(self, leader, endpoint):
        # Guards against memory that grows by what others send.
        end = BalanceEnd(
            number=1, endpoint=endpoint, n_running=1, n_waiting=0, n_slots=6, age_s=0.0
        )
        leader.handle_end(end, "link")
        assert len(leader.loads) == 0

    def test_lost_leader_delays_one_request(self, clock, follower):
        # Guards against calls that each wait for a leader which does not reply.
        serve(follower, NEAR, (0, 0, 6))
        sent = []
        follower.grants.send_to_leader = lambda message: sent.append(message) or True
        for _ in range(3):
            assert choose(follower).zone == "zone-b"
        assert follower.chosen_by == BY_REPORTS
        assert [type(message) for message in sent] == [BalanceRequest, BalanceEnd]
        assert follower.grants.n_unanswered == 1

    def test_new_leader_ignores_what_it_has_not_counted(self, follower, leader):
        # Guards against counts below zero after a change of the leader.
        serve(follower, NEAR, (0, 0, 6))
        endpoint = choose(follower)
        leader.drop_link("link")
        serve(follower, endpoint, (2, 0, 6))
        assert leader.loads.n_running(endpoint.incarnation) == 0

    def test_endpoint_that_the_node_does_not_know_is_not_used(self, follower):
        # Guards against a leader whose view is ahead of this node's.
        serve(follower, NEAR, (0, 0, 6))
        follower.grants.ask = lambda *_, **__: (1, "new")
        assert choose(follower).zone == "zone-b"
        assert follower.chosen_by == BY_REPORTS


class TestNodes:
    def test_node_learns_loads_and_asks_its_leader(self, deployment):
        # Guards against a header, message or callback that is not connected.
        for number in range(2):
            deployment.add_endpoint(
                f"app-{number}", service="app", reported_load="1,0,4"
            )
        nodes = [deployment.add_node() for _ in range(2)]
        first, second = (node._dispatcher for node in nodes)
        deployment.wait_until(
            lambda: first.is_leader() and second._link and second._link.peer_protocol
        )
        for number in range(8):
            status, *_ = deployment.ask("/stock/x", node=number % 2, method=b"GET")
            assert status == 200
        leader, follower = (node.context.balancer.grants for node in nodes)
        assert follower.n_asked >= 1
        assert follower.n_unanswered == 0
        deployment.wait_until(lambda: leader.n_granted == 0)
        assert leader.loads.n_reports(leader.clock.monotonic()) >= 1
