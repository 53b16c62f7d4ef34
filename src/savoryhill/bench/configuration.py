"""Measure how fast configuration changes come into force, and count reverts."""

import json
import random
import sys
import time
import uuid

import gevent

from savoryhill.bench._cores import (
    apply_revision,
    count_reverts,
    run,
    run_until_in_force,
    start_configured_cores,
)
from savoryhill.config.answer_text import plain_answers, with_taken_from
from savoryhill.config.apply import apply_answers
from savoryhill.config.findings import dump_yaml
from savoryhill.config.push import push_until_in_force
from savoryhill.config.store import make_store, read_current
from savoryhill.core import effects, messages
from savoryhill.demo.deployment import (
    CLUSTER_KEY,
    start_deployment,
    stop_deployment,
)
from savoryhill.demo.run import wait_until_ready
from savoryhill.errors import PlatformError
from savoryhill.platform.key_value import make_key_value_client

N_CHANGES = 30
TIMEOUT_S = 10.0
FAULTS = ("none", "none", "none", "outage", "silent_watches")
N_CORES_LARGE = 340
N_ZONES_LARGE = 7
LOSS = 0.1
MAX_OUTAGE_S = 5.0
UNREACHABLE_ADDRESS = "127.0.0.1:1"


def percentile(values, share):
    """Return the smallest value that is not below a share of the values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def bench_config(*, nodes=9, seed=1, changes=N_CHANGES, large=False, output="text"):
    """Measure the spread of configuration changes.

    Parameters
    ----------
    nodes : int
        Number of nodes, in one process over loopback TCP. Changes are applied at
        random intervals; some are followed at once by an outage of the key-value
        service, some applied while watches are silent.
    seed : int
        Seed of the changes and faults.
    changes : int
        Number of changes.
    large : bool
        Also measure 340 cores in virtual time, which takes about a minute.
    output : str
        ``text`` or ``json``.
    """
    result = measure_nodes(n_nodes=int(nodes), seed=int(seed), n_changes=int(changes))
    if large:
        result["large"] = measure_cores(seed=int(seed))
    if output == "json":
        print(json.dumps(result, indent=2))
    else:
        print("\n".join(f"{name} {value}" for name, value in result.items()))
    if result["reverts"] or result["not_in_force"]:
        sys.exit(1)


def measure_nodes(*, n_nodes, seed, n_changes):
    """Apply changes and measure how long each takes to be in force on all nodes.

    Returns
    -------
    dict
        ``in_force_p50_ms``, ``in_force_p99_ms`` and ``in_force_max_ms``, from the
        start of applying a change until the last node has it in force; ``reverts``,
        the number of times a node put a revision in force that was not above its
        highest; ``pushed``, the number of changes that reach the nodes by the
        operator's push only, because an outage follows at once.
    """
    rng = random.Random(seed)
    deployment = start_deployment(n_nodes=n_nodes, n_engines=n_nodes)
    activations = []
    try:
        for node in deployment.nodes:
            wait_until_ready(node)
            _record_activations(node, activations)
        store = make_store(deployment.platform_address)
        times_ms, counts = [], dict.fromkeys((*FAULTS, "refused", "not_in_force"), 0)
        for _ in range(n_changes):
            fault = rng.choice(FAULTS)
            counts[fault] += 1
            taken_s = _apply_random_change(deployment, store, rng, fault, counts)
            if taken_s is not None:
                times_ms.append(1000 * taken_s)
            gevent.sleep(rng.uniform(0.0, 0.3))
    finally:
        stop_deployment(deployment)
    return {
        "nodes": n_nodes,
        "seed": seed,
        "changes": n_changes,
        "in_force_p50_ms": round(percentile(times_ms, 0.5), 1),
        "in_force_p99_ms": round(percentile(times_ms, 0.99), 1),
        "in_force_max_ms": round(max(times_ms), 1),
        "reverts": _count_reverts(activations),
        "not_in_force": counts["not_in_force"],
        "pushed": counts["outage"],
        "silent_watches": counts["silent_watches"],
        "refused_in_outage": counts["refused"],
    }


def _record_activations(node, activations):
    drivers = node.runtime.drivers_by_effect
    original_driver = drivers[effects.ConfigurationInForce]

    def record_activation(effect):
        activations.append((time.monotonic(), node.settings.node, effect.revision))
        original_driver(effect)

    drivers[effects.ConfigurationInForce] = record_activation


def _count_reverts(activations):
    highest_by_node, n_reverts = {}, 0
    for _, node, revision in activations:
        n_reverts += revision <= highest_by_node.get(node, 0)
        highest_by_node[node] = max(revision, highest_by_node.get(node, 0))
    return n_reverts


def _apply_random_change(deployment, store, rng, fault, counts):
    """Apply one change and wait until it is in force on all nodes.

    Returns the seconds until then, None if that takes longer than `TIMEOUT_S`.
    """
    platform = deployment.platform
    platform.silent_watches = fault == "silent_watches"
    text = _draw_answers(store, rng)
    clients = [node.key_value for node in deployment.nodes]
    if fault == "outage":
        # The nodes lose the key-value service just before the operator's write, so
        # that they can get the change by the push only.
        for node in deployment.nodes:
            node.key_value = make_key_value_client(UNREACHABLE_ADDRESS)
    started_at = time.monotonic()
    accepted = _apply_text(store, text)
    if fault == "outage":
        platform.down = True
        push_until_in_force(
            revision=accepted.revision,
            content=accepted.configuration,
            hosts=deployment.platform_address,
            cluster_key=CLUSTER_KEY,
            timeout_s=TIMEOUT_S,
        )
        try:
            _apply_text(store, text)
        except PlatformError:
            counts["refused"] += 1
    taken_s = _wait_until_in_force(deployment, accepted.revision, started_at)
    platform.silent_watches = False
    if fault == "outage":
        gevent.sleep(rng.uniform(0.0, MAX_OUTAGE_S))
        platform.down = False
        for node, client in zip(deployment.nodes, clients, strict=True):
            node.key_value = client
    if taken_s is None:
        counts["not_in_force"] += 1
    return taken_s


def _draw_answers(store, rng):
    current = read_current(store)
    answers = plain_answers(current.answers)
    if rng.random() < 0.5:
        zone = rng.choice(sorted(answers["zones"]))
        for name, zone_fields in answers["zones"].items():
            zone_fields["withdrawn"] = name == zone and not zone_fields.get(
                "withdrawn", False
            )
    else:
        answers["policy"] = {"short_prompt_tokens": rng.randrange(1_000, 100_000)}
    return with_taken_from(dump_yaml(answers), current.record.revision)


def _apply_text(store, text):
    return apply_answers(
        store,
        text,
        place="bench",
        author="bench",
        attempt=uuid.uuid4().hex,
        now_s=time.time(),
    )


def _wait_until_in_force(deployment, revision, started_at):
    while time.monotonic() - started_at < TIMEOUT_S:
        active_configurations = [node.runtime.state.active for node in deployment.nodes]
        if all(active.revision >= revision for active in active_configurations):
            return time.monotonic() - started_at
        gevent.sleep(0.002)
    return None


def measure_cores(
    *, n_nodes=N_CORES_LARGE, n_zones=N_ZONES_LARGE, seed=0, n_changes=5, loss=LOSS
):
    """Measure the spread of changes over many cores in virtual time, with 1 ms links.

    Returns
    -------
    dict
        ``in_force_max_s``, the longest time until a change was in force on all
        cores; ``reverts``; and the messages a second, without probes and
        acknowledgements, that a node sends while nothing changes and during an
        outage of the key-value service.
    """
    started_at = time.perf_counter()
    cores = start_configured_cores(
        n_nodes=n_nodes, n_zones=n_zones, seed=seed, loss=loss
    )
    steady = _measure_messages_per_s(cores, 5.0)
    n_reads = cores.service.n_reads
    times_s = []
    for revision in range(2, 2 + n_changes):
        apply_revision(cores, revision)
        times_s.append(run_until_in_force(cores, revision, timeout_s=60.0))
        run(cores, 1.0)
    reads_per_s = (cores.service.n_reads - n_reads) / (sum(times_s) + n_changes)
    cores.service.down = True
    run(cores, 4.0)
    outage = _measure_messages_per_s(cores, 4.0)
    return {
        "cores": n_nodes,
        "seed": seed,
        "loss": loss,
        "in_force_max_s": round(max(times_s), 2),
        "in_force_s": [round(time_s, 2) for time_s in times_s],
        "reverts": count_reverts(cores),
        "isolated_in_outage": sum(
            state.configuration.isolated for state in cores.states_by_node.values()
        ),
        "messages_per_node_s": steady,
        "messages_per_node_s_in_outage": outage,
        "service_reads_per_s": round(reads_per_s, 1),
        "run_s": round(time.perf_counter() - started_at, 1),
    }


def _measure_messages_per_s(cores, duration_s):
    gossip = (messages.Ping, messages.Ack)
    cores.n_messages_by_type.clear()
    run(cores, duration_s)
    n_sent = sum(
        count
        for message_type, count in cores.n_messages_by_type.items()
        if message_type not in gossip
    )
    return round(n_sent / duration_s / len(cores.states_by_node), 1)
