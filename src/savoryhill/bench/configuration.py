"""Measure how fast a change is in force, and that no revision goes back."""

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
from savoryhill.config.apply import apply_answers, plain_answers, with_taken_from
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
LIMIT_S = 10.0
FAULTS = ("none", "none", "none", "outage", "silent_watches")
N_CORES_LARGE = 340
N_ZONES_LARGE = 7
LOSS = 0.1
MAX_OUTAGE_S = 5.0
UNREACHABLE = "127.0.0.1:1"


def percentile(values, share):
    """Return the smallest value that is not below a share of the values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def bench_config(*, nodes=9, seed=1, changes=N_CHANGES, large=False, output="text"):
    """Measure the spread of configuration changes.

    Parameters
    ----------
    nodes : int
        Nodes in one process over loopback TCP; changes are applied at random, with
        outages of the key-value service and silent watches in between.
    seed : int
        Seed of the changes and faults.
    changes : int
        How many changes.
    large : bool
        Measure 340 cores in virtual time as well (takes about a minute).
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
    """Apply changes to real nodes and measure until each is in force everywhere.

    Returns
    -------
    dict
        ``in_force_p50_ms``, ``in_force_p99_ms`` and ``in_force_max_ms`` from the
        start of applying a change until the last node has it in force; ``reverts``;
        ``pushed`` counts changes followed at once by an outage, which reach the
        nodes by the operator's push alone.
    """
    chooser = random.Random(seed)
    deployment = start_deployment(n_nodes=n_nodes, n_engines=n_nodes)
    adopted = []
    try:
        for node in deployment.nodes:
            wait_until_ready(node)
            _note_adoptions(node, adopted)
        store = make_store(deployment.platform_address)
        times_ms, counts = [], dict.fromkeys((*FAULTS, "refused", "not_in_force"), 0)
        for _ in range(n_changes):
            fault = chooser.choice(FAULTS)
            counts[fault] += 1
            taken_s = _change(deployment, store, chooser, fault, counts)
            if taken_s is not None:
                times_ms.append(1000 * taken_s)
            gevent.sleep(chooser.uniform(0.0, 0.3))
    finally:
        stop_deployment(deployment)
    return {
        "nodes": n_nodes,
        "seed": seed,
        "changes": n_changes,
        "in_force_p50_ms": round(percentile(times_ms, 0.5), 1),
        "in_force_p99_ms": round(percentile(times_ms, 0.99), 1),
        "in_force_max_ms": round(max(times_ms), 1),
        "reverts": _count_reverts(adopted),
        "not_in_force": counts["not_in_force"],
        "pushed": counts["outage"],
        "silent_watches": counts["silent_watches"],
        "refused_in_outage": counts["refused"],
    }


def _note_adoptions(node, adopted):
    drivers = node.runtime.drivers_by_effect
    before = drivers[effects.ConfigurationInForce]

    def note(effect):
        adopted.append((time.monotonic(), node.settings.node, effect.revision))
        before(effect)

    drivers[effects.ConfigurationInForce] = note


def _count_reverts(adopted):
    highest_by_node, n_reverts = {}, 0
    for _, node, revision in adopted:
        n_reverts += revision <= highest_by_node.get(node, 0)
        highest_by_node[node] = max(revision, highest_by_node.get(node, 0))
    return n_reverts


def _change(deployment, store, chooser, fault, counts):
    """Apply one change; return the seconds until it is in force everywhere."""
    platform = deployment.platform
    platform.silent_watches = fault == "silent_watches"
    text = _changed_text(store, chooser)
    clients = [node.key_value for node in deployment.nodes]
    if fault == "outage":
        # The nodes lose the service just before the operator's write, so that only
        # the push can bring them the change.
        for node in deployment.nodes:
            node.key_value = make_key_value_client(UNREACHABLE)
    started_at = time.monotonic()
    accepted = _apply(store, text)
    if fault == "outage":
        platform.down = True
        push_until_in_force(
            revision=accepted.revision,
            content=accepted.configuration,
            hosts=deployment.platform_address,
            cluster_key=CLUSTER_KEY,
            timeout_s=LIMIT_S,
        )
        try:
            _apply(store, text)
        except PlatformError:
            counts["refused"] += 1
    taken_s = _wait(deployment, accepted.revision, started_at)
    platform.silent_watches = False
    if fault == "outage":
        gevent.sleep(chooser.uniform(0.0, MAX_OUTAGE_S))
        platform.down = False
        for node, client in zip(deployment.nodes, clients, strict=True):
            node.key_value = client
    if taken_s is None:
        counts["not_in_force"] += 1
    return taken_s


def _changed_text(store, chooser):
    current = read_current(store)
    answers = plain_answers(current.answers)
    if chooser.random() < 0.5:
        zone = chooser.choice(sorted(answers["zones"]))
        for name, each in answers["zones"].items():
            each["withdrawn"] = name == zone and not each.get("withdrawn", False)
    else:
        answers["policy"] = {"short_prompt_tokens": chooser.randrange(1_000, 100_000)}
    return with_taken_from(dump_yaml(answers), current.record.revision)


def _apply(store, text):
    return apply_answers(
        store,
        text,
        place="bench",
        author="bench",
        attempt=uuid.uuid4().hex,
        now_s=time.time(),
    )


def _wait(deployment, revision, started_at):
    while time.monotonic() - started_at < LIMIT_S:
        actives = [node.runtime.state.active for node in deployment.nodes]
        if all(active.revision >= revision for active in actives):
            return time.monotonic() - started_at
        gevent.sleep(0.002)
    return None


def measure_cores(
    *, n_nodes=N_CORES_LARGE, n_zones=N_ZONES_LARGE, seed=0, n_changes=5, loss=LOSS
):
    """Measure the spread over many cores in virtual time with 1 ms links.

    Returns
    -------
    dict
        ``in_force_max_s`` until a change was in force everywhere, ``reverts``, and
        the messages a second that a node sends while nothing changes and in an
        outage of the key-value service.
    """
    started_at = time.perf_counter()
    cores = start_configured_cores(
        n_nodes=n_nodes, n_zones=n_zones, seed=seed, loss=loss
    )
    quiet = _messages_per_s(cores, 5.0)
    n_reads = cores.service.n_reads
    times_s = []
    for revision in range(2, 2 + n_changes):
        apply_revision(cores, revision)
        times_s.append(run_until_in_force(cores, revision, timeout_s=60.0))
        run(cores, 1.0)
    reads_per_s = (cores.service.n_reads - n_reads) / (sum(times_s) + n_changes)
    cores.service.down = True
    run(cores, 4.0)
    outage = _messages_per_s(cores, 4.0)
    return {
        "cores": n_nodes,
        "seed": seed,
        "loss": loss,
        "in_force_max_s": round(max(times_s), 2),
        "in_force_s": [round(each, 2) for each in times_s],
        "reverts": count_reverts(cores),
        "isolated_in_outage": sum(
            state.configuration.isolated for state in cores.states_by_node.values()
        ),
        "messages_per_node_s": quiet,
        "messages_per_node_s_in_outage": outage,
        "service_reads_per_s": round(reads_per_s, 1),
        "run_s": round(time.perf_counter() - started_at, 1),
    }


def _messages_per_s(cores, duration_s):
    gossip = (messages.Ping, messages.Ack)
    cores.n_messages_by_type.clear()
    run(cores, duration_s)
    n_sent = sum(
        count for kind, count in cores.n_messages_by_type.items() if kind not in gossip
    )
    return round(n_sent / duration_s / len(cores.states_by_node), 1)
