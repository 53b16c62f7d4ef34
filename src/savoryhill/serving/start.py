"""Entry point of a node: listens for clients first, then loads the program.

Loading the libraries takes most of a start. Connections that arrive meanwhile wait in
the listener's queue instead of being refused, which matters when all nodes of a
deployment start again at once.
"""

import socket

from savoryhill.errors import SettingsError
from savoryhill.platform.boot_settings import load_settings, settings_path

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
    """Run the process until SIGTERM has been carried out, and return its exit code."""
    try:
        settings = load_settings(settings_path())
    except SettingsError as error:
        from savoryhill.serving.process import report_invalid_settings

        return report_invalid_settings(error)
    listener = open_listener(settings.client_address)
    from savoryhill.serving.process import run

    return run(settings, listener)
