"""Choice among the endpoints of a plain service by the load that they report."""

import math
from collections import deque
from dataclasses import dataclass, field

# A report is of use for some times the duration of a plain call (0.2 to 0.3 s), in
# which the requests that it counted end. It counts for 1/e after this time.
REPORT_DECAY_S = 1.0
REPORT_LIFETIME_S = 3.0
# An endpoint in another availability zone is chosen if it has so many fewer requests
# for each of its slots. With a smaller difference, calls of a calm service leave their
# zone by chance.
LEAVE_ZONE_LOAD = 0.5
# A failed request counts on its endpoint for so long as if it ran, so that one which
# refuses at once, and is always idle therefore, does not draw the requests of all.
FAILURE_S = 1.0
# Bounds what a false report can express; real ones have tens of requests.
MAX_REPORTED = 1_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """What an endpoint told of its load at ``observed_at``, in seconds.

    ``n_running`` and ``n_waiting`` are the requests of all nodes, ``n_slots`` is how
    many it runs at once.
    """

    n_running: int
    n_waiting: int
    n_slots: int
    observed_at: float

    @property
    def n_requests(self):
        """Return the running and the waiting requests."""
        return self.n_running + self.n_waiting


@dataclass(kw_only=True, slots=True)
class _Load:
    report: LoadReport | None = None
    n_running: int = 0
    sent_at: deque = field(default_factory=deque)


class EndpointLoads:
    """Loads of endpoints, by `Endpoint.incarnation`, as one node knows them.

    A report counts less the older it is. The node's own requests that run always count,
    whatever an endpoint reports.
    """

    def __init__(self):
        self._by_incarnation = {}

    def __len__(self):
        return len(self._by_incarnation)

    def note_report(self, incarnation, report, now):
        """Take in a report, of this node or another one; return whether it is news.

        One that is older than the known one, past its lifetime or not possible is
        ignored. One that seems to come from the future counts as observed now.
        """
        if not _is_possible(report) or not report.observed_at > now - REPORT_LIFETIME_S:
            return False
        if report.observed_at > now:
            report = LoadReport(
                n_running=report.n_running,
                n_waiting=report.n_waiting,
                n_slots=report.n_slots,
                observed_at=now,
            )
        load = self._by_incarnation.setdefault(incarnation, _Load())
        if load.report is not None and load.report.observed_at > report.observed_at:
            return False
        load.report = report
        return True

    def note_failed(self, endpoint, now):
        """Take an endpoint for full, whatever it reports, after a failed request.

        One that refuses all requests is idle, and would get those of busy ones.
        """
        report = self.report(endpoint.incarnation, now)
        n_waiting = report.n_waiting if report is not None else 0
        full = LoadReport(
            n_running=endpoint.slots,
            n_waiting=n_waiting,
            n_slots=endpoint.slots,
            observed_at=now,
        )
        self.note_report(endpoint.incarnation, full, now)

    def note_sent(self, incarnation, now):
        """Count a request of this node as running from now on."""
        load = self._by_incarnation.setdefault(incarnation, _Load())
        load.n_running += 1
        load.sent_at.append(now)

    def note_ended(self, incarnation):
        """Count a request of this node as ended; the first sent is taken for it."""
        load = self._by_incarnation[incarnation]
        load.n_running -= 1
        load.sent_at.popleft()
        if load.n_running == 0 and load.report is None:
            del self._by_incarnation[incarnation]

    def n_running(self, incarnation):
        """Return how many requests of this node run on an endpoint."""
        load = self._by_incarnation.get(incarnation)
        return 0 if load is None else load.n_running

    def report(self, incarnation, now):
        """Return the latest report of an endpoint, or None if it is too old."""
        load = self._by_incarnation.get(incarnation)
        if load is None or load.report is None:
            return None
        if now - load.report.observed_at >= REPORT_LIFETIME_S:
            return None
        return load.report

    def n_reports(self, now):
        """Return how many endpoints have a report that is not too old."""
        return sum(self.report(name, now) is not None for name in self._by_incarnation)

    def expected_load(self, endpoint, now):
        """Return the expected number of requests on an endpoint.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint; what an earlier incarnation reported does not count.
        now : float
            The current time, in seconds.

        Returns
        -------
        float
            What it reported, less the more time has passed, with what this node has
            sent since; at least the requests of this node that run.
        """
        incarnation = endpoint.incarnation
        report = self.report(incarnation, now)
        if report is None:
            return float(self.n_running(incarnation))
        load = self._by_incarnation[incarnation]
        n_since = sum(sent_at > report.observed_at for sent_at in load.sent_at)
        weight = math.exp(-(now - report.observed_at) / REPORT_DECAY_S)
        return max(float(load.n_running), report.n_requests * weight + n_since)

    def forget(self, present_incarnations, now):
        """Drop old reports, and those of endpoints that are gone."""
        for incarnation, load in list(self._by_incarnation.items()):
            if (
                incarnation not in present_incarnations
                or self.report(incarnation, now) is None
            ):
                load.report = None
                if load.n_running == 0:
                    del self._by_incarnation[incarnation]


