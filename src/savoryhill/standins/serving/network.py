"""A network that tests can cut: between single nodes and endpoints.

Replaces the sockets of outgoing connections. A connection is known by the address of
its node and that of its target, so only connections of nodes can be cut.
"""

import errno

import gevent
from gevent import socket as gsocket

# What a cut does to connections that are opened, and to open ones: they hang, they are
# refused or reset, or open ones live on while new ones are refused.
HANG, RESET, REFUSE = "hang", "reset", "refuse"
CHECK_S = 0.01


class Network:
    """The cuts in force.

    ``connects`` holds the node's address and the target of each connect that was begun.
    """

    def __init__(self):
        self._cuts = {}
        self.connects = []

    def cut(self, host, targets, how=HANG):
        """Cut the node at ``host`` off from the targets, each as ``ip:port``."""
        self._cuts.update(dict.fromkeys([(host, target) for target in targets], how))

    def heal(self):
        """Take back all cuts."""
        self._cuts.clear()

    def mode(self, path):
        """Return how a path, a pair of host and target, is cut, or None."""
        return self._cuts.get(path)


def make_socket_type(network):
    """Return a type of sockets that the cuts of a network apply to."""

    class CutSocket(gsocket.socket):
        path = None
        # What was received after a cut had begun; it arrives once the cut is healed.
        held = None

        def connect(self, address):
            self.path = (self.getsockname()[0], f"{address[0]}:{address[1]}")
            network.connects.append(self.path)
            mode = network.mode(self.path)
            if mode in (RESET, REFUSE):
                raise ConnectionRefusedError(errno.ECONNREFUSED, "refused by the cut")
            if mode == HANG:
                self._hang(self.gettimeout())
            super().connect(address)

        def recv(self, *args):
            while True:
                data, self.held = self.held, None
                if data is None:
                    data = self._recv_until_cut(*args)
                mode = network.mode(self.path)
                if mode == RESET:
                    raise ConnectionResetError(errno.ECONNRESET, "reset by the cut")
                if mode == HANG:
                    # What the target sends or does is not noticed any more.
                    self.held = data
                    self._hang(self.gettimeout())
                elif data is not None:
                    return data

        def _recv_until_cut(self, *args):
            """Receive; return None if a cut ends the wait."""
            timeout = self.gettimeout()
            ends_at = None if timeout is None else _now() + timeout
            while network.mode(self.path) is None or network.mode(self.path) == REFUSE:
                wait_s = CHECK_S if ends_at is None else min(CHECK_S, ends_at - _now())
                if wait_s <= 0:
                    raise TimeoutError("timed out")
                self.settimeout(wait_s)
                try:
                    return super().recv(*args)
                except TimeoutError:
                    continue
                finally:
                    self.settimeout(timeout)
            return None

        def sendall(self, data, *args):
            if network.mode(self.path) == RESET:
                raise ConnectionResetError(errno.ECONNRESET, "reset by the cut")
            if network.mode(self.path) != HANG:
                return super().sendall(data, *args)

        def _hang(self, timeout):
            gevent.sleep(3600.0 if timeout is None else timeout)
            raise TimeoutError("timed out")

    return CutSocket


def _now():
    return gevent.get_hub().loop.now()
