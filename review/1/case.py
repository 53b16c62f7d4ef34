"""Once the last key of the configuration is revoked, every key is let in."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))

from deployment import KEY, CannotRunError, configuration, has_trouble, route, run_case

# No configuration of this case ever holds it.
MADE_UP_KEY = "key-that-nobody-was-given"
N_REQUESTS = 5
# The configuration must be in force after `configurationMs`, 2 s; this is twice that.
WAIT_S = 4.0


async def play(deployment):
    """Revoke the only key, and send requests with it and with a made-up one."""
    routes = [
        route("stock", "idempotent", service="app"),
        route("order", "non_idempotent", service="app", attempts=1),
    ]
    before = configuration(1, routes, {"app": None})
    await deployment.put("op/config", before)
    await deployment.start_engine("i-app", "app")
    nodes = [deployment.add_node(f"edge-a-{number}") for number in (1, 2)]
    for node in nodes:
        await deployment.start_node(node)
    for node in nodes:
        await deployment.await_ready(node)
    await asyncio.sleep(1.5)
    for node in nodes:
        allowed = await deployment.ask(node, "GET", "/stock/1", headers=_headers())
        refused = await deployment.ask(
            node, "GET", "/stock/1", headers=_headers(), key=MADE_UP_KEY
        )
        if (allowed.status, refused.status) != (200, 401):
            raise CannotRunError(f"{allowed.status} and {refused.status} at the start")
    if has_trouble():
        after = configuration(2, routes, {"app": None})
        after["tenants"][0]["keys"] = []
        await deployment.put("op/config", after)
    await asyncio.sleep(WAIT_S)
    tries = [(node, key) for node in nodes for key in (KEY, MADE_UP_KEY)]
    faults = []
    for node, key in tries * N_REQUESTS:
        answer = await deployment.ask(
            node, "POST", "/order/1", headers=_headers(), body=b"x", key=key
        )
        must_be = 401 if has_trouble() or key == MADE_UP_KEY else 200
        runs = [e for e in deployment.engine_events() if e["event"] == "run"]
        has_run = any(run["request"] == answer.request for run in runs)
        if answer.status != must_be or (has_run and must_be == 401):
            kind = "revoked" if key == KEY else "made-up"
            faults.append(f"{node.name} {kind} key: {answer.status}, run: {has_run}")
    deployment.keep_logs(nodes)
    count = len(tries) * N_REQUESTS
    text = f"{len(faults)} of {count} requests were handled wrongly: "
    return not faults, text + "; ".join(sorted(set(faults)))


def _headers():
    return [("X-Time-Remaining", "4000")]


if __name__ == "__main__":
    run_case(__file__, play)
