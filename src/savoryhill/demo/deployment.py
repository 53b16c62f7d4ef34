"""Start stand-ins and nodes in one process, connected over loopback TCP."""

import itertools
import os
import time
import uuid
from dataclasses import dataclass, field
from hashlib import sha256
from random import Random

import gevent
import yaml
from gevent import socket

from savoryhill.config import apply as config_apply
from savoryhill.config.questionnaire import Questionnaire
from savoryhill.config.store import make_store
from savoryhill.errors import ConfigurationError
from savoryhill.httpapp import serve
from savoryhill.node.process import Node, start_node, stop_node
from savoryhill.node.settings import NodeSettings
from savoryhill.standins.engine import EngineState, engine_application, run_engine
from savoryhill.standins.platform import PlatformState, platform_application
from savoryhill.standins.service import ServiceState, service_application

ZONES = ("zone-a", "zone-b", "zone-c")
MODEL = "assistant"
SERVICE = "orders"
BEARER_KEY = "demo-key-of-workspace-one"
CLUSTER_KEY = "demo-cluster-key-0123456789"

HARDWARE = {
    "fast": {
        "prefill_tokens_per_s": 400_000.0,
        "decode_tokens_per_s": 400.0,
        "memory_tokens": 1_200_000,
        "slots": 16,
    },
    "slow": {
        "prefill_tokens_per_s": 150_000.0,
        "decode_tokens_per_s": 200.0,
        "memory_tokens": 600_000,
        "slots": 8,
    },
}


@dataclass(kw_only=True)
class Deployment:
    """Stand-ins and nodes of a demo, a benchmark run or a test."""

    platform: PlatformState
    platform_address: str
    hardware: dict[str, dict]
    policy: str = "savoryhill"
    engines_by_id: dict[str, EngineState] = field(default_factory=dict)
    engine_addresses_by_id: dict[str, str] = field(default_factory=dict)
    services_by_id: dict[str, ServiceState] = field(default_factory=dict)
    service_addresses_by_id: dict[str, str] = field(default_factory=dict)
    nodes: list[Node] = field(default_factory=list)
    servers: list = field(default_factory=list)
    greenlets: list = field(default_factory=list)


# Below the range from which the system picks ports for outgoing connections. A port of
# that range was taken between the check and its use.
_FIRST_PORT, _LAST_PORT = 10_000, 32_000
_ports = itertools.count(os.getpid() * 61)


def free_address():
    """Return a loopback address whose port is currently free.

    Ports are tried in order, starting at a port that depends on the process id.
    """
    while True:
        port = _FIRST_PORT + next(_ports) % (_LAST_PORT - _FIRST_PORT)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"


def start_deployment(
    *, n_nodes=3, n_engines=6, n_services=1, hardware=HARDWARE, policy="savoryhill"
):
    """Start stand-ins and nodes and apply a configuration.

    Parameters
    ----------
    n_nodes, n_engines, n_services : int
        Number of each; they are spread over three availability zones.
    hardware : dict of str to dict
        Rates and capacities of the hardware kinds ``fast`` and ``slow``, to which
        engines are assigned in turn.
    policy : str
        Routing policy of all nodes.

    Returns
    -------
    Deployment
        The running deployment; `stop_deployment` stops it.
    """
    platform = PlatformState()
    server, address = serve(platform_application(platform), "127.0.0.1:0")
    deployment = Deployment(
        platform=platform,
        platform_address=address,
        hardware=hardware,
        policy=policy,
    )
    deployment.servers.append(server)
    for number in range(n_engines):
        _start_engine(deployment, number)
    for number in range(n_services):
        _start_service(deployment, number)
    apply_answers(deployment, make_answers(deployment), revision=1)
    for number in range(n_nodes):
        _start_node(deployment, number)
    return deployment


def stop_deployment(deployment):
    """Stop everything that `start_deployment` started."""
    for node in deployment.nodes:
        stop_node(node)
    gevent.killall(deployment.greenlets)
    for server in deployment.servers:
        server.stop(timeout=0.2)


def zone_of(deployment, engine_id):
    """Return the availability zone of an engine."""
    number = list(deployment.engines_by_id).index(engine_id)
    return ZONES[number % len(ZONES)]


def _hardware_of(number):
    return "fast" if number % 2 == 0 else "slow"


