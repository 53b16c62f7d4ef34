"""Compare routing policies on one coordinator with fake engines in virtual time.

Run as ``python -m savoryhill.bench.routing_policies --output json``. A fake engine
prefills in order of priority at a fixed rate. It decodes more slowly the larger its
batch is and while it prefills. This small simulation behind the routing driver is not
a model of a deployment; `savoryhill bench` measures whole nodes.
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


def _advance_engine(engine_jobs, seconds):
    """Advance the jobs of one engine and remove and return those that have ended."""
    prefilling = [job for job in engine_jobs if job["prefill"] > 0]
    decoding = [job for job in engine_jobs if job["prefill"] <= 0]
    budget = PREFILL_TOKENS_PER_S * seconds
    for job in sorted(prefilling, key=lambda item: item["priority"]):
        done = min(budget, job["prefill"])
        job["prefill"] -= done
        budget -= done
        job["waited_s"] += seconds
        if budget <= 0:
            break
    # Prefill and decoding share the accelerator, so that decoding is slower in a step
    # that also prefills.
    decode_rate = DECODE_TOKENS_PER_S / (1 + 0.02 * len(decoding))
    decode_rate *= 0.6 if prefilling else 1.0
    ended = []
    for job in decoding:
        job["decode"] -= decode_rate * seconds
        if job["decode"] <= 0:
            ended.append(job)
            engine_jobs.remove(job)
    return ended


def _draw_arrivals(seed, load, with_long):
    """Return (time, prompt tokens) of the requests, the same for every policy."""
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
    """Run one policy and return the request durations by prompt length.

    Parameters
    ----------
    policy : str
        Routing policy.
    seed : int
        Seed of the arrivals and of the core.
    load : float
        Share of the total prefill rate of all engines that the requests use.
    with_long : bool
        Whether the long prompts are sent; the short ones are the same in both cases.

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
    jobs_by_endpoint = {endpoint: [] for endpoint in configuration.endpoints_by_id}
    arrivals = _draw_arrivals(seed, load, with_long)
    start, n_effects_processed, n_refused, position = driver.now, 0, 0, 0
    sent_at, tokens_by_id, jobs_by_request = {}, {}, {}
    durations = {"short_s": [], "long_s": []}
    steps = 0
    while position < len(arrivals) or jobs_by_request:
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
        for effect in driver.effects[n_effects_processed:]:
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
                jobs_by_request[reply.request_id] = job
                jobs_by_endpoint[reply.endpoint].append(job)
        n_effects_processed = len(driver.effects)
        drive.advance(driver, STEP_S, step_s=STEP_S)
        steps += 1
        for engine_jobs in jobs_by_endpoint.values():
            ended = _advance_engine(engine_jobs, STEP_S)
            for job in engine_jobs + ended:
                if job["prefill"] <= 0 and not job["first_s"]:
                    job["first_s"] = driver.now - job["started_at"]
            for job in ended:
                request_id = job["reply"].request_id
                del jobs_by_request[request_id]
                short = tokens_by_id[request_id] < 4_000
                durations["short_s" if short else "long_s"].append(
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
                    for request_id, job in jobs_by_request.items()
                ),
            )
            drive.report_all_loads(driver)
    return {
        **{name: sorted(values) for name, values in durations.items()},
        "refused": n_refused,
        "sent": len(arrivals),
    }


def _quantile(values, share):
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def measure(*, seeds=(1, 2, 3), load=0.7):
    """Compare all policies.

    Parameters
    ----------
    seeds : tuple of int
        For each seed, there is one run with and one without long prompts.
    load : float
        Share of the total prefill rate that the requests with long prompts use.

    Returns
    -------
    dict
        For each policy, the means over the seeds: slowdown of short requests by long
        ones at p50 and p99, p99 of long requests in seconds, and number of refused
        requests.
    """
    results = {}
    for policy in POLICIES:
        rows = []
        for seed in seeds:
            short_only = run_policy("savoryhill", seed=seed, load=load, with_long=False)
            mixed = run_policy(policy, seed=seed, load=load)
            rows.append(
                {
                    f"short_slowdown_{name}": _quantile(mixed["short_s"], share)
                    / _quantile(short_only["short_s"], share)
                    for name, share in (("p50", 0.5), ("p99", 0.99))
                }
                | {
                    "long_p99_s": _quantile(mixed["long_s"], 0.99),
                    "refused": mixed["refused"],
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
