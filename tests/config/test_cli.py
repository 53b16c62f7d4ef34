import json
from pathlib import Path

import pytest
import yaml

from savoryhill.cli import main, questionnaire
from savoryhill.demo.deployment import (
    CLUSTER_KEY,
    make_answers,
    start_deployment,
    stop_deployment,
)
from savoryhill.demo.run import wait_until_ready
from savoryhill.errors import PlatformUnreachableError


@pytest.fixture(scope="module")
def deployment():
    started = start_deployment(n_nodes=3, n_engines=2)
    for node in started.nodes:
        wait_until_ready(node)
    yield started
    stop_deployment(started)


@pytest.fixture
def settings(deployment, tmp_path):
    path = tmp_path / "settings.yaml"
    values = {
        "key_value": deployment.platform_address,
        "hosts": deployment.platform_address,
        "cluster_key": CLUSTER_KEY,
    }
    path.write_text(yaml.safe_dump(values))
    return str(path)


def run_command(capsys, command, *arguments, **options):
    """Run a command and return its exit code and JSON output."""
    capsys.readouterr()
    code = command(*arguments, output="json", **options)._start()
    return code, json.loads(capsys.readouterr().out)


def write_answers(capsys, settings, tmp_path, **changes):
    """Write the accepted answers with changes to a file.

    Returns the path of the file and the accepted revision.
    """
    _, shown = run_command(capsys, questionnaire.show, settings=settings)
    answers = yaml.safe_load(shown["answers"])
    for section, value in changes.items():
        answers[section] = {**answers.get(section, {}), **value}
    path = tmp_path / f"{'-'.join(changes) or 'plain'}.yaml"
    path.write_text(yaml.safe_dump(answers, sort_keys=False))
    return str(path), shown["revision"]


def withdraw_zone(deployment, zone):
    zones = make_answers(deployment).model_dump()["zones"]
    return {zone: {**zones[zone], "withdrawn": True}}


class TestCheck:
    def test_findings_give_exit_code_1(self, capsys, tmp_path):
        path = tmp_path / "answers.yaml"
        path.write_text("zones: {}\nknids: {}\n")
        code, result = run_command(capsys, questionnaire.check, str(path))
        assert code == 1
        assert {each["path"] for each in result["findings"]} >= {"knids", "zones"}

    def test_a_missing_file_gives_exit_code_2(self, capsys, tmp_path):
        code, _ = run_command(capsys, questionnaire.check, str(tmp_path / "none"))
        assert code == 2

    def test_a_new_file_has_no_findings_and_is_not_overwritten(self, capsys, tmp_path):
        path = str(tmp_path / "new.yaml")
        code, _ = run_command(capsys, questionnaire.new, path, deployment="licensing")
        assert code == 0
        assert run_command(capsys, questionnaire.check, path) == (0, {"findings": []})
        code, _ = run_command(capsys, questionnaire.new, path)
        assert code == 2
        assert "register:" in Path(path).read_text()

    def test_a_misspelt_flag_is_refused_before_anything_is_done(
        self, monkeypatch, tmp_path
    ):
        # fire calls a command before it rejects unknown flags, so that a mistyped
        # apply would change the deployment.
        path = tmp_path / "new.yaml"
        arguments = ["savoryhill", "questionnaire", "new", str(path), "--deploymnet=x"]
        monkeypatch.setattr("sys.argv", arguments)
        with pytest.raises(SystemExit) as raised:
            main()
        assert raised.value.code == 2
        assert not path.exists()


