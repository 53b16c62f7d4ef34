"""Case: sound requests that share five parts or more with crashing ones are refused."""

import asyncio
import itertools
import os
import sys

from standins2.crashing_parts import CONTACT_S, CRASHING_PART, SOUND_PART, start
from standins2.deployment import call, run_case

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Parts that sound requests and crashing ones have in common, besides the first.
N_SHARED = int(os.environ.get("SHARED", "8"))
# The rule and its figures.
N_COUNTED = 20
LEAST_SHARE = 0.5
SOUND_INTERVAL_S = 0.25
CRASHING_INTERVAL_S = 1.5
# Prompts on one text come first, those on another one later. The first ones of these
# crash engines.
FIRST_TEXT = (3.0, 11.0)
CRASHES_AT_S = 12.0
SECOND_TEXT = (14.0, 38.0)


def _headers(attempt, text, middle, number):
    """Return the headers of a request on a text."""
    shared = [f"{text}{part:06x}:300" for part in range(N_SHARED)]
    parts = ["f1570000:40", *shared, f"{middle}:40", f"{0xC0000000 + number:08x}:200"]
    return [
        ("X-Attempt-Id", attempt),
        ("X-Model", "m"),
        ("X-Token-Counts", f"{300 * N_SHARED + 280},60"),
        ("X-Prompt-Prefix", ",".join(parts)),
        ("X-Time-Remaining", "10000"),
    ]


async def run(deployment):
    """Play the case; return whether the rule was broken."""
    arrived_at, crashed_at = [], []
    await start(deployment, arrived_at, crashed_at)
    numbers, nodes = itertools.count(1), itertools.cycle(deployment.nodes)
    # When each sound request was sent, and whether it was served.
    sound, statuses = [], {}

    async def send(kind, text):
        number, node, sent_at = next(numbers), next(nodes), deployment.now()
        middle = CRASHING_PART if kind == "crashing" else SOUND_PART
        attempt = f"{kind}-{text}-{number:04}"
        answer = await call(
            f"{node.host}:{node.ports['frontend']}",
            "POST",
            f"/chat/{number}",
            _headers(attempt, text, middle, number),
            b"prompt",
            timeout_s=10.0,
        )
        status = answer.status if answer else "none"
        statuses[kind, text, status] = statuses.get((kind, text, status), 0) + 1
        if kind == "sound":
            sound.append((sent_at, status == 200))
        deployment.note(f"client: {attempt} at {node.name} gets {status}")

    tasks, sound_at, crashing_at = set(), FIRST_TEXT[0], CRASHES_AT_S
    while deployment.now() < SECOND_TEXT[1]:
        now = deployment.now()
        if now >= sound_at:
            sound_at += SOUND_INTERVAL_S
            if now < FIRST_TEXT[1]:
                tasks.add(asyncio.create_task(send("sound", "a0")))
            elif now >= SECOND_TEXT[0]:
                tasks.add(asyncio.create_task(send("sound", "b0")))
        if HAS_TROUBLE and now >= crashing_at:
            crashing_at += CRASHING_INTERVAL_S
            tasks.add(asyncio.create_task(send("crashing", "b0")))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    counted_from = crashed_at[:5][-1] + 2 * CONTACT_S if crashed_at else CRASHES_AT_S
    before = [is_served for sent_at, is_served in sound if sent_at < CRASHES_AT_S]
    after = [is_served for sent_at, is_served in sound if sent_at >= counted_from]
    text = (
        f"{len(crashed_at)} crashes, the last at {max(crashed_at, default=0.0):.1f} s; "
        f"sound requests served before: {sum(before)} of {len(before)}, "
        f"from {counted_from:.1f} s on: {sum(after)} of {len(after)}"
    )
    deployment.note(f"answers: {statuses}")
    deployment.note(text)
    print(text)
    if min(len(before), len(after)) < N_COUNTED:
        raise RuntimeError("too few sound requests")
    shares = [sum(each) / len(each) for each in (before, after)]
    return shares[1] < LEAST_SHARE * shares[0]


if __name__ == "__main__":
    sys.exit(run_case(run, __file__))
