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
    # Guards against callers, who know no admin key, on the admin address.
    @pytest.mark.parametrize("path", ["/metrics", "/admin/status", "/admin/timeline"])
    def test_every_call_needs_the_key(self, stack, path):
        assert get_admin(stack, path, key="wrong")[0] == 401
        assert get_admin(stack, path, key="")[0] == 401
        assert get_admin(stack, path)[0] == 200

    # Guards against an admin surface on the address of the callers.
    def test_callers_do_not_reach_it(self, stack):
        assert stack.request("GET", "/metrics", key=ADMIN_KEY)[0] == 404

    def test_metrics_tell_of_requests_and_key_value_calls(self, stack, engines):
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

    def test_the_timeline_follows_one_request(self, stack, engines):
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

    def test_status_shows_roles_and_members(self, stack):
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

    def test_limits_are_settings(self):
        settings = check_settings(self.values(limits={"idle_s": 5}), source="f")
        assert settings.limits.idle_s == 5

    # Guards against a node that starts with a setting it does not understand, and
    # against an error that shows a key.
    def test_all_findings_come_together_without_secrets(self):
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
        for part in ("cluster_key", "admin_key", "listen", "idle_s", "unheard"):
            assert part in text
        assert "short-secret" not in text

    def test_keys_are_not_shown(self):
        settings = check_settings(self.values(admin_key="a" * 16), source="f")
        assert "kkkk" not in repr(settings)
        assert "aaaa" not in repr(settings)
