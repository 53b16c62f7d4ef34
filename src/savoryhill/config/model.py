"""Frozen data classes of the generated configuration.

The configuration is generated from the operators' questionnaire and stored in
the key-value service as JSON, whose keys are the field names.
"""

from dataclasses import dataclass, field
from functools import cache

from savoryhill.errors import ConfigurationError


@dataclass(frozen=True, kw_only=True, slots=True)
class Zone:
    """An availability zone; a withdrawn zone receives no new work."""

    name: str
    region: str
    withdrawn: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Hardware:
    """Initial performance figures of a hardware kind, which the cost model refines."""

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
    """Endpoints of one model or service in one region, coordinated by one node."""

    id: str
    target: str
    region: str
    endpoints: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Model:
    """A model and the version that its engines serve."""

    name: str
    version: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """A call of a plain service.

    ``lookup_path`` is the path that reports whether the call with a given
    idempotency key was executed; it is empty if the service has no such lookup.
    """

    method: str
    path: str
    idempotent: bool
    kind: str
    lookup_path: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A plain service, which is not a model engine.

    ``not_run_statuses`` are the HTTP statuses that prove that a call was not executed.
    """

    name: str
    calls: tuple[ServiceCall, ...]
    not_run_statuses: tuple[int, ...] = (429,)


@dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A workspace with its scheduling weight and token limit.

    ``key_hashes`` are the hexadecimal SHA-256 digests of its bearer keys. A
    ``max_outstanding_tokens`` of 0 means no limit.
    """

    name: str
    key_hashes: tuple[str, ...]
    weight: float = 1.0
    max_outstanding_tokens: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """A kind of request with its default deadline, weight and priority."""

    name: str
    deadline_s: float
    answered_weight: float = 1.0
    priority: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalSettings:
    """Number of shards and retention of the at-most-once journal."""

    n_shards: int = 8
    retention_s: float = 86_400.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """Scheduling policy of the deployment.

    ``prefer`` is the goal that takes precedence when requests must wait.
    ``weight_loads_per_s`` limits the loads of model weights in the deployment.
    """

    prefer: str = "short_slowdown"
    short_prompt_tokens: int = 4_000
    weight_loads_per_s: float = 0.5


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One revision of the configuration, with lookup tables built from it."""

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
        """Build the lookup tables, bypassing the frozen attribute check."""
        group_ids_by_target: dict[str, tuple[str, ...]] = {}
        for group in self.groups:
            group_ids = group_ids_by_target.get(group.target, ())
            group_ids_by_target[group.target] = (*group_ids, group.id)
        tables = {
            "zones_by_name": {zone.name: zone for zone in self.zones},
            "hardware_by_name": {hardware.name: hardware for hardware in self.hardware},
            "endpoints_by_id": {endpoint.id: endpoint for endpoint in self.endpoints},
            "groups_by_id": {group.id: group for group in self.groups},
            "group_ids_by_target": group_ids_by_target,
            "services_by_name": {service.name: service for service in self.services},
            "workspaces_by_name": {
                workspace.name: workspace for workspace in self.workspaces
            },
            "workspace_names_by_key_hash": {
                key_hash: workspace.name
                for workspace in self.workspaces
                for key_hash in workspace.key_hashes
            },
            "kinds_by_name": {kind.name: kind for kind in self.kinds},
        }
        for name, table in tables.items():
            object.__setattr__(self, name, table)


@cache
def _type_adapter():
    # Imported on first use: pydantic costs memory and start-up time, and some commands
    # never use it.
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
    lookup_tables = {
        name for name in Configuration.__dataclass_fields__ if "_by_" in name
    }
    return _type_adapter().dump_json(configuration, exclude=lookup_tables)


def load_configuration(content):
    """Decode a configuration from JSON.

    Parameters
    ----------
    content : bytes
        JSON as written by `dump_configuration`.

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
        return _type_adapter().validate_json(content)
    except ValidationError as error:
        raise ConfigurationError(f"invalid configuration: {error}") from error
