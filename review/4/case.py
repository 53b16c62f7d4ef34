"""A stream that ends within an event, as its engine crashes, comes out as complete."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))

from deployment import CannotRunError, configuration, has_trouble, route, run_case

N_NODES = 2
# One of eight is a share of 0.125; the site's largest for this service is 0.14.
N_ENGINES = 8
N_CLIENTS = 48
N_EVENTS = 20
# An event comes every 100 ms; its second half 90 ms after the first one.
GAP_S = 0.01
INSIDE_S = 0.09
CRASH_AFTER_S = 1.0


async def play(deployment):
    """Kill one engine under its streams, which have no length."""
    routes = [route("chat", "streaming", service="app")]
    await deployment.put("op/config", configuration(1, routes, {"app": None}))
    engines = [
        await deployment.start_engine(
            f"i-app-{number}",
            "app",
            n_events=N_EVENTS,
            gap_s=GAP_S,
            inside_s=INSIDE_S,
            is_framed=False,
        )
        for number in range(N_ENGINES)
    ]
    nodes = [
        deployment.add_node(f"edge-a-{number}") for number in range(1, 1 + N_NODES)
    ]
    for node in nodes:
        await deployment.start_node(node)
    for node in nodes:
        await deployment.await_ready(node)
    await asyncio.sleep(1.5)
    asked = []
    for number in range(N_CLIENTS):
        asked.append(asyncio.create_task(_ask(deployment, nodes[number % N_NODES])))
        await asyncio.sleep(0.005)
    await asyncio.sleep(CRASH_AFTER_S)
    if has_trouble():
        deployment.say("engine crashes", id="i-app-0")
        engines[0][1].kill()
    answers = await asyncio.gather(*asked)
    deployment.keep_logs(nodes)
    runs = [e for e in deployment.engine_events() if e["event"] == "run"]
    crashed = {run["request"] for run in runs if run["by"] == "i-app-0"}
    if not crashed:
        raise CannotRunError("the first engine ran no stream")
    whole = [a for a in answers if a.status == 200 and a.end == "whole"]
    cut = [a for a in whole if not a.body.endswith(b"\n\n")]
    short = [a for a in whole if a.event_ids() != list(range(1, N_EVENTS + 1))]
    faults = [
        f"{answer.request} is whole and ends with {answer.body[-18:]!r}"
        for answer in cut
    ]
    n_others = len([a for a in short if a not in cut])
    text = (
        f"{len(cut)} of {len(crashed)} streams of the first engine came out as "
        f"complete and end within an event, {n_others} more lack their last events; "
        f"{len(whole)} of {N_CLIENTS} answers are complete; {'; '.join(faults[:2])}"
    )
    # Only the streams that end within an event show that they aren't whole.
    return not cut, text


async def _ask(deployment, node):
    headers = [
        ("X-Model", "m"),
        ("X-Token-Counts", "500,100"),
        ("X-Prompt-Prefix", "5c1e07a2:40,91bd3f06:460"),
        ("X-Time-Remaining", "10000"),
    ]
    return await deployment.ask(node, "POST", "/chat/1", headers=headers)


if __name__ == "__main__":
    run_case(__file__, play)
