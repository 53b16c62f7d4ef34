import subprocess
import sys
from pathlib import Path

import pytest

from savoryhill.cli.main import main

SOURCE = Path(__file__).parents[2] / "src"


def run(monkeypatch, *arguments):
    monkeypatch.setattr(sys, "argv", ["savoryhill", *arguments])
    with pytest.raises(SystemExit) as exit_info:
        main()
    return exit_info.value.code


class TestArguments:
    # Guards against a command that starts before fire rejects an unknown flag.
    def test_unknown_flag_fails_before_the_command_starts(
        self, monkeypatch, capsys, tmp_path
    ):
        missing = str(tmp_path / "missing.yaml")
        assert run(monkeypatch, "node", missing, "--unheard", "1") == 2
        assert "--unheard" in capsys.readouterr().err

    @pytest.mark.parametrize(
        ("arguments", "message"),
        [
            (("unheard",), "unheard"),
            (("node",), "settings"),
            (("status",), "--admin"),
            (("status", "--admin", "1.2.3.4:5"), "SAVORYHILL_ADMIN_KEY"),
            (("status", "--admin", "x:1", "--output", "xml"), "--output"),
            (("timeline", "--admin", "x:1", "--limit", "few"), "--limit"),
            (("status", "--key_file", "/nonexistent", "--admin", "x:1"), "key_file"),
            (("standin", "engine", "/nonexistent"), "/nonexistent"),
        ],
    )
    def test_invalid_arguments_exit_with_2(
        self, monkeypatch, capsys, arguments, message
    ):
        monkeypatch.delenv("SAVORYHILL_ADMIN_KEY", raising=False)
        assert run(monkeypatch, *arguments) == 2
        assert message in capsys.readouterr().err

    # Guards against a request id that is parsed as a number: 1e5 would be 100000.0.
    def test_values_are_not_converted(self, monkeypatch):
        from savoryhill.cli import inspection

        requested_paths = []
        monkeypatch.setenv("SAVORYHILL_ADMIN_KEY", "k")
        monkeypatch.setattr(
            inspection,
            "_call_all",
            lambda addresses, path, key: requested_paths.append(path) or ([], {}),
        )
        code = run(monkeypatch, "timeline", "--admin", "x:1", "--request", "1e5")
        assert code == 0
        assert "request=1e5" in requested_paths[0]

    def test_unreachable_node_exits_with_1(self, monkeypatch, capsys):
        monkeypatch.setenv("SAVORYHILL_ADMIN_KEY", "k")
        assert run(monkeypatch, "status", "--admin", "127.0.0.1:1") == 1
        assert "127.0.0.1:1" in capsys.readouterr().out

    def test_help_exits_with_0(self):
        completed = subprocess.run(
            [sys.executable, "-m", "savoryhill", "node", "--help"],
            env={"PYTHONPATH": str(SOURCE)},
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=20,
        )
        assert completed.returncode == 0
        assert "SIGTERM" in completed.stdout + completed.stderr
