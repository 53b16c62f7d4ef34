"""What stays in force although an older copy of the store says otherwise.

Load pattern: the store comes back from a copy some seconds old. What its writers wrote
since is missing until they have written it again, and what they removed is back.
"""

import math
from dataclasses import dataclass

from savoryhill.platform.decode import (
    classify_key,
    decode_configuration,
    decode_endpoint,
)
from savoryhill.platform.store import StoreRow

# The rows of writers that don't write again have expired by then, or are meant.
RETENTION_S = 8.0
# How long a removed row is remembered, and how many are. A copy is some seconds old.
WITHDRAWN_S = 60.0
MAX_WITHDRAWN = 2_000


@dataclass(frozen=True, kw_only=True, slots=True)
class RetainedRow:
    """A row in force until a time of the node's clock, or until the store says more.

    A deleted one keeps the value and the revision of the row that was removed.
    """

    row: StoreRow
    until: float


def outranks(known, row):
    """Tell whether a known row is newer than the one that a copy of the store holds.

    Parameters
    ----------
    known : StoreRow
        Row of an earlier era; a deleted one has the value that was removed.
    row : StoreRow
        Row with the same key in the present era.

    Returns
    -------
    bool
        By the version of a configuration, by the start, the state and the count of
        heartbeats of an endpoint. For others, only a removed row outranks itself.
    """
    subject, _ = classify_key(known.key)
    if subject == "configuration" and not known.is_deleted:
        return _version(known) > _version(row)
    if subject == "endpoint":
        known_rank, rank = _endpoint_rank(known), _endpoint_rank(row)
        return known_rank >= rank if known.is_deleted else known_rank > rank
    return (
        known.is_deleted and known.revision == row.revision and known.value == row.value
    )


def _version(row):
    configuration = decode_configuration(row.value)
    return -math.inf if configuration is None else configuration.version


def _endpoint_rank(row):
    endpoint = decode_endpoint(row)
    if endpoint is None:
        return (-math.inf, False, -math.inf)
    return endpoint.born_ms, endpoint.is_draining, endpoint.sequence


def retained_until(known, era_began_at):
    """Return until when a row outranks the copy unless the store says something new.

    Parameters
    ----------
    known : StoreRow
        A row that outranks that of the copy, or that the copy lacks.
    era_began_at : float
        When the node learned of the present era, in seconds of its clock.

    Returns
    -------
    float
        No end for configurations, whose version decides, and for endpoints that drain,
        as they do so until they end.
    """
    subject, _ = classify_key(known.key)
    if not known.is_deleted:
        if subject == "configuration":
            return math.inf
        if subject == "endpoint" and _endpoint_rank(known)[1]:
            return math.inf
    return era_began_at + RETENTION_S


class WithdrawnRows:
    """The rows that were removed lately, as they were before."""

    def __init__(self, *, clock):
        self._clock = clock
        self._by_key = {}

    def add(self, row):
        """Remember a row that is being removed."""
        withdrawn = StoreRow(
            key=row.key,
            value=row.value,
            revision=row.revision,
            era=row.era,
            is_deleted=True,
        )
        # The latest removal is the last one in the order of insertion.
        self._by_key.pop(row.key, None)
        self._by_key[row.key] = withdrawn, self._clock.monotonic()
        if len(self._by_key) > MAX_WITHDRAWN:
            del self._by_key[next(iter(self._by_key))]

    def get(self, key):
        """Return a removed row, or None if it was not removed lately."""
        row, removed_at = self._by_key.get(key, (None, -math.inf))
        is_recent = self._clock.monotonic() - removed_at <= WITHDRAWN_S
        return row if is_recent else None
