"""The rows of the store as a node knows them, and the changes that led to them."""

from collections import deque
from dataclasses import dataclass, field

from savoryhill.platform.store import StoreRow
from savoryhill.serving.store_position import StorePosition

# Limit of the removals that are kept to update nodes that are some revisions behind.
MAX_REMOVALS = 2_000
# Limit of the snapshots over which nodes that are behind are still sent changes only.
MAX_SKIPPED_SPANS = 16


@dataclass(kw_only=True)
class RowHistory:
    """Rows by key, and how to bring nodes that are behind up to date.

    ``removals`` holds the rows removed after the position ``removals_since``, oldest
    first. ``skipped_spans`` holds the positions before and after each snapshot that
    replaced changes which this node has not seen one by one.
    """

    rows_by_key: dict = field(default_factory=dict)
    removals: deque = field(default_factory=deque)
    removals_since: StorePosition = StorePosition()
    skipped_spans: deque = field(default_factory=deque)

    def begin_snapshot(self, rows, *, before, after):
        """Note that a snapshot replaces the rows; return the keys that it lacks.

        A history that already held rows keeps their removals, so that nodes up to the
        previous position need no snapshot to follow. The snapshot of a large cluster
        takes the leader's link to all nodes for longer than they wait for a heartbeat.

        Parameters
        ----------
        rows : sequence of StoreRow
            The whole content of the store.
        before, after : StorePosition
            What was known before the snapshot, and what is known with it.
        """
        if not self.rows_by_key:
            self.removals_since = after
            return []
        self.skipped_spans.append((before, after))
        if len(self.skipped_spans) > MAX_SKIPPED_SPANS:
            _, span_end = self.skipped_spans.popleft()
            self.removals_since = max(self.removals_since, span_end)
        present_keys = {row.key for row in rows}
        return [key for key in self.rows_by_key if key not in present_keys]

    def keep_removal(self, key, position):
        """Keep that a row was removed at a position."""
        removal = StoreRow(
            key=key,
            value=b"",
            revision=position.revision,
            is_deleted=True,
            era=position.era,
        )
        self.removals.append(removal)
        if len(self.removals) > MAX_REMOVALS:
            self.removals_since = self.removals.popleft().position

    def rows_after(self, position):
        """Return the changes after a position, or None if some are no longer kept.

        Parameters
        ----------
        position : StorePosition
            What the other node knows.

        Returns
        -------
        tuple of StoreRow or None
            In the order of their positions.
        """
        if position < self.removals_since:
            return None
        # A row that came and went within a skipped span is not known here.
        if any(start < position < end for start, end in self.skipped_spans):
            return None
        rows = [row for row in self.rows_by_key.values() if row.position > position]
        rows += [row for row in self.removals if row.position > position]
        return tuple(sorted(rows, key=lambda row: row.position))
