import json

import pytest
from geventhttpclient import HTTPClient

from savoryhill.errors import SettingsError
from savoryhill.node.settings import check_settings

ADMIN_KEY = "admin-key-of-the-tests"


def get_admin(stack, path, key=ADMIN_KEY):
    host, port = stack.node.settings.admin_listen.split(":")
    client = HTTPClient(host, int(port), network_timeout=5)
    try:
        response = client.get(path, headers={"Authorization": f"Bearer {key}"})
        return response.status_code, response.read().decode()
    finally:
        client.close()


class TestAdmin:
    # Guards against access to the admin address without the admin key.
    @pytest.mark.parametrize("path", ["/metrics", "/admin/status", "/admin/timeline"])
    def test_every_call_requires_the_admin_key(self, stack, path):
        assert get_admin(stack, path, key="wrong")[0] == 401
        assert get_admin(stack, path, key="")[0] == 401
        assert get_admin(stack, path)[0] == 200

    # Guards against admin paths being served on the address for callers.
    def test_admin_paths_are_not_served_to_callers(self, stack):
        assert stack.request("GET", "/metrics", key=ADMIN_KEY)[0] == 404

    def test_metrics_include_requests_and_key_value_calls(self, stack, engines):
        stack.post("/v1/completions", stack.body())
        stack.call_order(key="metrics")
        _, text = get_admin(stack, "/metrics")
        for name in (
            'first_token_s_count{band="under_4k",kind="completion"}',
            'slowdown_by_workspace_count{workspace="workspace-one"}',
            'key_value_calls{status="ok"}',
            "requests_finished_total{",
            "configuration_revision{} 1",
        ):
            assert f"savoryhill_{name}" in text

    def test_timeline_selects_the_events_of_one_request(self, stack, engines):
        stack.script.append([("chunk", 0, 2), "break"])
        _, answer = stack.post("/v1/completions", stack.body())
        _, text = get_admin(stack, f"/admin/timeline?request={answer['id']}")
        names = [event["event"] for event in json.loads(text)["events"]]
        assert names == [
            "attempt.started",
            "attempt.failed",
            "attempt.started",
            "request.finished",
        ]

    def test_status_lists_coordinators_and_members(self, stack):
        status = json.loads(get_admin(stack, "/admin/status")[1])
        assert status["ready"] is True
        assert status["members"][0]["node"] == "node-0"
        assert {g["coordinator"] for g in status["groups"]} == {"node-0"}


class TestSettings:
    def values(self, **fields):
        names = ("listen", "peer_listen", "admin_listen", "key_value", "hosts")
        return {
            "node": "n",
            "zone": "z",
            "region": "r",
            "cluster_key": "k" * 16,
            **dict.fromkeys(names, "127.0.0.1:1"),
            **fields,
        }

    def test_limits_are_read_from_the_settings(self):
        settings = check_settings(self.values(limits={"idle_s": 5}), source="f")
        assert settings.limits.idle_s == 5

    # Guards against a node that starts with an unknown or invalid setting, and against
    # an error message that contains a key.
    def test_error_lists_all_findings_without_secrets(self):
        values = self.values(
            cluster_key="short-secret",
            admin_key="few",
            listen="nowhere",
            limits={"idle_s": -1, "unheard": 2},
            tick_s="fast",
        )
        with pytest.raises(SettingsError) as raised:
            check_settings(values, source="f")
        text = str(raised.value)
        for setting in ("cluster_key", "admin_key", "listen", "idle_s", "unheard"):
            assert setting in text
        assert "short-secret" not in text

    def test_repr_hides_the_keys(self):
        settings = check_settings(self.values(admin_key="a" * 16), source="f")
        assert "kkkk" not in repr(settings)
        assert "aaaa" not in repr(settings)