class TestApply:
    def test_a_change_is_reported_in_force_on_every_node(
        self, capsys, settings, tmp_path
    ):
        path, revision = write_answers(
            capsys, settings, tmp_path, policy={"short_prompt_tokens": 5_000}
        )
        code, shown = run_command(capsys, questionnaire.diff, path, settings=settings)
        assert [change["after"] for change in shown["changes"]]
        code, result = run_command(capsys, questionnaire.apply, path, settings=settings)
        assert (code, result["revision"]) == (0, revision + 1)
        assert sorted(result["in_force_s_by_node"]) == ["node-0", "node-1", "node-2"]
        code, listed = run_command(capsys, questionnaire.history, settings=settings)
        assert listed["revisions"][0]["revision"] == revision + 1

    def test_a_conflict_gives_exit_code_1_and_both_values(
        self, capsys, settings, tmp_path
    ):
        mine, _ = write_answers(
            capsys, settings, tmp_path, policy={"short_prompt_tokens": 1}
        )
        (tmp_path / "b").mkdir()
        theirs, _ = write_answers(
            capsys, settings, tmp_path / "b", policy={"short_prompt_tokens": 2}
        )
        run_command(
            capsys, questionnaire.apply, theirs, settings=settings, author="ben"
        )
        code, result = run_command(capsys, questionnaire.apply, mine, settings=settings)
        assert code == 1
        (conflict,) = result["conflicts"]
        assert (conflict["mine"], conflict["theirs"]) == (1, 2)
        assert conflict["author"] == "ben"

    def test_withdrawal_is_in_force_even_if_the_key_value_service_fails_at_once(
        self, capsys, settings, tmp_path, deployment, monkeypatch
    ):
        # Guards against a withdrawal that is accepted but never reaches a node.
        path, revision = write_answers(
            capsys, settings, tmp_path, zones=withdraw_zone(deployment, "zone-b")
        )
        push = questionnaire._push

        def push_in_outage(*arguments):
            deployment.platform.down = True
            return push(*arguments)

        def unreachable(*arguments, **options):
            raise PlatformUnreachableError("the outage began with the change")

        monkeypatch.setattr(questionnaire, "_push", push_in_outage)
        # Keeps nodes from reading the change before the outage begins.
        monkeypatch.setattr("savoryhill.node.drivers.platform.read_range", unreachable)
        try:
            code, result = run_command(
                capsys, questionnaire.apply, path, settings=settings, timeout_s=3.0
            )
        finally:
            deployment.platform.down = False
        assert (code, result["not_confirmed"]) == (0, [])
        for node in deployment.nodes:
            active = node.runtime.state.active
            assert active.revision == revision + 1
            assert active.zones_by_name["zone-b"].withdrawn

    def test_node_that_does_not_confirm_is_reported(
        self, capsys, settings, tmp_path, deployment
    ):
        hosts = deployment.platform.hosts_by_node
        hosts["node-9"] = {"node": "node-9", "address": "127.0.0.1:1", "state": "live"}
        try:
            path, _ = write_answers(
                capsys, settings, tmp_path, policy={"short_prompt_tokens": 7_000}
            )
            code, result = run_command(
                capsys, questionnaire.apply, path, settings=settings, timeout_s=0.5
            )
        finally:
            del hosts["node-9"]
        assert (code, result["accepted"]) == (2, True)
        assert result["not_confirmed"] == ["node-9"]

    def test_a_leaving_node_is_not_waited_for(
        self, capsys, settings, tmp_path, deployment
    ):
        hosts = deployment.platform.hosts_by_node
        gone = {"node": "node-9", "address": "127.0.0.1:1", "state": "leaving"}
        hosts["node-9"] = gone
        try:
            path, _ = write_answers(
                capsys, settings, tmp_path, policy={"short_prompt_tokens": 7_500}
            )
            code, result = run_command(
                capsys, questionnaire.apply, path, settings=settings, timeout_s=3.0
            )
        finally:
            del hosts["node-9"]
        assert (code, result["not_confirmed"]) == (0, [])

    def test_an_outage_gives_exit_code_2(self, capsys, settings, tmp_path, deployment):
        path, _ = write_answers(capsys, settings, tmp_path, journal={"n_shards": 4})
        deployment.platform.down = True
        try:
            code, _ = run_command(capsys, questionnaire.apply, path, settings=settings)
        finally:
            deployment.platform.down = False
        assert code == 2

    def test_a_push_without_the_cluster_key_changes_nothing(
        self, capsys, settings, tmp_path, deployment
    ):
        # Guards against a push by a sender that does not hold the cluster key.
        values = yaml.safe_load(Path(settings).read_text())
        forged = tmp_path / "forged.yaml"
        forged.write_text(yaml.safe_dump({**values, "cluster_key": "x" * 32}))
        path, _ = write_answers(
            capsys, settings, tmp_path, policy={"short_prompt_tokens": 8_000}
        )
        n_dropped = sum(node.transport.n_dropped for node in deployment.nodes)
        code, result = run_command(
            capsys, questionnaire.apply, path, settings=str(forged), timeout_s=0.5
        )
        assert (code, len(result["not_confirmed"])) == (2, 3)
        assert sum(node.transport.n_dropped for node in deployment.nodes) > n_dropped

    def test_restored_key_value_service_is_detected_and_its_revision_exceeded(
        self, capsys, settings, tmp_path, deployment
    ):
        # Guards against a revision that is accepted but never in force: after the
        # key-value service was restored to an earlier state, the nodes hold a revision
        # at least as high.
        path, revision = write_answers(
            capsys, settings, tmp_path, policy={"short_prompt_tokens": 9_000}
        )
        saved = dict(deployment.platform.rows_by_key)
        run_command(capsys, questionnaire.apply, path, settings=settings)
        deployment.platform.rows_by_key.clear()
        deployment.platform.rows_by_key.update(saved)
        again, _ = write_answers(
            capsys, settings, tmp_path, journal={"retention_s": 7_200}
        )
        code, result = run_command(
            capsys, questionnaire.apply, again, settings=settings
        )
        other, _ = write_answers(
            capsys, settings, tmp_path, journal={"retention_s": 10_800}
        )
        # The key-value service and the nodes now hold different content under the same
        # revision.
        code, result = run_command(
            capsys, questionnaire.apply, other, settings=settings, above=revision + 5
        )
        assert (code, result["revision"]) == (0, revision + 6)
        deployment.platform.rows_by_key.clear()
        deployment.platform.rows_by_key.update(saved)
        code, result = run_command(
            capsys, questionnaire.apply, again, settings=settings
        )
        assert code == 1
