"""A part of prompts crashes each engine that begins to write an answer on it."""

import asyncio
import itertools
import time

from standins2.deployment import ENGINE, Endpoint, call, make_route, make_service
from standins2.messages import encode_response, reset, serve

# The rule and its figures.
CONTACT_S = 3.0
COUNTED_CRASHES = 5
MOST = 3
# An engine is back after some seconds.
DOWN_S = 2.5
CRASHING_PART = "dead0001"
SOUND_PART = "b0000000"
TRAFFIC_AT_S = 3.0
CRASHES_AT_S = 5.0
ENDS_AT_S = 40.0
SOUND_INTERVAL_S = 0.25
CRASHING_INTERVAL_S = 1.0
N_ENGINES = 12
N_EVENTS = 30
FIRST_EVENT_S = 0.15
EVENT_INTERVAL_S = 0.03


class Engine(Endpoint):
    """An engine that crashes when it begins to write an answer on the part.

    ``arrived_at`` holds when requests with the part have arrived at any engine, and
    ``crashed_at`` when any has crashed. It has sent ``n_written`` events by then.
    """

    def __init__(self, deployment, *, name, zone, arrived_at, crashed_at, n_written):
        super().__init__(
            deployment,
            name=name,
            service="pool",
            zone=zone,
            respond=self._answer,
            slots=8,
        )
        self._arrived_at, self._crashed_at = arrived_at, crashed_at
        self._n_written = n_written
        self._open, self._is_down = set(), False

    async def _answer(self, _endpoint, request, _reader, writer):
        attempt = request.header("x-attempt-id", "")
        if request.target == "/savoryhill/order":
            writer.write(encode_response(200, [], b'{"unused":0}'))
            return True
        has_part = CRASHING_PART in request.header("x-prompt-prefix", "")
        self._deployment.note(f"{self.name}: {attempt} arrives")
        if has_part:
            self._arrived_at.append(self._deployment.now())
        self._open.add(writer)
        try:
            await asyncio.sleep(FIRST_EVENT_S)
            if has_part and not self._is_down:
                if self._n_written:
                    await self._stream(request, writer, self._n_written)
                self._crash(attempt)
            if self._is_down:
                return False
            await self._stream(request, writer, N_EVENTS)
            writer.write(b"0\r\n\r\n")
            return True
        finally:
            self._open.discard(writer)

    async def _stream(self, request, writer, n_events):
        headers = [
            ("X-Attempt-Id", request.header("x-attempt-id", "")),
            ("X-Response-Signature", f"{self.name}.{self.born}"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(encode_response(200, headers, is_sized=False))
        first = int(request.header("last-event-id", "0")) + 1
        for number in range(first, min(first + n_events, N_EVENTS + 1)):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)

    def _crash(self, attempt):
        """Reset all connections and refuse new ones; come back as a new start."""
        self._is_down = True
        self._crashed_at.append(self._deployment.now())
        self._deployment.note(f"{self.name} crashes under {attempt}")
        self.server.close()
        for writer in list(self._open):
            reset(writer)
        self._returning = asyncio.create_task(self._return())

    async def _return(self):
        await asyncio.sleep(DOWN_S)
        host, _, port = self.address.rpartition(":")
        self.server = await serve(self._handle, host, int(port))
        self.born, self.sequence = int(time.time() * 1000), 0
        self._is_down = False
        self.register()
        self._deployment.note(f"{self.name} is back")


def _headers(kind, number, n_parts):
    """Return the headers of a request whose prompt has so many parts."""
    shared = [f"{0xA0000000 + part:08x}:10" for part in range(n_parts - 2)]
    middle = CRASHING_PART if kind == "crashing" else SOUND_PART
    parts = [*shared, f"{middle}:40", f"{0xC0000000 + number:08x}:200"]
    return [
        ("X-Attempt-Id", f"{kind}-{number:04}"),
        ("X-Model", "m"),
        ("X-Token-Counts", f"{10 * len(shared) + 240},60"),
        ("X-Prompt-Prefix", ",".join(parts)),
        ("X-Time-Remaining", "10000"),
    ]


async def start(deployment, arrived_at, crashed_at, n_written=0):
    """Start nodes and engines; the other arguments are those of `Engine`."""
    routes = [
        make_route(
            name,
            "streaming",
            "pool",
            timeoutMs=10_000,
            targetLatencyMs=300,
            targetGapMs=250,
            resumable=is_resumable,
            sessionAffinity=True,
        )
        for name, is_resumable in (("chat", True), ("once", False))
    ]
    await deployment.start(
        routes=routes,
        services=[make_service("pool", engine=ENGINE)],
        zones=["zone-a", "zone-b"],
        n_nodes=2,
    )
    for number in range(N_ENGINES):
        engine = Engine(
            deployment,
            name=f"i-{number}",
            zone=f"zone-{'ab'[number % 2]}",
            arrived_at=arrived_at,
            crashed_at=crashed_at,
            n_written=n_written,
        )
        await engine.start(f"{deployment.base}.2")
    for node in deployment.nodes:
        node.start()
    await deployment.await_ready()
    deployment.note("all nodes are ready")


async def play(deployment, *, n_parts, has_trouble, n_written=0):
    """Play sound requests, and requests with the part, at all machines.

    Half of the sound ones may not run more than once.

    Parameters
    ----------
    deployment : Deployment
        The deployment, not started yet.
    n_parts : int
        Parts of each prompt.
    has_trouble : bool
        Whether there are requests with the part.
    n_written : int
        Events that an engine has sent when it crashes.

    Returns
    -------
    bool
        Whether the rule was broken.
    """
    arrived_at, crashed_at = [], []
    await start(deployment, arrived_at, crashed_at, n_written)
    counts, numbers = {}, itertools.count(1)

    async def send(node, kind):
        number = next(numbers)
        route = "once" if kind == "sound" and number % 2 else "chat"
        answer = await call(
            f"{node.host}:{node.ports['frontend']}",
            "POST",
            f"/{route}/{number}",
            _headers(kind, number, n_parts),
            b"prompt",
            timeout_s=10.0,
        )
        status = answer.status if answer else "none"
        counts[kind, route, status] = counts.get((kind, route, status), 0) + 1
        deployment.note(f"client: {kind}-{number:04} at {node.name} gets {status}")

    tasks, nodes = set(), itertools.cycle(deployment.nodes)
    sound_at, crashing_at = TRAFFIC_AT_S, CRASHES_AT_S
    while deployment.now() < ENDS_AT_S:
        if deployment.now() >= sound_at:
            sound_at += SOUND_INTERVAL_S
            tasks.add(asyncio.create_task(send(next(nodes), "sound")))
        if has_trouble and deployment.now() >= crashing_at:
            crashing_at += CRASHING_INTERVAL_S
            tasks.add(asyncio.create_task(send(next(nodes), "crashing")))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    late = []
    if len(crashed_at) >= COUNTED_CRASHES:
        counted_from = crashed_at[COUNTED_CRASHES - 1] + CONTACT_S
        late = [at for at in arrived_at if at > counted_from]
    text = (
        f"{n_parts} parts: {len(crashed_at)} crashes; {len(late)} requests with the "
        f"part reached engines later than {CONTACT_S:g} s after crash "
        f"{COUNTED_CRASHES}; allowed: {MOST}"
    )
    n_lost = sum(
        n
        for (kind, _, status), n in counts.items()
        if kind == "sound" and status != 200
    )
    text += f"; {n_lost} sound requests were not served"
    deployment.note(f"answers: {counts}")
    deployment.note(text)
    print(text)
    return len(late) > MOST
