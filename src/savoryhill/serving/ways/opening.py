"""One connection to an endpoint while it is opened, by several ways at once."""

from savoryhill.core.reachability.messages import NO_WAY, STOPPING, UNREACHABLE
from savoryhill.errors import NotConnectedError, WayLostError
from savoryhill.serving.ways.race import race
from savoryhill.serving.ways.relayed_connection import RelayRefusedError


class Opening:
    """Opens one connection, and records what the attempts show.

    A path is lost if the node's own attempt fails and another node makes a connection.
    Both may end in any order, also when another connection is in use already.

    Parameters
    ----------
    ways : EndpointWays
        What this node knows of its paths, and of other nodes.
    endpoint : Endpoint
        The endpoint.
    connect : callable
        ``connect()`` makes a connection of the node's own.
    connect_through : callable
        ``connect_through(node)`` makes one through another node.
    """

    def __init__(self, *, ways, endpoint, connect, connect_through):
        self._ways = ways
        self._endpoint = endpoint
        self._connect = connect
        self._connect_through = connect_through
        self._began_at = 0.0
        self._own_path_failed = False
        self._reached_by = None
        self._is_endpoint_at_fault = False

    def run(self):
        """Return the connection that was made first.

        Raises
        ------
        WayLostError, NotConnectedError
            If none was made: the former if the endpoint may be sound.
        """
        try:
            return race(self._attempts(), is_decided=lambda: self._is_endpoint_at_fault)
        except NotConnectedError as error:
            if self._is_endpoint_at_fault or not self._ways.may_be_cut(self._endpoint):
                raise
            raise WayLostError(f"{self._endpoint.id}: {error}") from error

    def _attempts(self):
        """Yield the ways; the relays are chosen only if the first way is not enough."""
        takes_own_path = self._ways.may_take_own_path(self._endpoint)
        if takes_own_path:
            yield self._open_own
        for node in self._ways.choose_relays(self._endpoint):
            yield self._make_relayed(node)
        if not takes_own_path:
            yield self._open_own

    def _open_own(self):
        self._began_at = self._ways.now()
        try:
            connection = self._connect()
        except NotConnectedError:
            self._own_path_failed = True
            self._ways.note_unreached(self._endpoint, self._began_at)
            self._judge()
            raise
        self._ways.note_connected(self._endpoint, self._began_at)
        return connection

    def _make_relayed(self, node):
        return lambda: self._open_relayed(node)

    def _open_relayed(self, node):
        try:
            connection = self._connect_through(node)
        except RelayRefusedError as error:
            self._note_refusal(node, error.reply)
            raise
        except NotConnectedError:
            self._ways.note_relay(node.name, has_failed=True)
            raise
        self._ways.note_relay(node.name, has_failed=False)
        self._reached_by = node.name
        self._judge()
        return connection

    def _note_refusal(self, node, reply):
        if reply.outcome == UNREACHABLE and reply.has_way:
            self._is_endpoint_at_fault = True
        elif reply.outcome in (UNREACHABLE, NO_WAY, STOPPING):
            self._ways.note_relay(node.name, has_failed=True)

    def _judge(self):
        if self._own_path_failed and self._reached_by is not None:
            self._ways.note_lost(self._endpoint, self._began_at, self._reached_by)
