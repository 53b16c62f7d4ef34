"""Measure the control cost of one real node process among fake peers."""

import os
import subprocess
import sys
import tempfile
import time
from dataclasses import asdict, dataclass

import gevent
import psutil
import yaml

from savoryhill.bench._answers import answers_text, make_answers
from savoryhill.bench.capacity.peers import (
    Fleet,
    Traffic,
    announce_hosts,
    run_ticks,
    start_peer,
    stop_peers,
)
from savoryhill.bench.capacity.target import TARGET
from savoryhill.config import apply as config_apply
from savoryhill.config.model import load_configuration
from savoryhill.config.store import make_store
from savoryhill.core.coordination.view import rendezvous_order
from savoryhill.demo.deployment import free_address
from savoryhill.demo.run import wait_until_address_ready
from savoryhill.httpapp import serve
from savoryhill.standins.engine import EngineState, engine_application
from savoryhill.standins.platform import PlatformState, platform_application

CLUSTER_KEY = "capacity-cluster-key-0123"
SETTLE_S = 20.0
WINDOW_S = 20.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ControlCost:
    """Control cost of a node over a measuring window."""

    core_share: float
    peak_core_share: float
    resident_bytes: int
    sent_bytes_per_s: float
    received_bytes_per_s: float
    messages_per_s: float
    key_value_calls_per_s: float
    key_value_bytes_per_s: float


@dataclass(kw_only=True)
class CallCounter:
    """Number of calls to the platform stand-in, and the bytes of their bodies."""

    n_calls: int = 0
    n_bytes: int = 0


def _count_calls(application, call_counter):
    """Wrap a WSGI application to count calls and the bytes of their bodies."""

    def counting_application(environ, start_response):
        call_counter.n_calls += 1
        call_counter.n_bytes += int(environ.get("CONTENT_LENGTH") or 0)
        for part in application(environ, start_response):
            call_counter.n_bytes += len(part)
            yield part

    return counting_application


def _make_answers(target):
    """Make questionnaire answers of a size, with every endpoint on loopback."""
    answers = make_answers(
        n_engines=target.n_engines,
        n_workspaces=target.n_workspaces,
        n_models=target.n_models,
        n_zones=target.n_zones,
    )
    for each in answers["models"].values():
        each["checks_incarnation"] = True
    models_and_services = [*answers["models"].values(), *answers["services"].values()]
    n_endpoints = 0
    for each in models_and_services:
        for endpoint in each["endpoints"].values():
            n_endpoints += 1
            endpoint["address"] = (
                f"127.1.{n_endpoints // 250}.{n_endpoints % 250 + 1}:8000"
            )
    return answers


def _busiest_node(configuration, nodes):
    """Return the node that coordinates the most groups, with those groups."""
    groups_by_node = {}
    for group in configuration.groups_by_id:
        first = rendezvous_order(group, nodes)[0]
        groups_by_node.setdefault(first, []).append(group)
    return max(groups_by_node.items(), key=lambda item: (len(item[1]), item[0]))


def _serve_endpoints(configuration, groups):
    servers = []
    for group in groups:
        for endpoint_id in configuration.groups_by_id[group].endpoints:
            engine = EngineState(
                id=endpoint_id,
                model="m",
                prefill_tokens_per_s=1e4,
                decode_tokens_per_s=10.0,
                memory_tokens=100_000,
                slots=8,
                clock=time.monotonic,
            )
            address = configuration.endpoints_by_id[endpoint_id].address
            servers.append(serve(engine_application(engine), address)[0])
    return servers


