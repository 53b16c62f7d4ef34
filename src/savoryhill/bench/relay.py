"""Measure the data path of a node: ``python -m savoryhill.bench.relay``.

The platform stand-in, one engine stand-in and two nodes run as separate processes.
The entry node is the one that does not coordinate the engine's group, so that every
placement takes a call to the other node.
"""

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from hashlib import sha256
from pathlib import Path

import gevent
import psutil
import yaml
from gevent import socket

from savoryhill.config.apply import apply_answers
from savoryhill.config.store import make_store
from savoryhill.demo.deployment import free_address
from savoryhill.errors import SavoryhillError
from savoryhill.standins.engine.batching import DECODE_SLOWDOWN_PER_STREAM

MODEL = "assistant"
BEARER_KEY = "key-of-the-relay-bench"
CLUSTER_KEY = "cluster-key-of-the-relay-bench"
ADMIN_KEY = "admin-key-of-the-relay-bench"
N_STREAMS = 100
TOKENS_PER_S = 71.0
SETTLE_S = 2.0
WINDOW_S = 6.0
N_FIRST_TOKENS = 300
TIMEOUT_S = 30.0
N_WARM_UP = 20
_OFFSET_PATTERN = re.compile(rb'"offset": (\d+),')
PROMPT = "a question of some length " * 20


class BenchError(SavoryhillError):
    """A process of the benchmark did not start or respond as required."""


def run_relay_bench(*, n_streams=N_STREAMS, window_s=WINDOW_S, n_first=N_FIRST_TOKENS):
    """Measure cost per chunk, added latency and memory.

    Parameters
    ----------
    n_streams : int
        Concurrent streams, each at 71 tokens a second.
    window_s : float
        Length of the measurement window for processor time, in seconds.
    n_first : int
        Number of first-token times measured directly and through the node.

    Returns
    -------
    dict
        The figures, with units in the names.
    """
    with tempfile.TemporaryDirectory() as directory:
        started = []
        try:
            addresses = _start_processes(Path(directory), started, n_streams)
            return _measure(addresses, n_streams, window_s, n_first)
        finally:
            for process in started:
                process.send_signal(signal.SIGKILL)
                process.wait()


