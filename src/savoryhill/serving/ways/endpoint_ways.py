"""Connections of this node to endpoints: its own, or through another node.

A failed connection tells nothing of the endpoint: the node may have lost its way. So
another node is asked as well, and what it says decides.
"""

from functools import partial

import gevent

from savoryhill.core.reachability.messages import RelayRequest
from savoryhill.core.reachability.paths import PathTable
from savoryhill.core.reachability.relays import RelayTable
from savoryhill.errors import NotConnectedError, WayLostError
from savoryhill.serving.http import MAX_BUFFERED_BYTES
from savoryhill.serving.ways.connection import open_connection
from savoryhill.serving.ways.opening import Opening
from savoryhill.serving.ways.relayed_connection import open_relayed

# A relay needs a round trip more than a connect of its own takes at the most.
RELAY_TIMEOUT_S = 0.25
CHECK_TIMEOUT_S = 0.2
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.2
# How long an order or a check may last at a relay.
ORDER_DURATION_S = 1.0


class EndpointWays:
    """Opens the connections of this node to endpoints, by the best way.

    Connections leave from ``host``, the address under which other nodes know this one.
    ``settings()`` returns the settings in force, and ``record(event, fields)`` logs
    paths that are lost and those that are back. ``n_relayed`` and ``n_own`` count the
    connections that were opened through other nodes and without them.
    """

    def __init__(self, *, settings, host, clock, random, cluster_view, record):
        self._settings = settings
        self._host = host
        self._clock = clock
        self._random = random
        self._cluster_view = cluster_view
        self._record = record
        self._relays = RelayTable()
        self._was_cut = False
        self.paths = PathTable()
        self.n_relayed = 0
        self.n_own = 0
        cluster_view.on_change.append(self._forget_others)

    def open(
        self,
        endpoint,
        *,
        timeout_s,
        max_buffered_bytes=MAX_BUFFERED_BYTES,
        request_id="",
        remaining_s=ORDER_DURATION_S,
        is_order=False,
    ):
        """Connect to an endpoint, for one exchange.

        Load patterns: a node has lost its way to all or some endpoints; a handshake is
        delayed by a lost packet. The other way is tried after a few milliseconds, and
        at once if the path is known to be lost. Nothing is sent meanwhile.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        timeout_s : float
            Seconds for a connect of the node's own.
        max_buffered_bytes : int
            How many bytes of a response's body are kept until they are taken.
        request_id : str
            Id of the client's request, for the log of a relay.
        remaining_s : float
            Seconds that the exchange may last.
        is_order : bool
            Whether an order is sent, not a client's request.

        Raises
        ------
        WayLostError
            If no connection could be made, and the endpoint may be sound.
        NotConnectedError
            If the endpoint accepts no connections.
        """
        relay_request = RelayRequest(
            node=self._settings().node,
            request=request_id,
            endpoint=endpoint.incarnation,
            remaining_s=remaining_s,
            is_order=is_order,
        )
        connection = Opening(
            ways=self,
            endpoint=endpoint,
            connect=partial(
                self._connect,
                endpoint,
                timeout_s=timeout_s,
                max_buffered_bytes=max_buffered_bytes,
            ),
            connect_through=partial(
                open_relayed,
                request=relay_request,
                timeout_s=RELAY_TIMEOUT_S,
                source_host=self._host,
                max_buffered_bytes=max_buffered_bytes,
            ),
        ).run()
        if connection.relay:
            self.n_relayed += 1
        else:
            self.n_own += 1
        return connection

    def open_for_order(self, endpoint, *, timeout_s):
        """Connect to an endpoint to send it an order; raises what `open` does."""
        return self.open(endpoint, timeout_s=timeout_s, is_order=True)

    def _connect(self, endpoint, **limits):
        return open_connection(endpoint.address, source_host=self._host, **limits)

    def is_path_at_fault(self, endpoint, *, relay, was_silent):
        """Find out why a response broke off, or did not go on, by connecting again.

        Load pattern: a node that loses its way sees its running responses break or stop
        as they do when endpoints end or hang.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint of the response.
        relay : str
            The relay of its connection, empty if it had none.
        was_silent : bool
            Whether it did not go on, rather than break off.

        Returns
        -------
        bool
            True if the endpoint is reached only by another way than the one that it
            had, or by none although it may be sound.
        """
        if relay and was_silent:
            self.note_relay(relay, has_failed=True)
        try:
            connection = self.open_for_order(endpoint, timeout_s=CHECK_TIMEOUT_S)
        except WayLostError:
            return True
        except NotConnectedError:
            return False
        connection.close()
        return bool(connection.relay) and connection.relay != relay

    def probe_periodically(self):
        """Try lost paths, until the greenlet is killed."""
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            self._probe()

    def _probe(self):
        """Try the paths that are lost one by one, until one of them still is."""
        lost_ids = sorted(self.paths.lost_by_id)
        self._random.shuffle(lost_ids)
        for endpoint_id in lost_ids:
            endpoint = self._cluster_view.endpoints_by_id.get(endpoint_id)
            if endpoint is None:
                continue
            began_at = self.now()
            try:
                connection = self._connect(endpoint, timeout_s=PROBE_TIMEOUT_S)
            except NotConnectedError:
                return
            connection.close()
            self.note_connected(endpoint, began_at)

    # What the openings of connections ask and show.

    def now(self):
        """Return the time of the node's clock, in seconds."""
        return self._clock.monotonic()

    def choose_relays(self, endpoint):
        """Return the nodes to ask for a connection to an endpoint, in order."""
        settings = self._settings()
        nodes = self._cluster_view.nodes_by_name.values()
        return self._relays.choose(
            [
                node
                for node in nodes
                if node.relay_address and node.name != settings.node
            ],
            own_zone=settings.zone,
            endpoint_zone=endpoint.zone,
            now=self.now(),
            random=self._random,
        )

    def may_take_own_path(self, endpoint):
        """Tell whether a request takes the node's own path to an endpoint first."""
        return self.paths.may_take(endpoint, self.now())

    def may_be_cut(self, endpoint):
        """Tell whether a failed connect may be this node's own fault."""
        return self.paths.is_lost(endpoint) or self.paths.may_be_cut()

    def note_connected(self, endpoint, began_at):
        """Record a connection of this node's own."""
        was_lost = endpoint.id in self.paths.lost_by_id
        self.paths.note_connected(endpoint, began_at=began_at, now=self.now())
        if was_lost:
            self._record("path.regained", {"endpoint": endpoint.id})
        self._record_cut()

    def note_unreached(self, endpoint, began_at):
        """Record a connect of this node's own that failed."""
        self.paths.note_unreached(endpoint, began_at=began_at)

    def note_lost(self, endpoint, began_at, relay):
        """Record that another node reached an endpoint which this one did not."""
        if endpoint.id not in self.paths.lost_by_id:
            self._record("path.lost", {"endpoint": endpoint.id, "reached_by": relay})
        self.paths.note_lost(endpoint, began_at=began_at)
        self._record_cut()

    def note_relay(self, name, *, has_failed):
        """Record whether a node was of use as a relay."""
        if has_failed:
            self._relays.note_failed(name, self.now())
        else:
            self._relays.note_relayed(name)

    def _record_cut(self):
        is_cut = self.paths.is_cut()
        if is_cut != self._was_cut:
            self._was_cut = is_cut
            event = "node.way_lost" if is_cut else "node.way_regained"
            self._record(event, {"paths_lost": len(self.paths.lost_by_id)})

    def _forget_others(self):
        self.paths.set_endpoints(self._cluster_view.endpoints_by_id.values())
        self._relays.forget_others(self._cluster_view.nodes_by_name.keys())
        self._record_cut()
