"""Order of what the metadata store says."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class StorePosition:
    """A moment of the store's history.

    The store counts ``era`` up when it comes back from an older copy of itself, and
    then gives out again the revisions that were lost. So a revision orders changes
    within one era only. An era of 0 is not known.
    """

    era: int = 0
    revision: int = 0
