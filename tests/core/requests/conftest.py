import importlib.util
from pathlib import Path

import pytest


def _load():
    # With importlib import mode a test directory is not on the import path.
    path = Path(__file__).parent / "core_world.py"
    spec = importlib.util.spec_from_file_location("core_world", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.fixture(scope="session")
def core_world():
    return _load()


@pytest.fixture
def world(core_world):
    return core_world.World()
