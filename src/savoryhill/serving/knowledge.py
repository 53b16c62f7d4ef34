"""What a node believes of the configuration, the endpoints and the other nodes."""

from collections import deque
from dataclasses import dataclass, field

from savoryhill.platform.decode import (
    decode_configuration,
    decode_endpoint,
    decode_node,
    subject_of,
)
from savoryhill.serving.model import Endpoint, NodeRecord, ServingConfiguration

# A contact older than this counts as an outage of the store, if a call of this node
# failed meanwhile and if none did. The second is longer than a node without news waits
# before it asks the store itself, and shorter than the three heartbeats without which
# rows lapse.
OUTAGE_S = 1.0
UNSEEN_OUTAGE_S = 2.0
# Endpoints whose rows lapsed in an outage are back within two seconds of its end.
LAPSE_GRACE_S = 2.3
# Removed rows that are remembered for nodes that ask for what they missed.
MAX_REMOVALS = 2_000


@dataclass(kw_only=True)
class ClusterView:
    """Rows of the store, decoded, with the revision and time of the last contact.

    ``lapsed_until`` maps endpoints whose rows lapsed in an outage to the time until
    which they are still used. ``removals`` holds the rows removed after the revision
    ``removals_since``, oldest first. ``record(event, fields)`` is called when a belief
    changes, ``on_change`` functions after each change.
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
    on_change: list = field(default_factory=list)

    def contact_age_s(self):
        """Return the seconds since the store was known to be reached."""
        return self.clock.monotonic() - self.contact_at

    def note_contact(self, at):
        """Take note that everything up to ``revision`` was known at a time."""
        was_seen = self.call_failed_at > self.contact_at
        outage_s = OUTAGE_S if was_seen else UNSEEN_OUTAGE_S
        if at - self.contact_at > outage_s and self.contact_at > float("-inf"):
            self.outage_ended_at = self.clock.monotonic()
            self.record("store.regained", {"after_s": round(at - self.contact_at, 3)})
        self.contact_at = max(self.contact_at, at)

    def note_failed_call(self):
        """Take note that a call of this node to the store failed."""
        self.call_failed_at = self.clock.monotonic()

    def apply(self, rows, revision, *, base_revision=0, is_complete=False):
        """Take rows up to a revision.

        Everything up to ``self.revision`` is known, so older rows are ignored: a row
        that was removed since would come back with them.

        Parameters
        ----------
        rows : sequence of StoreRow
            Changes in the order of their revisions.
        revision : int
            What is known afterwards.
        base_revision : int
            The rows are all changes after this revision.
        is_complete : bool
            Whether the rows are everything, and others are absent.

        Returns
        -------
        bool
            False if changes before the rows are missing, and nothing was taken.
        """
        if is_complete and revision < self.revision:
            return True
        if not is_complete and base_revision > self.revision:
            self.record(
                "store.update_skipped",
                {"base_revision": base_revision, "known": self.revision},
            )
            return False
        changed = is_complete
        if is_complete:
            named = {row.key for row in rows}
            for key in [key for key in self.rows_by_key if key not in named]:
                self._remove(key)
            self.removals.clear()
            self.removals_since = revision
        for row in rows:
            if self._is_known(row, is_complete):
                continue
            if row.is_deleted:
                self._remove(row.key)
                self._remember_removal(row)
            else:
                self._take(row)
            changed = True
        self.revision = max(self.revision, revision)
        if changed:
            self.notify()
        return True

    def _remember_removal(self, row):
        self.removals.append(row)
        if len(self.removals) > MAX_REMOVALS:
            self.removals_since = self.removals.popleft().revision

    def rows_after(self, revision):
        """Return the changes after a revision, or None if they are not all known.

        Parameters
        ----------
        revision : int
            What the other node knows.

        Returns
        -------
        tuple of StoreRow or None
            In the order of their revisions.
        """
        if revision < self.removals_since:
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
        """Call the functions that follow changes."""
        for function in self.on_change:
            function()

    def drop_lapsed(self):
        """Forget endpoints that did not come back after an outage."""
        now = self.clock.monotonic()
        expired = [e for e, until in self.lapsed_until.items() if until <= now]
        for endpoint_id in expired:
            del self.lapsed_until[endpoint_id]
            self.endpoints_by_id.pop(endpoint_id, None)
            self.record("endpoint.gone", {"endpoint": endpoint_id, "cause": "lapsed"})
        if expired:
            self.notify()

    def usable_endpoints(self, service):
        """Return the endpoints to which new work of a service may go."""
        return [
            endpoint
            for endpoint in self.endpoints_by_id.values()
            if endpoint.service == service and self.is_usable(endpoint)
        ]

    def is_usable(self, endpoint):
        """Tell whether new work may go to an endpoint."""
        return not endpoint.is_draining and endpoint.zone not in self.evacuated_zones

    def _take(self, row):
        subject, name = subject_of(row.key)
        if subject == "other":
            return
        self.rows_by_key[row.key] = row
        if subject == "configuration":
            self._take_configuration(row)
        elif subject == "evacuation":
            self.evacuated_zones.add(name)
            self.record("zone.evacuated", {"zone": name, "revision": row.revision})
        elif subject == "endpoint":
            self._take_endpoint(name, row)
        else:
            node = decode_node(row)
            if node is not None:
                self.nodes_by_name[name] = node

    def _take_configuration(self, row):
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

    def _take_endpoint(self, name, row):
        endpoint = decode_endpoint(row)
        if endpoint is None:
            self.endpoints_by_id.pop(name, None)
            self.record("endpoint.unreadable", {"endpoint": name})
            return
        self.lapsed_until.pop(name, None)
        before = self.endpoints_by_id.get(name)
        self.endpoints_by_id[name] = endpoint
        if before is None or before.is_draining != endpoint.is_draining:
            self.record(
                "endpoint.registered",
                {
                    "endpoint": name,
                    "zone": endpoint.zone,
                    "draining": endpoint.is_draining,
                    "revision": row.revision,
                },
            )

    def _remove(self, key):
        self.rows_by_key.pop(key, None)
        subject, name = subject_of(key)
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
