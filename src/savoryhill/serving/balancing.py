"""Chooses endpoints of plain services by the load of this node."""

from contextlib import contextmanager
from dataclasses import dataclass, field

FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 5.0
FULL_EJECTION_S = 0.1


@dataclass(kw_only=True, slots=True)
class _Load:
    n_running: int = 0
    n_failures: int = 0
    ejected_until: float = 0.0


@dataclass(kw_only=True)
class Balancer:
    """Loads of endpoints of plain services, as this node sees them."""

    clock: object
    random: object
    cluster_view: object
    loads_by_id: dict[str, _Load] = field(default_factory=dict)

    def _load(self, endpoint_id):
        return self.loads_by_id.setdefault(endpoint_id, _Load())

    def choose(self, service, *, avoid):
        """Choose an endpoint, or None if there is none.

        Load pattern: few requests on few endpoints, some of which fail or are slow.
        The endpoint with the fewest running requests of this node is taken, among
        equals a random one; ejected ones only if nothing else is left.
        """
        endpoints = self.cluster_view.usable_endpoints(service.name)
        if not endpoints:
            return None
        now = self.clock.monotonic()

        def rank(endpoint):
            load = self._load(endpoint.id)
            return (
                endpoint.id in avoid,
                load.ejected_until > now,
                load.n_running,
                self.random.random(),
            )

        chosen = min(endpoints, key=rank)
        return None if chosen.id in avoid else chosen

    @contextmanager
    def use(self, endpoint):
        """Count a running request."""
        load = self._load(endpoint.id)
        load.n_running += 1
        try:
            yield
        finally:
            load.n_running -= 1

    def note_success(self, endpoint):
        """Take note of an answer."""
        self._load(endpoint.id).n_failures = 0

    def note_failure(self, endpoint, *, is_full):
        """Avoid an endpoint, longer with each failure in a row."""
        load = self._load(endpoint.id)
        if is_full:
            pause_s = FULL_EJECTION_S
        else:
            pause_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**load.n_failures)
            load.n_failures += 1
        load.ejected_until = self.clock.monotonic() + pause_s
