"""Scenarios of the routing benchmark: request plans and injected faults."""

import random as random_module
import time
from collections import Counter
from dataclasses import dataclass, field

import gevent

from savoryhill.bench.client import send
from savoryhill.bench.plan import PlannedRequest, make_plan, mean_prompt_tokens
from savoryhill.bench.report import first_token_times, slowdown, summarize
from savoryhill.demo.deployment import (
    ZONES,
    apply_answers,
    make_answers,
    start_deployment,
    stop_deployment,
    zone_of,
)
from savoryhill.demo.run import wait_until_ready
from savoryhill.standins.engine import apply_fault, memory_used

N_NODES = 9
N_ENGINES = 20
N_SERVICES = 3
LOAD_SHARE = 0.7
IDLE_TIMEOUT_S = 10.0
# Engines are slower than real ones by this factor, so that one process can run the
# nodes, the engines and the load generator.
TIME_SCALE = 0.1
HARDWARE = {
    "fast": {
        "prefill_tokens_per_s": 30_000.0,
        "decode_tokens_per_s": 100.0,
        "memory_tokens": 400_000,
        "slots": 16,
        "cold_slots": 2,
    },
    "slow": {
        "prefill_tokens_per_s": 12_000.0,
        "decode_tokens_per_s": 60.0,
        "memory_tokens": 320_000,
        "slots": 12,
        "cold_slots": 1,
    },
}
WEIGHTS_BY_KIND = {"order": 5.0, "completion": 1.0}


@dataclass(kw_only=True)
class ScenarioRun:
    """One run of a scenario with its results so far."""

    seed: int
    deployment: object
    random: random_module.Random
    started_at: float
    results: list = field(default_factory=list)
    greenlets: list = field(default_factory=list)
    revision: int = 1


def capacity_tokens_per_s():
    """Return the total prefill rate of all engines."""
    half = N_ENGINES // 2
    rates = [kind["prefill_tokens_per_s"] for kind in HARDWARE.values()]
    return half * sum(rates)


def request_rate(share, *, with_long=True):
    """Return the requests a second that use a share of the total prefill rate."""
    return share * capacity_tokens_per_s() / mean_prompt_tokens(with_long=with_long)


def _deadline_s(planned):
    if planned.band == "order":
        return 5.0
    return 8.0 if planned.band == "short" else 60.0


def _elapsed(run):
    return time.monotonic() - run.started_at


def _send_one(run, planned):
    nodes = run.deployment.nodes
    address = nodes[planned.entry % len(nodes)].settings.listen
    run.results.append(
        send(
            planned,
            address=address,
            seed=run.seed,
            deadline_s=_deadline_s(planned),
            run_started_at=run.started_at,
        )
    )


def _send_plan(run, plan, *, starts_s=0.0):
    """Send the requests of a plan at their times and wait until all have ended.

    The times are relative to ``starts_s`` after the start of the run.
    """
    jobs = []
    for planned in plan:
        gevent.sleep(max(0.0, starts_s + planned.at_s - _elapsed(run)))
        jobs.append(gevent.spawn(_send_one, run, planned))
    gevent.joinall(jobs)


def _schedule(run, at_s, action, *arguments):
    def wait_and_act():
        gevent.sleep(max(0.0, at_s - _elapsed(run)))
        action(run, *arguments)

    run.greenlets.append(gevent.spawn(wait_and_act))


def _mixed_plan(run, duration_s, share=LOAD_SHARE):
    return make_plan(
        seed=run.seed, duration_s=duration_s, requests_per_s=request_rate(share)
    )


def _short_alone(run):
    plan = make_plan(
        seed=run.seed,
        duration_s=20.0,
        requests_per_s=request_rate(LOAD_SHARE),
        with_long=False,
    )
    _send_plan(run, plan)
    return {}


