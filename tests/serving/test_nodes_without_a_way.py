"""Nodes that reach no endpoint, or not all, while clients and others reach them."""

import gevent
import pytest

from savoryhill.core.reachability.messages import NOT_USABLE, STOPPING, RelayRequest
from savoryhill.observability.metrics import prometheus_text
from savoryhill.serving.links import encode_frame
from savoryhill.serving.ways.connection import open_connection
from savoryhill.serving.ways.relay_stream import read_message
from savoryhill.standins.serving.network import HANG, REFUSE, RESET

CUTS = [HANG, RESET, REFUSE]
PATHS = ["/chat/x", "/once/x", "/order/x", "/stock/x"]


@pytest.fixture
def fleet(deployment):
    """Four engines and two plain endpoints in two zones, and three nodes."""
    for number in range(4):
        deployment.add_endpoint(f"e{number}", service="pool", zone=f"zone-{number % 2}")
    for number in range(2):
        deployment.add_endpoint(f"a{number}", service="app", zone=f"zone-{number}")
    for _ in range(3):
        deployment.add_node()
    views = [node.context.cluster_view for node in deployment.nodes]
    deployment.wait_until(lambda: all(len(view.nodes_by_name) == 3 for view in views))
    followers = deployment.nodes[1:]
    deployment.wait_until(lambda: all(n._dispatcher.has_leader() for n in followers))
    return deployment


def host_of(node):
    return node.context.settings.peer_address.rsplit(":", 1)[0]


def cut_node(deployment, network, index, how, endpoints=None):
    """Cut a node off from endpoints, by default from all."""
    endpoints = endpoints or deployment.endpoints_by_id.values()
    targets = [endpoint.address for endpoint in endpoints]
    network.cut(host_of(deployment.nodes[index]), targets, how)


def ask_until_cut(deployment):
    """Send requests to the second node until it has found out that it is cut off.

    Endpoints that are equally good are chosen at random, and it takes lost paths to
    those of two zones.
    """
    paths = deployment.nodes[1].context.ways.paths
    with gevent.Timeout(5.0):
        while not paths.is_cut():
            deployment.ask("/stock/x", node=1)
            deployment.ask("/chat/x", node=1)


class TestNodeCutOffFromAllEndpoints:
    @pytest.mark.parametrize("how", CUTS)
    @pytest.mark.parametrize("path", PATHS)
    def test_its_clients_are_served_as_those_of_others(self, fleet, network, path, how):
        # Guards against clients who are refused because their node has lost its way
        # to endpoints that other nodes reach.
        cut_node(fleet, network, 1, how)
        answers = [fleet.ask(path, node=1) for _ in range(6)]
        assert [(status, whole) for status, _, _, whole in answers] == [(200, True)] * 6

    @pytest.mark.parametrize("how", CUTS)
    def test_clients_of_others_do_not_wait(self, fleet, network, how):
        # Guards against engines that no node is sent to because one node has reported
        # them as failed, which had only lost its way to them.
        cut_node(fleet, network, 1, how)
        cut = [gevent.spawn(fleet.ask, "/chat/x", node=1) for _ in range(6)]
        gevent.sleep(0.3)
        for _ in range(6):
            with gevent.Timeout(0.3):
                assert fleet.ask("/chat/x", node=2)[0] == 200
        gevent.joinall(cut)
        ejected = [
            line for lines in fleet.lines for line in lines.fields_of("engine.ejected")
        ]
        assert ejected == []

    def test_only_the_first_requests_try_the_lost_paths(self, fleet, network):
        # Guards against a delay of each request by a connect that cannot succeed.
        cut_node(fleet, network, 1, HANG)
        ask_until_cut(fleet)
        gevent.sleep(0.3)
        host, n_before = host_of(fleet.nodes[1]), len(network.connects)
        for _ in range(6):
            fleet.ask("/chat/x", node=1)
        own = {endpoint.address for endpoint in fleet.endpoints_by_id.values()}
        tried = [path for path in network.connects[n_before:] if path[0] == host]
        # At most one background probe falls into the time.
        assert sum(target in own for _, target in tried) <= 1

    def test_cut_is_logged_and_counted(self, fleet, network):
        cut_node(fleet, network, 1, REFUSE)
        ask_until_cut(fleet)
        lines, node = fleet.lines[1], fleet.nodes[1]
        assert lines.fields_of("path.lost")
        assert lines.fields_of("node.way_lost")
        text = prometheus_text(node.context.metrics)
        assert "has_lost_way{} 1" in text
        network.heal()
        fleet.wait_until(lambda: lines.fields_of("node.way_regained"))
        assert "has_lost_way{} 0" in prometheus_text(node.context.metrics)

    def test_way_is_logged_as_regained_when_the_lost_endpoints_leave(
        self, fleet, network
    ):
        # Guards against a log that tells of a lost way which the gauge does not show.
        cut_node(fleet, network, 1, REFUSE)
        ask_until_cut(fleet)
        for endpoint_id in list(fleet.endpoints_by_id):
            fleet.store.remove(f"servers/{endpoint_id}")
        lines = fleet.lines[1]
        fleet.wait_until(lambda: lines.fields_of("node.way_regained"))

    def test_way_is_logged_as_regained_with_a_new_endpoint(self, fleet, network):
        cut_node(fleet, network, 1, REFUSE)
        ask_until_cut(fleet)
        fleet.add_endpoint("new", service="other", zone="zone-0")
        ways = fleet.nodes[1].context.ways
        view = fleet.nodes[1].context.cluster_view
        fleet.wait_until(lambda: "new" in view.endpoints_by_id)
        ways.note_connected(view.endpoints_by_id["new"], ways.now())
        assert not ways.paths.is_cut()
        assert fleet.lines[1].fields_of("node.way_regained")

    def test_own_path_is_used_again_once_it_is_back(self, fleet, network):
        cut_node(fleet, network, 1, REFUSE)
        ask_until_cut(fleet)
        network.heal()
        ways = fleet.nodes[1].context.ways
        fleet.wait_until(lambda: not ways.paths.lost_by_id)
        for _ in range(12):
            fleet.ask("/stock/x", node=1)
            gevent.sleep(0.05)
        n_own = ways.n_own
        fleet.ask("/stock/x", node=1)
        assert ways.n_own == n_own + 1


