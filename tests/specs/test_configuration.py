import importlib.util
from pathlib import Path

import pytest

PATH = Path(__file__).parents[2] / "specs" / "configuration.py"
SPEC = importlib.util.spec_from_file_location("specs_configuration", PATH)
model = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(model)

# Two revisions instead of the three of the full run keep this test short.
SIZES = {model.acceptance: {}, model.spread: {"n_revisions": 2}}


class TestConfigurationModel:
    @pytest.mark.parametrize("build", SIZES, ids=lambda build: build.__name__)
    def test_every_property_holds_in_every_state(self, build, capsys):
        result, seconds = model.run(build, **SIZES[build])
        with capsys.disabled():
            n_states = result["reachable_states"]
            print(f" {build.__name__}: {n_states} states, {seconds:.1f} s ", end="")
        assert result["exhaustive"]
        held = {name: each["holds"] for name, each in result["properties"].items()}
        assert all(held.values()), held

    @pytest.mark.parametrize(
        ("build", "mutation", "name"),
        model.MUTATIONS,
        ids=lambda each: getattr(each, "__name__", each),
    )
    def test_a_mutation_is_refuted(self, build, mutation, name):
        # Guards against a property that holds because the model cannot break it.
        result, _ = model.run(build, mutation, refute=name)
        assert result["properties"][name]["holds"] is False
