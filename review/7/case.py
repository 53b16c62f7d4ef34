"""Case: a stream that falls silent for a moment is ended for a repeat that is refused.

The node that serves it gets SIGTERM meanwhile. The other endpoint is full.
"""

import asyncio
import os
import signal
import sys

from standins2.deployment import HOST_NAME, Endpoint, make_route, make_service, run_case
from standins2.messages import encode, encode_response, read_chunks, read_head

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A sound endpoint may fall silent for a second or so and go on.
SILENCE_S = float(os.environ.get("SILENCE", "1.6"))
SLOTS = 6
N_STREAMS = 2 * SLOTS
N_EVENTS = 25
EVENT_INTERVAL_S = 0.1
SILENT_AFTER_EVENT = 4
STREAMS_AT_S = 5.0
STOP_AT_S = 5.2
GRACE_S = 8.0


class StreamEndpoint(Endpoint):
    """An endpoint that writes so many streams at once as it has slots."""

    def __init__(self, deployment, *, name, zone, silence_s):
        super().__init__(
            deployment,
            name=name,
            service="app",
            zone=zone,
            respond=self._answer,
            slots=SLOTS,
        )
        self._silence_s = silence_s
        self._n_running = 0

    async def _answer(self, _endpoint, request, _reader, writer):
        attempt = request.header("x-attempt-id", "")
        headers = [("X-Attempt-Id", attempt)]
        load = ("X-Server-Load", f"{self._n_running},0,{SLOTS}")
        if self._n_running >= SLOTS:
            self._deployment.note(f"{self.name}: {attempt} is refused, full")
            refusal = [*headers, load, ("X-Not-Executed", "1")]
            writer.write(encode_response(503, refusal))
            return True
        self._deployment.note(f"{self.name}: {attempt} runs")
        self._n_running += 1
        headers += [
            load,
            ("X-Response-Signature", f"{self.name}.1"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        try:
            writer.write(encode_response(200, headers, is_sized=False))
            first = int(request.header("last-event-id", "0")) + 1
            for number in range(first, N_EVENTS + 1):
                await asyncio.sleep(EVENT_INTERVAL_S)
                if number == SILENT_AFTER_EVENT + 1 and HAS_TROUBLE:
                    await asyncio.sleep(self._silence_s)
                if writer.transport.is_closing():
                    self._deployment.note(f"{self.name}: {attempt} was closed")
                    return False
                event = b"id: %d\ndata: piece %d\n\n" % (number, number)
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            self._deployment.note(f"{self.name}: {attempt} is complete")
            return True
        finally:
            self._n_running -= 1


async def _read_stream(node, attempt):
    """Send a request; return the status, the events and whether the answer ended."""
    reader, writer = await asyncio.open_connection(node.host, node.ports["frontend"])
    headers = [
        ("Host", HOST_NAME),
        ("X-Attempt-Id", attempt),
        ("X-Time-Remaining", "10000"),
    ]
    writer.write(encode(f"POST /report/{attempt} HTTP/1.1", headers, b"question"))
    body = b""
    try:
        async with asyncio.timeout(12.0):
            head = await read_head(reader)
            if head is None:
                return "none", 0, False
            if head.status != 200:
                return head.status, 0, True
            async for piece in read_chunks(reader):
                body += piece
            return 200, body.count(b"\n\n"), True
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
        return 200, body.count(b"\n\n"), False
    finally:
        writer.close()


async def run(deployment):
    """Play the case; return whether the rule was broken."""
    route = make_route(
        "report",
        "streaming",
        "app",
        timeoutMs=10_000,
        targetLatencyMs=300,
        targetGapMs=250,
        resumable=True,
    )
    await deployment.start(
        routes=[route],
        services=[make_service("app")],
        zones=["zone-a"],
        n_nodes=2,
    )
    for number, silence_s in enumerate((SILENCE_S, 0.0)):
        endpoint = StreamEndpoint(
            deployment, name=f"i-{number}", zone="zone-a", silence_s=silence_s
        )
        await endpoint.start(f"{deployment.base}.2")
    for node in deployment.nodes:
        node.start()
    await deployment.await_ready()
    deployment.note("all nodes are ready")
    node = deployment.nodes[0]
    await asyncio.sleep(max(0.0, STREAMS_AT_S - deployment.now()))
    tasks = [
        asyncio.create_task(_read_stream(node, f"stream-{number:02}"))
        for number in range(N_STREAMS)
    ]
    await asyncio.sleep(max(0.0, STOP_AT_S - deployment.now()))
    if HAS_TROUBLE:
        deployment.note(f"{node.name} gets SIGTERM")
        node.signal(signal.SIGTERM)
    n_cut = n_whole = 0
    for number, task in enumerate(tasks):
        status, n_events, has_ended = await task
        outcome = "ended" if has_ended else "cut"
        deployment.note(
            f"client: stream-{number:02} {status}, {n_events} events, {outcome}"
        )
        n_cut += not has_ended
        n_whole += has_ended and status == 200 and n_events == N_EVENTS
    text = f"{n_whole} of {N_STREAMS} streams are whole, {n_cut} were cut"
    deployment.note(text)
    print(text)
    return bool(n_cut)


if __name__ == "__main__":
    sys.exit(run_case(run, __file__))
