"""Choice of the leader, the node that schedules for all others.

Nodes are ordered by capacity, because the leader has links to all others, and then by
the revision of their registration, so that a restarted node ranks behind others of the
same capacity. The first node that can be reached is the leader.

There is no consensus: a node schedules for whichever nodes connect to it. Two leaders
at once place jobs less well but violate no rule, because the node that sends a request
checks every rule itself.
"""

from collections import Counter

# A node that could not be reached is not chosen as leader for this long, and for twice
# as long after each further failure under the same registration: the registration of a
# node that lost power remains until its lease expires.
SUSPICION_S = 3.0
MAX_SUSPICION_S = 24.0
# So many nodes that could not be reached make their zone a lost one.
MIN_SUSPECTED_IN_ZONE = 2


def suspicion_s(n_failures):
    """Return how long a node is not chosen as leader, in seconds.

    Parameters
    ----------
    n_failures : int
        Failures to reach the node under its present registration, at least 1.
    """
    return min(MAX_SUSPICION_S, SUSPICION_S * 2 ** (n_failures - 1))


def choose_leader(nodes, *, suspected_until, now):
    """Return the leader, or None if there is no candidate.

    Parameters
    ----------
    nodes : iterable of NodeRecord
        Registered nodes.
    suspected_until : dict of str to float
        Addresses that are not chosen, with the time until which this holds.
    now : float
        Time of the node's clock.

    Returns
    -------
    NodeRecord or None
        The first node in order whose address is not suspected. Nodes of a zone that
        seems lost come last: a zone may have dozens, each of which takes a moment to
        try.
    """
    nodes = list(nodes)
    suspected = {n.address for n in nodes if suspected_until.get(n.address, 0.0) > now}
    n_suspected_by_zone = Counter(n.zone for n in nodes if n.address in suspected)
    return min(
        (node for node in nodes if node.address not in suspected),
        key=lambda node: (
            n_suspected_by_zone[node.zone] >= MIN_SUSPECTED_IN_ZONE,
            -node.capacity,
            node.revision,
            node.name,
        ),
        default=None,
    )


class LeaderChoice:
    """Chooses the leader among the registered nodes, without those under suspicion.

    ``record(event, fields)`` logs the loss of a leader.
    """

    def __init__(self, *, clock, cluster_view, record):
        self._clock = clock
        self._cluster_view = cluster_view
        self._record = record
        self._n_failures_by_registration = {}
        self.suspected_until = {}

    def choose(self):
        """Return the leader, or None if there is no candidate."""
        return choose_leader(
            self._cluster_view.nodes_by_name.values(),
            suspected_until=self.suspected_until,
            now=self._clock.monotonic(),
        )

    def suspect(self, address, cause, *, duration_s=None):
        """Do not choose the node at an address for a time.

        Parameters
        ----------
        address : str
            Address of the node.
        cause : str
            Why, for the log.
        duration_s : float or None
            Seconds; None doubles with each failure under the node's registration.
        """
        if duration_s is None:
            duration_s = suspicion_s(self._count_failure(address))
        self.suspected_until[address] = self._clock.monotonic() + duration_s
        self._record("leader.lost", {"address": address, "cause": cause})

    def _count_failure(self, address):
        """Count a failure to reach a node; return its failures since it registered."""
        registered = {
            (node.address, node.revision)
            for node in self._cluster_view.nodes_by_name.values()
        }
        counts = {
            key: n
            for key, n in self._n_failures_by_registration.items()
            if key in registered
        }
        self._n_failures_by_registration = counts
        keys = [key for key in registered if key[0] == address]
        for key in keys:
            counts[key] = counts.get(key, 0) + 1
        return max((counts[key] for key in keys), default=1)
