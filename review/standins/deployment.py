"""A small deployment of node processes and stand-ins on loopback addresses."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from http11 import (
    BrokenMessageError,
    call,
    encode_head,
    read_body,
    read_head,
    status_of,
)

STANDINS = Path(__file__).resolve().parent
ROOT = STANDINS.parent.parent
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2
HOST_NAME = "site.example"
KEY = "key-of-the-first-tenant"
# The profile of engines, with the names and most figures of the users' sheets.
ENGINE = {
    "slots": 8,
    "kvTokens": 405_000,
    "stride": 34,
    "step_ms": 1.31,
    "per_seq_ms": 0.0018,
    "context_per_k": 0.00213,
    "read_per_s": 154_000.0,
    "pairs_per_m": 0.162,
    "chunk": 2048,
    "report_lag_ms": 200.0,
}
SETTINGS = """\
node={name}
role=node
machineClass=edge
serves=edge
ipAddress={host}
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.frontend={host}:{ports[0]}
listen.readiness={host}:{ports[1]}
internalPorts={ports[2]},{ports[3]}
bootstrap=true
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.bandwidthMbps=1000.0
heartbeatMs=1200
bounds.contactMs=3000
bounds.drainMs=2000
bounds.graceS=8
bounds.configurationMs=2000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=106
bounds.stall_ms=1500
bounds.holdMaxMs=20000
platform.address={store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.minTtlMs=1000
"""


class CannotRunError(Exception):
    """The deployment did not come up, so that the case shows nothing."""


def has_trouble():
    """Tell whether the disruption of the case is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name, kind, **fields):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 10_000,
        "targetLatencyMs": 300,
        "targetGapMs": 600,
        "priority": 1,
        "attempts": 2,
        "publicAccess": False,
        "sessionAffinity": kind == "streaming",
        "resumable": kind == "streaming",
        **fields,
    }


def configuration(version, routes, services):
    """Return the operator's configuration; ``services`` maps names to an engine."""
    items = [
        {"name": name, "healthPath": "/health", "connectionLimit": 300, "coldPerS": 0.0}
        | ({"engine": engine} if engine else {})
        for name, engine in services.items()
    ]
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15_000,
    }
    tenants = [{"name": "first", "keys": [KEY], "priority": 1}]
    return {
        "version": version,
        "routes": routes,
        "services": items,
        "limits": limits,
        "tenants": tenants,
    }


def free_host():
    """Return a loopback address that nothing in this case uses yet."""
    numbers = (random.randint(16, 250) for _ in range(3))
    return ".".join(["127", *map(str, numbers)])


def free_ports(host, n_ports):
    """Return ports in a row that are free on a host."""
    for _ in range(100):
        first = random.randint(20_000, 30_000)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + n_ports):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((host, port))
            except OSError:
                continue
            return tuple(range(first, first + n_ports))
    raise CannotRunError(f"no free ports on {host}")


def free_address():
    """Return an ``ip:port`` on an address of its own."""
    host = free_host()
    return f"{host}:{free_ports(host, 1)[0]}"


@dataclass(kw_only=True)
class Node:
    """A node of the system, started with the command of the deploy file."""

    name: str
    host: str
    ports: tuple
    settings_path: Path
    log_path: Path
    process: object = None

    @property
    def address(self):
        """Return where clients connect."""
        return f"{self.host}:{self.ports[0]}"

    @property
    def readiness(self):
        """Return where the platform asks whether it is ready."""
        return f"{self.host}:{self.ports[1]}"

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)


@dataclass(kw_only=True)
class Answer:
    """What a client saw of one request.

    ``end`` tells how it ended: ``whole``, ``broken`` with a cause, or ``none``.
    """

    request: str
    status: int = 0
    headers: list = field(default_factory=list)
    body: bytes = b""
    end: str = "none"
    began_at: float = 0.0
    ended_at: float = 0.0

    def event_ids(self):
        """Return the ids of the events of a stream."""
        lines = self.body.decode("latin-1").split("\n")
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


