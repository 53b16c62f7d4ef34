"""Stand-in for the platform's metadata store."""

import json
from base64 import b64decode, b64encode
from copy import deepcopy
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import gevent
from gevent.event import Event

from savoryhill.platform import names
from savoryhill.serving.http import encode_head
from savoryhill.standins.serving.server import start_server

# Faults: ``SILENT`` sends no response, ``BUSY`` refuses the call with 503, ``RESET``
# closes the connection without executing the call, and ``LOST`` after executing it.
SILENT = "silent"
BUSY = "busy"
RESET = "reset"
LOST = "lost"


@dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """Content of the store at a moment."""

    rows_by_key: dict
    revision: int
    history: tuple
    ttl_s_by_lease: dict


@dataclass(kw_only=True)
class MetadataStore:
    """Rows, leases and history of the store, and its active fault.

    ``fault`` is None or one of the module's constants; it applies to every call
    while it is set. ``delay_s`` delays the execution of every call.
    ``compacted_revision`` is the revision up to which the history was discarded.
    ``era`` counts how often the store has come back from a copy; all responses name it.
    """

    clock: object
    rows_by_key: dict = field(default_factory=dict)
    revision: int = 1
    history: list = field(default_factory=list)
    compacted_revision: int = 0
    era: int = 1
    expires_at_by_lease: dict = field(default_factory=dict)
    ttl_s_by_lease: dict = field(default_factory=dict)
    fault: str | None = None
    delay_s: float = 0.0
    n_calls_by_path: dict = field(default_factory=dict)
    history_changed: Event = field(default_factory=Event)

    def put(self, key, value, *, lease=0):
        """Write a row, as the operator or an endpoint does."""
        self.revision += 1
        created = self.rows_by_key.get(key, {}).get("created", self.revision)
        row = {
            "key": key,
            "value": b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.rows_by_key[key] = row
        self._append_event(row)

    def remove(self, key):
        """Remove a row."""
        if self.rows_by_key.pop(key, None) is None:
            return
        self.revision += 1
        self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def _append_event(self, event):
        self.history.append(event)
        self.history_changed.set()
        self.history_changed.clear()

    def compact_history(self):
        """Discard the history; watches from an earlier revision then get 410."""
        self.compacted_revision = self.revision
        self.history.clear()

    def copy(self):
        """Return a copy from which the store can be restored."""
        return StoreCopy(
            rows_by_key=deepcopy(self.rows_by_key),
            revision=self.revision,
            history=tuple(self.history),
            ttl_s_by_lease=dict(self.ttl_s_by_lease),
        )

    def restore(self, copy):
        """Lose everything since a copy; its leases begin anew."""
        now = self.clock.monotonic()
        self.rows_by_key = deepcopy(copy.rows_by_key)
        self.revision = copy.revision
        self.history[:] = copy.history
        self.ttl_s_by_lease = dict(copy.ttl_s_by_lease)
        self.expires_at_by_lease = {
            lease: now + ttl_s for lease, ttl_s in copy.ttl_s_by_lease.items()
        }
        self.era += 1
        self.history_changed.set()
        self.history_changed.clear()

    def expire_leases(self):
        """Remove expired leases and their rows."""
        now = self.clock.monotonic()
        expired = [
            lease
            for lease, expires_at in self.expires_at_by_lease.items()
            if expires_at <= now
        ]
        for lease in expired:
            del self.expires_at_by_lease[lease]
            keys = [k for k, row in self.rows_by_key.items() if row["lease"] == lease]
            for key in keys:
                self.remove(key)

    # HTTP handlers

    def handle(self, sock, request):
        """Respond to a call; return whether the connection stays open."""
        target = urlsplit(request.target.decode())
        self.n_calls_by_path[target.path] = self.n_calls_by_path.get(target.path, 0) + 1
        if self.fault == SILENT:
            gevent.sleep(3600.0)
        if self.fault == RESET:
            return False
        if self.delay_s:
            gevent.sleep(self.delay_s)
        if self.fault == BUSY:
            return self._respond(sock, 503, {})
        self.expire_leases()
        query = {k: v[0] for k, v in parse_qs(target.query, True).items()}
        body = json.loads(request.body) if request.body else {}
        status, content = self._dispatch(target.path, query, body)
        if self.fault == LOST:
            return False
        return self._respond(sock, status, content)

    def _respond(self, sock, status, content):
        body = json.dumps(content).encode()
        headers = [
            (b"content-length", str(len(body)).encode()),
            (b"store-era", str(self.era).encode()),
        ]
        sock.sendall(encode_head(status, headers) + body)
        return True

    def _dispatch(self, path, query, body):
        if path == names.STORE_KEY_PATH:
            row = self.rows_by_key.get(query["key"])
            return (200, row) if row else (404, {})
        if path == names.STORE_RANGE_PATH:
            return self._read_range(query)
        if path == names.STORE_WATCH_PATH:
            return self._watch(query)
        if path == names.STORE_TRANSACTION_PATH:
            return self._transact(body)
        if path == names.STORE_LEASE_PATH:
            return self._grant_lease(body)
        if path.startswith(names.STORE_RENEW_PATH):
            return self._renew_lease(int(path[len(names.STORE_RENEW_PATH) :]))
        return 404, {}

    def _read_range(self, query):
        prefix = query["pathPrefix"]
        items = [
            row
            for key, row in sorted(self.rows_by_key.items())
            if key[: len(prefix)] == prefix
        ]
        return 200, {"items": items, "truncated": False, "asOf": self.revision}

    def _watch(self, query):
        after, prefix = int(query["after"]), query["pathPrefix"]
        ends_at = self.clock.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if not self.compacted_revision <= after <= self.revision:
                return 410, {}
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = ends_at - self.clock.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            self.history_changed.wait(remaining_s)
            self.expire_leases()

    def _transact(self, body):
        for condition in body.get("precondition", ()):
            row = self.rows_by_key.get(condition["key"])
            if (row["revision"] if row else 0) != condition["revision"]:
                return 412, {"items": [row] if row else []}
        for write in body.get("writes", ()):
            if write["lease"] and write["lease"] not in self.expires_at_by_lease:
                return 404, {}
            self.put(write["key"], b64decode(write["value"]), lease=write["lease"])
        for key in body.get("remove", ()):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _grant_lease(self, body):
        lease = len(self.ttl_s_by_lease) + 1
        self.ttl_s_by_lease[lease] = body["ttlMs"] / 1000
        self.expires_at_by_lease[lease] = self.clock.monotonic() + body["ttlMs"] / 1000
        return 200, {"lease": lease, "ttlMs": body["ttlMs"]}

    def _renew_lease(self, lease):
        if lease not in self.expires_at_by_lease:
            return 404, {}
        ttl_s = self.ttl_s_by_lease[lease]
        self.expires_at_by_lease[lease] = self.clock.monotonic() + ttl_s
        return 200, {"ttlMs": ttl_s * 1000}


def start_store(store, *, address=("127.0.0.1", 0)):
    """Start serving a store; return the server."""
    return start_server(address, store.handle)
