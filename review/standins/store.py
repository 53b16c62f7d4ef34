"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

Usage: ``store.py ADDRESS``. Below ``/standin/`` it takes what the operator and the
engines write; the system may not write there.
"""

import asyncio
import sys
import time
from base64 import b64encode
from urllib.parse import parse_qs, unquote, urlsplit

from http11 import Server, encode_json

READ_ONLY_PREFIXES = ("op/", "servers/")
SWEEP_INTERVAL_S = 0.05


class Store:
    """Rows under one counter of revisions, leases and a history that is kept whole."""

    def __init__(self):
        self._rows = {}
        self._history = []
        self._revision = 1
        self._leases = {}
        self._ends_at = {}
        self._next_lease = 70_000
        self._changed = asyncio.Condition()

    async def _record(self, event):
        self._history.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _put(self, key, value, lease=0):
        self._revision += 1
        created = self._rows.get(key, {}).get("created", self._revision)
        self._rows[key] = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        await self._record(self._rows[key])

    async def _remove(self, key):
        if self._rows.pop(key, None) is not None:
            self._revision += 1
            event = {"key": key, "revision": self._revision, "deleted": True}
            await self._record(event)

    async def sweep(self):
        """Remove what has expired, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            for key, ends_at in list(self._ends_at.items()):
                if ends_at <= now:
                    del self._ends_at[key]
                    await self._remove(key)
            for lease, (ends_at, _) in list(self._leases.items()):
                if ends_at <= now:
                    await self._end_lease(lease)

    async def _end_lease(self, lease):
        del self._leases[lease]
        for key, row in list(self._rows.items()):
            if row["lease"] == lease:
                await self._remove(key)

    async def handle(self, message, _writer):
        """Answer one call."""
        method, target, _ = message.start.split(" ", 2)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, True).items()}
        status, content = await self._dispatch(method, url.path, query, message.json())
        return encode_json(status, content)

    async def _dispatch(self, method, path, query, body):
        if path == "/standin/put":
            if body.get("ttlS"):
                self._ends_at[body["key"]] = time.monotonic() + body["ttlS"]
            known = self._rows.get(body["key"])
            value = b64encode(body["text"].encode()).decode()
            # An entry changes when more than its count of heartbeats does.
            if known is None or known["value"] != value:
                await self._put(body["key"], value)
            return 200, {"revision": self._revision}
        if path == "/standin/remove":
            self._ends_at.pop(body["key"], None)
            await self._remove(body["key"])
            return 200, {"revision": self._revision}
        if path == "/savoryhill/kv-key":
            row = self._rows.get(query["key"])
            return (200, {**row, "asOf": self._revision}) if row else (404, {})
        if path == "/savoryhill/kv-range":
            return self._read_range(query)
        if path == "/savoryhill/kv-watch":
            return await self._watch(query)
        if path == "/savoryhill/kv-txn":
            return await self._transact(body)
        if path == "/savoryhill/kv-lease":
            self._next_lease += 1
            ttl_s = body["ttlMs"] / 1000
            self._leases[self._next_lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": self._next_lease, "ttlMs": body["ttlMs"]}
        if path.startswith("/savoryhill/kv-keep/"):
            return self._keep(int(unquote(path.rsplit("/", 1)[1])))
        if method == "DELETE" and path.startswith("/savoryhill/kv-lease-end/"):
            await self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def _read_range(self, query):
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = sorted(k for k in self._rows if k.startswith(prefix) and k > after)
        items = [self._rows[key] for key in keys[:500]]
        truncated = len(keys) > len(items)
        return 200, {"items": items, "truncated": truncated, "asOf": self._revision}

    async def _watch(self, query):
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self._revision}
            try:
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _transact(self, body):
        writes, removed = body.get("writes") or [], body.get("remove") or []
        keys = [write["key"] for write in writes] + removed
        if any(key.startswith(READ_ONLY_PREFIXES) for key in keys):
            return 403, {}
        rows = body.get("precondition") or []
        for row in rows:
            known = self._rows.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                present = [self._rows[r["key"]] for r in rows if r["key"] in self._rows]
                return 412, {"items": present}
        if any(w.get("lease") and w["lease"] not in self._leases for w in writes):
            return 404, {}
        for write in writes:
            await self._put(write["key"], write["value"], write.get("lease") or 0)
        for key in removed:
            await self._remove(key)
        return 200, {"revision": self._revision}

    def _keep(self, lease):
        if lease not in self._leases:
            return 404, {}
        _, ttl_s = self._leases[lease]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"ttlMs": int(ttl_s * 1000)}


async def main(address):
    """Serve until the process is ended."""
    store = Store()
    server = await Server(handle=store.handle).start(address)
    async with server:
        await asyncio.gather(server.serve_forever(), store.sweep())


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
