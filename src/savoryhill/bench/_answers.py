"""Questionnaire answers of generated deployments, for benchmarks and tests."""

from hashlib import sha256

from savoryhill.config.findings import dump_yaml


def make_answers(*, n_engines=20, n_workspaces=10, n_models=1, n_zones=3):
    """Build the questionnaire answers of a deployment as plain data.

    Parameters
    ----------
    n_engines, n_workspaces, n_models, n_zones : int
        Number of each.

    Returns
    -------
    dict
        Valid answers; they include one service with three endpoints.
    """
    zones = [f"zone-{n}" for n in range(n_zones)]

    def endpoint(number, hardware, port):
        return {
            "address": f"10.{number // 250}.{number % 250}.1:{port}",
            "zone": zones[number % n_zones],
            "hardware": hardware,
        }

    models = {f"model-{n}": {"version": "1", "endpoints": {}} for n in range(n_models)}
    for number in range(n_engines):
        endpoints = models[f"model-{number % n_models}"]["endpoints"]
        endpoints[f"engine-{number}"] = endpoint(number, "fast", 8000)
    return {
        "zones": {zone: {"region": "south"} for zone in zones},
        "hardware": {
            "fast": {
                "prefill_tokens_per_s": 40_000.0,
                "decode_tokens_per_s": 40.0,
                "memory_tokens": 1_200_000,
                "slots": 16,
            }
        },
        "models": models,
        "services": {
            "orders": {
                "calls": [
                    {
                        "method": "POST",
                        "path": "/order",
                        "idempotent": False,
                        "kind": "order",
                    }
                ],
                "endpoints": {
                    f"orders-{n}": endpoint(n, "fast", 9000) for n in range(3)
                },
            }
        },
        "workspaces": {
            f"workspace-{n}": {
                "key_hashes": [
                    sha256(f"key {n} {k}".encode()).hexdigest() for k in range(2)
                ],
                "weight": 1.0 + n % 3,
                "max_outstanding_tokens": 1_000_000,
            }
            for n in range(n_workspaces)
        },
        "kinds": {
            "completion": {"deadline_s": 30.0},
            "order": {"deadline_s": 5.0, "answered_weight": 5.0},
        },
    }


def answers_text(answers, *, taken_from=0):
    """Return answers as YAML text based on the revision ``taken_from``."""
    return dump_yaml({"taken_from": taken_from, **answers})
