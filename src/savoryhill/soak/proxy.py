"""TCP proxy that injects faults into connections on the loopback interface."""

import struct

import gevent
from gevent import socket as gsocket
from gevent.event import Event
from gevent.server import StreamServer

from savoryhill.serving.ways.connection import split_address

# Modes of the proxy: relay unchanged, delay the data, reset connections, hold back
# data in both directions, and hold back data to or from the target only.
PASS, DELAY, RESET, SILENCE = "pass", "delay", "reset", "silence"
CUT_UP, CUT_DOWN = "cut_up", "cut_down"
DELAY_S = 0.15
RECV_BYTES = 65_536


class FaultProxy:
    """Relays connections to ``target``; ``mode`` is one of this module's constants.

    Data held back by a cut or silence mode is lost when the mode ends, because the
    connections are reset at that point.
    """

    def __init__(self, *, target, listen=("127.0.0.1", 0)):
        self._target = split_address(target)
        self._changed = Event()
        self._sockets = set()
        self.mode = PASS
        self._server = StreamServer(listen, self._serve, backlog=256)
        self._server.start()
        self.address = f"{listen[0]}:{self._server.server_port}"

    def set_mode(self, mode):
        """Change the mode, also for open connections."""
        previous, self.mode = self.mode, mode
        if mode == RESET or previous in (SILENCE, CUT_UP, CUT_DOWN):
            self._reset_all()
        self._changed.set()
        self._changed.clear()

    def _reset_all(self):
        for sock in list(self._sockets):
            linger = struct.pack("ii", 1, 0)
            try:
                sock.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_LINGER, linger)
                sock.shutdown(gsocket.SHUT_RDWR)
            except OSError:
                # The connection has already ended.
                continue

    def _serve(self, client, _address):
        if self.mode == RESET:
            client.close()
            return
        try:
            server = gsocket.create_connection(self._target, timeout=2.0)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        sockets = {client, server}
        self._sockets |= sockets
        upstream = gevent.spawn(self._relay, client, server, CUT_UP)
        downstream = gevent.spawn(self._relay, server, client, CUT_DOWN)
        gevent.wait([upstream, downstream], count=1)
        gevent.killall([upstream, downstream])
        self._sockets -= sockets
        for sock in sockets:
            sock.close()

    def _relay(self, source, sink, cut_mode):
        try:
            while True:
                data = source.recv(RECV_BYTES)
                if not data:
                    return
                while self.mode in (SILENCE, cut_mode):
                    self._changed.wait()
                if self.mode == DELAY:
                    gevent.sleep(DELAY_S)
                sink.sendall(data)
        except OSError:
            # Either end closed its connection, which ends the relay.
            return

    def stop(self):
        """Stop listening and reset all connections."""
        self._server.stop(timeout=0)
        self._reset_all()
