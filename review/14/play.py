"""Prompts with a part that crashes engines arrive five at a time, every 4 s."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "bed-3"))

import bed as b

N_ENGINES, N_NODES = 12, 2
N_AT_ONCE, N_GROUPS, GROUP_EVERY_S = 5, 4, 4.0
SOUND_PER_S = 16.0
DOWN_S = 3.0
CONTACT_S = 3.0
MAX_LATER = 3
CRASHING_PART = "deadbeef"
BEGINS_S, PIECE_S, N_PIECES = 0.03, 0.05, 30


async def play(bed):
    """Return whether at most three requests reach engines once the part is known."""
    crashes, crashing_arrivals = [], []

    async def bring_back(engine):
        await asyncio.sleep(DOWN_S)
        engine.born = int(time.time() * 1000)
        await engine.start()

    async def respond(engine, request, _reader, writer):
        attempt = request.header("x-attempt-id")
        parts = request.header("x-prompt-prefix", "").split(",")[:-1]
        ends = any(part.startswith(CRASHING_PART) for part in parts)
        if ends:
            crashing_arrivals.append((bed.now(), attempt))
            bed.note(f"{engine.id} gets {attempt}, with the part")
        await asyncio.sleep(BEGINS_S)
        if ends and b.TROUBLE and writer in engine.open_writers:
            crashes.append(bed.now())
            engine.crash()
            asyncio.create_task(bring_back(engine))
            return False
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += ["Transfer-Encoding: chunked"]
        lines += [f"{k}: {v}" for k, v in engine.answer_headers(request)]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(request.header("last-event-id", "0")) + 1
        for number in range(first, N_PIECES + 1):
            await asyncio.sleep(PIECE_S)
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if writer not in engine.open_writers:
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    routes = [
        b.route("ask", "model", "streaming", resumable=True, targetGapMs=250),
        b.route("once", "model", "streaming", targetGapMs=250),
    ]
    bed.store.put("op/config", b.configuration(7, routes, engines=["model"]))
    for number in range(N_ENGINES):
        zone = f"zone-{'abc'[number % 3]}"
        engine = b.Endpoint(
            bed, f"engine-{number}", "model", zone=zone, respond=respond
        )
        await engine.start()
    nodes = [
        await bed.start_node(f"edge-{zone}", zone=f"zone-{zone}")
        for zone in "abc"[:N_NODES]
    ]
    await bed.await_ready(nodes)
    await asyncio.sleep(3.5)
    calls, numbers = [], iter(range(10_000))

    async def request(number, part):
        attempt = f"{number:016x}"
        path = "ask" if part == CRASHING_PART else "once"
        headers = [
            ("X-Model", "m"),
            ("X-Token-Counts", "500,1020"),
            ("X-Prompt-Prefix", f"{part}:40,{number + 4096:08x}:460"),
        ]
        answer = await b.call(
            nodes[number % N_NODES].address, "POST", f"/{path}/{number}", attempt,
            timeout_s=10.0, headers=headers, body=b"%d" % number,
        )  # fmt: skip
        bed.note(f"client {attempt}: {part}, {answer.status} {answer.is_complete}")
        return part, answer.status == 200 and answer.is_complete

    for _ in range(N_GROUPS):
        for _ in range(N_AT_ONCE):
            calls.append(asyncio.create_task(request(next(numbers), CRASHING_PART)))
        for _ in range(int(GROUP_EVERY_S * SOUND_PER_S)):
            await asyncio.sleep(1.0 / SOUND_PER_S)
            calls.append(asyncio.create_task(request(next(numbers), "50bada")))
    outcomes = await asyncio.gather(*calls)
    sound = [is_served for part, is_served in outcomes if part != CRASHING_PART]
    bed.note(f"{len(crashes)} crashes; {sum(sound)} of {len(sound)} sound ones served")
    if len(crashes) < 5:
        return True
    known_at = sorted(crashes)[4] + CONTACT_S
    n_later = sum(at > known_at for at, _ in crashing_arrivals)
    bed.note(
        f"fifth crash at {sorted(crashes)[4]:.3f}; {n_later} requests with the part "
        f"reached engines later than {CONTACT_S} s after it; {MAX_LATER} are allowed"
    )
    return n_later <= MAX_LATER


if __name__ == "__main__":
    b.run_case(Path(__file__).parent, play)
