"""What is in force at a node: configuration, endpoints, zones and other nodes."""

from dataclasses import dataclass, field

from savoryhill.platform.decode import (
    classify_key,
    decode_configuration,
    decode_endpoint,
    decode_node,
)
from savoryhill.serving.model import Endpoint, NodeRecord, ServingConfiguration

# Endpoints whose rows expired during an outage register again within two seconds of
# its end. They stay in use for this long after it.
LAPSE_GRACE_S = 2.3
# Bounds the endpoints that are remembered to leave; the oldest ones have ended.
MAX_LEAVING = 2_000


@dataclass(kw_only=True)
class ClusterState:
    """What the rows of the store, and the endpoints themselves, have put in force.

    ``lapsed_until`` maps endpoints whose rows expired during an outage to the time
    until which they are still used; ``outage_ended_at`` is when the latest one ended.
    ``leaving_incarnations`` holds the endpoints that have said in an answer that they
    leave, whatever the store says. ``record(event, fields)`` logs changes; the
    functions in ``on_change`` are called after each update.
    """

    clock: object
    record: object
    outage_ended_at: float = float("-inf")
    configuration: ServingConfiguration | None = None
    endpoints_by_id: dict[str, Endpoint] = field(default_factory=dict)
    leaving_incarnations: dict[str, None] = field(default_factory=dict)
    evacuated_zones: set[str] = field(default_factory=set)
    nodes_by_name: dict[str, NodeRecord] = field(default_factory=dict)
    lapsed_until: dict[str, float] = field(default_factory=dict)
    on_change: list = field(default_factory=list)

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
        return (
            not endpoint.is_draining
            and endpoint.zone not in self.evacuated_zones
            and endpoint.incarnation not in self.leaving_incarnations
        )

    def is_still_usable(self, endpoint):
        """Return whether new requests may be sent to an endpoint that was chosen.

        Its row may have changed since then: the endpoint drains, is gone, or another
        one has taken its place.
        """
        present = self.endpoints_by_id.get(endpoint.id)
        return (
            present is not None
            and present.incarnation == endpoint.incarnation
            and self.is_usable(present)
        )

    def note_leaving(self, incarnations):
        """Record that endpoints have said that they leave.

        Those that start again are others, and are in use once the store names them.
        """
        for incarnation in incarnations:
            self.leaving_incarnations[incarnation] = None
            self.record("endpoint.leaving", {"endpoint": incarnation})
        while len(self.leaving_incarnations) > MAX_LEAVING:
            del self.leaving_incarnations[next(iter(self.leaving_incarnations))]
        self.notify()

    def put_in_force(self, row):
        """Put in force what a row says."""
        subject, name = classify_key(row.key)
        if subject == "configuration":
            self._apply_configuration(row)
        elif subject == "evacuation":
            self.evacuated_zones.add(name)
            self.record("zone.evacuated", {"zone": name, "revision": row.revision})
        elif subject == "endpoint":
            self._apply_endpoint(name, row)
        elif subject == "node":
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
        self.record(
            "configuration.in_force",
            {
                "version": configuration.version,
                "unreadable": configuration.n_unreadable,
            },
        )

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

    def withdraw(self, key):
        """Take back what a row has put in force."""
        subject, name = classify_key(key)
        if subject == "evacuation":
            if name in self.evacuated_zones:
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
