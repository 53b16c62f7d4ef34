"""A short soak of real processes, and the seeds that failed once.

Each regression seed has a line on its cause; a soak is not repeated exactly, because
processes run at their own pace.
"""

import os

import pytest

from savoryhill.soak.run import run_soak

REGRESSION_SEEDS = (
    # The check took a refusal before a key's removal for one after it.
    1,
)


class TestShortSoak:
    @pytest.mark.parametrize("seed", REGRESSION_SEEDS)
    def test_promises_hold(self, seed):
        result = run_soak(
            seed,
            length_s=30.0,
            n_nodes=3,
            n_engines=5,
            first_host=20 + os.getpid() % 200,
        )
        assert result.findings == [], result.folder
        assert result.n_answered > result.n_requests / 4