def _short_beside_long(run):
    """Send the short prompts of the mix alone, then the whole mix.

    The slowdown compares the same percentile of the two phases. The first 4 s of the
    mix are left out, since the load of long prompts still builds up then.
    """
    rate = request_rate(LOAD_SHARE)
    short_plan = make_plan(
        seed=run.seed, duration_s=10.0, requests_per_s=rate, with_long=False
    )
    _send_plan(run, short_plan)
    starts_s = _elapsed(run) + 0.5
    mixed_plan = make_plan(
        seed=run.seed + 1_000_000,
        duration_s=24.0,
        requests_per_s=rate,
        first_number=len(short_plan),
    )
    _send_plan(run, mixed_plan, starts_s=starts_s)
    baseline = first_token_times(run.results, "short", until_s=starts_s)
    compared = first_token_times(run.results, "short", from_s=starts_s + 4.0)
    return {
        "short_slowdown_p50": slowdown(baseline, compared, 50),
        "short_slowdown_p99": slowdown(baseline, compared, 99),
        "alone_ttft_p99_ms": round(
            sorted(baseline)[int(len(baseline) * 0.99)] * 1000, 1
        ),
    }


def _set_withdrawn(run, zone, withdrawn, measured):
    deployment = run.deployment
    run.revision += 1
    answers = make_answers(deployment, withdrawn=(zone,) if withdrawn else ())
    measured["applied_at"] = time.monotonic()
    apply_answers(deployment, answers, revision=run.revision)


def _record_last_start(run, zone, measured):
    deployment = run.deployment
    last = max(
        engine.last_start_at
        for engine_id, engine in deployment.engines_by_id.items()
        if zone_of(deployment, engine_id) == zone
    )
    measured["work_after_s"] = round(max(0.0, last - measured["applied_at"]), 3)


def _zone_withdrawal(run):
    zone = ZONES[run.seed % len(ZONES)]
    measured = {}
    withdrawn_s, returned_s, ends_s = 8.0, 20.0, 34.0
    _schedule(run, withdrawn_s, _set_withdrawn, zone, True, measured)
    _schedule(run, returned_s - 0.2, _record_last_start, zone, measured)
    _schedule(run, returned_s, _set_withdrawn, zone, False, {})
    # With one of three zones withdrawn, two thirds of the capacity remain, so that
    # all requests can be admitted.
    _send_plan(run, _mixed_plan(run, ends_s, share=0.45))
    baseline = first_token_times(run.results, "short", from_s=2.0, until_s=withdrawn_s)
    compared = first_token_times(run.results, "short", from_s=returned_s + 10.0)
    outcomes = Counter(result.outcome for result in run.results)
    return {
        "work_to_withdrawn_zone_after_s": measured["work_after_s"],
        "answered_share": round(outcomes["answered"] / len(run.results), 4),
        "recovered_slowdown_p95": slowdown(baseline, compared, 95),
    }


def _inject_fault(run, engine_ids, name, value):
    for engine_id in engine_ids:
        apply_fault(run.deployment.engines_by_id[engine_id], name, value)


def _cold_start(run):
    engine_ids = sorted(run.deployment.engines_by_id)
    cold_ids = run.random.sample(engine_ids, 6)
    _schedule(run, 4.0, _inject_fault, cold_ids, "restart", "cold")
    _schedule(
        run, 10.0, _inject_fault, run.random.sample(engine_ids, 3), "restart", "cold"
    )
    _send_plan(run, _mixed_plan(run, 24.0, share=0.45))
    warm = sum(engine.warm for engine in run.deployment.engines_by_id.values())
    return {"warm_at_the_end": warm}


def _engine_deaths(run):
    engine_ids = sorted(run.deployment.engines_by_id)
    for at_s in (3.0, 6.0, 9.0, 12.0):
        failing_ids = run.random.sample(engine_ids, 1)
        _schedule(run, at_s, _inject_fault, failing_ids, "dead", True)
        _schedule(run, at_s + 5.0, _inject_fault, failing_ids, "dead", False)
    _send_plan(run, _mixed_plan(run, 24.0, share=0.45))
    return {}


