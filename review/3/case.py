"""A client that resumes a stream gets the events again that it has."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))

from deployment import (
    ENGINE,
    CannotRunError,
    configuration,
    has_trouble,
    route,
    run_case,
)

# One of seven is a share of 0.14; the site kills 0.16 at the most.
N_NODES = 7
N_CLIENTS = 24
N_EVENTS = 20
# A stream of the model engines lasts long enough for a node to be killed within it.
POOL_GAP_S = 0.15
# One of the plain service is over after 0.4 s.
APP_GAP_S = 0.02


async def play(deployment):
    """Kill a node under its streams; the clients resume them at other nodes."""
    split = [{"service": "pool", "weight": 50}, {"service": "app", "weight": 50}]
    routes = [route("chat", "streaming", trafficSplit=split)]
    services = {"pool": ENGINE, "app": None}
    await deployment.put("op/config", configuration(1, routes, services))
    for number in range(2):
        await deployment.start_engine(
            f"i-pool-{number}", "pool", n_events=N_EVENTS, gap_s=POOL_GAP_S, slots=16
        )
        await deployment.start_engine(
            f"i-app-{number}", "app", n_events=N_EVENTS, gap_s=APP_GAP_S, slots=16
        )
    nodes = [
        deployment.add_node(f"edge-a-{number}") for number in range(1, 1 + N_NODES)
    ]
    for node in nodes:
        await deployment.start_node(node)
    for node in nodes:
        await deployment.await_ready(node)
    await asyncio.sleep(1.5)
    asked = [
        asyncio.create_task(_ask(deployment, nodes[0], 0)) for _ in range(N_CLIENTS)
    ]
    await asyncio.sleep(1.2)
    if has_trouble():
        deployment.say("node is killed", node=nodes[0].name)
        nodes[0].signal(signal.SIGKILL)
    first = await asyncio.gather(*asked)
    broken = [answer for answer in first if answer.end != "whole"]
    resumed = [answer for answer in broken if answer.event_ids()]
    if has_trouble() and not resumed:
        raise CannotRunError("no stream was broken after its first event")
    again = await asyncio.gather(
        *(
            _ask(deployment, nodes[1 + index % (N_NODES - 1)], answer.event_ids()[-1])
            for index, answer in enumerate(resumed)
        )
    )
    faults = []
    for before, after in zip(resumed, again, strict=True):
        ids = before.event_ids() + after.event_ids()
        if after.status == 200 and len(ids) != len(set(ids)):
            twice = sorted(n for n in set(ids) if ids.count(n) > 1)
            faults.append(
                f"{after.request} resumed after event {before.event_ids()[-1]} and got "
                f"events {twice[0]} to {twice[-1]} again"
            )
    for answer in first:
        if answer not in broken and answer.event_ids() != list(range(1, N_EVENTS + 1)):
            faults.append(f"{answer.request} got events {answer.event_ids()}")
    deployment.keep_logs(nodes)
    text = (
        f"{len(faults)} of {N_CLIENTS} streams had events twice or missing, "
        f"{len(resumed)} were resumed; {'; '.join(faults[:4])}"
    )
    return not faults, text


async def _ask(deployment, node, last_id):
    headers = [
        ("X-Model", "m"),
        ("X-Token-Counts", "500,100"),
        ("X-Prompt-Prefix", "5c1e07a2:40,91bd3f06:460"),
        ("X-Time-Remaining", "10000"),
    ]
    if last_id:
        headers.append(("Last-Event-Id", str(last_id)))
    return await deployment.ask(node, "POST", "/chat/1", headers=headers)


if __name__ == "__main__":
    run_case(__file__, play)
