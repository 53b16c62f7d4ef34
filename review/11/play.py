"""The endpoints of a zone crash at once while answers without a length are under way.

One of the two is slow, so that some of its requests have been repeated at the other
one, which has sent a part of its answer.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "bed-3"))

import bed as b

N_REQUESTS = 150
SPREAD_S = 0.2
DEADLINE_S = 4.0
# Before the first part of an answer, and between the first part and the second.
SLOW_S, USUAL_S, PART_S = 2.8, 0.0, 0.5
# Repeats begin 1.4 s after their requests.
CRASH_AT_S = 1.75
BODY = b"0123456789" * 80
HALF = len(BODY) // 2


async def respond(endpoint, request, _reader, writer):
    """Answer without a length, in two parts."""
    attempt = request.header("x-attempt-id")
    endpoint.bed.note(f"{endpoint.id} runs {attempt}")
    await asyncio.sleep(SLOW_S if endpoint.id == "slow" else USUAL_S)
    lines = ["HTTP/1.1 200 OK", "Connection: close"]
    lines += [f"{k}: {v}" for k, v in endpoint.answer_headers(request)]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + BODY[:HALF])
    await writer.drain()
    endpoint.bed.note(f"{endpoint.id} has sent half of its answer to {attempt}")
    await asyncio.sleep(PART_S)
    writer.write(BODY[HALF:])
    await writer.drain()
    endpoint.bed.note(f"{endpoint.id} has answered {attempt}")
    return False


async def play(bed):
    """Return whether no client got a part of an answer as a whole one."""
    route = b.route("stock", "shop", "idempotent", timeoutMs=4000, targetLatencyMs=400)
    bed.store.put("op/config", b.configuration(7, [route], plain=["shop"]))
    endpoints = [
        b.Endpoint(bed, name, "shop", zone=zone, slots=40, respond=respond)
        for name, zone in (("slow", "zone-a"), ("usual", "zone-a"), ("far", "zone-b"))
    ]
    for endpoint in endpoints:
        await endpoint.start()
    nodes = [
        await bed.start_node(f"edge-{zone}", zone=f"zone-{zone}") for zone in "abc"
    ]
    await bed.await_ready(nodes)
    await asyncio.sleep(1.0)
    answers = {}

    async def request(number):
        attempt = f"{number:016x}"
        answers[attempt] = await b.call(
            nodes[0].address, "GET", f"/stock/{number}", attempt, timeout_s=DEADLINE_S
        )

    calls = []
    for number in range(N_REQUESTS):
        calls.append(asyncio.create_task(request(number)))
        await asyncio.sleep(SPREAD_S / N_REQUESTS)
    await asyncio.sleep(CRASH_AT_S - SPREAD_S)
    if b.TROUBLE:
        for endpoint in endpoints:
            if endpoint.zone == "zone-a":
                endpoint.crash()
    await asyncio.gather(*calls)
    n_partial = 0
    for attempt, answer in answers.items():
        is_partial = answer.status == 200 and answer.is_complete and answer.body != BODY
        n_partial += is_partial
        bed.note(
            f"client {attempt}: {answer.status}, {len(answer.body)} of {len(BODY)} "
            f"bytes, signed {answer.header('x-response-signature') is not None}, "
            f"looks complete {answer.is_complete} {answer.cause}"
            + (" MIXED" if is_partial else "")
        )
    n_whole = sum(answer.body == BODY for answer in answers.values())
    bed.note(f"{n_whole} whole answers, {n_partial} parts as whole answers")
    return n_partial == 0


if __name__ == "__main__":
    b.run_case(Path(__file__).parent, play)
