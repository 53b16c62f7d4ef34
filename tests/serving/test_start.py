"""The start of a node's process, as the platform brings it about."""

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from savoryhill.platform.names import SETTINGS_VARIABLE

SERVE = Path(__file__).parents[2] / "deploy" / "serve.py"
LIMIT_S = 30.0


def free_ports(n_ports):
    """Return free ports on the loopback address."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(n_ports)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class NodeProcess:
    """A node without a store, which starts."""

    def __init__(self, folder):
        self.settings_path = folder / "settings"
        self._ports = free_ports(4)
        self.write_settings(grace_s=1)
        self.log_path = folder / "log"
        with open(self.log_path, "wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(SERVE)],
                stdout=log,
                stderr=log,
                env={**os.environ, SETTINGS_VARIABLE: str(self.settings_path)},
            )

    def write_settings(self, *, grace_s):
        client, readiness, peer, store = self._ports
        written = self.settings_path.with_name("new")
        written.write_text(
            "node=edge-1\nzone=zone-a\nipAddress=127.0.0.1\n"
            f"listen.frontend=127.0.0.1:{client}\n"
            f"listen.readiness=127.0.0.1:{readiness}\n"
            f"internalPorts={peer},{peer}\n"
            f"platform.address=127.0.0.1:{store}\n"
            f"bounds.graceS={grace_s}\n"
        )
        written.replace(self.settings_path)

    def signal(self, number):
        self._process.send_signal(number)

    def is_listening(self):
        """Tell whether clients can connect, which is before the server is imported."""
        try:
            socket.create_connection(("127.0.0.1", self._ports[0])).close()
        except ConnectionRefusedError:
            return False
        return True

    def has_logged(self, text):
        assert self._process.poll() is None, self.log_path.read_text()
        return text in self.log_path.read_text()

    def end(self):
        """End the process; return its exit code."""
        if self._process.poll() is None:
            self._process.terminate()
        return self._process.wait(timeout=LIMIT_S)


@pytest.fixture
def node(tmp_path):
    process = NodeProcess(tmp_path)
    yield process
    process.end()


class TestReloadWhileStarting:
    def test_process_goes_on_with_the_new_settings(self, node, wait_until):
        # Guards against a change of the settings that ends a starting process, or that
        # it misses.
        wait_until(node.is_listening, limit_s=LIMIT_S)
        node.write_settings(grace_s=2)
        node.signal(signal.SIGHUP)
        wait_until(lambda: node.has_logged("node.started"), limit_s=LIMIT_S)
        wait_until(lambda: node.has_logged("changed=grace_s"), limit_s=LIMIT_S)
        assert node.end() == 0
