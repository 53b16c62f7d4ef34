"""A loopback proxy that delays, resets, cuts one way or silences connections."""

import struct

import gevent
from gevent import socket as gsocket
from gevent.event import Event
from gevent.server import StreamServer

from savoryhill.serving.http import split_address

PASS, DELAY, RESET, SILENCE = "pass", "delay", "reset", "silence"
CUT_UP, CUT_DOWN = "cut_up", "cut_down"
DELAY_S = 0.15
RECV_BYTES = 65_536


class FaultProxy:
    """Relays connections to ``target``; ``mode`` is one of this module's words.

    What a cut or a silence holds up is lost when the mode ends, because its
    connections are closed then.
    """

    def __init__(self, *, target, listen=("127.0.0.1", 0)):
        self._target = split_address(target)
        self._changed = Event()
        self._socks = set()
        self.mode = PASS
        self._server = StreamServer(listen, self._serve, backlog=256)
        self._server.start()
        self.address = f"{listen[0]}:{self._server.server_port}"

    def set_mode(self, mode):
        """Change what happens to connections, open ones included."""
        ended, self.mode = self.mode, mode
        if mode == RESET or ended in (SILENCE, CUT_UP, CUT_DOWN):
            self._reset_all()
        self._changed.set()
        self._changed.clear()

    def _reset_all(self):
        for sock in list(self._socks):
            linger = struct.pack("ii", 1, 0)
            try:
                sock.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_LINGER, linger)
                sock.shutdown(gsocket.SHUT_RDWR)
            except OSError:
                # The connection has ended by itself.
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
        socks = {client, server}
        self._socks |= socks
        up = gevent.spawn(self._relay, client, server, CUT_UP)
        down = gevent.spawn(self._relay, server, client, CUT_DOWN)
        gevent.wait([up, down], count=1)
        gevent.killall([up, down])
        self._socks -= socks
        for sock in socks:
            sock.close()

    def _relay(self, source, sink, cut):
        try:
            while True:
                data = source.recv(RECV_BYTES)
                if not data:
                    return
                while self.mode in (SILENCE, cut):
                    self._changed.wait()
                if self.mode == DELAY:
                    gevent.sleep(DELAY_S)
                sink.sendall(data)
        except OSError:
            # One end is gone, which ends the relay.
            return

    def stop(self):
        """Stop listening and end all connections."""
        self._server.stop(timeout=0)
        self._reset_all()
