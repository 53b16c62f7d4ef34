"""Stand-in of an engine or of a plain service, as PROTOCOL.md describes them.

Usage: ``engine.py SETTINGS``, a JSON object with the fields of `Settings`. It registers
itself in the stand-in of the store and writes a line of JSON for each thing that it
does to ``record``.
"""

import asyncio
import json
import sys
import time
from dataclasses import dataclass

from http11 import (
    BrokenMessageError,
    Server,
    call,
    encode_head,
    encode_json,
    encode_response,
)

HEARTBEAT_S = 1.2
HELPER_CHECK_S = 0.05
MAX_HOLD_MS = 20_000


@dataclass(kw_only=True)
class Settings:
    """What an engine is, and how it answers.

    A request with ``X-Token-Counts`` is a stream of ``n_events`` events that are
    ``gap_s`` apart, the first one after ``first_s``; another one is answered after
    ``work_s``. ``stall_s`` is how long work stalls that depends on an engine which is
    dead. A stream that is not a resumed one is preempted after event
    ``preempted_after``, if that is not 0, and goes on once it has been read again,
    ``preempted_s`` later. A stream that is not ``is_framed`` has no length and no
    chunks, and ends with its connection. An event is sent in two halves that are
    ``inside_s`` apart, or at once if that is 0.
    """

    id: str
    service: str
    address: str
    store: str
    record: str
    zone: str = "zone-a"
    slots: int = 8
    kv_total: int = 405_000
    n_events: int = 20
    gap_s: float = 0.1
    first_s: float = 0.05
    work_s: float = 0.05
    preempted_after: int = 0
    preempted_s: float = 0.0
    is_framed: bool = True
    inside_s: float = 0.0
    stall_s: float = 1.5


