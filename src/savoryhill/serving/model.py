"""What a node serves: routes, services, workspaces and endpoints.

The adapter in `savoryhill.platform` decodes these types; nothing here knows how they
are spelled on the wire.
"""

from dataclasses import dataclass, field

from savoryhill.core.scheduling.figures import EngineProfile

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAM = "stream"


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Requests of one host and path prefix.

    ``kind`` is one of the constants of this module. ``targets`` holds pairs of a
    service's name and its weight. ``is_resumable`` tells whether a stream may be
    continued by another run.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_s: float
    first_piece_s: float
    pause_s: float
    priority: int
    targets: tuple[tuple[str, float], ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def may_repeat(self):
        """Whether a request may run more than once."""
        return self.kind == IDEMPOTENT or (self.kind == STREAM and self.is_resumable)


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A group of endpoints; ``engine`` is None for a plain service."""

    name: str
    cold_per_s: float
    engine: EngineProfile | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A workspace, named by one of its API keys; ``priority`` None: the route's."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, kw_only=True)
class ServingConfiguration:
    """One version of the configuration in force."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, Service]
    workspaces_by_key: dict[str, Workspace]
    limits: ClientLimits = field(default_factory=ClientLimits)

    def route_for(self, host, path):
        """Return the route with the longest prefix of the path, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """One registered endpoint; ``born_ms`` tells its incarnations apart."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    cold_s: float
    born_ms: int
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeRecord:
    """A node as registered in the store; ``capacity`` compares nodes."""

    name: str
    address: str
    zone: str
    capacity: float
    revision: int
