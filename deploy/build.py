"""Install the pinned libraries below ``target/deps`` and compile the sources.

Libraries are installed again whenever they were installed for other requirements or for
another kind of machine. Dates of files do not tell that: a folder that was copied from
an arm64 machine can be newer than the requirements, and no node starts with it.
"""

import hashlib
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "requirements.txt"
LIBRARIES = ROOT / "target" / "deps"
# Written last, so that an interrupted installation is not taken for a complete one.
STAMP = LIBRARIES / ".installed-for"


def installation_key():
    """Return what an installation depends on: requirements, Python and machine."""
    digest = hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest()
    return f"{digest} {sysconfig.get_config_var('EXT_SUFFIX')}\n"


def is_installed():
    """Tell whether the libraries are installed for these requirements and machine."""
    return STAMP.is_file() and STAMP.read_text() == installation_key()


def install_libraries():
    """Replace the installed libraries.

    Raises
    ------
    subprocess.CalledProcessError
        If pip fails.
    """
    if LIBRARIES.exists():
        shutil.rmtree(LIBRARIES)
    pip = ["python3", "-m", "pip", "install", "--quiet", "--require-hashes"]
    where = ["--target", str(LIBRARIES), "-r", str(REQUIREMENTS)]
    subprocess.run([*pip, *where], check=True)
    LIBRARIES.mkdir(parents=True, exist_ok=True)
    STAMP.write_text(installation_key())


def main():
    """Build the system; return the exit code."""
    if not is_installed():
        install_libraries()
    # Compiled files from elsewhere may bear the date of a source that differs.
    compile_all = [sys.executable, "-m", "compileall", "-q", "-f"]
    return subprocess.run([*compile_all, "deploy", "src"], cwd=ROOT).returncode


if __name__ == "__main__":
    sys.exit(main())
