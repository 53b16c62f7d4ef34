"""Case: a part that crashes engines is not found in prompts of many parts."""

import os
import sys

from standins2.crashing_parts import play
from standins2.deployment import run_case

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Of each prompt; a header of 13 bytes for each part, of 16,384 that are allowed.
N_PARTS = int(os.environ.get("PARTS", "100"))


async def run(deployment):
    """Play the case; return whether the rule was broken."""
    return await play(deployment, n_parts=N_PARTS, has_trouble=HAS_TROUBLE)


if __name__ == "__main__":
    sys.exit(run_case(run, __file__))