def measure_control(target=TARGET, *, settle_s=SETTLE_S, window_s=WINDOW_S):
    """Measure one node process among fake peers, before and after a zone loss.

    Parameters
    ----------
    target : Target
        The fleet size.
    settle_s, window_s : float
        Time before the first measurement, and length of each measuring window.

    Returns
    -------
    dict
        The fields of `ControlCost` under ``steady`` and ``zone_loss``, the fleet
        size, the number of groups that the node coordinates, and its start-up time in
        seconds.
    """
    platform = PlatformState()
    call_counter = CallCounter()
    server, address = serve(
        _count_calls(platform_application(platform), call_counter), "127.0.0.1:0"
    )
    accepted = config_apply.apply_answers(
        make_store(address),
        answers_text(_make_answers(target)),
        place="capacity",
        author="capacity",
        attempt="1",
        taken_from=0,
    )
    configuration = load_configuration(accepted.configuration)
    nodes = [f"node-{number}" for number in range(target.n_nodes)]
    observed_node, groups = _busiest_node(configuration, nodes)
    fleet = Fleet(
        observed_node=observed_node,
        cluster_key=CLUSTER_KEY.encode(),
        store=platform,
        clock=time.monotonic,
    )
    zones = [zone.name for zone in configuration.zones]
    zone_by_node = {node: zones[n % len(zones)] for n, node in enumerate(nodes)}
    for node in nodes:
        if node != observed_node:
            start_peer(fleet, node, zone_by_node[node], "south")
    fleet.addresses_by_node[observed_node] = free_address()
    for node, peer_address in fleet.addresses_by_node.items():
        platform.hosts_by_node[node] = {"node": node, "address": peer_address}
    servers = [server, *_serve_endpoints(configuration, groups)]
    announce_hosts(fleet)
    tick_greenlet = gevent.spawn(run_ticks, fleet)
    process, start_s = _start_node(
        observed_node,
        zone_by_node[observed_node],
        fleet.addresses_by_node[observed_node],
        address,
    )
    try:
        gevent.sleep(settle_s)
        steady = _measure(process, fleet, call_counter, window_s)
        lost_zone = next(z for z in zones if z != zone_by_node[observed_node])
        stop_peers(fleet, [n for n in nodes if zone_by_node[n] == lost_zone])
        zone_loss = _measure(process, fleet, call_counter, window_s)
    finally:
        process.terminate()
        process.wait(timeout=10)
        tick_greenlet.kill()
        for each in servers:
            each.stop(timeout=0.2)
    return {
        "n_nodes": target.n_nodes,
        "n_engines": target.n_engines,
        "n_groups_coordinated": len(groups),
        "start_s": round(start_s, 2),
        "steady": asdict(steady),
        "zone_loss": asdict(zone_loss),
    }


def _start_node(node, zone, peer_address, platform_address):
    listen = free_address()
    settings = {
        "node": node,
        "zone": zone,
        "region": "south",
        "listen": listen,
        "peer_listen": peer_address,
        "admin_listen": free_address(),
        "key_value": platform_address,
        "hosts": platform_address,
        "cluster_key": CLUSTER_KEY,
    }
    with tempfile.NamedTemporaryFile("w", suffix=".yaml", delete=False) as file:
        yaml.safe_dump(settings, file)
    started = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "savoryhill", "node", "--settings", file.name],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        stderr=subprocess.DEVNULL,
    )
    wait_until_address_ready(listen, timeout_s=20.0)
    os.unlink(file.name)
    return process, time.monotonic() - started


def _measure(process, fleet, call_counter, window_s):
    """Measure one window; the peak is the CPU share of its busiest second."""
    node_process = psutil.Process(process.pid)
    fleet.traffic = Traffic()
    call_counter.n_calls = call_counter.n_bytes = 0
    started = time.monotonic()
    first_cpu_s = _cpu_time_s(node_process)
    peak_share, last_cpu_s = 0.0, first_cpu_s
    resident_bytes = 0
    while time.monotonic() - started < window_s:
        sample_started = time.monotonic()
        gevent.sleep(1.0)
        cpu_s = _cpu_time_s(node_process)
        peak_share = max(
            peak_share, (cpu_s - last_cpu_s) / (time.monotonic() - sample_started)
        )
        last_cpu_s = cpu_s
        resident_bytes = max(resident_bytes, node_process.memory_info().rss)
    elapsed_s = time.monotonic() - started
    traffic = fleet.traffic
    return ControlCost(
        core_share=round((last_cpu_s - first_cpu_s) / elapsed_s, 4),
        peak_core_share=round(peak_share, 4),
        resident_bytes=resident_bytes,
        sent_bytes_per_s=round(traffic.sent_bytes / elapsed_s),
        received_bytes_per_s=round(traffic.received_bytes / elapsed_s),
        messages_per_s=round((traffic.n_sent + traffic.n_received) / elapsed_s, 1),
        key_value_calls_per_s=round(call_counter.n_calls / elapsed_s, 2),
        key_value_bytes_per_s=round(call_counter.n_bytes / elapsed_s),
    )


def _cpu_time_s(node_process):
    times = node_process.cpu_times()
    return times.user + times.system
