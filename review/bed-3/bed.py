"""A small deployment on loopback: store, endpoints, nodes and clients.

The stand-ins follow the users' pages and need the standard library only. Each node is
a process that the command of the deploy file starts. Every host has a loopback address
of its own, so that endpoints can tell the nodes apart.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
SIGNATURE = "3e1b.07.5a2.600.0."
ENGINE_PROFILE = {
    "slots": 8,
    "kvTokens": 405000,
    "stride": 34,
    "models": [{"name": "m"}],
    "step_ms": 1.31,
    "per_seq_ms": 0.001834,
    "context_per_k": 0.00213,
    "read_per_s": 154000.0,
    "pairs_per_m": 0.162,
    "chunk": 2048,
}
# Of the slowest machines of the grown deployments, 10 Mbit/s.
LINK_BYTES_PER_S = 10e6 / 8
PIECE_BYTES = 8192
HISTORY_S = 20.0
BOUNDS = {
    "contactMs": 3000,
    "acknowledgeMs": 4000,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configurationMs": 2000,
    "downgradeSlackMs": 250,
    "partitionStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 106,
    "coldOverage": 1.5,
    "coldSlack": 5,
    "evacuationMs": 5000,
    "recoveryS": 12,
    "stall_ms": 1500,
    "holdMaxMs": 20000,
    "freeMs": 4000,
    "maxIdleMs": 9000,
}


class Message:
    """A request or a response; header names are in lower case."""

    def __init__(self, first_line, headers, body=b""):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def header(self, name, default=None):
        """Return the first value of a header."""
        return next((value for key, value in self.headers if key == name), default)

    @property
    def target(self):
        """Return the target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        """Return the status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader):
    """Read the head of a message; return None at a proper end before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first_line, *lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(first_line, [(k.lower(), v.strip()) for k, _, v in pairs])


async def read_request(reader):
    """Read a whole request; return None if the connection has ended."""
    message = await read_head(reader)
    if message is not None:
        n_bytes = int(message.header("content-length", "0"))
        message.body = await reader.readexactly(n_bytes)
    return message


