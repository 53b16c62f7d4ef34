"""A small deployment on loopback: the project's nodes as processes, and stand-ins."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from standins2.messages import encode, read_message, serve
from standins2.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "site.example"
SETTINGS = """\
node={name}
role=node
machineClass=edge
serves=edge
ipAddress={host}
zone={zone}
region=region
zones.zone-a=region
zones.zone-b=region
listen.frontend={host}:{frontend}
listen.readiness={host}:{readiness}
listen.control={host}:{control}
internalPorts={internal},{last}
seeds={seeds}
bootstrap=true
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.fileDescriptors=4100
limits.bandwidthMbps=1000.0
discovery=platform
entry=virtual_ip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform
faultTolerance.machines=2
faultTolerance.zones=1
bounds.contactMs=3000
bounds.drainMs=2000
bounds.graceS=8
bounds.configurationMs=2000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=106
bounds.stall_ms=1500
platform.address={store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.minTtlMs=1000
"""
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
}


def make_route(name, kind, service, **fields):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "publicAccess": True,
        **fields,
    }


def make_service(name, *, engine=None):
    """Return a service of the operator's configuration."""
    service = {"name": name, "healthPath": "/health", "connectionLimit": 300}
    return {**service, "engine": engine} if engine else service


class Node:
    """A node of the deployment and its process."""

    def __init__(self, *, name, host, ports, folder, log):
        self.name, self.host, self.ports = name, host, ports
        self.settings_path = folder / f"{name}.conf"
        self._log = log
        self.process = None

    def start(self):
        """Start the process as the deploy file does."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["SAVORYHILL_NODE_FILE"] = str(self.settings_path)
        self.process = subprocess.Popen(
            ["python3", "deploy/serve.py"],
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        """Ask for the readiness, as the platform does."""
        answer = await call(
            f"{self.host}:{self.ports['readiness']}", "GET", "/savoryhill/readiness"
        )
        return answer is not None and answer.status == 200


class Deployment:
    """A store and nodes; all that is done is written to ``record.txt``."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self._record = open(self.folder / "record.txt", "w")  # noqa: SIM115
        self._logs = {}
        self.began_at = time.monotonic()
        self.store = Store()
        self.nodes, self.versions = [], 0
        self.base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def note(self, text):
        """Write a line to the record."""
        self._record.write(f"{self.now():8.3f} {text}\n")
        self._record.flush()

    async def start(self, *, routes, services, zones, n_nodes, tenants=None):
        """Start the store, with a configuration, and prepare the nodes."""
        self.store_address = await self.store.start(f"{self.base}.1")
        self.configure(routes, services, tenants)
        hosts = [f"{self.base}.{10 + number}" for number in range(n_nodes)]
        ports = _find_ports(hosts)
        for number, host in enumerate(hosts):
            name = f"edge-{number + 1}"
            log = open(self._temporary.name + f"/{name}.log", "w")  # noqa: SIM115
            self._logs[name] = log
            node = Node(
                name=name,
                host=host,
                ports=ports,
                folder=Path(self._temporary.name),
                log=log,
            )
            node.settings_path.write_text(
                SETTINGS.format(
                    name=name,
                    host=host,
                    zone=zones[number % len(zones)],
                    store=self.store_address,
                    last=ports["internal"] + 15,
                    seeds=",".join(f"{each}:{ports['control']}" for each in hosts[:3]),
                    **ports,
                )
            )
            self.nodes.append(node)

    def configure(self, routes, services, tenants=None):
        """Write a version of the configuration."""
        self.versions += 3
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        content = {
            "version": self.versions,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        if tenants is not None:
            content["tenants"] = tenants
        self.store.write("op/config", json.dumps(content).encode())

    async def await_ready(self, limit_s=15.0):
        """Wait until all nodes are ready; raise RuntimeError if they are not."""
        ends_at = time.monotonic() + limit_s
        while True:
            if all([await node.is_ready() for node in self.nodes]):
                return
            if time.monotonic() > ends_at:
                raise RuntimeError("the nodes are not ready")
            await asyncio.sleep(0.1)

    def node_log(self, name):
        """Return what a node has written so far."""
        return Path(self._temporary.name, f"{name}.log").read_text()

    def stop(self):
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.signal(signal.SIGCONT)
            node.kill()
        for log in self._logs.values():
            log.close()
        self._temporary.cleanup()
        self._record.close()


def _find_ports(hosts):
    """Return ports that are free on all hosts, the internal ones in a row."""
    for _ in range(200):
        first = random.randint(20_000, 29_000)
        ports = range(first, first + 20)
        if all(_is_free(host, port) for host in hosts for port in ports):
            return {
                "frontend": first,
                "readiness": first + 1,
                "control": first + 2,
                "internal": first + 4,
            }
    raise RuntimeError("no free ports")


def _is_free(host, port):
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


async def call(address, method, target, headers=(), body=b"", *, timeout_s=5.0):
    """Send one request on a connection of its own; return the answer, or None.

    None means that the connection failed or ended without a complete answer.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                encode(
                    f"{method} {target} HTTP/1.1",
                    [("Host", HOST_NAME), *headers],
                    body,
                    is_sized=bool(body) or method == "POST",
                )
            )
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            with contextlib.suppress(Exception):
                writer.close()


def run_case(run, case_path):
    """Run a case and return its exit code.

    ``run(deployment)`` returns whether the rule was broken.
    """
    deployment = Deployment(Path(case_path).resolve().parent)
    try:
        return int(asyncio.run(run(deployment)))
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        deployment.note(f"could not run: {error!r}")
        return 2
    finally:
        deployment.stop()


class Endpoint:
    """An endpoint of a service that registers itself and answers requests.

    ``respond(request, reader, writer)`` answers a request that it runs, and returns
    whether the connection stays open. ``arrivals`` holds the time and the attempt id
    of each request that has arrived for this endpoint.
    """

    def __init__(self, deployment, *, name, service, zone, respond, slots=6):
        self._deployment = deployment
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self._respond = respond
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.arrivals = []
        self.address = ""

    async def start(self, host):
        """Start serving, and write the row."""
        self.server = await serve(self._handle, host)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"
        self.register()

    def register(self):
        """Write the row; a heartbeat that only counts on does not change it."""
        self.sequence += 1
        row = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self._deployment.store.write(f"servers/{self.name}", json.dumps(row).encode())

    async def _handle(self, request, reader, writer):
        expected = request.header("x-expected-instance")
        if expected not in (None, self.name):
            writer.write(encode("HTTP/1.1 421 Misdirected Request", []))
            return True
        attempt = request.header("x-attempt-id")
        if attempt is not None:
            self.arrivals.append((self._deployment.now(), attempt))
        return await self._respond(self, request, reader, writer)
