"""Short soaks of real node processes, with seeds that failed before.

Each regression seed names the cause of its failure. A seed does not reproduce a soak
exactly, because the timing of the processes varies.
"""

import os

import pytest

from savoryhill.soak.run import run_soak

REGRESSION_SEEDS = (
    # The check counted a refusal before a key's revocation as one after it.
    1,
    # The check gave streams of all routes the time that clients of one route wait.
    622,
    # An endpoint's own failure cleared a request that ends endpoints.
    720,
    # The check counted from a request that an endpoint had left without an answer.
    752,
)


class TestShortSoak:
    @pytest.mark.parametrize("seed", REGRESSION_SEEDS)
    def test_invariants_hold(self, seed):
        result = run_soak(
            seed,
            length_s=30.0,
            n_nodes=3,
            n_engines=5,
            first_host=20 + os.getpid() % 200,
        )
        assert result.findings == [], result.folder
        assert result.n_answered > result.n_requests / 4
