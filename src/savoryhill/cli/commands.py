"""Deferred start, output formats and exit codes shared by all commands."""

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
    """A command received invalid arguments."""


@dataclass(frozen=True, kw_only=True)
class Deferred:
    """A command whose arguments have been parsed but that has not started.

    fire calls a command before it detects arguments that it cannot use. Commands
    therefore return their work, and ``main`` starts it once fire has accepted all
    arguments.
    """

    _start: Callable[[], int | None]


def deferred(start):
    """Return a command that ``main`` starts once all arguments are accepted."""
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


def print_result(document, output, lines):
    """Print a document as JSON, or the lines that describe it as text."""
    text = json.dumps(document, indent=2) if output == "json" else "\n".join(lines)
    if text:
        sys.stdout.write(text + "\n")
        sys.stdout.flush()
