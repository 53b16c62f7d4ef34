"""Selection of endpoints for plain services by their load."""

from collections import deque
from contextlib import contextmanager
from dataclasses import dataclass, field

from savoryhill.core.backoff import backoff_s
from savoryhill.core.balancing import EndpointLoads, LoadReport, choose_endpoint
from savoryhill.serving.balance_grants import GRANT_LIFETIME_S

FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 5.0
FULL_EJECTION_S = 0.1
# An endpoint in another availability zone is chosen if it runs so many fewer requests.
LEAVE_ZONE_REQUESTS = 2
# By what the last endpoint was chosen.
BY_OWN_RUNNING = "own_running"
BY_REPORTS = "reports"
BY_LEADER = "leader"


@dataclass(kw_only=True, slots=True)
class _EndpointState:
    n_failures: int = 0
    ejected_until: float = 0.0


@dataclass(kw_only=True)
class Balancer:
    """Loads of the endpoints of plain services, as seen by this node in ``zone``.

    ``grants`` asks the leader, which counts the requests of all nodes; None asks none.
    ``chosen_by`` tells by what the last endpoint was chosen, for the log.
    """

    zone: str
    clock: object
    random: object
    cluster_view: object
    grants: object = None
    loads: EndpointLoads = field(default_factory=EndpointLoads)
    chosen_by: str = BY_OWN_RUNNING
    _states_by_id: dict[str, _EndpointState] = field(default_factory=dict)
    _telling: set[str] = field(default_factory=set)
    _granted_by_incarnation: dict[str, deque] = field(default_factory=dict)

    def _state(self, endpoint_id):
        return self._states_by_id.setdefault(endpoint_id, _EndpointState())

    def choose(self, service, *, avoided_endpoint_ids, may_ask=True):
        """Choose an endpoint that is not in ``avoided_endpoint_ids``, or return None.

        Load pattern: few requests on few endpoints, some of which fail or are slow.
        Chooses the endpoint with the fewest running requests of this node, at random
        among equals, and one in another zone only if the difference is more than one.
        If an endpoint of the service has told its load, the leader chooses, unless
        ``may_ask`` is false; without one, the lowest load that this node knows of.
        Ejected endpoints are chosen only if no other one is left.
        """
        usable = self.cluster_view.usable_endpoints(service.name)
        endpoints = [e for e in usable if e.id not in avoided_endpoint_ids]
        if not endpoints:
            return None
        ready = [e for e in endpoints if not self.is_ejected(e)] or endpoints
        self.chosen_by = BY_OWN_RUNNING
        if self._telling.isdisjoint(e.incarnation for e in usable):
            return min(ready, key=self._sort_key)
        if may_ask and len(ready) > 1:
            granted = self._ask_leader(service, usable, ready)
            if granted is not None:
                self.chosen_by = BY_LEADER
                return granted
        self.chosen_by = BY_REPORTS
        return choose_endpoint(
            ready,
            loads=self.loads,
            zone=self.zone,
            now=self.clock.monotonic(),
            random=self.random,
        )

    def _sort_key(self, endpoint):
        is_away = endpoint.zone != self.zone
        n_running = self.loads.n_running(endpoint.incarnation)
        return n_running + LEAVE_ZONE_REQUESTS * is_away, self.random.random()

    def _ask_leader(self, service, usable, ready):
        """Return the endpoint that the leader chooses, or None."""
        if self.grants is None:
            return None
        ready_by_id = {endpoint.id: endpoint for endpoint in ready}
        granted = self.grants.ask(
            service.name,
            zone=self.zone,
            avoided_ids=[e.id for e in usable if e.id not in ready_by_id],
        )
        if granted is None:
            return None
        number, endpoint_id = granted
        endpoint = ready_by_id.get(endpoint_id)
        if endpoint is None:
            # The leader knows of other endpoints than this node.
            self.grants.end(number, "", None)
            return None
        ends_at = self.clock.monotonic() + GRANT_LIFETIME_S
        granted = self._granted_by_incarnation.setdefault(endpoint.incarnation, deque())
        granted.append((number, ends_at))
        return endpoint

    def _take_granted(self, incarnation):
        """Return the number of a request that the leader counts there, or None.

        The newest is the one of this request. Others are of requests that were not sent
        after all, and end with time.
        """
        granted = self._granted_by_incarnation.get(incarnation, ())
        now = self.clock.monotonic()
        while granted and granted[0][1] <= now:
            granted.popleft()
        number = granted.pop()[0] if granted else None
        if not granted:
            self._granted_by_incarnation.pop(incarnation, None)
        return number

    @contextmanager
    def track_request(self, endpoint):
        """Count a request as running on an endpoint inside the context."""
        incarnation = endpoint.incarnation
        number = self._take_granted(incarnation)
        self.loads.note_sent(incarnation, self.clock.monotonic())
        try:
            yield
        finally:
            self.loads.note_ended(incarnation)
            if number is not None:
                report = self.loads.report(incarnation, self.clock.monotonic())
                self.grants.end(number, incarnation, report)

    def note_load(self, endpoint, load):
        """Take in what an endpoint told of its load in the head of an answer.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint; only those count that serve a request of this balancer.
        load : tuple of (int, int, int) or None
            Running and waiting requests, and slots; None if it told none.
        """
        incarnation = endpoint.incarnation
        if not self.loads.n_running(incarnation):
            return
        if load is None:
            self._telling.discard(incarnation)
            return
        now = self.clock.monotonic()
        n_running, n_waiting, n_slots = load
        report = LoadReport(
            n_running=n_running, n_waiting=n_waiting, n_slots=n_slots, observed_at=now
        )
        if self.loads.note_report(incarnation, report, now):
            self._telling.add(incarnation)

    def forget_absent(self):
        """Drop what is known of endpoints that are gone, and old reports."""
        endpoints = self.cluster_view.endpoints_by_id
        present = {endpoint.incarnation for endpoint in endpoints.values()}
        self._telling &= present
        self.loads.forget(present, self.clock.monotonic())
        for incarnation in self._granted_by_incarnation.keys() - present:
            del self._granted_by_incarnation[incarnation]

    def note_success(self, endpoint):
        """Reset the consecutive failures of an endpoint."""
        self._state(endpoint.id).n_failures = 0

    def is_ejected(self, endpoint):
        """Tell whether an endpoint failed lately."""
        return self._state(endpoint.id).ejected_until > self.clock.monotonic()

    def note_failure(self, endpoint, *, is_full):
        """Eject an endpoint for a time that doubles with each consecutive failure.

        A full endpoint is ejected only briefly, and this is not counted as a failure.
        """
        state = self._state(endpoint.id)
        if is_full:
            ejection_s = FULL_EJECTION_S
        else:
            ejection_s = backoff_s(FIRST_EJECTION_S, MAX_EJECTION_S, state.n_failures)
            state.n_failures += 1
        state.ejected_until = self.clock.monotonic() + ejection_s
        if not self._telling:
            return
        self.loads.note_failed(endpoint, self.clock.monotonic())
        if self.grants is not None:
            self.grants.tell_failure(endpoint.incarnation)
