import pytest
import relay as model


class TestProtocol:
    @pytest.mark.parametrize("may_repeat", [False, True])
    def test_every_property_holds_in_all_states(self, may_repeat):
        result = model.check(may_repeat=may_repeat)
        assert result["exhaustive"]
        assert all(each["holds"] for each in result["properties"].values())


class TestMutations:
    @pytest.mark.parametrize("mutation", model.MUTATIONS)
    def test_every_mutation_is_refuted(self, mutation):
        # Guards against a property that holds only because no step can violate it.
        result = model.check(mutation=mutation)
        assert result["properties"][model.MUTATIONS[mutation]]["holds"] is False
