"""Compare routing policies on one coordinator with fake engines in virtual time.

Run as ``python -m savoryhill.bench.routing_policies --output json``. A fake engine
prefills by priority at a fixed rate and slows decoding with its batch size and
while it prefills. It is a small fake behind the routing driver, not a model of a
deployment; `savoryhill bench` measures whole nodes.
"""

import json
from random import Random

from savoryhill.bench import routing_driver as drive

STEP_S = 0.02
DURATION_S = 60.0
N_ENGINES = 8
SLOTS = 16
PREFILL_TOKENS_PER_S = 100_000.0
DECODE_TOKENS_PER_S = 100.0
MAX_TOKENS = 32
LONG_SHARE = 0.02
POLICIES = ("savoryhill", "random", "round-robin", "least-outstanding")


def _step(engine, seconds):
    """Advance the jobs of one engine; return those that have ended."""
    waiting = [job for job in engine if job["prefill"] > 0]
    decoding = [job for job in engine if job["prefill"] <= 0]
    budget = PREFILL_TOKENS_PER_S * seconds
    for job in sorted(waiting, key=lambda each: each["priority"]):
        done = min(budget, job["prefill"])
        job["prefill"] -= done
        budget -= done
        job["waited_s"] += seconds
        if budget <= 0:
            break
    # A step that prefills shares the accelerator with decoding.
    pace = DECODE_TOKENS_PER_S / (1 + 0.02 * len(decoding))
    pace *= 0.6 if waiting else 1.0
    ended = []
    for job in decoding:
        job["decode"] -= pace * seconds
        if job["decode"] <= 0:
            ended.append(job)
            engine.remove(job)
    return ended


def _arrivals(seed, load, with_long):
    """Return (time, prompt tokens) of the requests; equal for every policy."""
    random = Random(seed)
    short_tokens, long_tokens = 2_000, 250_000
    mean_work_s = (
        (1 - LONG_SHARE) * short_tokens + LONG_SHARE * long_tokens
    ) / PREFILL_TOKENS_PER_S
    rate = load * N_ENGINES / mean_work_s
    at, arrivals = 0.0, []
    while at < DURATION_S:
        at += random.expovariate(rate)
        long = random.random() < LONG_SHARE
        size = random.uniform(0.4, 1.6)
        tokens = int(size * (long_tokens if long else short_tokens))
        if with_long or not long:
            arrivals.append((at, min(tokens, 3_900) if not long else tokens))
    return arrivals


def run_policy(policy, *, seed, load=0.7, with_long=True):
    """Run one policy and return the request times by length.

    Parameters
    ----------
    policy : str
        Routing policy.
    seed : int
        Seed of the arrivals and of the core.
    load : float
        Share of the prefill rate of all engines that the requests need.
    with_long : bool
        Whether the long prompts are sent; the short ones are the same.

    Returns
    -------
    dict
        ``short_s`` and ``long_s`` (sorted durations), ``refused`` and ``sent``.
    """
    configuration = drive.make_configuration(
        n_engines=N_ENGINES,
        slots=SLOTS,
        memory_tokens=1_200_000,
        prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
        decode_tokens_per_s=DECODE_TOKENS_PER_S,
    )
    driver = drive.make_driver(configuration, policy=policy, seed=seed)
    drive.report_all_loads(driver)
    engines = {endpoint: [] for endpoint in configuration.endpoints_by_id}
    arrivals = _arrivals(seed, load, with_long)
    start, n_seen, n_refused, position = driver.now, 0, 0, 0
    sent_at, tokens_by_id, held = {}, {}, {}
    times = {"short_s": [], "long_s": []}
    steps = 0
    while position < len(arrivals) or held:
        while position < len(arrivals) and arrivals[position][0] <= driver.now - start:
            request_id = f"r{position}"
            sent_at[request_id] = start + arrivals[position][0]
            tokens_by_id[request_id] = arrivals[position][1]
            position += 1
            drive.place(
                driver,
                request_id,
                prompt_tokens=tokens_by_id[request_id],
                max_tokens=MAX_TOKENS,
                remaining_s=120.0,
            )
        for effect in driver.effects[n_seen:]:
            reply = getattr(effect, "message", None)
            status = getattr(reply, "status", "")
            if status == "refused":
                n_refused += 1
            elif status == "granted":
                job = {
                    "reply": reply,
                    "priority": reply.priority,
                    "prefill": float(tokens_by_id[reply.request_id]),
                    "decode": float(MAX_TOKENS),
                    "waited_s": 0.0,
                    "started_at": driver.now,
                    "first_s": 0.0,
                }
                held[reply.request_id] = job
                engines[reply.endpoint].append(job)
        n_seen = len(driver.effects)
        drive.advance(driver, STEP_S, step_s=STEP_S)
        steps += 1
        for engine in engines.values():
            ended = _step(engine, STEP_S)
            for job in engine + ended:
                if job["prefill"] <= 0 and not job["first_s"]:
                    job["first_s"] = driver.now - job["started_at"]
            for job in ended:
                request_id = job["reply"].request_id
                del held[request_id]
                short = tokens_by_id[request_id] < 4_000
                times["short_s" if short else "long_s"].append(
                    driver.now - sent_at[request_id]
                )
                drive.release(
                    driver,
                    job["reply"],
                    n_tokens=MAX_TOKENS,
                    first_token_s=job["first_s"],
                    duration_s=driver.now - job["started_at"],
                )
        if steps % 50 == 0:
            drive.report_permits(
                driver,
                *(
                    drive.make_held_permit(
                        job["reply"],
                        prompt_tokens=tokens_by_id[request_id],
                        max_tokens=MAX_TOKENS,
                        first_token_seen=job["prefill"] <= 0,
                    )
                    for request_id, job in held.items()
                ),
            )
            drive.report_all_loads(driver)
    return {
        **{name: sorted(values) for name, values in times.items()},
        "refused": n_refused,
        "sent": len(arrivals),
    }


def _at(values, share):
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def measure(*, seeds=(1, 2, 3), load=0.7):
    """Compare all policies.

    Parameters
    ----------
    seeds : tuple of int
        One run with and one without long prompts for each.
    load : float
        Share of the prefill rate that the requests need with long prompts.

    Returns
    -------
    dict
        By policy: slowdown of short requests beside long ones at p50 and p99, p99
        of long requests in seconds, and refused requests; means over the seeds.
    """
    results = {}
    for policy in POLICIES:
        rows = []
        for seed in seeds:
            alone = run_policy("savoryhill", seed=seed, load=load, with_long=False)
            beside = run_policy(policy, seed=seed, load=load)
            rows.append(
                {
                    f"short_slowdown_{name}": _at(beside["short_s"], share)
                    / _at(alone["short_s"], share)
                    for name, share in (("p50", 0.5), ("p99", 0.99))
                }
                | {
                    "long_p99_s": _at(beside["long_s"], 0.99),
                    "refused": beside["refused"],
                }
            )
        results[policy] = {
            name: round(sum(row[name] for row in rows) / len(rows), 2)
            for name in rows[0]
        }
    return results


def main(*, load=0.7, output="text"):
    """Print the comparison as text or JSON."""
    result = measure(load=load)
    if output == "json":
        print(json.dumps({"load": load, "engines": N_ENGINES, **result}))
        return
    for name, figures in result.items():
        print(name, " ".join(f"{key}={value}" for key, value in figures.items()))


if __name__ == "__main__":
    import fire

    fire.Fire(main)
