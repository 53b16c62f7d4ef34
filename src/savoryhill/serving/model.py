"""Routes, services, workspaces and endpoints that a node serves.

The adapter in `savoryhill.platform` decodes these types; this module does not depend on
their wire format.
"""

from dataclasses import dataclass, field

from savoryhill.core.scheduling.engine_profile import EngineProfile

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAM = "stream"


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Rules for the requests with one host and path prefix.

    ``kind`` is one of the constants of this module. ``target_latency_s`` is the
    objective for the first event of a stream or for a whole response, and ``max_gap_s``
    that for the time between two events. ``targets`` holds pairs of a service name and
    a weight. ``is_resumable`` tells whether another run may continue a stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_s: float
    target_latency_s: float
    max_gap_s: float
    priority: int
    targets: tuple[tuple[str, float], ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def may_repeat(self):
        """Whether a request may run more than once."""
        return self.kind == IDEMPOTENT or self.is_resumable_stream

    @property
    def is_resumable_stream(self):
        """Whether a run may go on after the last event of another one."""
        return self.kind == STREAM and self.is_resumable


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A group of endpoints; ``engine`` is None for a plain service.

    ``cold_per_s`` limits the jobs that one engine is granted per second; 0 is no limit.
    """

    name: str
    cold_per_s: float
    engine: EngineProfile | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """Limits on the size and the duration of client requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A workspace, found by its API keys; ``priority`` overrides the route's."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, kw_only=True)
class ServingConfiguration:
    """One version of the configuration in force.

    ``requires_key`` tells whether routes that are not public need the key of a
    workspace, also if no workspace has a key any more. ``n_unreadable`` counts the
    parts that could not be read and were left out.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, Service]
    workspaces_by_key: dict[str, Workspace]
    requires_key: bool
    limits: ClientLimits = field(default_factory=ClientLimits)
    n_unreadable: int = 0

    def route_for(self, host, path):
        """Return the route with the longest matching path prefix, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """A registered endpoint; ``born_ms`` distinguishes its incarnations.

    ``sequence`` counts what an incarnation has written to its row. ``release`` is that
    of its software, empty if it is not known.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    cold_remaining_s: float
    born_ms: int
    revision: int
    sequence: int = 0
    release: str = ""

    @property
    def incarnation(self):
        """The id and the start of the endpoint; a restarted one knows nothing."""
        return f"{self.id}@{self.born_ms}"


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeRecord:
    """A node as registered in the store; nodes are ranked by ``capacity``.

    ``relay_address`` is where it relays connections of other nodes to endpoints, empty
    if it does not.
    """

    name: str
    address: str
    zone: str
    capacity: float
    revision: int
    relay_address: str = ""