def _is_possible(report):
    counts = (report.n_running, report.n_waiting)
    return (
        math.isfinite(report.observed_at)
        and all(0 <= count <= MAX_REPORTED for count in counts)
        and 1 <= report.n_slots <= MAX_REPORTED
    )


def rank_load(endpoint, *, loads, zone, now, unreported_load=0.0):
    """Return the loads by which endpoints are compared, the lowest first.

    ``unreported_load`` is what other nodes are taken to have on an endpoint without a
    report, in requests for each slot.

    Returns
    -------
    tuple of (float, float)
        What one more request would wait for, in requests for each slot; and all
        requests for each slot, to which another zone than ``zone`` adds.
    """
    n_slots = endpoint.slots
    n_requests = loads.expected_load(endpoint, now)
    report = loads.report(endpoint.incarnation, now)
    if report is None:
        n_requests += unreported_load * n_slots
    else:
        # A report of more slots than are registered would draw all requests.
        n_slots = min(n_slots, report.n_slots)
    away = LEAVE_ZONE_LOAD if endpoint.zone != zone else 0.0
    n_excess = max(0.0, n_requests + 1.0 - n_slots)
    return n_excess / n_slots, n_requests / n_slots + away


def choose_endpoint(endpoints, *, loads, zone, now, random, counts_all=False):
    """Return the endpoint with the lowest load, at random among equals.

    An endpoint of another zone is chosen if it has clearly fewer requests for each of
    its slots, or if those of the own zone have no free slot.

    Parameters
    ----------
    endpoints : sequence of Endpoint
        The candidates, at least one.
    loads : EndpointLoads
        What is known of them.
    zone : str
        Availability zone of the node that sends the request.
    now : float
        The current time, in seconds.
    random : random.Random
        Decides among equals.
    counts_all : bool
        Whether ``loads`` counts the requests of all nodes. Otherwise, an endpoint
        without a report is taken to be as loaded by other nodes as those of its zone
        with one are on average: a node hears from few of many endpoints.
    """
    unreported = {} if counts_all else _mean_loads_by_zone(endpoints, loads, now)
    return min(
        endpoints,
        key=lambda endpoint: (
            rank_load(
                endpoint,
                loads=loads,
                zone=zone,
                now=now,
                unreported_load=unreported.get(endpoint.zone, 0.0),
            ),
            random.random(),
        ),
    )


def _mean_loads_by_zone(endpoints, loads, now):
    """Return the requests of other nodes for each slot of endpoints with a report.

    The own ones are left out, as those that pile up on an endpoint which always reports
    that it is idle tell nothing of the others.
    """
    loads_by_zone = {}
    for endpoint in endpoints:
        incarnation = endpoint.incarnation
        if loads.report(incarnation, now) is not None:
            n_others = loads.expected_load(endpoint, now) - loads.n_running(incarnation)
            loads_by_zone.setdefault(endpoint.zone, []).append(
                n_others / endpoint.slots
            )
    return {zone: sum(each) / len(each) for zone, each in loads_by_zone.items()}
