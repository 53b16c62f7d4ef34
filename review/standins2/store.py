"""Stand-in for the platform's metadata store."""

import asyncio
import contextlib
import json
import time
from base64 import b64decode, b64encode
from urllib.parse import parse_qs, urlsplit

from standins2.messages import encode_response, serve

PATH = "/savoryhill/kv-"
WRITES = ("txn", "lease", "keep", "lease-end")


class Store:
    """Rows, leases and history of the store.

    ``choose_loss(call, body)`` returns None, or after how many seconds a call is
    carried out whose answer is lost. ``on_write(call, is_lost, body)`` is called with
    each writing call.
    """

    def __init__(self):
        self.rows, self.history, self.revision = {}, [], 1
        self.leases, self.n_leases = {}, 0
        self.choose_loss = lambda call, body: None
        self.on_write = lambda call, is_lost, body: None
        self._changed = asyncio.Event()
        self.server = None

    async def start(self, host):
        """Start serving; return the address."""
        self.server = await serve(self._handle, host)
        self._expiry = asyncio.create_task(self._expire_leases())
        return f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def write(self, key, value, lease=0):
        """Write a row, as the operator or an endpoint does."""
        self.revision += 1
        created = self.rows.get(key, {}).get("created", self.revision)
        self.rows[key] = {
            "key": key,
            "value": b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self._note(self.rows[key])

    def remove(self, key):
        """Remove a row."""
        if self.rows.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [n for n, (ends, _) in self.leases.items() if ends <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, row in self.rows.items() if row["lease"] == lease]:
            self.remove(key)

    async def _handle(self, request, reader, writer):
        target = urlsplit(request.target)
        if not target.path.startswith(PATH):
            return await self._answer(writer, 404, {})
        call, _, rest = target.path[len(PATH) :].partition("/")
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        body = json.loads(request.body) if request.body else {}
        if call in WRITES:
            delay_s = self.choose_loss(call, body)
            self.on_write(call, delay_s is not None, body)
            if delay_s is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(delay_s, self._write, call, rest, body)
                # Nothing more is heard on this connection.
                with contextlib.suppress(ConnectionError):
                    while await reader.read(4096):
                        pass
                return False
            return await self._answer(writer, *self._write(call, rest, body))
        await asyncio.sleep(0.004)
        if call == "watch":
            return await self._answer(writer, *await self._watch(query))
        return await self._answer(writer, *self._read(call, query))

    async def _answer(self, writer, status, content):
        headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
        writer.write(encode_response(status, headers, json.dumps(content).encode()))
        await writer.drain()
        return True

    def _read(self, call, query):
        if call == "key":
            row = self.rows.get(query["key"])
            return (200, {**row, "asOf": self.revision}) if row else (404, {})
        if call != "range":
            return 404, {}
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        items = [self.rows[key] for key in keys[:500]]
        is_truncated = len(keys) > len(items)
        return 200, {"items": items, "truncated": is_truncated, "asOf": self.revision}

    async def _watch(self, query):
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _write(self, call, rest, body):
        now = time.monotonic()
        if call == "lease":
            self.n_leases += 1
            lease = 70_000 + self.n_leases
            self.leases[lease] = (now + body["ttlMs"] / 1000, body["ttlMs"])
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        if call == "txn":
            return self._transact(body)
        lease = int(rest)
        if lease not in self.leases:
            return 404, {}
        if call == "lease-end":
            self._end_lease(lease)
            return 200, {}
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (now + ttl_ms / 1000, ttl_ms)
        return 200, {"ttlMs": ttl_ms}

    def _transact(self, body):
        for row in body.get("precondition", ()):
            known = self.rows.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                return 412, {"items": [known] if known else []}
        writes = body.get("writes", ())
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        for write in writes:
            self.write(write["key"], b64decode(write["value"]), write.get("lease", 0))
        for key in body.get("remove", ()):
            self.remove(key)
        return 200, {"revision": self.revision}
