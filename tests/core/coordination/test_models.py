import sys
from pathlib import Path

import pytest
from minicheck import check_safety

SPECS = Path(__file__).parents[3] / "specs"


@pytest.fixture(scope="module")
def models():
    sys.path.insert(0, str(SPECS))
    try:
        import outage
        import permits

        yield permits, outage
    finally:
        sys.path.remove(str(SPECS))


def check_protocol(protocol, *, max_states):
    result = check_safety(protocol, max_states=max_states)
    properties = result["properties"].items()
    return result["exhaustive"], {name: each["holds"] for name, each in properties}


def is_refuted(protocol, name):
    """Search for a violation of one invariant and stop at the first one."""
    holds = protocol.invariants[name]
    transitions = protocol.transitions
    violated = []

    def record_violation(values):
        if not holds(values):
            violated.append(values)
            return False
        return True

    protocol.invariants = {name: record_violation}
    protocol.transitions = lambda state: [] if violated else transitions(state)
    return check_protocol(protocol, max_states=200_000)[1] == {name: False}


# Listed by name, so that removing a mutation from a model fails the tests.
PERMIT_MUTATIONS = (
    "no_cold_wait",
    "tenure_ignored",
    "tenure_from_answer",
    "late_permit_used",
    "request_time_renewed",
    "listing_before_wait",
    "role_regained",
    "write_without_compare",
    "lower_fence_accepted",
)
OUTAGE_MUTATIONS = (
    "wait_not_confirmed",
    "always_prompt",
    "isolation_forgotten",
    "extension_without_majority",
    "extension_despite_news",
    "provisional_grants_cold",
    "provisional_without_majority",
    "fence_not_raised",
)


class TestPermits:
    @pytest.mark.parametrize("checks_fencing", [True, False])
    def test_work_stays_within_limit_with_paused_holder(self, models, checks_fencing):
        permits, _ = models
        protocol = permits.make_protocol(checks_fencing=checks_fencing, pausing=(0,))
        exhaustive, holds = check_protocol(protocol, max_states=200_000)
        assert exhaustive
        assert holds == dict.fromkeys(protocol.invariants, True)

    @pytest.mark.parametrize("mutation", PERMIT_MUTATIONS)
    def test_mutation_is_refuted(self, models, mutation):
        permits, _ = models
        checks_fencing, name = permits.MUTATIONS[mutation]
        protocol = permits.make_protocol(
            checks_fencing=checks_fencing, mutation=mutation, pausing=()
        )
        assert is_refuted(protocol, name)


class TestOutage:
    def test_cold_grants_are_separated_in_time_around_an_outage(self, models):
        _, outage = models
        protocol = outage.make_protocol()
        exhaustive, holds = check_protocol(protocol, max_states=200_000)
        assert exhaustive
        assert holds == dict.fromkeys(protocol.invariants, True)

    @pytest.mark.parametrize("mutation", OUTAGE_MUTATIONS)
    def test_mutation_is_refuted(self, models, mutation):
        _, outage = models
        name = outage.MUTATIONS[mutation]
        assert is_refuted(outage.make_protocol(mutation=mutation), name)
