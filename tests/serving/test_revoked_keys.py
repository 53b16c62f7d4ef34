"""Keys that no workspace has any more."""

import pytest

from savoryhill.platform.decode import decode_configuration
from savoryhill.soak.deployment import route

KEYS = ["Bearer key-a", "Bearer made-up", None]
PATHS = ["/chat/x", "/plain-once/x", "/order/x", "/stock/x"]


@pytest.fixture
def running(deployment):
    """A node before an engine and a plain endpoint."""
    deployment.add_endpoint("e1", service="pool")
    deployment.add_endpoint("app-1", service="app")
    deployment.add_node()
    return deployment


def n_arrivals(deployment):
    return sum(len(e.arrivals) for e in deployment.endpoints_by_id.values())


NOBODY = {"no keys": {"keys": ()}, "no workspaces": {"tenants": []}}


class TestLastKey:
    @pytest.mark.parametrize("nobody", NOBODY.values(), ids=NOBODY)
    @pytest.mark.parametrize("path", PATHS)
    def test_no_key_is_let_in(self, running, nobody, path):
        # Guards against every caller being let in once nobody has a key any more.
        running.configure_nodes(version=2, **nobody)
        assert [running.ask(path, authorization=key)[0] for key in KEYS] == [401] * 3
        assert n_arrivals(running) == 0

    def test_request_on_a_kept_connection_is_refused(self, running):
        connection = running.open("/stock/x", method=b"GET")
        while not connection.reader.complete:
            connection.receive(timeout_s=2.0)
        assert connection.reader.head.status == 200
        running.configure_nodes(version=2, keys=())
        connection.reader.__init__()
        running.open("/stock/x", method=b"GET", connection=connection)
        assert running.finish(connection)[0] == 401

    @pytest.mark.parametrize("path", ["/chat/x", "/plain-chat/x"])
    def test_stream_that_has_begun_goes_on(self, running, path):
        for endpoint in running.endpoints_by_id.values():
            endpoint.event_interval_s = 0.05
        connection = running.open(path)
        while not connection.reader.body:
            connection.receive(timeout_s=2.0)
        running.configure_nodes(version=2, keys=())
        assert running.finish(connection)[3]

    def test_node_that_starts_then_lets_nobody_in(self, running):
        running.configure_nodes(version=2, keys=())
        running.add_node()
        assert running.ask("/stock/x", node=1)[0] == 401

    def test_public_route_stays_open(self, running):
        open_route = route("open", "idempotent", "app", publicAccess=True)
        running.configure_nodes(version=2, keys=(), routes=[open_route])
        assert running.ask("/open/x", authorization=None)[0] == 200

    def test_key_that_comes_back_is_let_in(self, running):
        running.configure_nodes(version=2, keys=())
        running.configure_nodes(version=3)
        assert running.ask("/stock/x")[0] == 200
        assert running.ask("/stock/x", authorization="Bearer made-up")[0] == 401


class TestConfigurationWithoutWorkspaces:
    def test_needs_no_key(self, running):
        running.configure_nodes(version=2, left_out=("tenants",))
        assert running.ask("/stock/x", authorization=None)[0] == 200


ODD_TENANTS = {
    "null": None,
    "object": {"name": "ws-a", "keys": ["key-a"]},
    "text": "ws-a",
    "items that are none": [17, None],
    "keys are a text": [{"name": "ws-a", "keys": "key-a"}],
    "keys are an object": [{"name": "ws-a", "keys": {"key-a": 1}}],
    "no name": [{"keys": ["key-a"]}],
    "no keys": [{"name": "ws-a"}],
}


class TestUnreadableWorkspaces:
    @pytest.mark.parametrize("tenants", ODD_TENANTS.values(), ids=ODD_TENANTS)
    @pytest.mark.parametrize("key", ["key-a", "k", "made-up", None])
    def test_no_key_is_let_in(self, running, tenants, key):
        # Guards against a part that can't be read opening all routes, and against the
        # characters of a text counting as keys.
        running.configure_nodes(version=2, tenants=tenants)
        authorization = None if key is None else f"Bearer {key}"
        assert running.ask("/stock/x", authorization=authorization)[0] == 401

    @pytest.mark.parametrize(
        "odd", [17, {"keys": ["key-b"]}, {"name": "ws-b", "keys": 1}]
    )
    def test_others_are_let_in(self, deployment, odd):
        readable = {"name": "ws-a", "keys": ["key-a"]}
        value = deployment.configure(tenants=[odd, readable])
        decoded = decode_configuration(value)
        assert decoded.workspaces_by_key.keys() == {"key-a"}
        assert decoded.requires_key
        assert decoded.n_unreadable == 1
