"""The generated configuration, as frozen data.

The configuration is generated from the operators' questionnaire and stored in
the key-value service as JSON.
"""

from dataclasses import dataclass, field
from functools import cache

from savoryhill.errors import ConfigurationError


@dataclass(frozen=True, kw_only=True, slots=True)
class Zone:
    """An availability zone; a withdrawn one receives no new work."""

    name: str
    region: str
    withdrawn: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Hardware:
    """Starting figures of a hardware kind; the cost model learns from there."""

    name: str
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    memory_tokens: int
    slots: int
    cold_slots: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """A model engine or an instance of a plain service."""

    id: str
    address: str
    zone: str
    group: str
    hardware: str
    leaving: bool = False
    checks_fencing: bool = False
    checks_incarnation: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Group:
    """Endpoints of one model or service that one node coordinates."""

    id: str
    target: str
    region: str
    endpoints: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Model:
    """A model version that engines serve."""

    name: str
    version: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """A call of a plain service.

    ``lookup_path`` answers whether a key was executed; it is empty where the
    service has no such lookup.
    """

    method: str
    path: str
    idempotent: bool
    kind: str
    lookup_path: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A plain service beside the model engines."""

    name: str
    calls: tuple[ServiceCall, ...]
    not_run_statuses: tuple[int, ...] = (429,)


@dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A workspace with its share and its limit.

    ``key_hashes`` are SHA-256 digests of its bearer keys, in hexadecimal.
    """

    name: str
    key_hashes: tuple[str, ...]
    weight: float = 1.0
    max_outstanding_tokens: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """A kind of request with its default deadline and its weight."""

    name: str
    deadline_s: float
    answered_weight: float = 1.0
    priority: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalSettings:
    """How the at-most-once journal is divided and kept."""

    n_shards: int = 8
    retention_s: float = 86_400.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """What the deployment weighs more when something must wait."""

    prefer: str = "short_slowdown"
    short_prompt_tokens: int = 4_000
    weight_loads_per_s: float = 0.5


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One revision of the configuration."""

    revision: int
    author: str = ""
    zones: tuple[Zone, ...] = ()
    hardware: tuple[Hardware, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    groups: tuple[Group, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    kinds: tuple[RequestKind, ...] = ()
    journal: JournalSettings = JournalSettings()
    policy: Policy = Policy()
    zones_by_name: dict[str, Zone] = field(init=False, repr=False, compare=False)
    hardware_by_name: dict[str, Hardware] = field(init=False, repr=False, compare=False)
    endpoints_by_id: dict[str, Endpoint] = field(init=False, repr=False, compare=False)
    groups_by_id: dict[str, Group] = field(init=False, repr=False, compare=False)
    group_ids_by_target: dict[str, tuple[str, ...]] = field(
        init=False, repr=False, compare=False
    )
    services_by_name: dict[str, Service] = field(init=False, repr=False, compare=False)
    workspaces_by_name: dict[str, Workspace] = field(
        init=False, repr=False, compare=False
    )
    workspace_names_by_key_hash: dict[str, str] = field(
        init=False, repr=False, compare=False
    )
    kinds_by_name: dict[str, RequestKind] = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        """Build the lookup tables."""
        group_ids_by_target: dict[str, tuple[str, ...]] = {}
        for group in self.groups:
            known = group_ids_by_target.get(group.target, ())
            group_ids_by_target[group.target] = (*known, group.id)
        tables = {
            "zones_by_name": {zone.name: zone for zone in self.zones},
            "hardware_by_name": {kind.name: kind for kind in self.hardware},
            "endpoints_by_id": {endpoint.id: endpoint for endpoint in self.endpoints},
            "groups_by_id": {group.id: group for group in self.groups},
            "group_ids_by_target": group_ids_by_target,
            "services_by_name": {service.name: service for service in self.services},
            "workspaces_by_name": {space.name: space for space in self.workspaces},
            "workspace_names_by_key_hash": {
                key_hash: space.name
                for space in self.workspaces
                for key_hash in space.key_hashes
            },
            "kinds_by_name": {kind.name: kind for kind in self.kinds},
        }
        for name, table in tables.items():
            object.__setattr__(self, name, table)


@cache
def _adapter():
    # Importing pydantic costs memory and start-up time that not every command needs.
    from pydantic import TypeAdapter

    return TypeAdapter(Configuration)


def dump_configuration(configuration):
    """Encode a configuration as JSON.

    Parameters
    ----------
    configuration : Configuration
        The configuration to encode.

    Returns
    -------
    bytes
        UTF-8 JSON without the lookup tables.
    """
    excluded = {name for name in Configuration.__dataclass_fields__ if "_by_" in name}
    return _adapter().dump_json(configuration, exclude=excluded)


def load_configuration(content):
    """Decode a configuration from JSON.

    Parameters
    ----------
    content : bytes
        What `dump_configuration` returned.

    Returns
    -------
    Configuration
        The decoded configuration.

    Raises
    ------
    ConfigurationError
        If the content does not match the schema.
    """
    from pydantic import ValidationError

    try:
        return _adapter().validate_json(content)
    except ValidationError as error:
        raise ConfigurationError(f"invalid configuration: {error}") from error