class Engine:
    """One engine process."""

    def __init__(self, settings):
        self._settings = settings
        self._tickets = {}
        self._state = "ready"
        self._sequence = 0
        self._n_running = 0
        self._record_file = open(settings.record, "a", buffering=1)  # noqa: SIM115

    def note(self, event, **fields):
        """Write a line of the record."""
        line = {"at": time.time(), "by": self._settings.id, "event": event, **fields}
        self._record_file.write(json.dumps(line) + "\n")

    async def beat(self):
        """Write the entry in the store every heartbeat, until cancelled."""
        settings = self._settings
        while True:
            entry = {
                "service": settings.service,
                "address": settings.address,
                "zone": settings.zone,
                "version": "v1",
                "slots": settings.slots,
                "state": self._state,
                "coldRemainingMs": 0,
                "sequence": self._sequence,
            }
            content = {
                "key": f"servers/{settings.id}",
                "text": json.dumps(entry),
                "ttlS": 3 * HEARTBEAT_S,
            }
            try:
                await call(settings.store, "POST", "/standin/put", content=content)
            except (OSError, BrokenMessageError, TimeoutError) as error:
                self.note("not registered", cause=repr(error))
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, message, writer):
        """Answer one request."""
        method, target, _ = message.start.split(" ", 2)
        path = target.split("?")[0]
        if path == "/health":
            status = 200 if self._state == "ready" else 503
            return encode_response(status, self._own_headers(), b"")
        if path == "/savoryhill/report":
            return encode_json(200, self._report())
        if path.startswith("/standin/ticket/"):
            return encode_json(200, self._tell_ticket(path.rsplit("/", 1)[1]))
        expected = message.header("x-expected-instance")
        if expected not in (None, self._settings.id):
            self.note("421", expected=expected, target=target)
            return encode_response(421, self._own_headers(), b"")
        if path == "/savoryhill/order":
            return await self._order(message.json())
        return await self._run(method, target, message, writer)

    def _own_headers(self):
        return [("X-Instance-Id", self._settings.id)]

    def _report(self):
        now = time.monotonic()
        tickets = [
            {"id": name, "tokens": tokens, "state": "held", "ageMs": 0}
            for name, (tokens, ends_at) in self._tickets.items()
            if ends_at > now
        ]
        return {
            "stage": "combined",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self._sequence,
            "queueDepth": 0,
            "activeRequests": self._n_running,
            "kvUsed": sum(ticket["tokens"] for ticket in tickets),
            "kvTotal": self._settings.kv_total,
            "handles": 0,
            "tickets": tickets,
        }

    def _tell_ticket(self, name):
        _, ends_at = self._tickets.get(name, (0, 0.0))
        is_held = ends_at > time.monotonic()
        return {"instance": self._settings.id, "held": is_held, "state": self._state}

    async def _order(self, order):
        now = time.monotonic()
        name, operation = order.get("id"), order.get("operation")
        self.note("order", operation=operation, id=name)
        self._tickets = {k: v for k, v in self._tickets.items() if v[1] > now}
        if operation == "release":
            self._tickets.pop(name, None)
            return encode_json(200, {"unused": 0})
        if operation != "reserve" or order["tokens"] > self._settings.kv_total:
            return encode_json(400, {})
        used = sum(tokens for k, (tokens, _) in self._tickets.items() if k != name)
        if used + order["tokens"] > self._settings.kv_total:
            return encode_json(409, {})
        hold_s = min(order["holdMs"], MAX_HOLD_MS) / 1000
        self._tickets[name] = (order["tokens"], now + hold_s)
        return encode_json(200, {"unused": order["tokens"]})

    async def _run(self, method, target, message, writer):
        attempt = message.header("x-attempt-id") or ""
        helpers = [h for h in (message.header("x-helpers") or "").split(",") if h]
        lost = await self._find_lost(await self._find_helpers(helpers), helpers)
        if lost:
            self.note("503", request=attempt, lost=lost)
            headers = [("X-Not-Executed", "1"), ("At-Server", lost)]
            return encode_response(503, [*headers, ("X-Attempt-Id", attempt)], b"")
        self.note(
            "run",
            request=attempt,
            method=method,
            target=target,
            helpers=helpers,
            last_event_id=message.header("last-event-id"),
            state=self._state,
        )
        self._n_running += 1
        try:
            headers = [
                ("X-Attempt-Id", attempt),
                ("X-Response-Signature", f"{self._settings.id}.{attempt}"),
            ]
            if message.header("x-token-counts") is not None:
                return await self._stream(message, attempt, headers, helpers, writer)
            await asyncio.sleep(self._settings.work_s)
            self.note("answered", request=attempt)
            return encode_response(200, headers, b"done " + attempt.encode())
        finally:
            self._n_running -= 1

    async def _find_helpers(self, helpers):
        """Return what each helper says of itself and of its ticket, None if nothing."""
        return [await self._ask_helper(helper) for helper in helpers]

    async def _ask_helper(self, helper):
        address, _, ticket = helper.partition("/")
        try:
            path = f"/standin/ticket/{ticket or '-'}"
            answer = await call(address, "GET", path, timeout_s=0.5)
        except (OSError, BrokenMessageError, TimeoutError):
            return None
        return answer.json()

    async def _find_lost(self, answers, helpers):
        """Return the first helper that is gone or lacks its ticket, or an empty one."""
        for answer, helper in zip(answers, helpers, strict=True):
            has_ticket = "/" in helper
            if answer is None or (has_ticket and not answer["held"]):
                return helper.partition("/")[0]
        return ""

    async def _stream(self, message, attempt, headers, helpers, writer):
        settings = self._settings
        framing = (
            ("Transfer-Encoding", "chunked")
            if settings.is_framed
            else ("Connection", "close")
        )
        headers = [*headers, ("Content-Type", "text/event-stream"), framing]
        helper_ids = [a["instance"] for a in await self._find_helpers(helpers) if a]
        last_id = int(message.header("last-event-id") or 0)
        await asyncio.sleep(settings.first_s)
        writer.write(encode_head("HTTP/1.1 200 OK", headers))
        for number in range(last_id + 1, settings.n_events + 1):
            if number > last_id + 1 and await self._is_cut(helpers, helper_ids, writer):
                self.note("cut", request=attempt, after=number - 1)
                return None
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            try:
                await self._send_event(event, writer)
            except OSError:
                self.note("caller gone", request=attempt, after=number - 1)
                return None
            self.note("event", request=attempt, number=number)
            if not last_id and number == settings.preempted_after:
                self.note("preempted", request=attempt, after=number)
                await asyncio.sleep(settings.preempted_s)
        self.note("stream whole", request=attempt)
        return b"0\r\n\r\n" if settings.is_framed else None

    async def _send_event(self, event, writer):
        half = len(event) // 2 if self._settings.inside_s else len(event)
        await self._send_part(event[:half], writer)
        if half < len(event):
            await asyncio.sleep(self._settings.inside_s)
            await self._send_part(event[half:], writer)

    async def _send_part(self, part, writer):
        is_framed = self._settings.is_framed
        writer.write(b"%x\r\n%b\r\n" % (len(part), part) if is_framed else part)
        await writer.drain()

    async def _is_cut(self, helpers, helper_ids, writer):
        """Wait for the next event; return whether the work is cut off before it.

        Work that depends on an engine that is dead stalls, and is cut off then.
        """
        ends_at = time.monotonic() + self._settings.gap_s
        while (left_s := ends_at - time.monotonic()) > 0:
            await asyncio.sleep(min(HELPER_CHECK_S, left_s))
            answers = await self._find_helpers(helpers)
            present_ids = [a["instance"] for a in answers if a]
            if present_ids != helper_ids:
                self.note("stalls", helpers=helpers, instances=present_ids)
                await asyncio.sleep(self._settings.stall_s)
                writer.transport.abort()
                return True
            if any(
                not a["held"] for a, h in zip(answers, helpers, strict=True) if "/" in h
            ):
                writer.transport.abort()
                return True
        return False


async def main(settings):
    """Serve until the process is ended."""
    engine = Engine(settings)
    server = await Server(handle=engine.handle).start(settings.address)
    engine.note("started", address=settings.address)
    async with server:
        await asyncio.gather(server.serve_forever(), engine.beat())


if __name__ == "__main__":
    asyncio.run(main(Settings(**json.loads(sys.argv[1]))))
