"""Parts of prompts that end the engines that answer them."""

import pytest

N_ENGINES = 8
# Crashes after which it is certain that requests with the part end engines, and
# requests with it that may still reach engines.
CERTAIN_CRASHES = 5
MAX_LATER_ARRIVALS = 3


@pytest.fixture
def engines(deployment):
    """Engines that end when they begin to answer a prompt with the part ``dead``."""
    return [
        deployment.add_endpoint(
            f"e{n}", service="pool", zone=f"zone-{n % 3}", crashing_parts={"dead"}
        )
        for n in range(N_ENGINES)
    ]


def crash_times(engines):
    return sorted(at for engine in engines for _, at in engine.crashes)


def arrivals_of_part(engines, part):
    """Return the times at which requests with a part reached engines."""
    return sorted(
        arrival.at
        for engine in engines
        for arrival in engine.arrivals
        if part in dict(arrival.headers).get(b"x-prompt-prefix", b"")
    )


def ask_with_part(deployment, number, *, node=0):
    return deployment.ask(
        "/chat/x", node=node, x_prompt_prefix=f"aa:40,dead:900,{number:x}:60"
    )


def ask_sound(deployment, number, *, node=0):
    return deployment.ask(
        "/chat/x", node=node, x_prompt_prefix=f"aa:40,bb:900,{number:x}:60"
    )


class TestCrashingPart:
    def test_part_does_not_end_engine_after_engine(self, deployment, engines):
        # Guards against requests with one part that end back ends one after the other,
        # new ones and repeats, at all nodes.
        for _ in range(2):
            deployment.add_node()
        deployment.wait_until(
            lambda: any(node._dispatcher._link for node in deployment.nodes)
        )
        for number in range(16):
            ask_sound(deployment, number, node=number % 2)
            ask_with_part(deployment, number, node=number % 2)
        crashes = crash_times(engines)
        certain_at = [*crashes, float("inf")][:CERTAIN_CRASHES][-1]
        arrivals = arrivals_of_part(engines, b"dead")
        later = [at for at in arrivals if at > certain_at]
        assert len(later) <= MAX_LATER_ARRIVALS, f"{len(crashes)} engines ended"