class TestNodeCutOffFromSomeEndpoints:
    def test_others_are_reached_by_its_own_path(self, fleet, network):
        zone_b = [fleet.endpoints_by_id[name] for name in ("e1", "e3", "a1")]
        cut_node(fleet, network, 1, REFUSE, zone_b)
        for path in PATHS * 3:
            assert fleet.ask(path, node=1)[0] == 200
        ways = fleet.nodes[1].context.ways
        assert ways.n_own > 0
        assert {lost.zone for lost in ways.paths.lost_by_id.values()} <= {
            "zone-1",
            "zone-b",
        }
        assert not ways.paths.is_cut()


class TestNoNodeHasAWay:
    @pytest.mark.parametrize("path", PATHS)
    def test_request_is_refused_at_once_with_a_time_to_return(
        self, fleet, network, path
    ):
        # Guards against requests that are held until their clients leave although no
        # way is left.
        for index in range(3):
            cut_node(fleet, network, index, HANG)
        fleet.ask("/stock/x", node=1)
        fleet.ask("/stock/x", node=1)
        with gevent.Timeout(1.5):
            status, headers, _, _ = fleet.ask(path, node=1)
        assert status == 503
        assert 0.0 < float(headers[b"retry-after"]) <= 1.0


@pytest.fixture
def relayed(fleet, network):
    """The fleet, whose second node relays all that it sends."""
    cut_node(fleet, network, 1, REFUSE)
    ask_until_cut(fleet)
    return fleet


def relay_of(deployment, attempt_id="relayed"):
    """Return the index of the node that relays a request, once it has arrived.

    Another node may have been asked as well, but has ended that connection by then.
    """
    nodes = deployment.nodes
    deployment.wait_until(lambda: n_arrivals(deployment, attempt_id))
    deployment.wait_until(lambda: sum(node.context.n_relayed for node in nodes) == 1)
    return next(i for i, node in enumerate(nodes) if node.context.n_relayed)


def n_arrivals(deployment, attempt_id):
    return sum(
        arrival.attempt_id == attempt_id
        for endpoint in deployment.endpoints_by_id.values()
        for arrival in endpoint.arrivals
    )


def delay_all(deployment, seconds):
    for endpoint in deployment.endpoints_by_id.values():
        endpoint.event_interval_s = endpoint.response_delay_s = seconds