def _start_process(directory, started, name, *arguments, settings):
    path = directory / f"{name}.yaml"
    path.write_text(yaml.safe_dump(settings))
    source = str(Path(__file__).parents[2])
    process = subprocess.Popen(
        [sys.executable, "-m", "savoryhill", *arguments, str(path)],
        env={**os.environ, "PYTHONPATH": source},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    started.append(process)
    return process


def _start_processes(directory, started, n_streams):
    platform, engine = free_address(), free_address()
    figures = {
        "prefill_tokens_per_s": 1e6,
        # Compensates for the slowdown by concurrent streams: while all of them are
        # open, each stream gets 71 tokens a second.
        "decode_tokens_per_s": TOKENS_PER_S
        * (1 + DECODE_SLOWDOWN_PER_STREAM * n_streams),
        "memory_tokens": 10**8,
        "slots": 2 * n_streams,
        "cold_slots": 2 * n_streams,
    }
    nodes = []
    for number in range(2):
        nodes.append(
            {
                "node": f"node-{number}",
                "zone": "zone-a",
                "region": "south",
                "listen": free_address(),
                "peer_listen": free_address(),
                "admin_listen": free_address(),
                "key_value": platform,
                "hosts": platform,
                "cluster_key": CLUSTER_KEY,
                "admin_key": ADMIN_KEY,
            }
        )
    hosts = [
        {
            "node": settings["node"],
            "address": settings["peer_listen"],
            "zone": settings["zone"],
            "state": "live",
        }
        for settings in nodes
    ]
    process_settings = {"listen": platform, "hosts": hosts}
    _start_process(
        directory, started, "platform", "standin", "platform", settings=process_settings
    )
    # Direct requests carry no fencing number, so the engine must not check it.
    process_settings = {"listen": engine, "id": "engine-0", "model": MODEL, **figures}
    process_settings["checks_fencing"] = False
    _start_process(
        directory, started, "engine", "standin", "engine", settings=process_settings
    )
    _wait_until(lambda: _call(platform, "GET", "/hosts")[0] == 200, "platform stand-in")
    _wait_until(
        lambda: _call(engine, "GET", "/admin/load")[0] == 200, "engine stand-in"
    )
    _write_configuration(platform, engine, figures)
    pids = {}
    for settings in nodes:
        name = settings["node"]
        arguments = ("node", "--log_level", "ERROR")
        process = _start_process(
            directory, started, name, *arguments, settings=settings
        )
        pids[name] = process.pid
    for settings in nodes:
        ready = _readiness_check(settings["listen"])
        _wait_until(ready, f"node {settings['node']}")
    coordinator = _wait_for_coordinator(nodes[0]["admin_listen"])
    (entry,) = [settings for settings in nodes if settings["node"] != coordinator]
    _wait_until(lambda: _first_token_s(entry["listen"]), "first token")
    return {
        "engine": engine,
        "entry": entry["listen"],
        "entry_pid": pids[entry["node"]],
    }


def _readiness_check(address):
    return lambda: _call(address, "GET", "/readyz")[0] == 200


def _wait_for_coordinator(admin):
    found = []

    def is_known():
        status, content = _call(admin, "GET", "/admin/status", key=ADMIN_KEY)
        groups = json.loads(content)["groups"] if status == 200 else []
        found[:] = [group["coordinator"] for group in groups]
        return bool(found and found[0])

    _wait_until(is_known, "coordinator")
    return found[0]


def _write_configuration(platform, engine, figures):
    answers = {
        "zones": {"zone-a": {"region": "south"}},
        "hardware": {"one": figures},
        "models": {
            MODEL: {
                "version": "1",
                "endpoints": {
                    "engine-0": {
                        "address": engine,
                        "zone": "zone-a",
                        "hardware": "one",
                    }
                },
            }
        },
        "workspaces": {
            "bench": {"key_hashes": [sha256(BEARER_KEY.encode()).hexdigest()]}
        },
        "kinds": {"completion": {"deadline_s": 120.0}},
    }
    apply_answers(
        make_store(platform),
        yaml.safe_dump(answers, sort_keys=False),
        place="bench",
        author="bench",
        attempt="bench",
        taken_from=0,
    )


def _wait_until(condition, description):
    ends_at = time.monotonic() + TIMEOUT_S
    while True:
        try:
            if condition():
                return
        except (OSError, BenchError):
            pass
        if time.monotonic() > ends_at:
            raise BenchError(f"{description} not available within {TIMEOUT_S} s")
        gevent.sleep(0.05)


def _send_request(address, method, path, body=b"", key=BEARER_KEY):
    """Send a request and return the socket to read the response from."""
    host, port = address.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n"
        f"Authorization: Bearer {key}\r\nContent-Type: application/json\r\n"
        f"X-Request-Id: bench-{id(sock)}-{time.monotonic_ns()}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    sock.sendall(head.encode() + body)
    return sock


def _call(address, method, path, body=b"", key=BEARER_KEY):
    with _send_request(address, method, path, body, key) as sock:
        response = b""
        while block := sock.recv(65536):
            response += block
    head, _, content = response.partition(b"\r\n\r\n")
    status = head.split(b" ", 2)[1:2]
    return int(status[0]) if status else 0, content


def _open_stream(address, max_tokens):
    body = {"model": MODEL, "prompt": PROMPT, "max_tokens": max_tokens, "stream": True}
    return _send_request(address, "POST", "/v1/completions", json.dumps(body).encode())


def _first_token_s(address):
    """Return the time to the first token in seconds.

    Raises
    ------
    BenchError
        If the response ends without a token, as that of a refused request does.
    """
    started = time.perf_counter()
    with _open_stream(address, 1) as sock:
        response = b""
        while b'"text": "' not in response:
            block = sock.recv(65536)
            if not block:
                raise BenchError(
                    f"{address} ended the response without a token: {response[-300:]!r}"
                )
            response += block
        return time.perf_counter() - started


def _read_stream(sock, counts, number):
    """Count the chunks of a stream and record its latest offset, until it ends.

    The end of each block is kept, since a chunk's marker may span two blocks.
    """
    tail = b""
    with sock:
        while block := sock.recv(65536):
            joined = tail + block
            counts["chunks"] += joined.count(b'"text": "') - tail.count(b'"text": "')
            offsets = _OFFSET_PATTERN.findall(joined)
            if offsets:
                counts["offsets"][number] = int(offsets[-1])
            tail = joined[-8:]


def _percentile(values, percent):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def _measure(addresses, n_streams, window_s, n_first):
    for _ in range(N_WARM_UP):
        _first_token_s(addresses["entry"])
    direct, through = [], []
    for _ in range(n_first):
        direct.append(_first_token_s(addresses["engine"]))
        through.append(_first_token_s(addresses["entry"]))
    entry = psutil.Process(addresses["entry_pid"])
    idle_cpu = sum(entry.cpu_times()[:2])
    gevent.sleep(SETTLE_S)
    idle_cpu = sum(entry.cpu_times()[:2]) - idle_cpu
    rss_before = entry.memory_info().rss
    counts = {"chunks": 0, "offsets": [0] * n_streams}
    n_tokens = int(TOKENS_PER_S * (SETTLE_S + window_s + 20))
    readers = []
    for number in range(n_streams):
        sock = _open_stream(addresses["entry"], n_tokens)
        readers.append(gevent.spawn(_read_stream, sock, counts, number))
    gevent.sleep(SETTLE_S)
    rss_open = entry.memory_info().rss
    first_offsets = sum(counts["offsets"])
    first_chunks, first_cpu = counts["chunks"], sum(entry.cpu_times()[:2])
    started = time.monotonic()
    gevent.sleep(window_s)
    seconds = time.monotonic() - started
    n_chunks = counts["chunks"] - first_chunks
    n_relayed_tokens = sum(counts["offsets"]) - first_offsets
    cpu_s = sum(entry.cpu_times()[:2]) - first_cpu
    gevent.killall(readers)
    ms_per_s = 1000.0
    return {
        "n_streams": n_streams,
        "window_s": round(seconds, 3),
        "tokens_per_s": round(n_relayed_tokens / seconds, 1),
        "chunks_per_s": round(n_chunks / seconds, 1),
        "idle_cpu_share_of_core": round(idle_cpu / SETTLE_S, 4),
        "cpu_share_of_core": round(cpu_s / seconds, 4),
        "cpu_us_per_chunk": round(1e6 * cpu_s / max(1, n_chunks), 2),
        "chunks_per_s_per_core": round(n_chunks / max(1e-9, cpu_s)),
        "memory_per_stream_bytes": round((rss_open - rss_before) / n_streams),
        "direct_first_token_ms_p50": round(ms_per_s * _percentile(direct, 50), 3),
        "direct_first_token_ms_p99": round(ms_per_s * _percentile(direct, 99), 3),
        "through_first_token_ms_p50": round(ms_per_s * _percentile(through, 50), 3),
        "through_first_token_ms_p99": round(ms_per_s * _percentile(through, 99), 3),
        "added_first_token_ms_p50": round(
            ms_per_s * (_percentile(through, 50) - _percentile(direct, 50)), 3
        ),
        "added_first_token_ms_p99": round(
            ms_per_s * (_percentile(through, 99) - _percentile(direct, 99)), 3
        ),
    }


def main(output="text", n_streams=N_STREAMS, window_s=WINDOW_S, n_first=N_FIRST_TOKENS):
    """Run the benchmark and print its figures.

    Parameters
    ----------
    output : str
        text or json.
    n_streams, n_first : int
        Number of concurrent streams; number of first-token times measured.
    window_s : float
        Length of the measurement window in seconds.
    """
    figures = run_relay_bench(n_streams=n_streams, window_s=window_s, n_first=n_first)
    if output == "json":
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(f"{name:<28} {value}")


if __name__ == "__main__":
    import fire

    fire.Fire(main)