def encode(first_line, headers, body=b""):
    """Encode a message with the length of its body."""
    lines = [first_line, *(f"{k}: {v}" for k, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer):
    """Reset a connection, as the end of its process does."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Bed:
    """Everything that a case starts, and its record."""

    def __init__(self, folder):
        self._began_at = time.monotonic()
        # Line by line, so that a run that is ended early has its record, too.
        path = Path(folder) / "record.txt"
        self._record = open(path, "w", buffering=1, encoding="utf-8")  # noqa: SIM115
        self._tmp = Path(tempfile.mkdtemp(prefix="bed-3-"))
        self._net = f"127.{20 + os.getpid() % 200}.{(os.getpid() // 200) % 250}"
        self._n_hosts = 0
        self._nodes = []
        self._servers = []
        self.store = None

    def now(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self._began_at

    def note(self, text):
        """Write a line of the record."""
        self._record.write(f"{self.now():8.3f} {text}\n")

    def new_host(self):
        """Return another loopback address."""
        self._n_hosts += 1
        return f"{self._net}.{self._n_hosts}"

    def free_ports(self, host, n_ports):
        """Return ports that nobody listens on."""
        socks = [socket.socket() for _ in range(n_ports)]
        for sock in socks:
            sock.bind((host, 0))
        ports = [sock.getsockname()[1] for sock in socks]
        for sock in socks:
            sock.close()
        return ports

    async def serve(self, host, handle, port=0):
        """Serve connections with ``handle(reader, writer)``; return server, address."""

        async def guarded(reader, writer):
            try:
                await handle(reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                return
            finally:
                writer.close()

        server = await asyncio.start_server(guarded, host, port, limit=1 << 20)
        self._servers.append(server)
        return server, f"{host}:{server.sockets[0].getsockname()[1]}"

    async def start_store(self):
        """Start the platform's store."""
        self.store = Store(self)
        _, self.store.address = await self.serve(self.new_host(), self.store.handle)
        return self.store

    async def start_node(self, name, *, zone="zone-a", settings=()):
        """Start a node as the deploy file says."""
        node = Node(self, name, zone, dict(settings))
        self._nodes.append(node)
        await node.start()
        return node

    async def await_ready(self, nodes, *, timeout_s=15.0):
        """Wait until nodes say that they are ready."""
        ends_at = time.monotonic() + timeout_s
        for node in nodes:
            while not await node.is_ready():
                if time.monotonic() > ends_at:
                    raise TimeoutError(f"{node.name} is not ready")
                await asyncio.sleep(0.05)

    def finish(self):
        """End all processes and close the record."""
        for node in self._nodes:
            node.end()
        logs = [(node.name, node.log_path) for node in self._nodes]
        self._record.close()
        if os.environ.get("KEEP_LOGS"):
            for name, path in logs:
                shutil.copy(path, Path(os.environ["KEEP_LOGS"]) / f"{name}.log")
        shutil.rmtree(self._tmp, ignore_errors=True)

    @property
    def folder(self):
        """Return the temporary folder."""
        return self._tmp


class Node:
    """One node of the system under review."""

    def __init__(self, bed, name, zone, settings):
        self._bed = bed
        self.name = name
        self.host = bed.new_host()
        front, ready, control = bed.free_ports(self.host, 3)
        first = self._find_port_pair()
        self.address = f"{self.host}:{front}"
        self._ready_address = f"{self.host}:{ready}"
        self.log_path = bed.folder / f"{name}.log"
        self._settings_path = bed.folder / f"{name}.conf"
        self._process = None
        values = {
            "node": name,
            "role": "node",
            "machineClass": "edge",
            "serves": "edge",
            "ipAddress": self.host,
            "zone": zone,
            "region": "region",
            "listen.frontend": self.address,
            "listen.readiness": self._ready_address,
            "listen.control": f"{self.host}:{control}",
            "internalPorts": f"{first},{first + 1}",
            "bootstrap": "true",
            "limits.cpuShare": "0.537",
            "limits.cores": "2",
            "limits.memoryMb": "300",
            "limits.fileDescriptors": "4100",
            "limits.bandwidthMbps": "1000.0",
            "heartbeatMs": "1200",
            "platform.address": bed.store.address,
            "platform.form": "kv",
            "platform.writesPerS": "400",
            "platform.readsPerS": "2000",
            "platform.historyS": "20",
            "platform.valueBytes": "1048576",
            "platform.minTtlMs": "1000",
            **{f"bounds.{key}": str(value) for key, value in BOUNDS.items()},
            **settings,
        }
        text = "".join(f"{key}={value}\n" for key, value in values.items())
        self._settings_path.write_text(text, encoding="utf-8")

    def _find_port_pair(self):
        while True:
            (first,) = self._bed.free_ports(self.host, 1)
            with socket.socket() as sock, suppress(OSError, OverflowError):
                sock.bind((self.host, first + 1))
                return first

    @property
    def pid(self):
        """Return the id of the process."""
        return self._process.pid

    async def start(self):
        """Start the process, also again."""
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["SAVORYHILL_NODE_FILE"] = str(self._settings_path)
        with open(self.log_path, "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3", "deploy/serve.py", cwd=ROOT, env=environment,
                stdout=log, stderr=log,
            )  # fmt: skip
        self._bed.note(f"{self.name} started")

    def signal(self, number):
        """Send a signal to the process."""
        with suppress(ProcessLookupError):
            self._process.send_signal(number)
        self._bed.note(f"{self.name} got {signal.Signals(number).name}")

    async def wait(self):
        """Wait until the process has ended."""
        return await self._process.wait()

    def end(self):
        """Kill the process."""
        if self._process is not None and self._process.returncode is None:
            with suppress(ProcessLookupError):
                self._process.kill()

    async def is_ready(self):
        """Ask for readiness as the platform does."""
        host, port = self._ready_address.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b"GET /savoryhill/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            return head is not None and head.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def log_lines(self, event):
        """Return the lines of the process's log about an event."""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if f"event={event} " in line]


