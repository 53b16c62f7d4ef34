"""The build of the deploy file, in a checkout to which a target folder was copied."""

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent
# Stands for `python3`: records calls of pip and passes on all others.
FAKE_PYTHON = """\
#!/bin/sh
if [ "$2" = pip ]; then
    echo "$@" >> {record}
    mkdir -p target/deps
    exit 0
fi
exec {python} "$@"
"""


class Checkout:
    """A checkout with the deploy file of this repository and sources of its own."""

    def __init__(self, *, folder):
        self.folder = folder
        self._record = folder / "pip.txt"
        self._programs = folder / "programs"
        shutil.copytree(ROOT / "deploy", folder / "deploy")
        (folder / "src").mkdir()
        (folder / "src" / "module.py").write_text("ANSWER = 1\n")
        (folder / "requirements.txt").write_text("httptools==1.0\n")
        self._programs.mkdir()
        fake = self._programs / "python3"
        fake.write_text(FAKE_PYTHON.format(record=self._record, python=sys.executable))
        fake.chmod(0o755)

    def build(self):
        """Run the build of the deploy file; return how often it called pip."""
        text = (self.folder / "deploy" / "system.toml").read_text()
        path = f"{self._programs}:{os.environ['PATH']}"
        subprocess.run(
            tomllib.loads(text)["build"],
            shell=True,
            check=True,
            cwd=self.folder,
            env={"PATH": path},
        )
        if not self._record.exists():
            return 0
        calls = self._record.read_text().splitlines()
        self._record.unlink()
        return len(calls)

    def make_target_newest(self):
        """Give the target folder a later date than everything else has."""
        deps = self.folder / "target" / "deps"
        deps.mkdir(parents=True, exist_ok=True)
        os.utime(deps, (4e9, 4e9))


@pytest.fixture
def checkout(tmp_path):
    return Checkout(folder=tmp_path)


class TestLibraries:
    def test_libraries_from_elsewhere_are_replaced(self, checkout):
        # Guards against libraries of another kind of machine, with which no node
        # starts, being kept because their folder is newer than the requirements.
        checkout.make_target_newest()
        assert checkout.build() == 1

    def test_libraries_for_another_machine_are_replaced(self, checkout):
        # The stamp of an arm64 machine, in a folder that was copied as it was.
        checkout.build()
        stamp = checkout.folder / "target" / "deps" / ".installed-for"
        digest, _ = stamp.read_text().split()
        stamp.write_text(f"{digest} .cpython-311-other-linux-gnu.so\n")
        checkout.make_target_newest()
        assert checkout.build() == 1

    def test_libraries_for_older_requirements_are_replaced(self, checkout):
        # Guards against requirements that are new, but of an earlier date.
        checkout.build()
        requirements = checkout.folder / "requirements.txt"
        requirements.write_text("httptools==2.0\n")
        os.utime(requirements, (1e9, 1e9))
        assert checkout.build() == 1

    def test_libraries_are_kept_otherwise(self, checkout):
        assert [checkout.build(), checkout.build()] == [1, 0]


class TestSources:
    def test_a_compiled_file_of_another_source_is_replaced(self, checkout):
        # Guards against a node that runs old code: the compiled file of a source with
        # the same date and size is taken for the present one.
        source = checkout.folder / "src" / "module.py"
        os.utime(source, (1e9, 1e9))
        checkout.build()
        source.write_text("ANSWER = 2\n")
        os.utime(source, (1e9, 1e9))
        checkout.build()
        command = [sys.executable, "-c", "import module; print(module.ANSWER)"]
        output = subprocess.run(
            command, cwd=source.parent, capture_output=True, text=True, check=True
        ).stdout
        assert output == "2\n"
