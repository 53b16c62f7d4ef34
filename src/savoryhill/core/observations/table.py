"""Observations of endpoints that nodes share, merged without a coordinator.

Every node holds a copy. Merging is commutative, associative and idempotent, so that
copies agree once the same observations have reached them, whatever was repeated or
reordered on the way. Versions order the observations of one subject; clocks only tell
when an observation ends.
"""

import math
from dataclasses import dataclass

LIFETIME_S = 120.0
# Of observations about protected subjects, or of a kind that must outlast them.
MAX_LIFETIME_S = 1_200.0
# Room for the crashes under a prompt with as many parts as a header of usual size
# holds. The leader sends all of them on each new link.
MAX_OBSERVATIONS = 8_192


@dataclass(frozen=True, kw_only=True, slots=True)
class Observation:
    """One observation; a node holds the latest of each kind, subject and source.

    ``subject`` and ``source`` depend on the kind, as do ``value``, ``workspace`` and
    ``release``, that of an endpoint's software.
    ``version`` is higher than that of all observations which this one succeeds.
    ``observed_at`` is in seconds of the clock of the node that holds the copy.
    """

    kind: str
    subject: str
    source: str
    version: int
    observed_at: float
    value: float = 0.0
    workspace: str = ""
    release: str = ""

    @property
    def key(self):
        """Return what identifies the observation, apart from its version."""
        return self.kind, self.subject, self.source

    def succeeds(self, other):
        """Return whether this observation replaces another one with the same key."""
        return self._rank() > other._rank()

    def _rank(self):
        return self.version, self.value, self.workspace, self.release


class ObservationTable:
    """One node's copy of the shared observations.

    ``revision`` changes with the content. Subjects in ``protected_subjects`` are the
    last to be dropped when there are more than ``max_observations``, and are kept for
    longer, as are the ``lasting_kinds``.
    """

    def __init__(self, *, max_observations=MAX_OBSERVATIONS, lasting_kinds=()):
        self._max_observations = max_observations
        self._lasting_kinds = frozenset(lasting_kinds)
        self._by_key = {}
        self._keys_by_subject = {}
        self._keys_by_source = {}
        self.protected_subjects = frozenset()
        self.revision = 0

    def __len__(self):
        return len(self._by_key)

    def get(self, kind, subject, source=""):
        """Return an observation, or None."""
        return self._by_key.get((kind, subject, source))

    def all(self):
        """Return all observations."""
        return tuple(self._by_key.values())

    def about(self, kind, subject):
        """Return the observations of a kind about a subject."""
        keys = self._keys_by_subject.get((kind, subject), ())
        return [self._by_key[key] for key in keys]

    def subjects(self, kind, *, n_min=1):
        """Return the subjects about which there are some observations of a kind."""
        return [
            subject
            for (known, subject), keys in self._keys_by_subject.items()
            if known == kind and len(keys) >= n_min
        ]

    def from_source(self, kind, source):
        """Return the observations of a kind from a source."""
        keys = self._keys_by_source.get((kind, source), ())
        return [self._by_key[key] for key in keys]

    def merge(self, observations, now):
        """Add observations and return those that were news.

        Parameters
        ----------
        observations : iterable of Observation
            In any order; some may be known or outdated.
        now : float
            Current time of this node's clock, in seconds.

        Returns
        -------
        tuple of Observation
            Those that other nodes need as well.
        """
        news = []
        for observation in observations:
            if not _is_valid(observation, now):
                continue
            known = self._by_key.get(observation.key)
            if known is None or observation.succeeds(known):
                self._store(observation)
                news.append(observation)
        if news:
            self.revision += 1
            self._drop_excess()
        return tuple(news)

    def expire(self, now):
        """Drop the observations whose lifetime has ended; return whether any had."""
        ended = [
            o.key
            for o in self._by_key.values()
            if now - o.observed_at > self._lifetime_s(o)
        ]
        for key in ended:
            self._drop(key)
        if ended:
            self.revision += 1
        return bool(ended)

    def _lifetime_s(self, observation):
        return MAX_LIFETIME_S if self._is_lasting(observation) else LIFETIME_S

    def _is_lasting(self, observation):
        return (
            observation.subject in self.protected_subjects
            or observation.kind in self._lasting_kinds
        )

    def _store(self, observation):
        kind, subject, source = key = observation.key
        self._by_key[key] = observation
        self._keys_by_subject.setdefault((kind, subject), {})[key] = None
        self._keys_by_source.setdefault((kind, source), {})[key] = None

    def _drop(self, key):
        kind, subject, source = key
        del self._by_key[key]
        for keys_by, index in (
            (self._keys_by_subject, (kind, subject)),
            (self._keys_by_source, (kind, source)),
        ):
            del keys_by[index][key]
            if not keys_by[index]:
                del keys_by[index]

    def _drop_excess(self):
        n_excess = len(self._by_key) - self._max_observations
        if n_excess <= 0:
            return
        oldest_first = sorted(
            self._by_key.values(),
            key=lambda o: (self._is_lasting(o), o.observed_at),
        )
        for observation in oldest_first[:n_excess]:
            self._drop(observation.key)


def _is_valid(observation, now):
    return (
        math.isfinite(observation.value)
        and observation.version > 0
        and now - observation.observed_at <= MAX_LIFETIME_S
    )
