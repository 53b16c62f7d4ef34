"""A node's view of the cluster: configuration, endpoints and other nodes.

The view is a local copy of the store's rows. It is updated by the node's own calls to
the store and by updates from other nodes.
"""

from collections import deque
from dataclasses import dataclass, field

from savoryhill.platform.decode import (
    classify_key,
    decode_configuration,
    decode_endpoint,
    decode_node,
)
from savoryhill.platform.store import StoreRow
from savoryhill.serving.model import Endpoint, NodeRecord, ServingConfiguration

# A longer gap between contacts with the store counts as an outage. The first limit
# holds if one of this node's own calls failed during the gap, the second if none did.
# The second exceeds the time that a node without updates waits before it calls the
# store itself, and is shorter than the three missed heartbeats after which rows expire.
OUTAGE_AFTER_FAILURE_S = 1.0
OUTAGE_WITHOUT_FAILURE_S = 2.0
# Endpoints whose rows expired during an outage register again within two seconds of
# its end. They stay in use for this long after it.
LAPSE_GRACE_S = 2.3
# Limit of the removals that are kept to update nodes that are some revisions behind.
MAX_REMOVALS = 2_000
# Limit of the snapshots over which nodes that are behind are still sent changes only.
MAX_SKIPPED_SPANS = 16


