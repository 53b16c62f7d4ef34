"""Keeps in the store what is refused because it ends endpoints."""

import gevent

from savoryhill.core.observations.crashes import CRASH
from savoryhill.errors import PlatformError
from savoryhill.platform.decode import decode_refusals, encode_refusals
from savoryhill.platform.names import REFUSALS_KEY

RECORD_INTERVAL_S = 1.0
# Wait after a failed call. The observations are shared meanwhile as usual.
RETRY_DELAY_S = 5.0
# Bounds the size of the row.
MAX_RECORDED_CRASHES = 1_000


class RefusalRecord:
    """Writes the crashes behind each refusal to the store, and reads those of others.

    Load pattern: all nodes restart at the same time while a request or a part of
    prompts is refused. Without the record, each refusal costs three more endpoints.
    """

    def __init__(
        self, *, store, clock, cluster_view, sharing, crash_guard, is_leader, record
    ):
        self._store = store
        self._clock = clock
        self._cluster_view = cluster_view
        self._sharing = sharing
        self._crash_guard = crash_guard
        self._is_leader = is_leader
        self._record = record
        self._merged_value = None
        cluster_view.on_change.append(self._merge_stored)

    def _merge_stored(self):
        """Merge the crashes that the store names, if its row has changed."""
        value = self._cluster_view.stored_value(REFUSALS_KEY)
        if value is None or value == self._merged_value:
            return
        self._merged_value = value
        self._sharing.add(
            decode_refusals(
                value, now=self._clock.monotonic(), wall_now=self._clock.wall()
            )
        )

    def run(self):
        """Keep the row up to date while this node leads, until the greenlet ends."""
        while True:
            gevent.sleep(RECORD_INTERVAL_S)
            if not self._is_leader():
                continue
            try:
                self.write_changes()
            except PlatformError as error:
                self._record("refusals.not_recorded", {"cause": str(error)})
                gevent.sleep(RETRY_DELAY_S)

    def write_changes(self):
        """Write the row if it does not name the crashes that count.

        Raises
        ------
        PlatformError
            If the store did not confirm the row.
        """
        now, wall_now = self._clock.monotonic(), self._clock.wall()
        value = self._cluster_view.stored_value(REFUSALS_KEY)
        stored = decode_refusals(value or b"", now=now, wall_now=wall_now)
        crashes = self._crashes_of_refusals()
        if _identities(crashes) == _identities(stored):
            return
        self._store.put(
            REFUSALS_KEY, encode_refusals(crashes, now=now, wall_now=wall_now)
        )
        self._record("refusals.recorded", {"crashes": len(crashes)})

    def _crashes_of_refusals(self):
        """Return the crashes of what is refused, as far as there is room.

        Those of a subject are recorded together, as fewer would not be held against it.
        Subjects that ended endpoints with few others come first, the latest of them
        before the rest.
        """
        found = self._crash_guard.crashing_by_part
        fewest_others_first = sorted(
            found,
            key=lambda subject: (
                len(found[subject].parts),
                -found[subject].last_crash_at,
                subject,
            ),
        )
        recorded = []
        for subject in fewest_others_first:
            crashes = self._sharing.table.about(CRASH, subject)
            if len(recorded) + len(crashes) > MAX_RECORDED_CRASHES:
                break
            recorded += crashes
        return recorded


def _identities(crashes):
    return {(crash.key, crash.version) for crash in crashes}
