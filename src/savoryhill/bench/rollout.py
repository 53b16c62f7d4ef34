"""Measure the effect of wave limit and failure detection on model rollouts.

Run as ``python -m savoryhill.bench.rollout --output json``. Engines are simulated in
virtual time: an engine serves no requests for ``WEIGHT_LOAD_S`` seconds while it loads
a version, and stays unusable after it has loaded a broken one.
"""

import json
from contextlib import contextmanager

from savoryhill.bench import routing_driver as drive
from savoryhill.core.effects import SendOrder
from savoryhill.core.events import OrderAnswered
from savoryhill.core.routing import model_rollout

WEIGHT_LOAD_S = 20.0
MAX_DURATION_S = 600.0
N_ENGINES = 20


@contextmanager
def _limits_disabled(disabled):
    """Disable the wave limit and the detection of broken versions if ``disabled``."""
    saved = model_rollout.wave_limit, model_rollout.is_broken
    if disabled:
        model_rollout.wave_limit = lambda n_engines, n_succeeded: n_engines
        model_rollout.is_broken = lambda rollout: False
    try:
        yield
    finally:
        model_rollout.wave_limit, model_rollout.is_broken = saved


def run_rollout(*, broken, limited, n_engines=N_ENGINES, weight_loads_per_s=10.0):
    """Roll out a version over simulated engines.

    Parameters
    ----------
    broken : bool
        Whether the new version fails on every engine.
    limited : bool
        Whether the wave limit and the detection of broken versions are enabled.
    n_engines : int
        Engines of the model.
    weight_loads_per_s : float
        Rate limit of the weight store.

    Returns
    -------
    dict
        ``least_serving`` (smallest number of engines in service), ``lost`` (number
        of unusable engines), ``done_after_s`` (None if not all engines had the
        version after ``MAX_DURATION_S``) and ``marked_broken``.
    """
    configuration = drive.make_configuration(n_engines=n_engines)
    policy = type(configuration.policy)(weight_loads_per_s=weight_loads_per_s)
    driver = drive.make_driver(drive.amend(configuration, policy=policy))
    versions = dict.fromkeys(configuration.endpoints_by_id, "1")
    load_ends_by_engine, lost = {}, set()
    min_serving, done_after_s = n_engines, None
    for engine in versions:
        drive.report_load(driver, engine, version="1")
    new_model = type(configuration.models[0])(name=drive.MODEL, version="2")
    drive.configure(driver, drive.amend(driver.state.active, models=(new_model,)))
    start = driver.now
    with _limits_disabled(not limited):
        while driver.now - start < MAX_DURATION_S and done_after_s is None:
            for effect in drive.advance(driver, 1.0, step_s=1.0):
                if type(effect) is SendOrder:
                    load_ends_by_engine[effect.endpoint] = driver.now + WEIGHT_LOAD_S
            for engine, ends_at in tuple(load_ends_by_engine.items()):
                if driver.now < ends_at:
                    continue
                del load_ends_by_engine[engine]
                if broken:
                    lost.add(engine)
                    event = OrderAnswered(
                        at=driver.now,
                        order_id="",
                        endpoint=engine,
                        model=drive.MODEL,
                        version="2",
                        status="failed",
                    )
                    drive.apply(driver, event)
                else:
                    versions[engine] = "2"
            for engine, version in versions.items():
                if engine not in lost and engine not in load_ends_by_engine:
                    drive.report_load(driver, engine, version=version)
            min_serving = min(
                min_serving, n_engines - len(load_ends_by_engine) - len(lost)
            )
            if set(versions.values()) == {"2"}:
                done_after_s = driver.now - start
    rollout = driver.state.routing.rollouts_by_model[drive.MODEL]
    return {
        "least_serving": min_serving,
        "lost": len(lost),
        "done_after_s": done_after_s,
        "marked_broken": rollout.broken,
    }


def measure():
    """Measure a good and a broken version, with and without limits."""
    return {
        f"{'broken' if broken else 'good'}_{'limited' if limited else 'unlimited'}": (
            run_rollout(broken=broken, limited=limited)
        )
        for broken in (False, True)
        for limited in (True, False)
    }


def main(*, output="text"):
    """Print the measurement as text or JSON."""
    result = measure()
    if output == "json":
        print(json.dumps({"engines": N_ENGINES, "load_s": WEIGHT_LOAD_S, **result}))
        return
    for name, figures in result.items():
        print(name, " ".join(f"{key}={value}" for key, value in figures.items()))


if __name__ == "__main__":
    import fire

    fire.Fire(main)
