"""Loading and reloading the settings of a serving process."""

from dataclasses import replace

import pytest

from savoryhill.errors import SettingsError
from savoryhill.platform import names
from savoryhill.platform.boot_settings import load_settings

TEXT = """\
node=edge-1
zone=zone-a
ipAddress=127.0.0.1
listen.frontend=127.0.0.1:8080
listen.readiness=127.0.0.1:8081
internalPorts=7340,7355
platform.address=127.0.0.1:8223
bounds.graceS=8
a.field.of.a.later.release=1
"""


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "boot.conf"
    path.write_text(TEXT)
    return path


class TestLoadSettings:
    def test_unknown_fields_are_ignored(self, path):
        settings = load_settings(path)
        assert settings.peer_address == "127.0.0.1:7340"
        assert settings.grace_s == 8.0

    def test_all_errors_are_reported_together(self, path):
        path.write_text(
            TEXT.replace("8080", "x").replace("zone=zone-a\n", "").replace("S=8", "S=a")
            + "no assignment\n"
        )
        with pytest.raises(SettingsError) as error:
            load_settings(path)
        message = str(error.value)
        for part in ("zone:", "listen.frontend:", "bounds.graceS:", "line 9:"):
            assert part in message, message

    @pytest.mark.parametrize(
        ("valid", "odd"),
        [
            ("graceS=8", "graceS=nan"),
            ("graceS=8", "graceS=-1"),
            ("graceS=8", "graceS=1e400"),
            ("frontend=127.0.0.1:8080", "frontend=127.0.0.1:99999"),
            ("nalPorts=7340,7355", "nalPorts=7340,99999"),
        ],
    )
    def test_number_out_of_range_is_reported(self, path, valid, odd):
        path.write_text(TEXT.replace(valid, odd))
        with pytest.raises(SettingsError, match=odd.partition("=")[0][-8:]):
            load_settings(path)

    @pytest.mark.parametrize(
        ("ports", "address"), [("7340,7355", "127.0.0.1:7341"), ("7340,7340", "")]
    )
    def test_second_internal_port_is_that_of_the_relay(self, path, ports, address):
        path.write_text(TEXT.replace("7340,7355", ports))
        assert load_settings(path).relay_address == address

    def test_missing_file(self, tmp_path):
        with pytest.raises(SettingsError, match="cannot be read"):
            load_settings(tmp_path / "none.conf")


class TestReload:
    @pytest.fixture
    def node(self, deployment, path, monkeypatch):
        monkeypatch.setenv(names.SETTINGS_VARIABLE, str(path))
        return deployment.add_node()

    def test_changed_setting_takes_effect(self, deployment, node, path):
        node._settings = replace(load_settings(path), node=node._settings.node)
        path.write_text(TEXT.replace("graceS=8", "graceS=5"))
        node.reload()
        assert node.context.settings.grace_s == 5.0
        (line,) = deployment.lines[0].fields_of("settings.reloaded")
        assert "grace_s" in line["changed"]
        assert line["at_restart"] == "node"

    def test_invalid_file_changes_nothing(self, deployment, node, path):
        # Guards against a reload that drops settings or ends the process.
        previous = node.context.settings
        path.write_text("nonsense")
        node.reload()
        assert node.context.settings is previous
        assert deployment.lines[0].fields_of("settings.invalid")
