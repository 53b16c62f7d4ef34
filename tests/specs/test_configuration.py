import importlib.util
from pathlib import Path

import pytest

MODEL_PATH = Path(__file__).parents[2] / "specs" / "configuration.py"
MODEL_SPEC = importlib.util.spec_from_file_location("specs_configuration", MODEL_PATH)
configuration_model = importlib.util.module_from_spec(MODEL_SPEC)
MODEL_SPEC.loader.exec_module(configuration_model)

# The full run uses three revisions; two keep this test short.
SIZES_BY_MODEL = {
    configuration_model.acceptance: {},
    configuration_model.spread: {"n_revisions": 2},
}


class TestConfigurationModel:
    @pytest.mark.parametrize("build", SIZES_BY_MODEL, ids=lambda build: build.__name__)
    def test_every_property_holds_in_all_states(self, build, capsys):
        result, seconds = configuration_model.run(build, **SIZES_BY_MODEL[build])
        with capsys.disabled():
            n_states = result["reachable_states"]
            print(f" {build.__name__}: {n_states} states, {seconds:.1f} s ", end="")
        assert result["exhaustive"]
        verdicts = {name: each["holds"] for name, each in result["properties"].items()}
        assert all(verdicts.values()), verdicts

    @pytest.mark.parametrize(
        ("build", "mutation", "name"),
        configuration_model.MUTATIONS,
        ids=lambda each: getattr(each, "__name__", each),
    )
    def test_every_mutation_is_refuted(self, build, mutation, name):
        # Guards against a property that holds only because no step of the model can
        # violate it.
        result, _ = configuration_model.run(build, mutation, refute=name)
        assert result["properties"][name]["holds"] is False