class Store:
    """The platform's metadata store.

    ``intercept(method, path, body)`` may return ``"late"`` and seconds, after which a
    call is executed whose answer is lost, or None.
    """

    def __init__(self, bed):
        self._bed = bed
        self.address = ""
        self.items = {}
        self.revision = 10
        self.intercept = None
        self._events = []
        self._forgotten_revision = 0
        self._leases = {}
        self._n_leases = 100
        self._changed = asyncio.Event()

    def put(self, key, content, lease=0):
        """Write a row; ``content`` is bytes, or is encoded as JSON."""
        value = content if isinstance(content, bytes) else json.dumps(content).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self._announce(self.items[key])

    def remove(self, key):
        """Remove a row."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "deleted": True}
            self._announce(event)

    def _announce(self, event):
        self._events.append((time.monotonic(), event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease, (ends_at, _) in list(self._leases.items()):
            if ends_at <= now:
                del self._leases[lease]
                for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                    self._bed.note(f"store: lease {lease} has ended, removes {key}")
                    self.remove(key)
        while self._events and self._events[0][0] < now - HISTORY_S:
            _, event = self._events.pop(0)
            self._forgotten_revision = event["revision"]

    async def expire_periodically(self):
        """Remove the rows of leases that have ended."""
        while True:
            await asyncio.sleep(0.05)
            self._expire()

    async def handle(self, reader, writer):
        """Serve one connection."""
        while (request := await read_request(reader)) is not None:
            method = request.first_line.split(" ")[0]
            target = urlsplit(request.target)
            body = json.loads(request.body) if request.body else {}
            query = {k: v[0] for k, v in parse_qs(target.query, True).items()}
            late_s = None
            if self.intercept is not None:
                late_s = self.intercept(method, target.path, body)
            if late_s is not None:
                asyncio.get_running_loop().call_later(
                    late_s, self._execute_late, target.path, body
                )
                return
            await asyncio.sleep(0.004)
            self._expire()
            if target.path == "/savoryhill/kv-watch":
                status, content = await self._watch(query)
            else:
                status, content = self._dispatch(method, target.path, query, body)
            answer = json.dumps(content).encode()
            headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
            writer.write(encode(f"HTTP/1.1 {status} X", headers, answer))
            await writer.drain()

    def _execute_late(self, path, body):
        self._expire()
        status, _ = self._dispatch("POST", path, {}, body)
        keys = [write["key"] for write in body.get("writes", ())]
        self._bed.note(f"store: executed late: {path} {keys}, {status}")

    def _dispatch(self, method, path, query, body):
        name = path.removeprefix("/savoryhill/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            found = {**item, "asOf": self.revision} if item else {}
            return (200, found) if item else (404, {})
        if name == "kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > after
            ]
            content = {"items": items[:500], "truncated": len(items) > 500}
            return 200, {**content, "asOf": self.revision}
        if name == "kv-txn":
            return self._transact(body)
        if name == "kv-lease":
            self._n_leases += 1
            ttl_ms = body["ttlMs"]
            ends_at = time.monotonic() + ttl_ms / 1000
            self._leases[self._n_leases] = (ends_at, ttl_ms)
            return 200, {"lease": self._n_leases, "ttlMs": ttl_ms}
        if name.startswith("kv-keep/"):
            lease = int(name.partition("/")[2])
            if lease not in self._leases:
                return 404, {}
            ttl_ms = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttlMs": ttl_ms}
        return 404, {}

    def _transact(self, body):
        for row in body.get("precondition", ()):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        writes = body.get("writes", ())
        if any(w.get("lease") and w["lease"] not in self._leases for w in writes):
            return 404, {}
        for write in writes:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in body.get("remove", ()):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("pathPrefix", "")
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self._changed
            if after < self._forgotten_revision:
                return 410, {}
            events = [
                event
                for _, event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


class Link:
    """The link of one machine, over which it reaches the store."""

    def __init__(self, bed):
        self._bed = bed
        self._free_at = 0.0
        self.address = ""

    async def handle(self, reader, writer):
        """Pass one connection on; what the store sends takes its time."""
        host, port = self._bed.store.address.split(":")
        store_reader, store_writer = await asyncio.open_connection(host, int(port))
        upstream = asyncio.create_task(self._copy(reader, store_writer, is_slow=False))
        try:
            await self._copy(store_reader, writer, is_slow=True)
        finally:
            upstream.cancel()
            store_writer.close()

    async def _copy(self, reader, writer, *, is_slow):
        loop = asyncio.get_running_loop()
        while data := await reader.read(PIECE_BYTES):
            if is_slow:
                self._free_at = max(self._free_at, loop.time())
                self._free_at += len(data) / LINK_BYTES_PER_S
                await asyncio.sleep(self._free_at - loop.time())
            writer.write(data)
            await writer.drain()
        writer.write_eof()


class Endpoint:
    """An endpoint of a service, which registers itself and answers with ``respond``.

    ``respond(request, reader, writer)`` is a coroutine function; it returns whether the
    connection stays open.
    """

    def __init__(self, bed, name, service, *, zone="zone-a", slots=8, respond=None):
        self.bed = bed
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.respond = respond
        self.address = ""
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.cold_ms = 0
        self.open_writers = {}
        self._server = None
        self._sequence = 0
        self._beating = None

    async def start(self):
        """Listen, and register in the store."""
        host = self.address.split(":")[0] if self.address else self.bed.new_host()
        port = int(self.address.split(":")[1]) if self.address else 0
        self._server, self.address = await self.bed.serve(host, self._handle, port)
        self.beat()
        self._beating = asyncio.create_task(self._beat_periodically())

    def beat(self):
        """Write the row in the store."""
        self._sequence += 1
        age_ms = time.time() * 1000 - self.born
        row = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": max(0, int(self.cold_ms - age_ms)),
            "sequence": self._sequence,
            "born": self.born,
        }
        self.bed.store.put(f"servers/{self.id}", row)

    async def _beat_periodically(self):
        while True:
            await asyncio.sleep(1.2)
            self.beat()

    def crash(self):
        """End as a process does that crashes: all connections are reset."""
        self._beating.cancel()
        self._server.close()
        for writer in list(self.open_writers):
            reset(writer)
        self.open_writers.clear()
        self.bed.note(f"{self.id} crashes")

    async def _handle(self, reader, writer):
        self.open_writers[writer] = None
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    return
        finally:
            self.open_writers.pop(writer, None)

    async def _answer(self, request, reader, writer):
        if request.header("x-expected-instance", self.id) != self.id:
            headers = [("X-Instance-Id", self.id)]
            writer.write(encode("HTTP/1.1 421 Misdirected Request", headers))
            return True
        return await self.respond(self, request, reader, writer)

    def answer_headers(self, request):
        """Return the headers that every answer of the endpoint bears."""
        attempt = request.header("x-attempt-id", "")
        return [("X-Attempt-Id", attempt), ("X-Response-Signature", sign(attempt))]


def sign(attempt):
    """Return the signature of an answer to an attempt."""
    return SIGNATURE + attempt[-8:]


def route(name, service, kind, **fields):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": "shop.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 10000,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "publicAccess": False,
        "resumable": False,
        **fields,
    }


def configuration(version, routes, *, engines=(), plain=(), limits=()):
    """Return the operator's configuration."""
    services = [
        {"name": name, "healthPath": "/health", "connectionLimit": 234,
         "coldStartS": 3.0, "coldPerS": 26.0, "engine": ENGINE_PROFILE}
        for name in engines
    ] + [
        {"name": name, "healthPath": "/health", "connectionLimit": 110,
         "coldStartS": 0.0, "coldPerS": 0.0}
        for name in plain
    ]  # fmt: skip
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            **dict(limits),
        },
        "tenants": [{"name": "tenant-a", "keys": ["key-a"], "priority": 1}],
    }


