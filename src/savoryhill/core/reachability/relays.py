"""Choice of the nodes that are asked to relay a request to an endpoint."""

from dataclasses import dataclass, field

FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
# How many nodes are asked for one request, and how many of them for being near.
N_RELAYS = 4
N_NEAR = 2


@dataclass(kw_only=True, slots=True)
class _Backoff:
    """Failures of a node in a row, and until when it is asked only if all fail."""

    n_failures: int
    ends_at: float


@dataclass(kw_only=True)
class RelayTable:
    """What a node knows of the others as relays."""

    _backoffs_by_name: dict[str, _Backoff] = field(default_factory=dict)

    def note_relayed(self, name):
        """Record that a node has reached an endpoint for this one."""
        self._backoffs_by_name.pop(name, None)

    def note_failed(self, name, now):
        """Record that a node was not reached, or has no way itself."""
        backoff = self._backoffs_by_name.get(name)
        n_failures = 1 if backoff is None else backoff.n_failures + 1
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (n_failures - 1))
        self._backoffs_by_name[name] = _Backoff(
            n_failures=n_failures, ends_at=now + backoff_s
        )

    def choose(self, nodes, *, own_zone, endpoint_zone, now, random):
        """Return the nodes to ask, in order.

        Load pattern: most nodes, or all of an availability zone, have lost their way.
        What crosses the fewest zones comes first; among equals the choice is random, by
        capacity, so that no node relays for all. Some of the nodes are in another
        zone than the first ones, which may all be cut off together.

        Parameters
        ----------
        nodes : iterable of NodeRecord
            Nodes that relay, without this one.
        own_zone, endpoint_zone : str
            Availability zones of this node and of the endpoint.
        now : float
            Time of the node's clock, in seconds.
        random : random.Random
            Source of the order among equals.

        Returns
        -------
        list of NodeRecord
        """

        def sort_key(node):
            backoff = self._backoffs_by_name.get(node.name)
            is_backed_off = backoff is not None and backoff.ends_at > now
            n_crossings = (node.zone != own_zone) + (node.zone != endpoint_zone)
            weighted = random.random() ** (1.0 / max(node.capacity, 1e-9))
            return is_backed_off, n_crossings, -weighted

        ordered = sorted(nodes, key=sort_key)
        near, rest = ordered[:N_NEAR], ordered[N_NEAR:]
        near_zones = {node.zone for node in near}
        rest.sort(key=lambda node: node.zone in near_zones)
        return near + rest[: N_RELAYS - len(near)]

    def forget_others(self, present_names):
        """Drop what is known of nodes that are gone."""
        for name in self._backoffs_by_name.keys() - present_names:
            del self._backoffs_by_name[name]
