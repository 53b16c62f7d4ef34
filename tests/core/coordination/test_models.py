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


def verdicts(protocol, *, max_states):
    result = check_safety(protocol, max_states=max_states)
    properties = result["properties"].items()
    return result["exhaustive"], {name: each["holds"] for name, each in properties}


def refuted(protocol, name):
    """Search until the first violation instead of through all states."""
    holds = protocol.invariants[name]
    transitions = protocol.transitions
    violated = []

    def note_violation(values):
        if not holds(values):
            violated.append(values)
            return False
        return True

    protocol.invariants = {name: note_violation}
    protocol.transitions = lambda state: [] if violated else transitions(state)
    return verdicts(protocol, max_states=200_000)[1] == {name: False}


# Names are repeated here, so that a mutation that vanishes from a model is noticed.
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
    def test_work_stays_within_the_limit_with_a_paused_holder(
        self, models, checks_fencing
    ):
        permits, _ = models
        protocol = permits.make_protocol(checks_fencing=checks_fencing, pausing=(0,))
        exhaustive, holds = verdicts(protocol, max_states=200_000)
        assert exhaustive
        assert holds == dict.fromkeys(protocol.invariants, True)

    @pytest.mark.parametrize("mutation", PERMIT_MUTATIONS)
    def test_every_mutation_is_refuted(self, models, mutation):
        permits, _ = models
        checks_fencing, name = permits.MUTATIONS[mutation]
        protocol = permits.make_protocol(
            checks_fencing=checks_fencing, mutation=mutation, pausing=()
        )
        assert refuted(protocol, name)


class TestOutage:
    def test_cold_grants_are_apart_around_an_outage(self, models):
        _, outage = models
        protocol = outage.make_protocol()
        exhaustive, holds = verdicts(protocol, max_states=200_000)
        assert exhaustive
        assert holds == dict.fromkeys(protocol.invariants, True)

    @pytest.mark.parametrize("mutation", OUTAGE_MUTATIONS)
    def test_every_mutation_is_refuted(self, models, mutation):
        _, outage = models
        name = outage.MUTATIONS[mutation]
        assert refuted(outage.make_protocol(mutation=mutation), name)