class Answer:
    """What a client has seen of the answer to one request.

    ``status`` is None without a head, and ``is_complete`` tells whether the answer
    ended as HTTP says it should.
    """

    def __init__(self):
        self.status = None
        self.headers = []
        self.body = b""
        self.is_complete = False
        self.cause = ""

    def header(self, name):
        """Return the first value of a header."""
        return next((value for key, value in self.headers if key == name), None)


async def call(address, method, path, attempt, *, timeout_s, headers=(), body=b""):
    """Send one request on a new connection, and return what came back."""
    answer = Answer()
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
    except OSError as error:
        answer.cause = repr(error)
        return answer
    lines = [
        ("Host", "shop.example"),
        ("X-Attempt-Id", attempt),
        ("X-Time-Remaining", str(int(timeout_s * 1000))),
        ("Authorization", "Bearer key-a"),
        *headers,
    ]
    try:
        writer.write(encode(f"{method} {path} HTTP/1.1", lines, body))
        await asyncio.wait_for(read_answer(reader, answer), timeout_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        answer.cause = repr(error)
    finally:
        writer.close()
    return answer


async def read_answer(reader, answer):
    """Read an answer, as far as it comes, into ``answer``."""
    head = await read_head(reader)
    if head is None:
        answer.cause = "closed without an answer"
        return
    answer.status, answer.headers = head.status, head.headers
    if head.header("transfer-encoding", "") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            answer.body += data[:-2]
            if not size:
                answer.is_complete = True
                return
    n_bytes = int(head.header("content-length", "0"))
    while len(answer.body) < n_bytes:
        data = await reader.read(n_bytes - len(answer.body))
        if not data:
            answer.cause = "closed within the answer"
            return
        answer.body += data
    answer.is_complete = True


def run_case(folder, play):
    """Run ``play(bed)``, which returns whether the rule held; exit accordingly."""

    async def run():
        # What is still open at the end is no error.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.set_exception_handler(lambda *_: None)
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        bed = Bed(folder)
        try:
            await bed.start_store()
            asyncio.create_task(bed.store.expire_periodically())
            return HELD if await asyncio.wait_for(play(bed), 110.0) else BROKEN
        except (OSError, TimeoutError, asyncio.CancelledError) as error:
            bed.note(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            bed.finish()

    status = asyncio.run(run())
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[status])
    sys.exit(status)
