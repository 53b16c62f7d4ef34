"""Entry point of a node: listens for clients, then imports the server.

Importing the libraries takes most of the startup time. Connections that arrive in the
meantime wait in the listener's backlog instead of being refused, which matters when all
nodes of a deployment restart at once.
"""

import os
import signal
import socket

from savoryhill.errors import SettingsError
from savoryhill.platform.boot_settings import (
    load_settings,
    settings_path,
    settings_version,
)

BACKLOG = 1024


def open_listener(address):
    """Listen on ``ip:port``.

    Raises
    ------
    OSError
        If the address can't be used.
    """
    host, port = address.rsplit(":", 1)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def main():
    """Run the process until it has shut down on a signal, and end it.

    Returns an exit code only if the process can't start.

    SIGHUP is ignored until the server can handle it, which compares the settings file
    with the version that was read here.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        version = settings_version(settings_path())
        settings = load_settings(settings_path())
    except SettingsError as error:
        from savoryhill.serving.process import report_invalid_settings

        return report_invalid_settings(error)
    listener = open_listener(settings.client_address)
    from savoryhill.serving.process import run

    exit_code = run(settings, listener, known_version=version)
    # The interpreter's own shutdown takes 0.08 s, in which sockets would stay open.
    os._exit(exit_code)
