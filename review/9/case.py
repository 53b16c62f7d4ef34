"""Case: a part is taken for sound as the engine has sent an event when it crashes."""

import os
import sys

from standins2.crashing_parts import play
from standins2.deployment import run_case

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Events that an engine has sent when it crashes.
N_WRITTEN = int(os.environ.get("WRITTEN", "1"))


async def run(deployment):
    """Play the case; return whether the rule was broken."""
    return await play(
        deployment, n_parts=3, has_trouble=HAS_TROUBLE, n_written=N_WRITTEN
    )


if __name__ == "__main__":
    sys.exit(run_case(run, __file__))
