"""Measure the encoded size, load time and memory of the configuration."""

from savoryhill.bench._answers import make_answers
from savoryhill.bench.capacity.fit import fit_slope
from savoryhill.bench.capacity.target import TARGET
from savoryhill.bench.capacity.timing import allocated_bytes, cpu_time_s
from savoryhill.config.model import dump_configuration, load_configuration
from savoryhill.config.questionnaire import Questionnaire, generate_configuration

ENGINE_SIZES = (20, 100, 200, 400, 600)
WORKSPACE_SIZES = (10, 100, 250, 400, 590)


def make_configuration(
    *,
    n_engines=TARGET.n_engines,
    n_workspaces=TARGET.n_workspaces,
    n_models=TARGET.n_models,
    n_zones=TARGET.n_zones,
):
    """Generate a configuration with the given numbers of objects."""
    answers = Questionnaire.model_validate(
        make_answers(
            n_engines=n_engines,
            n_workspaces=n_workspaces,
            n_models=min(n_models, n_engines),
            n_zones=n_zones,
        )
    )
    return generate_configuration(answers, revision=1, author="capacity")


def measure_configuration():
    """Measure encoded size, load time and memory of configurations of several sizes.

    Returns
    -------
    list of Slope
        Each cost per engine and per workspace.
    """
    by_engines = [
        dump_configuration(make_configuration(n_engines=size)) for size in ENGINE_SIZES
    ]
    by_workspaces = [
        dump_configuration(make_configuration(n_workspaces=size))
        for size in WORKSPACE_SIZES
    ]
    slopes = []
    for per, sizes, contents in (
        ("engine", ENGINE_SIZES, by_engines),
        ("workspace", WORKSPACE_SIZES, by_workspaces),
    ):
        slopes += [
            fit_slope(
                "configuration.bytes",
                unit="bytes",
                per=per,
                sizes=sizes,
                values=[len(content) for content in contents],
            ),
            fit_slope(
                "configuration.read",
                unit="s",
                per=per,
                sizes=sizes,
                values=[_load_time_s(content) for content in contents],
            ),
            fit_slope(
                "configuration.memory",
                unit="bytes",
                per=per,
                sizes=sizes,
                values=[_load_memory_bytes(content) for content in contents],
            ),
        ]
    return slopes


def _load_time_s(content):
    return cpu_time_s(lambda: load_configuration(content), n_calls=2, n_rounds=3)


def _load_memory_bytes(content):
    return allocated_bytes(lambda: load_configuration(content))
