import importlib.util
from pathlib import Path

import pytest


def _load_harness():
    # In pytest's importlib mode a test directory is not on the import path.
    path = Path(__file__).parent / "harness.py"
    spec = importlib.util.spec_from_file_location("harness", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.fixture(scope="session")
def harness_module():
    return _load_harness()


@pytest.fixture
def harness(harness_module):
    return harness_module.RequestsHarness()
