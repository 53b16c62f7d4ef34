"""Scenarios of the routing bench: what is sent and what fails meanwhile."""

import random as random_module
import time
from collections import Counter
from dataclasses import dataclass, field

import gevent

from savoryhill.bench.client import send
from savoryhill.bench.plan import Planned, make_plan, mean_prompt_tokens
from savoryhill.bench.report import first_tokens, slowdown, summarize
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
DRAIN_LIMIT_S = 10.0
# Engines run slower than real ones by this factor, so that one process can carry
# nodes, engines and load together.
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
class Run:
    """One bench run and what it has seen so far."""

    seed: int
    deployment: object
    random: random_module.Random
    started_at: float
    results: list = field(default_factory=list)
    greenlets: list = field(default_factory=list)
    revision: int = 1


def capacity_tokens_per_s():
    """Return the prefill rate of all engines together."""
    half = N_ENGINES // 2
    rates = [kind["prefill_tokens_per_s"] for kind in HARDWARE.values()]
    return half * sum(rates)


def request_rate(share, *, with_long=True):
    """Return the requests a second that use a share of the prefill capacity."""
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
    """Send a plan at its times, then wait until every request has ended."""
    jobs = []
    for planned in plan:
        gevent.sleep(max(0.0, starts_s + planned.at_s - _elapsed(run)))
        jobs.append(gevent.spawn(_send_one, run, planned))
    gevent.joinall(jobs)


