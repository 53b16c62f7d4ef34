"""Connections of this node to endpoints."""

from savoryhill.serving.http import MAX_BUFFERED_BYTES
from savoryhill.serving.ways.connection import open_connection


class EndpointWays:
    """Opens the connections of this node to endpoints.

    They leave from ``host``, the address under which other nodes know this one.
    """

    def __init__(self, *, host):
        self._host = host

    def open(self, endpoint, *, timeout_s, max_buffered_bytes=MAX_BUFFERED_BYTES):
        """Connect to an endpoint, for one exchange.

        Raises
        ------
        NotConnectedError
            If no connection could be made; nothing was sent.
        """
        return open_connection(
            endpoint.address,
            timeout_s=timeout_s,
            max_buffered_bytes=max_buffered_bytes,
            source_host=self._host,
        )
