"""What the commands share: deferred start, output formats, exit codes."""

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass

from savoryhill.errors import SavoryhillError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
FORMATS = ("text", "json")


class UsageError(SavoryhillError):
    """A command was given wrong arguments."""


@dataclass(frozen=True, kw_only=True)
class Deferred:
    """A command whose arguments have been read.

    fire calls a command before it notices arguments it cannot use, so commands
    return what is to be done, and `main` does it once all arguments are used.
    """

    _start: Callable[[], int | None]


def deferred(start):
    """Return a command's work to be done when all arguments are known good."""
    return Deferred(_start=start)


def check_output(output):
    """Check the value of ``--output``.

    Raises
    ------
    UsageError
        If it is not a known format.
    """
    if output not in FORMATS:
        raise UsageError(f"--output: expected text or json, not {output!r}")


def show(document, output, lines):
    """Print a document as JSON, or the lines that describe it as text."""
    text = json.dumps(document, indent=2) if output == "json" else "\n".join(lines)
    if text:
        sys.stdout.write(text + "\n")
        sys.stdout.flush()
