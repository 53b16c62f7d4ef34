"""Place orders under injected faults; count duplicates and false refusals."""

import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field

import gevent
from gevent.pool import Pool
from geventhttpclient import HTTPClient

from savoryhill.demo import deployment as demo
from savoryhill.demo.run import wait_until_ready
from savoryhill.node.process import start_node, stop_node

N_NODES = 3
N_ORDERS = 60
RATE_PER_S = 30.0
REPEAT_SHARE = 0.4
CALLER_TIMEOUT_S = 8.0
MAX_REPEATS = 4
FAULT_INTERVAL_S = 0.25
OUTAGE_S = 0.6
N_DIRECT_CALLS = 100


@dataclass(kw_only=True)
class Order:
    """An idempotency key with the execution state of each request, in order.

    ``false_not_run`` counts the refusals as "not run" after which the service had
    executed the key although all its requests had been refused as "not run".
    """

    key: str
    executions: list[str] = field(default_factory=list)
    duration_ms: float = 0.0
    false_not_run: int = 0


def run_orders(
    *, seed, faults="all", n_orders=N_ORDERS, rate_per_s=RATE_PER_S, n_nodes=N_NODES
):
    """Place orders at a deployment of real nodes and stand-ins.

    Parameters
    ----------
    seed : int
        Seed of keys, repeats and faults.
    faults : str
        ``all`` or ``none``.
    n_orders : int
        Number of keys.
    rate_per_s : float
        Orders a second, without repeats.
    n_nodes : int
        Number of entry nodes.

    Returns
    -------
    dict
        The figures of `savoryhill bench orders`.
    """
    rng = random.Random(seed)
    deployment = demo.start_deployment(n_nodes=n_nodes, n_engines=1, n_services=3)
    share_execution_records(deployment)
    try:
        for node in deployment.nodes:
            wait_until_ready(node)
        gevent.sleep(0.6)
        return _measure(deployment, rng, seed, faults, n_orders, rate_per_s)
    finally:
        demo.stop_deployment(deployment)


def share_execution_records(deployment):
    """Let all instances of the service share their executions and answers."""
    first, *others = deployment.services_by_id.values()
    for service in others:
        service.executions_by_key = first.executions_by_key
        service.answers_by_key = first.answers_by_key


def execution_counts(deployment):
    """Return the number of executions by key, as counted by the service."""
    return next(iter(deployment.services_by_id.values())).executions_by_key


def _measure(deployment, rng, seed, faults, n_orders, rate_per_s):
    platform = deployment.platform
    direct_ms = [] if faults == "all" else _direct_calls(deployment)
    before = (platform.n_writes, platform.n_reads)
    started = time.monotonic()
    fault_injector = (
        gevent.spawn(_inject_faults, deployment, rng) if faults == "all" else None
    )
    orders = [Order(key=f"order-{seed}-{number}") for number in range(n_orders)]
    pool = Pool(200)
    for number, order in enumerate(orders):
        due_at = started + number / rate_per_s
        gevent.sleep(max(0.0, due_at - time.monotonic()))
        pool.spawn(
            _place_with_repeats,
            deployment,
            order,
            random.Random(f"{seed}/{number}"),
            faults,
        )
    pool.join()
    elapsed_s = time.monotonic() - started
    after = (platform.n_writes, platform.n_reads)
    if fault_injector is not None:
        fault_injector.kill()
        _clear_faults(deployment)
    counts = execution_counts(deployment)
    last_executions = Counter(order.executions[-1] for order in orders)
    times_ms = sorted(order.duration_ms for order in orders)
    result = {
        "seed": seed,
        "faults": faults,
        "orders": n_orders,
        "requests": sum(len(order.executions) for order in orders),
        "executed": len(counts),
        "duplicates": sum(count - 1 for count in counts.values() if count > 1),
        "false_not_run": sum(order.false_not_run for order in orders),
        "unknown": last_executions["unknown"] + last_executions["broken"],
        "completed": last_executions["completed"],
        "not_run": last_executions["not_run"],
        "kv_writes_per_s": round((after[0] - before[0]) / elapsed_s, 1),
        "kv_reads_per_s": round((after[1] - before[1]) / elapsed_s, 1),
        "p50_ms": round(_percentile(times_ms, 0.50), 1),
        "p99_ms": round(_percentile(times_ms, 0.99), 1),
    }
    if direct_ms:
        result["direct_p50_ms"] = round(_percentile(direct_ms, 0.50), 1)
        overhead_ms = result["p99_ms"] - _percentile(direct_ms, 0.50)
        result["overhead_p99_ms"] = round(overhead_ms, 1)
    return result


