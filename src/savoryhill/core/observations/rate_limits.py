"""Limits of requests a second that endpoints name, and who may send when.

Load pattern: endpoints in need ask for less than they get, while all nodes send. The
node that places the jobs of the others counts what is sent to each endpoint; a node
without a leader keeps to its part.
"""

import math

from savoryhill.core.observations.table import Observation

# The value is the requests a second that an endpoint (the subject) takes from all nodes
# together, or ``NO_LIMIT`` once it has answered without naming any.
LIMIT = "limit"
NO_LIMIT = -1.0

# An endpoint that is sent nothing can't tell that it takes more again.
LIMIT_LIFETIME_S = 30.0
CONFIRMATION_INTERVAL_S = 15.0
MIN_CHANGE_INTERVAL_S = 0.5
# Relative change of a limit that other nodes are told at once.
MIN_CHANGE = 0.1
# Requests a second to an endpoint that takes none, to learn when it does.
PROBE_RATE_PER_S = 0.2
# Requests that may follow one another at once are those of this time, and one.
BURST_S = 0.5


def observe_limit(table, *, incarnation, limit, sent_at, now):
    """Return the observations of an answer's limit.

    Parameters
    ----------
    table : ObservationTable
        The observations known so far.
    incarnation : str
        The endpoint, with its start.
    limit : float
        Requests a second; infinite if the answer names none.
    sent_at, now : float
        When the request was sent, and the current time, in seconds.

    Returns
    -------
    list of Observation
        Empty if other nodes need not be told.
    """
    known = table.get(LIMIT, incarnation)
    known_limit = known.value if known is not None else NO_LIMIT
    value = limit if math.isfinite(limit) else NO_LIMIT
    if value == NO_LIMIT and (known_limit == NO_LIMIT or sent_at < known.observed_at):
        # The answer to an earlier request may be older than the limit.
        return []
    if known is not None and not _is_news(known, value, now - known.observed_at):
        return []
    return [
        Observation(
            kind=LIMIT,
            subject=incarnation,
            source="",
            version=1 + (known.version if known is not None else 0),
            observed_at=now,
            value=value,
        )
    ]


def _is_news(known, value, age_s):
    if NO_LIMIT in (known.value, value) or 0.0 in (known.value, value):
        is_change = known.value != value
    else:
        is_change = abs(value - known.value) > MIN_CHANGE * known.value
    return age_s >= (MIN_CHANGE_INTERVAL_S if is_change else CONFIRMATION_INTERVAL_S)


def limits_in_force(table, now):
    """Return the requests a second that endpoints take, by `Endpoint.incarnation`.

    A limit of less than one request in ``LIMIT_LIFETIME_S`` holds for the time of two.
    """
    limits = {}
    for incarnation in table.subjects(LIMIT):
        observation = table.get(LIMIT, incarnation)
        if observation.value < 0.0:
            continue
        rate_per_s = _rate_per_s(observation.value)
        lifetime_s = max(LIMIT_LIFETIME_S, 2.0 / rate_per_s)
        if now - observation.observed_at <= lifetime_s:
            limits[incarnation] = observation.value
    return limits


def _rate_per_s(limit):
    return limit if limit > 0.0 else PROBE_RATE_PER_S


class RateLimiter:
    """When each limited endpoint may be sent its next request.

    Parameters
    ----------
    random : random.Random
        Spreads the first requests of nodes that each use a part of the limits.
    share : callable
        Returns the part of each limit that this node may use, from 0 to 1.
    """

    def __init__(self, *, random, share):
        self._random = random
        self._share = share
        self._due_at_by_incarnation = {}
        self.limits_by_incarnation = {}

    def set_limits(self, limits_by_incarnation):
        """Set the limits in force, in requests a second."""
        self.limits_by_incarnation = limits_by_incarnation
        for incarnation in self._due_at_by_incarnation.keys() - limits_by_incarnation:
            del self._due_at_by_incarnation[incarnation]

    def is_limited(self, incarnation):
        """Tell whether an endpoint has named a limit that is in force."""
        return incarnation in self.limits_by_incarnation

    def rate_per_s(self, incarnation):
        """Return the requests a second that this node may send to an endpoint."""
        limit = self.limits_by_incarnation.get(incarnation)
        return math.inf if limit is None else _rate_per_s(limit) * self._share()

    def wait_s(self, incarnation, now):
        """Return the seconds until an endpoint may be sent a request."""
        if incarnation not in self.limits_by_incarnation:
            return 0.0
        return max(0.0, self._due_at(incarnation, now) - BURST_S - now)

    def take(self, incarnation, now):
        """Count a request that is sent once `wait_s` has passed."""
        if incarnation not in self.limits_by_incarnation:
            return
        due_at = max(self._due_at(incarnation, now), now)
        self._due_at_by_incarnation[incarnation] = due_at + 1.0 / self.rate_per_s(
            incarnation
        )

    def _due_at(self, incarnation, now):
        """Return when the requests sent so far are due at the limit.

        A node that begins to count doesn't know what others have sent, so the first
        requests don't follow one another at once.
        """
        due_at = self._due_at_by_incarnation.get(incarnation)
        if due_at is None:
            due_at = now + BURST_S
            if self._share() < 1.0:
                due_at += self._random.random() / self.rate_per_s(incarnation)
            self._due_at_by_incarnation[incarnation] = due_at
        return due_at

    def take_first(self, incarnations, *, max_wait_s, now):
        """Count a request to the endpoint that may be sent one first.

        Parameters
        ----------
        incarnations : sequence of str
            Endpoints, the preferred one first.
        max_wait_s : float
            How long the request can wait, in seconds.
        now : float
            Current time of the node's clock, in seconds.

        Returns
        -------
        tuple of (str or None, float)
            The endpoint and the seconds until the request may be sent; without an
            endpoint, the seconds until one would take the request.
        """
        if not incarnations:
            return None, 0.0
        waits = {name: self.wait_s(name, now) for name in incarnations}
        first = min(waits, key=waits.get)
        if waits[first] > max_wait_s:
            return None, waits[first]
        self.take(first, now)
        return first, waits[first]


def unlimited():
    """Return a limiter that knows no limit."""
    return RateLimiter(random=None, share=lambda: 1.0)
