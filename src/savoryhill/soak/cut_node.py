"""Starts the process of a node whose connections to endpoints a soak can cut.

The network of one machine cannot be cut for a single process, so its sockets consult a
file, which names the way of the cut and an endpoint's address in each line.
"""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

import gevent

from savoryhill.serving.start import main
from savoryhill.serving.ways import connection
from savoryhill.standins.serving.network import Network, make_socket_type

CUTS_VARIABLE = "SAVORYHILL_SOAK_CUTS"
CHECK_INTERVAL_S = 0.05


def follow_cuts(network, path, host):
    """Apply the cuts that a file names until the greenlet is killed."""
    known = ""
    while True:
        text = path.read_text() if path.exists() else ""
        if text != known:
            known = text
            network.heal()
            for line in text.splitlines():
                how, _, target = line.partition(" ")
                network.cut(host, [target], how)
        network.connects.clear()
        gevent.sleep(CHECK_INTERVAL_S)


def run():
    """Run the node until it has shut down; return its exit code."""
    path, host = os.environ[CUTS_VARIABLE].split("@")
    network = Network()
    connection.gsocket.socket = make_socket_type(network)
    gevent.spawn(follow_cuts, network, Path(path), host)
    return main()


if __name__ == "__main__":
    sys.exit(run())
