"""Nodes that reach no endpoint, or not all, while clients and others reach them."""

import gevent
import pytest

from savoryhill.serving.ways import connection as connection_module
from savoryhill.standins.serving.network import (
    HANG,
    REFUSE,
    RESET,
    Network,
    make_socket_type,
)

CUTS = [HANG, RESET, REFUSE]
PATHS = ["/chat/x", "/once/x", "/order/x", "/stock/x"]


@pytest.fixture
def network(monkeypatch):
    """A network that the test cuts."""
    network = Network()
    monkeypatch.setattr(connection_module.gsocket, "socket", make_socket_type(network))
    return network


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