def _start_engine(deployment, number):
    engine_id = f"engine-{number}"
    engine = EngineState(
        id=engine_id,
        model=MODEL,
        clock=time.monotonic,
        random=Random(number),
        **deployment.hardware[_hardware_of(number)],
    )
    server, address = serve(engine_application(engine), "127.0.0.1:0")
    deployment.servers.append(server)
    deployment.greenlets.append(gevent.spawn(run_engine, engine))
    deployment.engines_by_id[engine_id] = engine
    deployment.engine_addresses_by_id[engine_id] = address


def _start_service(deployment, number):
    service_id = f"{SERVICE}-{number}"
    service = ServiceState(id=service_id)
    server, address = serve(service_application(service), "127.0.0.1:0")
    deployment.servers.append(server)
    deployment.services_by_id[service_id] = service
    deployment.service_addresses_by_id[service_id] = address


def _start_node(deployment, number):
    settings = NodeSettings(
        node=f"node-{number}",
        zone=ZONES[number % len(ZONES)],
        region="south",
        listen=free_address(),
        peer_listen=free_address(),
        admin_listen=free_address(),
        key_value=deployment.platform_address,
        hosts=deployment.platform_address,
        cluster_key=CLUSTER_KEY,
    )
    deployment.platform.hosts_by_node[settings.node] = {
        "node": settings.node,
        "address": settings.peer_listen,
        "zone": settings.zone,
        "state": "live",
    }
    node = start_node(settings)
    node.runtime.state.routing.policy = deployment.policy
    deployment.nodes.append(node)


def make_answers(deployment, *, withdrawn=()):
    """Build the questionnaire of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Deployment whose endpoints are entered.
    withdrawn : collection of str
        Names of the availability zones to mark as withdrawn.

    Returns
    -------
    Questionnaire
        The answered questionnaire.
    """

    def endpoint_answers(number, address, hardware):
        zone = ZONES[number % len(ZONES)]
        return {"address": address, "zone": zone, "hardware": hardware}

    engines = {
        engine_id: endpoint_answers(number, address, _hardware_of(number))
        for number, (engine_id, address) in enumerate(
            deployment.engine_addresses_by_id.items()
        )
    }
    services = {
        service_id: endpoint_answers(number, address, "application")
        for number, (service_id, address) in enumerate(
            deployment.service_addresses_by_id.items()
        )
    }
    application_hardware = {
        "prefill_tokens_per_s": 1e6,
        "decode_tokens_per_s": 1e6,
        "memory_tokens": 1,
        "slots": 32,
        "cold_slots": 4,
    }
    return Questionnaire.model_validate(
        {
            "zones": {
                zone: {"region": "south", "withdrawn": zone in withdrawn}
                for zone in ZONES
            },
            "hardware": {**deployment.hardware, "application": application_hardware},
            "models": {
                MODEL: {
                    "version": "1",
                    "checks_incarnation": True,
                    "endpoints": engines,
                }
            },
            "services": {
                SERVICE: {
                    "endpoints": services,
                    "calls": [
                        {
                            "method": "POST",
                            "path": "/call/order",
                            "idempotent": False,
                            "kind": "order",
                            "lookup_path": "/lookup",
                        },
                        {
                            "method": "GET",
                            "path": "/call/stock",
                            "idempotent": True,
                            "kind": "query",
                        },
                    ],
                }
            },
            "workspaces": {
                "workspace-one": {
                    "key_hashes": [sha256(BEARER_KEY.encode()).hexdigest()]
                }
            },
            "kinds": {
                "completion": {"deadline_s": 30.0},
                "order": {"deadline_s": 5.0, "answered_weight": 5.0},
                "query": {"deadline_s": 5.0},
            },
        }
    )


def apply_answers(deployment, answers, *, revision):
    """Apply the answers as a new revision through the key-value service.

    Parameters
    ----------
    deployment : Deployment
        The deployment to change.
    answers : Questionnaire
        The new answers.
    revision : int
        Revision that the answers become; the previous one must be in force.

    Raises
    ------
    ConfigurationError
        If another revision is in force or the answers are invalid.
    """
    accepted = config_apply.apply_answers(
        make_store(deployment.platform_address),
        yaml.safe_dump(answers.model_dump(exclude_defaults=True), sort_keys=False),
        place="demo",
        author="demo",
        attempt=uuid.uuid4().hex,
        taken_from=revision - 1,
    )
    if accepted.revision != revision:
        raise ConfigurationError(
            f"the answers became revision {accepted.revision}, not {revision}"
        )
    return accepted