class TestRelayedRequest:
    @pytest.mark.parametrize("fault", ["unframed", "unframed_reset", "unframed_cut"])
    def test_answer_without_a_length_is_whole_only_if_the_endpoint_closed_it(
        self, relayed, fault
    ):
        # Guards against an answer that broke off at the endpoint reaching the client as
        # complete because the relay closed the connection properly.
        for endpoint in relayed.endpoints_by_id.values():
            endpoint.faults.append(fault)
        status, _, _, complete = relayed.ask("/once/x", node=1)
        assert (status, complete) == (200, fault == "unframed")

    @pytest.mark.parametrize("path", ["/chat/x", "/once/x", "/order/x"])
    def test_loss_of_the_relay_repeats_only_what_may_be_repeated(self, relayed, path):
        # Guards against orders that run twice, and streams that are lost or look
        # complete, when the relay ends within the answer.
        delay_all(relayed, 0.1)
        connection = relayed.open(path, node=1, x_attempt_id="relayed")
        index = relay_of(relayed)
        gevent.sleep(0.05 if path == "/order/x" else 0.25)
        relayed.nodes[index].stop()
        status, _, _, complete = relayed.finish(connection)
        n_runs = n_arrivals(relayed, "relayed")
        assert (status, complete, n_runs) == {
            "/chat/x": (200, True, 2),
            "/once/x": (200, False, 1),
            "/order/x": (502, True, 1),
        }[path]
        crashes = [lines.fields_of("crash.observed") for lines in relayed.lines]
        assert not any(crashes)

    def test_answer_without_a_length_that_ends_with_the_relay_is_not_whole(
        self, relayed
    ):
        for endpoint in relayed.endpoints_by_id.values():
            endpoint.faults.append("unframed")
        delay_all(relayed, 0.1)
        connection = relayed.open("/once/x", node=1, x_attempt_id="relayed")
        index = relay_of(relayed)
        gevent.sleep(0.25)
        relayed.nodes[index].stop()
        assert relayed.finish(connection)[3] is False

    def test_endpoint_is_told_when_the_client_leaves(self, relayed):
        delay_all(relayed, 0.1)
        connection = relayed.open("/chat/x", node=1, x_attempt_id="relayed")
        relay_of(relayed)
        gevent.sleep(0.2)
        connection.close()
        engines = relayed.endpoints_by_id.values()
        relayed.wait_until(lambda: sum(e.n_cancelled for e in engines), limit_s=0.5)
        relayed.wait_until(lambda: not any(n.context.n_relayed for n in relayed.nodes))

    def test_nothing_is_left_at_the_leader(self, relayed):
        for path in PATHS * 2:
            relayed.ask(path, node=1)
        schedulers = [
            scheduler
            for node in relayed.nodes
            for scheduler in node._dispatcher._scheduling.schedulers_by_service.values()
        ]
        relayed.wait_until(lambda: not any(s.placed_by_id for s in schedulers))
        assert not any(s.waiting_by_id for s in schedulers)

    def test_pause_that_an_endpoint_wants_binds_the_relay_too(self, relayed):
        # Guards against a relay that goes on sending to an endpoint which has told it
        # that it wants nothing, because the refusal was meant for another node.
        for endpoint in relayed.endpoints_by_id.values():
            endpoint.wanted_pause = "30"
        relayed.ask("/stock/x", node=1)
        relays = [n for n in relayed.nodes if len(n.context.endpoint_statements.pauses)]
        assert len(relays) >= 2


class TestUseOfTheRelay:
    def open_relay_port(self, deployment, index, source):
        address = deployment.nodes[index].context.settings.relay_address
        return open_connection(address, timeout_s=1.0, source_host=source)

    def request_frame(self, deployment, incarnation="a0@1"):
        request = RelayRequest(
            node="x", request="r", endpoint=incarnation, remaining_s=1.0, is_order=False
        )
        return encode_frame(request, node="x")

    def test_only_nodes_may_use_it(self, fleet):
        # Guards against a stranger who reaches endpoints through the port of a node.
        connection = self.open_relay_port(fleet, 0, "127.0.0.1")
        connection.send(self.request_frame(fleet), timeout_s=1.0)
        assert is_ended(connection)

    def test_bytes_of_a_client_are_no_request(self, fleet):
        connection = self.open_relay_port(fleet, 0, host_of(fleet.nodes[1]))
        connection.send(b"GET /stock/x HTTP/1.1\r\nhost: x\r\n\r\n", timeout_s=1.0)
        assert is_ended(connection)

    @pytest.mark.parametrize("incarnation", ["a0@2", "gone@1", "", "a0"])
    def test_endpoint_that_the_relay_does_not_know_is_not_used(
        self, fleet, incarnation
    ):
        connection = self.open_relay_port(fleet, 0, host_of(fleet.nodes[1]))
        connection.send(self.request_frame(fleet, incarnation), timeout_s=1.0)
        assert read_message(connection.sock).outcome == NOT_USABLE

    def test_node_that_stops_is_no_relay(self, fleet, network):
        stopping = gevent.spawn(fleet.nodes[2].drain)
        gevent.sleep(0.05)
        connection = self.open_relay_port(fleet, 2, host_of(fleet.nodes[1]))
        connection.send(self.request_frame(fleet), timeout_s=1.0)
        assert read_message(connection.sock).outcome == STOPPING
        cut_node(fleet, network, 1, REFUSE)
        assert [fleet.ask(path, node=1)[0] for path in PATHS] == [200] * 4
        stopping.kill()

    def test_node_waits_for_what_it_relays_before_it_ends(self, relayed):
        delay_all(relayed, 0.1)
        connection = relayed.open("/once/x", node=1, x_attempt_id="relayed")
        index = relay_of(relayed)
        relayed.nodes[index].drain()
        relayed.nodes[index].stop()
        assert relayed.finish(connection)[3] is True


def is_ended(connection):
    try:
        return connection.sock.recv(100) == b""
    except ConnectionError:
        return True
