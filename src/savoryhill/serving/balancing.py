"""Selection of endpoints for plain services by the load that this node puts on them."""

from contextlib import contextmanager
from dataclasses import dataclass, field

FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 5.0
FULL_EJECTION_S = 0.1
# An endpoint in another availability zone is chosen if it runs so many fewer requests.
LEAVE_ZONE_REQUESTS = 2


@dataclass(kw_only=True, slots=True)
class _EndpointLoad:
    n_running: int = 0
    n_failures: int = 0
    ejected_until: float = 0.0


@dataclass(kw_only=True)
class Balancer:
    """Loads of the endpoints of plain services, as seen by this node in ``zone``."""

    zone: str
    clock: object
    random: object
    cluster_view: object
    loads_by_id: dict[str, _EndpointLoad] = field(default_factory=dict)

    def _load(self, endpoint_id):
        return self.loads_by_id.setdefault(endpoint_id, _EndpointLoad())

    def choose(self, service, *, avoided_endpoint_ids):
        """Choose an endpoint that is not in ``avoided_endpoint_ids``, or return None.

        Load pattern: few requests on few endpoints, some of which fail or are slow.
        Chooses the endpoint with the fewest running requests of this node, at random
        among equals, and one in another zone only if the difference is more than one.
        Ejected endpoints are chosen only if no other one is left.
        """
        endpoints = self.cluster_view.usable_endpoints(service.name)
        if not endpoints:
            return None
        now = self.clock.monotonic()

        def sort_key(endpoint):
            load = self._load(endpoint.id)
            return (
                endpoint.id in avoided_endpoint_ids,
                load.ejected_until > now,
                load.n_running + LEAVE_ZONE_REQUESTS * (endpoint.zone != self.zone),
                self.random.random(),
            )

        chosen = min(endpoints, key=sort_key)
        return None if chosen.id in avoided_endpoint_ids else chosen

    @contextmanager
    def track_request(self, endpoint):
        """Count a request as running on an endpoint inside the context."""
        load = self._load(endpoint.id)
        load.n_running += 1
        try:
            yield
        finally:
            load.n_running -= 1

    def note_success(self, endpoint):
        """Reset the consecutive failures of an endpoint."""
        self._load(endpoint.id).n_failures = 0

    def is_ejected(self, endpoint):
        """Tell whether an endpoint failed lately."""
        return self._load(endpoint.id).ejected_until > self.clock.monotonic()

    def note_failure(self, endpoint, *, is_full):
        """Eject an endpoint for a time that doubles with each consecutive failure.

        A full endpoint is ejected only briefly, and this is not counted as a failure.
        """
        load = self._load(endpoint.id)
        if is_full:
            ejection_s = FULL_EJECTION_S
        else:
            ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**load.n_failures)
            load.n_failures += 1
        load.ejected_until = self.clock.monotonic() + ejection_s