def _at(run, at_s, action, *arguments):
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

    The slowdown compares the same percentile of the two parts; the first seconds
    of the mix, while long prompts build up, do not count.
    """
    rate = request_rate(LOAD_SHARE)
    alone = make_plan(
        seed=run.seed, duration_s=10.0, requests_per_s=rate, with_long=False
    )
    _send_plan(run, alone)
    starts_s = _elapsed(run) + 0.5
    mix = make_plan(
        seed=run.seed + 1_000_000,
        duration_s=24.0,
        requests_per_s=rate,
        first_number=len(alone),
    )
    _send_plan(run, mix, starts_s=starts_s)
    before = first_tokens(run.results, "short", until_s=starts_s)
    after = first_tokens(run.results, "short", from_s=starts_s + 4.0)
    return {
        "short_slowdown_p50": slowdown(before, after, 50),
        "short_slowdown_p99": slowdown(before, after, 99),
        "alone_ttft_p99_ms": round(sorted(before)[int(len(before) * 0.99)] * 1000, 1),
    }


def _set_zone(run, zone, withdrawn, seen):
    deployment = run.deployment
    run.revision += 1
    answers = make_answers(deployment, withdrawn=(zone,) if withdrawn else ())
    seen["applied_at"] = time.monotonic()
    apply_answers(deployment, answers, revision=run.revision)


def _last_starts(run, zone, seen):
    deployment = run.deployment
    last = max(
        engine.last_start_at
        for engine_id, engine in deployment.engines_by_id.items()
        if zone_of(deployment, engine_id) == zone
    )
    seen["work_after_s"] = round(max(0.0, last - seen["applied_at"]), 3)


def _zone_withdrawal(run):
    zone = ZONES[run.seed % len(ZONES)]
    seen = {}
    withdrawn_s, returned_s, ends_s = 8.0, 20.0, 34.0
    _at(run, withdrawn_s, _set_zone, zone, True, seen)
    _at(run, returned_s - 0.2, _last_starts, zone, seen)
    _at(run, returned_s, _set_zone, zone, False, {})
    # Two thirds of the capacity remain, so that everything offered is admissible.
    _send_plan(run, _mixed_plan(run, ends_s, share=0.45))
    before = first_tokens(run.results, "short", from_s=2.0, until_s=withdrawn_s)
    after = first_tokens(run.results, "short", from_s=returned_s + 10.0)
    outcomes = Counter(each.outcome for each in run.results)
    return {
        "work_to_withdrawn_zone_after_s": seen["work_after_s"],
        "answered_share": round(outcomes["answered"] / len(run.results), 4),
        "recovered_slowdown_p95": slowdown(before, after, 95),
    }


def _fault(run, engine_ids, name, value):
    for engine_id in engine_ids:
        apply_fault(run.deployment.engines_by_id[engine_id], name, value)


def _cold_start(run):
    engine_ids = sorted(run.deployment.engines_by_id)
    announced = run.random.sample(engine_ids, 6)
    _at(run, 4.0, _fault, announced, "restart", "cold")
    _at(run, 10.0, _fault, run.random.sample(engine_ids, 3), "restart", "cold")
    _send_plan(run, _mixed_plan(run, 24.0, share=0.45))
    warm = sum(engine.warm for engine in run.deployment.engines_by_id.values())
    return {"warm_at_the_end": warm}


def _engine_deaths(run):
    engine_ids = sorted(run.deployment.engines_by_id)
    for at_s in (3.0, 6.0, 9.0, 12.0):
        dying = run.random.sample(engine_ids, 1)
        _at(run, at_s, _fault, dying, "dead", True)
        _at(run, at_s + 5.0, _fault, dying, "dead", False)
    _send_plan(run, _mixed_plan(run, 24.0, share=0.45))
    return {}


def _oversize(run):
    plan = _mixed_plan(run, 20.0, share=0.4)
    numbers = random_module.Random(run.seed)
    big = [
        make_oversize(numbers, number=len(plan) + each, at_s=2.0 + 4.0 * each)
        for each in range(4)
    ]
    _send_plan(run, sorted(plan + big, key=lambda each: each.at_s))
    oversize = [each for each in run.results if each.planned.band == "oversize"]
    return {
        "oversize_answered": sum(each.outcome == "answered" for each in oversize),
        "oversize_sent": len(oversize),
        "oversize_ttft_s": [round(each.first_token_s, 1) for each in oversize],
    }


def make_oversize(random, *, number, at_s):
    """Plan a prompt larger than any engine, up to 2.2 times the largest memory."""
    largest = max(kind["memory_tokens"] for kind in HARDWARE.values())
    return Planned(
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


def _drain(run):
    """Wait until no engine holds work; return the tokens that are still held."""
    ends_at = time.monotonic() + DRAIN_LIMIT_S
    engines = run.deployment.engines_by_id.values()
    while time.monotonic() < ends_at:
        if not any(memory_used(engine) for engine in engines):
            break
        gevent.sleep(0.1)
    return sum(memory_used(engine) for engine in engines)


def run_scenario(name, *, seed, policy):
    """Run one scenario over real nodes and stand-ins in this process.

    Parameters
    ----------
    name : str
        A key of `SCENARIOS`.
    seed : int
        Decides the requests and the faults.
    policy : str
        The routing policy of all nodes.

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
        run = Run(
            seed=seed,
            deployment=deployment,
            random=random_module.Random(seed),
            started_at=time.monotonic(),
        )
        special = SCENARIOS[name](run)
        gevent.joinall(run.greenlets, timeout=5.0)
        leaked_tokens = _drain(run)
        return _report(run, name, policy, special, leaked_tokens)
    finally:
        stop_deployment(deployment)


def _report(run, name, policy, special, leaked_tokens):
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
        **special,
        "cold_limit_violations": sum(engine.n_cold_violations for engine in engines),
        "leaked_tokens": leaked_tokens,
        "duplicates": sum(count - 1 for count in executions.values()),
        "refusals_by_detail": _refusals(run.results),
    }


def _refusals(results):
    details = Counter()
    for result in results:
        if result.outcome != "answered":
            words = "".join(" " if char.isdigit() else char for char in result.detail)
            details[f"{result.planned.band}: {' '.join(words.split())[:80]}"] += 1
    return dict(details.most_common(6))
