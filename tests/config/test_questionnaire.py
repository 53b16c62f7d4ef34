from copy import deepcopy
from pathlib import Path

import pytest
import yaml

import savoryhill.config
from savoryhill.bench._answers import answers_text, make_answers
from savoryhill.config.findings import QuestionnaireError
from savoryhill.config.model import dump_configuration, load_configuration
from savoryhill.config.questionnaire import generate_configuration, load_questionnaire

SAMPLES = sorted(Path(savoryhill.config.__file__).parent.glob("samples/*.yaml"))


def collect_findings(text):
    with pytest.raises(QuestionnaireError) as raised:
        load_questionnaire(text, place="answers.yaml")
    return raised.value.findings


def set_at(path, value):
    def change(answers):
        *parents, last = path.split("/")
        for step in parents:
            answers = answers[int(step) if isinstance(answers, list) else step]
        answers[int(last) if isinstance(answers, list) else last] = value

    return change


def delete_at(path):
    def change(answers):
        *parents, last = path.split("/")
        for step in parents:
            answers = answers[step]
        del answers[last]

    return change


def withdraw_all(answers):
    for zone in answers["zones"].values():
        zone["withdrawn"] = True


def repeat_key_hash(answers):
    spaces = answers["workspaces"]
    spaces["workspace-1"]["key_hashes"][0] = spaces["workspace-0"]["key_hashes"][0]


def repeat_call(answers):
    calls = answers["services"]["orders"]["calls"]
    calls.append(dict(calls[0]))


ENGINE = "models/model-0/endpoints/engine-0"
CALL = "services/orders/calls/0"

FAULTS = [
    (set_at("polcy", {}), "polcy", "did you mean 'policy'?"),
    (set_at("kinds/order/deadlin_s", 5), "kinds.order.deadlin_s", "'deadline_s'?"),
    (delete_at("zones"), "zones", "missing answer"),
    (delete_at(f"{ENGINE}/zone"), f"{ENGINE}/zone", "missing answer"),
    (set_at(f"{ENGINE}/zone", "zone-x"), f"{ENGINE}/zone", "did you mean 'zone-"),
    (set_at(f"{ENGINE}/hardware", "fats"), f"{ENGINE}/hardware", "mean 'fast'?"),
    (set_at(f"{ENGINE}/address", "engine:80"), f"{ENGINE}/address", "not IP:port"),
    (set_at(f"{ENGINE}/address", "10.0.0.1:0"), f"{ENGINE}/address", "port from 1"),
    (set_at(f"{ENGINE}/address", "10.0.1.1:8000"), "engine-1/address", "also used at"),
    (set_at("services/orders/endpoints/engine-0", {}), "engine-0", "also used at"),
    (set_at(f"{CALL}/kind", "ordre"), f"{CALL}/kind", "did you mean 'order'?"),
    (set_at(f"{CALL}/path", "order"), f"{CALL}/path", "must start with '/'"),
    (set_at(f"{CALL}/lookup_path", "x"), f"{CALL}/lookup_path", "must start with"),
    (set_at(f"{CALL}/method", "GET"), f"{CALL}/idempotent", "must be idempotent"),
    (repeat_call, "services/orders/calls/1", "is also call 0"),
    (withdraw_all, "zones", "all availability zones are withdrawn"),
    (set_at("workspaces/workspace-0/key_hashes", []), "key_hashes", "at least one"),
    (repeat_key_hash, "workspace-1/key_hashes/0", "one of workspace 'workspace-0'"),
    (
        set_at("workspaces/workspace-0/max_outstanding_tokens", 0),
        "workspace-0/max_outstanding_tokens",
        "greater than 0",
    ),
    (set_at("hardware/fast/slots", 0), "hardware/fast/slots", "greater than 0"),
    (set_at("hardware/fast/cold_slots", 99), "cold_slots", "exceeds slots"),
    (set_at("hardware/fast/prefill_tokens_per_s", -1), "prefill", "greater than 0"),
    (set_at("kinds/order/deadline_s", 0), "kinds/order/deadline_s", "greater than 0"),
    (set_at("kinds/order/deadline_s", float("inf")), "deadline_s", "finite"),
    (set_at("policy", {"prefer": "speed"}), "policy/prefer", "short_slowdown"),
    (set_at("journal", {"retention_s": 1}), "journal/retention_s", "60"),
]


class TestFindings:
    @pytest.mark.parametrize(("change", "path", "message"), FAULTS)
    def test_a_fault_is_reported_with_its_path_and_line(self, change, path, message):
        answers = deepcopy(make_answers(n_engines=3, n_workspaces=2))
        change(answers)
        text = answers_text(answers)
        found = [each for each in collect_findings(text) if message in str(each)]
        assert found, f"no finding says {message!r}: {collect_findings(text)}"
        assert path.replace("/", ".") in found[0].path
        key = found[0].path.split(".")[-1]
        line = text.splitlines()[found[0].line - 1]
        assert key in line or key.isdigit() or "missing" in message

    def test_all_faults_are_reported_together_in_the_order_of_lines(self):
        # Guards against stopping at the first finding, so that an operator would need
        # one run per fault.
        answers = make_answers(n_engines=3, n_workspaces=2)
        for path, value in (
            ("kinds/order/deadline_s", -1),
            (f"{ENGINE}/zone", "zone-x"),
            ("unknown", 1),
            ("workspaces/workspace-0/weight", 0),
        ):
            set_at(path, value)(answers)
        found = collect_findings(answers_text(answers))
        assert len(found) == 4
        assert [each.line for each in found] == sorted(each.line for each in found)

    def test_repeated_key_is_reported(self):
        # YAML parsers silently keep the last value of a repeated key.
        text = answers_text(make_answers(n_engines=1, n_workspaces=1))
        text += "journal: {n_shards: 8}\njournal: {n_shards: 4}\n"
        (finding,) = collect_findings(text)
        assert (finding.path, finding.message) == ("journal", "key occurs twice")

    @pytest.mark.parametrize(
        "text", ["", "- 1", "a: [", "\t", "null", "zones: &a {a: *a}"]
    )
    def test_document_that_is_not_a_valid_mapping_has_findings(self, text):
        assert collect_findings(text)

    @pytest.mark.parametrize("path", SAMPLES, ids=lambda path: path.stem)
    def test_samples_have_no_findings(self, path):
        load_questionnaire(path.read_text(), place=path.name)

    def test_there_are_samples(self):
        assert len(SAMPLES) == 2


class TestGeneration:
    def test_it_depends_only_on_the_answers(self):
        answers = make_answers(n_engines=40, n_workspaces=5, n_models=2)
        text = answers_text(answers)
        reordered = yaml.safe_dump(yaml.safe_load(text), sort_keys=True)

        def generate(text):
            loaded = load_questionnaire(text, place="answers")
            return generate_configuration(loaded, revision=1)

        assert dump_configuration(generate(text)) == dump_configuration(generate(text))
        assert set(generate(text).groups) == set(generate(reordered).groups)

    def test_configuration_survives_encoding_and_decoding(self):
        loaded = load_questionnaire(answers_text(make_answers()), place="answers")
        configuration = generate_configuration(loaded, revision=3, author="ana")
        assert load_configuration(dump_configuration(configuration)) == configuration
