import check_journal as model
import pytest


class TestProtocol:
    @pytest.mark.parametrize("scenario", model.SCENARIOS)
    def test_every_property_holds_in_all_states(self, scenario):
        result = model.check(model.SCENARIOS[scenario])
        assert result["exhaustive"]
        assert all(each["holds"] for each in result["properties"].values())


class TestMutations:
    @pytest.mark.parametrize("mutation", model.MUTATIONS)
    def test_every_mutation_is_refuted(self, mutation):
        result, trace = model.refute(mutation)
        assert trace, f"not refuted in {result['reachable_states']} states"
