"""The command that explains a request from logs."""

import sys

from fire.decorators import SetParseFn

from savoryhill.cli.commands import EXIT_FAILED, EXIT_OK, deferred
from savoryhill.errors import SettingsError


def _lines(paths):
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
    """Print what happened to a request, with the cause in the last line.

    Parameters
    ----------
    request_id : str
        Id of the request.
    *logs : str
        Log files of the nodes, in any order; ``-`` is standard input.
    """

    def start():
        from savoryhill.observability.explain import UnknownRequestError
        from savoryhill.observability.explain import explain as tell

        if not logs:
            raise SettingsError("no log file was given; - reads standard input")
        try:
            print("\n".join(tell(request_id, _lines(logs))))
        except UnknownRequestError as error:
            print(f"savoryhill: {error}", file=sys.stderr)
            return EXIT_FAILED
        return EXIT_OK

    return deferred(start)
