"""A node's view of the cluster: configuration, endpoints and other nodes.

The view is a local copy of the store's rows. It is updated by the node's own calls to
the store and by updates from other nodes.
"""

from dataclasses import dataclass, field, replace

from savoryhill.platform.decode import classify_key
from savoryhill.serving.cluster_state import ClusterState
from savoryhill.serving.retained_rows import (
    RetainedRow,
    WithdrawnRows,
    outranks,
    retained_until,
)
from savoryhill.serving.row_history import RowHistory
from savoryhill.serving.store_position import StorePosition

# A longer gap between contacts with the store counts as an outage. The first limit
# holds if one of this node's own calls failed during the gap, the second if none did.
# The second exceeds the time that a node without updates waits before it calls the
# store itself, and is shorter than the three missed heartbeats after which rows expire.
OUTAGE_AFTER_FAILURE_S = 1.0
OUTAGE_WITHOUT_FAILURE_S = 2.0


@dataclass(kw_only=True)
class ClusterView(ClusterState):
    """The state of the cluster as the rows of the store tell it, with their position.

    ``revision`` and ``era`` are the position up to which the view is complete.
    ``history`` holds the rows as the store has them. ``retained_by_key`` holds what
    stays in force although the store, which came back from a copy, says otherwise; the
    functions in ``on_retained`` are called with the keys of newly retained rows.
    """

    revision: int = 0
    era: int = 0
    era_began_at: float = float("-inf")
    contact_at: float = float("-inf")
    call_failed_at: float = float("-inf")
    history: RowHistory = field(default_factory=RowHistory)
    retained_by_key: dict[str, RetainedRow] = field(default_factory=dict)
    on_retained: list = field(default_factory=list)

    def __post_init__(self):
        self._newly_retained = []
        self._withdrawn = WithdrawnRows(clock=self.clock)

    @property
    def position(self):
        """The moment of the store's history up to which the view is complete."""
        return StorePosition(era=self.era, revision=self.revision)

    def resolve(self, *, era, revision):
        """Return a position; an era of 0, which is not known, is the present one."""
        return StorePosition(era=era or self.era, revision=revision)

    def contact_age_s(self):
        """Return the seconds since the view was last known to be current."""
        return self.clock.monotonic() - self.contact_at

    def note_contact(self, at):
        """Record that the view was current at a time of the node's clock.

        The end of an outage is detected from the gap since the previous contact.
        """
        has_failed_call = self.call_failed_at > self.contact_at
        outage_s = (
            OUTAGE_AFTER_FAILURE_S if has_failed_call else OUTAGE_WITHOUT_FAILURE_S
        )
        if at - self.contact_at > outage_s and self.contact_at > float("-inf"):
            self.outage_ended_at = self.clock.monotonic()
            self.record("store.regained", {"after_s": round(at - self.contact_at, 3)})
        self.contact_at = max(self.contact_at, at)

    def note_failed_call(self):
        """Record that one of this node's own calls to the store failed."""
        self.call_failed_at = self.clock.monotonic()

    def apply(
        self,
        rows,
        revision,
        *,
        base_revision=0,
        is_complete=False,
        era=0,
        base_era=0,
    ):
        """Apply rows up to a position.

        The view already covers everything up to its own position. Older rows are
        ignored, because they could restore a row that has been removed since.

        Parameters
        ----------
        rows : sequence of StoreRow
            Changes in the order of their positions.
        revision, era : int
            Position that the view has reached once the rows are applied. An era of 0
            is not known; it is taken for the present one.
        base_revision, base_era : int
            The rows are all changes after this position; its era is ``era`` if not
            known.
        is_complete : bool
            Whether the rows are a full snapshot; rows that it lacks are removed.

        Returns
        -------
        bool
            False if changes before the base are missing; nothing is applied.
        """
        position = self.resolve(era=era, revision=revision)
        base = StorePosition(era=base_era or position.era, revision=base_revision)
        if is_complete and position < self.position:
            self.record(
                "store.snapshot_ignored",
                {"revision": revision, "known": self.revision, "rows": len(rows)},
            )
            return True
        if not is_complete and not self._continues(base, position):
            self.record(
                "store.update_skipped",
                {"base_revision": base_revision, "known": self.revision},
            )
            return False
        is_restored = self._note_restoration(position)
        changed = is_complete
        if is_complete:
            self._remove_missing_rows(rows, position, is_restored)
        for row in rows:
            named = row if row.era else replace(row, era=position.era)
            if self._is_known(named, is_complete):
                continue
            is_from_copy = is_restored and named.era == position.era
            if named.is_deleted:
                self._remove_row(named.key, is_from_copy)
                self.history.keep_removal(named.key, named.position)
            else:
                self._apply_row(named, is_from_copy)
            changed = True
        if position > self.position:
            self.era, self.revision = position.era, position.revision
        if changed:
            self.notify()
        return True

    def _continues(self, base, position):
        """Tell whether changes after a base lead from this view to a position.

        A view that is ahead of the base in an era that has ended knows changes which
        the store has lost, and of which the update says nothing.
        """
        if base > self.position:
            return False
        return position.era <= self.era or base == self.position

    def _note_restoration(self, position):
        """Return whether a position is of a later era than the rows of this view."""
        if position.era <= self.era or not self.history.rows_by_key:
            return False
        self.era_began_at = self.outage_ended_at = self.clock.monotonic()
        self.record(
            "store.restored",
            {
                "era": position.era,
                "revision": position.revision,
                "known_era": self.era,
                "known": self.revision,
            },
        )
        return True

    def _remove_missing_rows(self, rows, position, is_restored):
        for key in self.history.begin_snapshot(
            rows, before=self.position, after=position
        ):
            self._remove_row(key, is_restored)
            self.history.keep_removal(key, position)

    def stored_value(self, key):
        """Return the value that the store has under a key, or None."""
        row = self.history.rows_by_key.get(key)
        return None if row is None else row.value

    def rows_after(self, position):
        """Return the changes after a position, or None if some are no longer kept."""
        return self.history.rows_after(position)

    def _is_known(self, row, is_complete):
        if not is_complete and row.position <= self.position:
            return True
        known = self.history.rows_by_key.get(row.key)
        if known is None:
            return False
        if known.era == row.era:
            return known.revision >= row.revision
        # The copy and what was known have the history before the copy in common.
        return known.revision == row.revision and known.value == row.value

    # What stays in force after the store has come back from a copy.

    def _is_news(self, row, present):
        """Tell whether a row that another node retains is news."""
        if present is None:
            return not row.is_deleted and classify_key(row.key)[0] != "endpoint"
        if row.is_deleted and present.is_deleted:
            return row.position > present.position
        return outranks(row, present)

    def _known_row(self, key):
        """Return the row of a key that is in force, a removed one as deleted."""
        if key in self.retained_by_key:
            return self.retained_by_key[key].row
        return self.history.rows_by_key.get(key) or self._withdrawn.get(key)

    def _retain(self, known):
        until = retained_until(known, self.era_began_at)
        self.retained_by_key[known.key] = RetainedRow(row=known, until=until)
        self._newly_retained.append(known.key)
        self.record(
            "store.row_retained",
            {
                "key": known.key,
                "revision": known.revision,
                "era": known.era,
                "removed": known.is_deleted,
            },
        )

    def release_retained_rows(self):
        """Let the store's rows count whose writers have not written again in time."""
        now = self.clock.monotonic()
        ended = [key for key, kept in self.retained_by_key.items() if kept.until <= now]
        for key in ended:
            del self.retained_by_key[key]
            row = self.history.rows_by_key.get(key)
            self.record("store.row_released", {"key": key, "removed": row is None})
            if row is None:
                self.withdraw(key)
            else:
                self.put_in_force(row)
        if ended:
            self.notify()

    def merge_retained(self, rows, *, age_s):
        """Keep what another node retains, if it is news against the store's copy.

        Load pattern: a node starts, or was cut off, while the store came back, and
        knows only what the copy holds.

        Parameters
        ----------
        rows : iterable of StoreRow
            Rows of earlier eras that are in force at the other node; removed ones are
            deleted and have the value that was removed.
        age_s : float
            Seconds since the other node has learned of the present era.
        """
        began_at = self.clock.monotonic() - age_s
        self.era_began_at = max(self.era_began_at, began_at)
        changed = False
        for row in rows:
            present = self._known_row(row.key)
            if not self._is_news(row, present):
                continue
            self._retain(row)
            if row.is_deleted:
                self.withdraw(row.key)
            else:
                self.put_in_force(row)
            changed = True
        if changed:
            self.notify()

    def notify(self):
        """Call the functions in ``on_change`` and, if need be, in ``on_retained``."""
        super().notify()
        retained_keys, self._newly_retained = self._newly_retained, []
        if retained_keys:
            for listener in self.on_retained:
                listener(retained_keys)

    def _apply_row(self, row, is_from_copy):
        if classify_key(row.key)[0] == "other":
            return
        known = self._known_row(row.key) if is_from_copy else None
        self.history.rows_by_key[row.key] = row
        if known is not None and outranks(known, row):
            self._retain(known)
            return
        self.retained_by_key.pop(row.key, None)
        self.put_in_force(row)

    def _remove_row(self, key, is_from_copy):
        known = self._known_row(key)
        row = self.history.rows_by_key.pop(key, None)
        if is_from_copy and known is not None and not known.is_deleted:
            # Endpoints have a grace period of their own.
            if classify_key(key)[0] != "endpoint":
                self._retain(known)
                return
        elif row is not None:
            self._withdrawn.add(row)
        self.retained_by_key.pop(key, None)
        self.withdraw(key)
