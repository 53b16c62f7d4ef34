"""The paths of one node to the endpoints, as its own connections show them.

A path is lost if a connection could not be made that another node made at the same
time. A failed connection alone does not tell a dead endpoint from a lost path.
"""

from dataclasses import dataclass, field

from savoryhill.core.observations.gradual_return import GradualReturn

# So many endpoints must be out of reach, with no connection to others since, before the
# paths to those that were not tried count as lost as well; for all endpoints, in so
# many zones.
MIN_ENDPOINTS = 2
MIN_ZONES = 2
# A node that has connected to any endpoint so recently knows that it has a way.
RECENT_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _FailedConnect:
    """A connect that failed; it began at ``began_at``."""

    zone: str
    began_at: float


@dataclass(kw_only=True)
class PathTable:
    """What a node knows of its own paths to endpoints.

    Load patterns: a node is cut off from all endpoints, or from those of one
    availability zone, while other nodes reach them. Only the first requests try a path
    that is lost; the others take another way at once. An endpoint that is dead, or
    silent for a moment, loses no path: no other node reaches it either.

    Times are those of the node's clock, in seconds. ``n_zones`` is the number of zones
    that have endpoints.
    """

    n_zones: int = 1
    lost_by_id: dict[str, _FailedConnect] = field(default_factory=dict)
    _unreached_by_id: dict[str, _FailedConnect] = field(default_factory=dict)
    _connected_at_by_zone: dict[str, float] = field(default_factory=dict)
    _returns_by_zone: dict[str, GradualReturn] = field(default_factory=dict)

    def note_connected(self, endpoint, *, began_at, now):
        """Record a connection of this node to an endpoint."""
        zone = endpoint.zone
        connected_at = self._connected_at_by_zone.get(zone, float("-inf"))
        self._connected_at_by_zone[zone] = max(connected_at, began_at)
        self._unreached_by_id = {
            endpoint_id: failed
            for endpoint_id, failed in self._unreached_by_id.items()
            if failed.began_at > began_at
        }
        if self.lost_by_id.pop(endpoint.id, None) is not None:
            self._returns_by_zone[zone] = GradualReturn(next_at=now)
        elif zone in self._returns_by_zone and (
            self._returns_by_zone[zone].note_success()
        ):
            del self._returns_by_zone[zone]

    def note_unreached(self, endpoint, *, began_at):
        """Record a connect that failed; nothing tells whose fault it is."""
        self._unreached_by_id[endpoint.id] = _FailedConnect(
            zone=endpoint.zone, began_at=began_at
        )

    def note_lost(self, endpoint, *, began_at):
        """Record a connect that failed while another node reached the endpoint."""
        self.lost_by_id[endpoint.id] = _FailedConnect(
            zone=endpoint.zone, began_at=began_at
        )
        self._returns_by_zone.pop(endpoint.zone, None)

    def is_lost(self, endpoint):
        """Return whether the path to an endpoint is known, or presumed, to be lost."""
        if endpoint.id in self.lost_by_id or self.is_cut():
            return True
        in_zone = [f for f in self.lost_by_id.values() if f.zone == endpoint.zone]
        connected_at = self._connected_at_by_zone.get(endpoint.zone, float("-inf"))
        return _n_since(in_zone, connected_at) >= MIN_ENDPOINTS

    def is_cut(self):
        """Return whether this node has lost its way to all endpoints."""
        since = self._last_connected_at()
        lost = [f for f in self.lost_by_id.values() if f.began_at > since]
        n_zones = len({failed.zone for failed in lost})
        return len(lost) >= MIN_ENDPOINTS and n_zones >= min(MIN_ZONES, self.n_zones)

    def may_be_cut(self):
        """Return whether this node has reached no endpoint since several failed."""
        unreached = self._unreached_by_id.values()
        return _n_since(unreached, self._last_connected_at()) >= MIN_ENDPOINTS

    def has_way(self, now):
        """Return whether this node has connected to an endpoint lately."""
        return now - self._last_connected_at() <= RECENT_S and not self.is_cut()

    def _last_connected_at(self):
        return max(self._connected_at_by_zone.values(), default=float("-inf"))

    def may_take(self, endpoint, now):
        """Return whether a request may take the path to an endpoint, and count it."""
        if self.is_lost(endpoint):
            return False
        returning = self._returns_by_zone.get(endpoint.zone)
        if returning is None:
            return True
        if now < returning.next_at:
            return False
        returning.note_sent(now)
        return True

    def set_endpoints(self, endpoints):
        """Take in which endpoints there are, and forget those that are gone."""
        present_ids = {endpoint.id for endpoint in endpoints}
        self.n_zones = len({endpoint.zone for endpoint in endpoints})
        for known in (self.lost_by_id, self._unreached_by_id):
            for endpoint_id in known.keys() - present_ids:
                del known[endpoint_id]


def _n_since(failed_connects, since):
    """Return how many of the connects began later than a time."""
    return sum(failed.began_at > since for failed in failed_connects)