class Deployment:
    """Processes of a case, and its record; use it as an asynchronous context."""

    def __init__(self, case):
        self._record_path = Path(case).resolve().parent / "record.txt"
        self._record = open(self._record_path, "w", buffering=1)  # noqa: SIM115
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._processes = []
        self.folder = Path(self._folder.name)
        self.engine_record = self.folder / "engines.jsonl"
        self.store = None

    async def __aenter__(self):
        return self

    async def start_store(self):
        """Start the stand-in of the platform's store."""
        self.store = free_address()
        store = str(STANDINS / "store.py")
        await self._start([sys.executable, store, self.store], "store.log")
        await self._await_listener(self.store)

    async def __aexit__(self, *_exc_info):
        for process in self._processes:
            if process.returncode is None:
                process.kill()
        for process in self._processes:
            await process.wait()
        self._record.close()
        self._folder.cleanup()

    def say(self, what, **fields):
        """Write a line of the record."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record.write(f"{time.time():.3f} {what} {text}".rstrip() + "\n")

    async def _start(self, command, log_name, environment=None):
        with open(self.folder / log_name, "ab") as log:
            process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, stdout=log, stderr=log, env=environment
            )
        self._processes.append(process)
        return process

    async def _await_listener(self, address):
        for _ in range(200):
            with contextlib.suppress(OSError, BrokenMessageError, TimeoutError):
                await call(address, "GET", "/health")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"nothing listens at {address}")

    async def put(self, key, content):
        """Write what the operator writes; the answer is the acknowledgement."""
        body = {"key": key, "text": json.dumps(content)}
        await call(self.store, "POST", "/standin/put", content=body)
        self.say("operator wrote", key=key, version=content.get("version", ""))

    async def start_engine(self, engine_id, service, *, address=None, **fields):
        """Start an engine; return its address and its process."""
        address = address or free_address()
        settings = {
            "id": engine_id,
            "service": service,
            "address": address,
            "store": self.store,
            "record": str(self.engine_record),
            **fields,
        }
        command = [sys.executable, str(STANDINS / "engine.py"), json.dumps(settings)]
        process = await self._start(command, f"{engine_id}.log")
        self.say("engine started", id=engine_id, service=service, address=address)
        return address, process

    def add_node(self, name):
        """Write the settings of a node that is not started yet."""
        host = free_host()
        ports = free_ports(host, 6)
        ports = (ports[0], ports[1], ports[2], ports[5])
        path = self.folder / f"{name}.conf"
        path.write_text(
            SETTINGS.format(name=name, host=host, ports=ports, store=self.store)
        )
        log_path = self.folder / f"{name}.log"
        return Node(
            name=name, host=host, ports=ports, settings_path=path, log_path=log_path
        )

    async def start_node(self, node):
        """Start the process of a node as the deploy file says."""
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["SAVORYHILL_NODE_FILE"] = str(node.settings_path)
        node.process = await self._start(
            ["python3", "deploy/serve.py"], node.log_path.name, environment
        )
        self.say("node started", name=node.name, address=node.address)

    async def await_ready(self, node, timeout_s=20.0):
        """Wait until a node says that it is ready."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError, BrokenMessageError, TimeoutError):
                path = "/savoryhill/readiness"
                if status_of(await call(node.readiness, "GET", path)) == 200:
                    self.say("node ready", name=node.name)
                    return
            if node.process.returncode is not None:
                log = node.log_path.read_text(errors="replace")[-400:]
                raise CannotRunError(f"{node.name} ended: {log}")
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{node.name} is not ready after {timeout_s} s")

    async def ask(self, node, method, path, *, headers=(), body=b"", key=KEY):
        """Send one request of a client on a connection of its own."""
        request = f"{random.getrandbits(64):016x}"
        pairs = [
            ("Host", HOST_NAME),
            ("X-Attempt-Id", request),
            ("Authorization", f"Bearer {key}"),
            *headers,
        ]
        if body or method == "POST":
            pairs.append(("Content-Length", str(len(body))))
        answer = Answer(request=request, began_at=time.time())
        self.say("client sends", request=request, node=node.name, path=path)
        writer = None
        try:
            host, port = node.address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_head(f"{method} {path} HTTP/1.1", pairs) + body)
            message = await read_head(reader)
            if message is None:
                raise BrokenMessageError("closed without an answer")
            answer.status, answer.headers = status_of(message), message.headers
            async for part in read_body(reader, message):
                answer.body += part
            answer.end = "whole"
        except (OSError, BrokenMessageError) as error:
            answer.end = f"broken: {error}"
        finally:
            if writer is not None:
                writer.close()
        answer.ended_at = time.time()
        self.say(
            "client got",
            request=request,
            status=answer.status,
            end=answer.end,
            events=answer.event_ids(),
            bytes=len(answer.body),
        )
        return answer

    def engine_events(self):
        """Return what the engines have recorded, in the order of their lines."""
        if not self.engine_record.exists():
            return []
        lines = self.engine_record.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def keep_logs(self, nodes):
        """Copy what engines and nodes wrote to the record."""
        for event in self.engine_events():
            at = event.pop("at")
            self._record.write(f"{at:.3f} engine {json.dumps(event)}\n")
        for node in nodes:
            for line in node.log_path.read_text(errors="replace").splitlines()[-400:]:
                self._record.write(f"{node.name}: {line}\n")


def run_case(case, play):
    """Run ``play(deployment)``, which returns whether the rule held; exit with it."""

    async def run():
        async with Deployment(case) as deployment:
            try:
                async with asyncio.timeout(110):
                    await deployment.start_store()
                    held, text = await play(deployment)
            except Exception as error:
                # Whatever it is, it shows nothing of the rule.
                deployment.say("cannot run", cause=repr(error))
                print(f"cannot run: {error!r}")
                return CANNOT_RUN
            verdict = "held" if held else "broken"
            deployment.say(f"rule {verdict}", because=text)
            print(f"rule {verdict}: {text}")
            return HOLDS if held else BROKEN

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    sys.exit(asyncio.run(run()))