def _percentile(sorted_values, share):
    if not sorted_values:
        return 0.0
    return sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]


def _direct_calls(deployment):
    """Call the service directly; return the sorted durations in milliseconds."""
    address = next(iter(deployment.service_addresses_by_id.values()))
    times_ms = []
    for number in range(N_DIRECT_CALLS):
        started = time.monotonic()
        send_order(address, "/call/order", f"direct-{number}", {})
        times_ms.append((time.monotonic() - started) * 1000)
    for key in [
        key for key in execution_counts(deployment) if key.startswith("direct")
    ]:
        del execution_counts(deployment)[key]
    return sorted(times_ms)


def send_order(address, path, key, headers):
    """Send one order; return the status and the decoded response."""
    host, port = address.rsplit(":", 1)
    client = HTTPClient(
        host, int(port), connection_timeout=1.0, network_timeout=CALLER_TIMEOUT_S
    )
    try:
        response = client.post(
            path,
            body=b'{"item": 7}',
            headers={
                "Content-Type": "application/json",
                "Idempotency-Key": key,
                **headers,
            },
        )
        return response.status_code, json.loads(response.read())
    finally:
        client.close()


def _place_with_repeats(deployment, order, rng, faults):
    """Place one order and repeat it through random nodes, as callers do.

    An order that is not completed is repeated, at most `MAX_REPEATS` times. With
    faults, a completed one is repeated with probability `REPEAT_SHARE`.
    """
    started = time.monotonic()
    _send_and_record(deployment, order, rng)
    order.duration_ms = (time.monotonic() - started) * 1000
    for _ in range(MAX_REPEATS):
        is_completed = order.executions[-1] == "completed"
        if is_completed and (faults == "none" or rng.random() > REPEAT_SHARE):
            return
        gevent.sleep(rng.uniform(0.0, 0.8))
        _send_and_record(deployment, order, rng)


def _send_and_record(deployment, order, rng):
    address = rng.choice(deployment.nodes).settings.listen
    headers = {"Authorization": f"Bearer {demo.BEARER_KEY}"}
    path = f"/services/{demo.SERVICE}/call/order"
    try:
        status, content = send_order(address, path, order.key, headers)
        execution = content.get("execution", "completed" if status == 200 else "")
    except ConnectionRefusedError:
        execution = "not_run"
    except Exception:
        execution = "broken"
    order.executions.append(execution or f"status_{status}")
    always_refused = set(order.executions) == {"not_run"}
    if always_refused and execution_counts(deployment)[f"workspace-one:{order.key}"]:
        order.false_not_run += 1


def _inject_faults(deployment, rng):
    """Inject random faults, one after the other, until the greenlet is killed."""
    platform = deployment.platform
    services = list(deployment.services_by_id.values())
    while True:
        gevent.sleep(rng.uniform(0.5, 1.5) * FAULT_INTERVAL_S)
        service = rng.choice(services)
        fault = rng.choice(
            ("lost", "closed", "outage", "slow", "dropped", "killed", "refused", "node")
        )
        if fault in ("lost", "closed"):
            platform.close_lost_answers = fault == "closed"
            platform.lose_next_answers = rng.randint(1, 3)
        elif fault == "outage":
            platform.down = True
            gevent.sleep(rng.uniform(0.2, 1.0) * OUTAGE_S)
            platform.down = False
        elif fault == "slow":
            platform.delay_s = rng.uniform(0.02, 0.3)
            gevent.sleep(FAULT_INTERVAL_S)
            platform.delay_s = 0.0
        elif fault == "dropped":
            service.drop_answers = 2
        elif fault == "killed":
            service.kill_next_before, service.kill_next_after = 1, 1
        elif fault == "refused":
            service.refuse_next = 2
        else:
            _restart_node(deployment, rng)


def _restart_node(deployment, rng):
    """Stop a node while it handles orders and restart it."""
    number = rng.randrange(len(deployment.nodes))
    node = deployment.nodes[number]
    stop_node(node)
    gevent.sleep(rng.uniform(0.0, 0.3))
    deployment.nodes[number] = start_node(node.settings)


def _clear_faults(deployment):
    deployment.platform.down = False
    deployment.platform.delay_s = 0.0
    deployment.platform.lose_next_answers = 0
