"""The command that explains the outcome of a request from logs."""

import sys

from fire.decorators import SetParseFn

from savoryhill.cli.commands import EXIT_FAILED, EXIT_OK, deferred
from savoryhill.errors import SettingsError


def _read_lines(paths):
    for path in paths:
        if path == "-":
            yield from sys.stdin
            continue
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise SettingsError(f"log {path} cannot be read: {error}") from error


@SetParseFn(str)
def explain(request_id, *logs):
    """Print the course of a request, with the cause of its outcome in the last line.

    Parameters
    ----------
    request_id : str
        Id of the request.
    *logs : str
        Log files of the nodes, in any order; ``-`` is standard input.
    """

    def start():
        from savoryhill.observability.explain import UnknownRequestError
        from savoryhill.observability.explain import explain as explain_request

        if not logs:
            raise SettingsError("no log file given; use - to read standard input")
        try:
            print("\n".join(explain_request(request_id, _read_lines(logs))))
        except UnknownRequestError as error:
            print(f"savoryhill: {error}", file=sys.stderr)
            return EXIT_FAILED
        return EXIT_OK

    return deferred(start)