@dataclass(kw_only=True)
class ClusterView:
    """Decoded rows of the store, with the revision and time of the last contact.

    ``lapsed_until`` maps endpoints whose rows expired during an outage to the time
    until which they are still used. ``removals`` holds the rows removed after the
    revision ``removals_since``, oldest first. ``skipped_spans`` holds the revisions
    before and after each snapshot that replaced changes which this view has not seen
    one by one. ``record(event, fields)`` logs changes of the view; the functions in
    ``on_change`` are called after each update.
    """

    clock: object
    record: object
    revision: int = 0
    contact_at: float = float("-inf")
    call_failed_at: float = float("-inf")
    outage_ended_at: float = float("-inf")
    configuration: ServingConfiguration | None = None
    endpoints_by_id: dict[str, Endpoint] = field(default_factory=dict)
    evacuated_zones: set[str] = field(default_factory=set)
    nodes_by_name: dict[str, NodeRecord] = field(default_factory=dict)
    lapsed_until: dict[str, float] = field(default_factory=dict)
    rows_by_key: dict = field(default_factory=dict)
    removals: deque = field(default_factory=deque)
    removals_since: int = 0
    skipped_spans: deque = field(default_factory=deque)
    on_change: list = field(default_factory=list)

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

    def apply(self, rows, revision, *, base_revision=0, is_complete=False):
        """Apply rows up to a revision.

        The view already covers everything up to ``self.revision``. Older rows are
        ignored, because they could restore a row that has been removed since.

        Parameters
        ----------
        rows : sequence of StoreRow
            Changes in the order of their revisions.
        revision : int
            Revision that the view has reached once the rows are applied.
        base_revision : int
            The rows are all changes after this revision.
        is_complete : bool
            Whether the rows are a full snapshot; rows that it lacks are removed.

        Returns
        -------
        bool
            False if changes before ``base_revision`` are missing; nothing is applied.
        """
        if is_complete and revision < self.revision:
            self.record(
                "store.snapshot_ignored",
                {"revision": revision, "known": self.revision, "rows": len(rows)},
            )
            return True
        if not is_complete and base_revision > self.revision:
            self.record(
                "store.update_skipped",
                {"base_revision": base_revision, "known": self.revision},
            )
            return False
        changed = is_complete
        if is_complete:
            self._remove_missing_rows(rows, revision)
        for row in rows:
            if self._is_known(row, is_complete):
                continue
            if row.is_deleted:
                self._remove_row(row.key)
                self._keep_removal(row)
            else:
                self._apply_row(row)
            changed = True
        self.revision = max(self.revision, revision)
        if changed:
            self.notify()
        return True

    def _remove_missing_rows(self, rows, revision):
        """Remove the rows that a snapshot lacks.

        A view that already held rows keeps their removals, so that nodes up to its
        previous revision need no snapshot to follow. The snapshot of a large cluster
        takes the leader's link to all nodes for longer than they wait for a heartbeat.
        """
        if not self.rows_by_key:
            self.removals_since = revision
            return
        present_keys = {row.key for row in rows}
        for key in [key for key in self.rows_by_key if key not in present_keys]:
            self._remove_row(key)
            self._keep_removal(
                StoreRow(key=key, value=b"", revision=revision, is_deleted=True)
            )
        self.skipped_spans.append((self.revision, revision))
        if len(self.skipped_spans) > MAX_SKIPPED_SPANS:
            _, span_end = self.skipped_spans.popleft()
            self.removals_since = max(self.removals_since, span_end)

    def _keep_removal(self, row):
        self.removals.append(row)
        if len(self.removals) > MAX_REMOVALS:
            self.removals_since = self.removals.popleft().revision

    def rows_after(self, revision):
        """Return the changes after a revision, or None if some are no longer kept.

        Parameters
        ----------
        revision : int
            Revision that the other node has reached.

        Returns
        -------
        tuple of StoreRow or None
            In the order of their revisions.
        """
        if revision < self.removals_since:
            return None
        # A row that came and went within a skipped span is not known here.
        if any(start < revision < end for start, end in self.skipped_spans):
            return None
        rows = [row for row in self.rows_by_key.values() if row.revision > revision]
        rows += [row for row in self.removals if row.revision > revision]
        return tuple(sorted(rows, key=lambda row: row.revision))

    def _is_known(self, row, is_complete):
        if not is_complete and row.revision <= self.revision:
            return True
        known = self.rows_by_key.get(row.key)
        return known is not None and known.revision >= row.revision

    def notify(self):
        """Call the functions in ``on_change``."""
        for listener in self.on_change:
            listener()

    def remove_lapsed_endpoints(self):
        """Remove endpoints that have not registered again after an outage."""
        now = self.clock.monotonic()
        lapsed_ids = [key for key, until in self.lapsed_until.items() if until <= now]
        for endpoint_id in lapsed_ids:
            del self.lapsed_until[endpoint_id]
            self.endpoints_by_id.pop(endpoint_id, None)
            self.record("endpoint.gone", {"endpoint": endpoint_id, "cause": "lapsed"})
        if lapsed_ids:
            self.notify()

    def usable_endpoints(self, service):
        """Return the endpoints of a service that accept new requests."""
        return [
            endpoint
            for endpoint in self.endpoints_by_id.values()
            if endpoint.service == service and self.is_usable(endpoint)
        ]

    def is_usable(self, endpoint):
        """Return whether new requests may be sent to an endpoint."""
        return not endpoint.is_draining and endpoint.zone not in self.evacuated_zones

    def _apply_row(self, row):
        subject, name = classify_key(row.key)
        if subject == "other":
            return
        self.rows_by_key[row.key] = row
        if subject == "configuration":
            self._apply_configuration(row)
        elif subject == "evacuation":
            self.evacuated_zones.add(name)
            self.record("zone.evacuated", {"zone": name, "revision": row.revision})
        elif subject == "endpoint":
            self._apply_endpoint(name, row)
        else:
            node = decode_node(row)
            if node is not None:
                self.nodes_by_name[name] = node

    def _apply_configuration(self, row):
        configuration = decode_configuration(row.value)
        if configuration is None:
            self.record("configuration.unreadable", {"revision": row.revision})
            return
        if self.configuration and configuration.version < self.configuration.version:
            self.record(
                "configuration.older",
                {
                    "version": configuration.version,
                    "in_force": self.configuration.version,
                },
            )
            return
        self.configuration = configuration
        self.record("configuration.in_force", {"version": configuration.version})

    def _apply_endpoint(self, name, row):
        endpoint = decode_endpoint(row)
        if endpoint is None:
            self.endpoints_by_id.pop(name, None)
            self.record("endpoint.unreadable", {"endpoint": name})
            return
        self.lapsed_until.pop(name, None)
        previous = self.endpoints_by_id.get(name)
        self.endpoints_by_id[name] = endpoint
        if previous is None or previous.is_draining != endpoint.is_draining:
            self.record(
                "endpoint.registered",
                {
                    "endpoint": name,
                    "zone": endpoint.zone,
                    "draining": endpoint.is_draining,
                    "revision": row.revision,
                },
            )

    def _remove_row(self, key):
        self.rows_by_key.pop(key, None)
        subject, name = classify_key(key)
        if subject == "evacuation":
            self.evacuated_zones.discard(name)
            self.record("zone.restored", {"zone": name})
        elif subject == "node":
            self.nodes_by_name.pop(name, None)
        elif subject == "endpoint" and name in self.endpoints_by_id:
            self._remove_endpoint(name)

    def _remove_endpoint(self, name):
        grace_ends_at = self.outage_ended_at + LAPSE_GRACE_S
        if self.clock.monotonic() < grace_ends_at:
            self.lapsed_until[name] = grace_ends_at
            self.record("endpoint.lapsed", {"endpoint": name})
            return
        del self.endpoints_by_id[name]
        self.record("endpoint.gone", {"endpoint": name, "cause": "removed"})