def _oversize(run):
    plan = _mixed_plan(run, 20.0, share=0.4)
    rng = random_module.Random(run.seed)
    oversize_plan = [
        plan_oversize_request(rng, number=len(plan) + index, at_s=2.0 + 4.0 * index)
        for index in range(4)
    ]
    _send_plan(run, sorted(plan + oversize_plan, key=lambda planned: planned.at_s))
    oversize = [result for result in run.results if result.planned.band == "oversize"]
    return {
        "oversize_answered": sum(result.outcome == "answered" for result in oversize),
        "oversize_sent": len(oversize),
        "oversize_ttft_s": [round(result.first_token_s, 1) for result in oversize],
    }


def plan_oversize_request(random, *, number, at_s):
    """Plan a prompt too large for any engine: 1.2 to 2.2 times the largest memory."""
    largest = max(kind["memory_tokens"] for kind in HARDWARE.values())
    return PlannedRequest(
        number=number,
        at_s=at_s,
        band="oversize",
        prompt_tokens=random.randint(int(1.2 * largest), int(2.2 * largest)),
        max_tokens=8,
        kind="completion",
        entry=random.randrange(1 << 30),
    )


SCENARIOS = {
    "short-alone": _short_alone,
    "short-beside-long": _short_beside_long,
    "zone-withdrawal": _zone_withdrawal,
    "cold-start": _cold_start,
    "engine-deaths": _engine_deaths,
    "oversize": _oversize,
}


def _wait_until_idle(run):
    """Wait until all engines are idle; return the tokens still in memory.

    After `IDLE_TIMEOUT_S` it returns although engines are not idle.
    """
    ends_at = time.monotonic() + IDLE_TIMEOUT_S
    engines = run.deployment.engines_by_id.values()
    while time.monotonic() < ends_at:
        if not any(memory_used(engine) for engine in engines):
            break
        gevent.sleep(0.1)
    return sum(memory_used(engine) for engine in engines)


def run_scenario(name, *, seed, policy):
    """Run one scenario with real nodes and stand-ins in this process.

    Parameters
    ----------
    name : str
        A key of `SCENARIOS`.
    seed : int
        Seed of the requests and the faults.
    policy : str
        Routing policy of all nodes.

    Returns
    -------
    dict
        The figures of the run.
    """
    deployment = start_deployment(
        n_nodes=N_NODES,
        n_engines=N_ENGINES,
        n_services=N_SERVICES,
        hardware=HARDWARE,
        policy=policy,
    )
    try:
        for node in deployment.nodes:
            wait_until_ready(node)
        gevent.sleep(2.0)
        run = ScenarioRun(
            seed=seed,
            deployment=deployment,
            random=random_module.Random(seed),
            started_at=time.monotonic(),
        )
        scenario_figures = SCENARIOS[name](run)
        gevent.joinall(run.greenlets, timeout=5.0)
        leaked_tokens = _wait_until_idle(run)
        return _report(run, name, policy, scenario_figures, leaked_tokens)
    finally:
        stop_deployment(deployment)


def _report(run, name, policy, scenario_figures, leaked_tokens):
    engines = run.deployment.engines_by_id.values()
    executions = Counter()
    for service in run.deployment.services_by_id.values():
        executions.update(service.executions_by_key)
    return {
        "scenario": name,
        "policy": policy,
        "seed": run.seed,
        "time_scale": TIME_SCALE,
        **summarize(run.results, WEIGHTS_BY_KIND),
        "short_slowdown_p50": None,
        "short_slowdown_p99": None,
        "work_to_withdrawn_zone_after_s": None,
        **scenario_figures,
        "cold_limit_violations": sum(engine.n_cold_violations for engine in engines),
        "leaked_tokens": leaked_tokens,
        "duplicates": sum(count - 1 for count in executions.values()),
        "refusals_by_detail": _count_failures(run.results),
    }


def _count_failures(results):
    details = Counter()
    for result in results:
        if result.outcome != "answered":
            text_without_digits = "".join(
                " " if char.isdigit() else char for char in result.detail
            )
            details[
                f"{result.planned.band}: {' '.join(text_without_digits.split())[:80]}"
            ] += 1
    return dict(details.most_common(6))
