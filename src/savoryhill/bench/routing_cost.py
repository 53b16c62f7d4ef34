"""Measure the cost of a routing decision for several numbers of engines.

Run as ``python -m savoryhill.bench.routing_cost --output json``.
"""

import gc
import json
from random import Random
from time import perf_counter_ns

from savoryhill.bench import routing_driver as drive
from savoryhill.core.events import PeerReceived, Ticked
from savoryhill.core.messages import PlaceRequest

SIZES = (20, 600)
N_DECISIONS = 4_000
N_WARM_UP = 400
LOAD_SHARE = 0.7
SLOTS = 16
# One prompt in 50 has 20k to 100k tokens, the others 0.5k to 3.9k.
LONG_SHARE = 0.02


def _make_request(random, number, group, *, max_tokens=128):
    long = random.random() < LONG_SHARE
    prompt_tokens = (
        random.randrange(20_000, 100_000) if long else random.randrange(500, 3_900)
    )
    n_hashes = max(0, (prompt_tokens * 4 // 2048).bit_length())
    conversation_id = random.randrange(200)
    return PlaceRequest(
        request_id=f"r{number}",
        attempt=1,
        group=group,
        workspace=f"workspace-{random.randrange(10)}",
        kind="completion",
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        remaining_s=60.0,
        prefix_hashes=tuple(conversation_id * 64 + part for part in range(n_hashes)),
    )


def _percentile(values, share):
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def _measure_size(n_engines, seed, policy):
    random = Random(seed)
    configuration = drive.make_configuration(n_engines=n_engines, slots=SLOTS)
    driver = drive.make_driver(configuration, policy=policy, seed=seed)
    drive.report_all_loads(driver)
    groups = [group.id for group in configuration.groups]
    held = []
    n_held = int(n_engines * SLOTS * LOAD_SHARE)
    place_us, release_us, tick_us = [], [], []
    gc.collect()
    for number in range(N_DECISIONS + N_WARM_UP + n_held):
        driver.now += 0.08 / n_engines
        message = _make_request(random, number, random.choice(groups))
        event = PeerReceived(at=driver.now, sender=drive.ENTRY, message=message)
        start = perf_counter_ns()
        effects = drive.reduce_event(driver, event)
        place_us.append((perf_counter_ns() - start) / 1_000)
        for effect in effects:
            reply = getattr(effect, "message", None)
            if getattr(reply, "status", "") == "granted":
                held.append(reply)
        if len(held) <= n_held:
            continue
        position = random.randrange(len(held))
        held[position], held[-1] = held[-1], held[position]
        reply = held.pop()
        start = perf_counter_ns()
        effects = drive.release(
            driver, reply, n_tokens=128, first_token_s=0.05, duration_s=1.4
        )
        release_us.append((perf_counter_ns() - start) / 1_000)
        held += [
            effect.message
            for effect in effects
            if getattr(getattr(effect, "message", None), "status", "") == "granted"
        ]
        if number % 200 == 0:
            start = perf_counter_ns()
            drive.reduce_event(driver, Ticked(at=driver.now))
            tick_us.append((perf_counter_ns() - start) / 1_000)
    place_us, release_us = place_us[-N_DECISIONS:], release_us[-N_DECISIONS:]
    return {
        "engines": n_engines,
        "groups": len(groups),
        "n_held": len(held),
        "decision_us_mean": round(sum(place_us) / len(place_us), 1),
        "decision_us_p50": round(_percentile(place_us, 0.5), 1),
        "decision_us_p99": round(_percentile(place_us, 0.99), 1),
        "release_us_mean": round(sum(release_us) / len(release_us), 1),
        "tick_us_mean": round(sum(tick_us) / len(tick_us), 1),
    }


def _measure_backlog(seed, policy):
    """Measure one group with all slots in use and a long queue."""
    random = Random(seed)
    configuration = drive.make_configuration(n_engines=8, slots=SLOTS)
    driver = drive.make_driver(configuration, policy=policy, seed=seed)
    drive.report_all_loads(driver)
    held = []
    place_and_release_us = []
    for number in range(N_DECISIONS):
        driver.now += 0.012
        message = _make_request(random, number, "group-0")
        event = PeerReceived(at=driver.now, sender=drive.ENTRY, message=message)
        start = perf_counter_ns()
        effects = drive.reduce_event(driver, event)
        elapsed = perf_counter_ns() - start
        if len(held) > 100 and random.random() < 0.9:
            position = random.randrange(len(held))
            held[position], held[-1] = held[-1], held[position]
            reply = held.pop()
            start = perf_counter_ns()
            effects += drive.release(
                driver, reply, n_tokens=128, first_token_s=0.05, duration_s=1.4
            )
            elapsed += perf_counter_ns() - start
        held += [
            effect.message
            for effect in effects
            if getattr(getattr(effect, "message", None), "status", "") == "granted"
        ]
        place_and_release_us.append(elapsed / 1_000)
    group = driver.state.routing.groups_by_id["group-0"]
    return {
        "n_waiting": len(group.pending_by_key),
        "place_and_release_us_mean": round(
            sum(place_and_release_us) / len(place_and_release_us), 1
        ),
        "place_and_release_us_p99": round(_percentile(place_and_release_us, 0.99), 1),
    }


def measure(*, seed=1, policy="savoryhill"):
    """Measure the cost of routing decisions.

    Parameters
    ----------
    seed : int
        Seed of the requests.
    policy : str
        Routing policy.

    Returns
    -------
    dict
        Figures for each number of engines, the slope in microseconds per engine and
        the cost with a long queue.
    """
    sizes = [_measure_size(n_engines, seed, policy) for n_engines in SIZES]
    first, last = sizes[0], sizes[-1]
    slope = (last["decision_us_mean"] - first["decision_us_mean"]) / (
        last["engines"] - first["engines"]
    )
    return {
        "policy": policy,
        "seed": seed,
        "sizes": sizes,
        "slope_us_per_engine": round(slope, 4),
        "backlog": _measure_backlog(seed, policy),
    }


def main(*, seed=1, policy="savoryhill", output="text"):
    """Print the measurement as text or JSON."""
    result = measure(seed=seed, policy=policy)
    if output == "json":
        print(json.dumps(result))
        return
    for size in result["sizes"]:
        print(" ".join(f"{name}={value}" for name, value in size.items()))
    print(f"slope_us_per_engine={result['slope_us_per_engine']}")
    print(" ".join(f"{name}={value}" for name, value in result["backlog"].items()))


if __name__ == "__main__":
    import fire

    fire.Fire(main)
