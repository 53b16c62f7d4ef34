"""Schema of the questionnaire's answers, with the valid range of each value."""

from ipaddress import ip_address
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from savoryhill.config.model import JournalSettings, Policy


def _check_address(address):
    host, separator, port = address.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(
            f"{address!r} is not IP:port; host names are not resolved"
        ) from None
    if not separator or not port.isdigit() or not 1 <= int(port) <= 65_535:
        raise ValueError(f"{address!r} needs a port from 1 to 65535")
    return address


def _check_path(path):
    if not path.startswith("/"):
        raise ValueError(f"{path!r} must start with '/'")
    return path


Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[\w.-]+$")]
Address = Annotated[str, AfterValidator(_check_address)]
Path = Annotated[str, AfterValidator(_check_path)]
KeyHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Status = Annotated[int, Field(ge=400, le=599)]
Rate = Annotated[float, Field(gt=0, lt=1e9, allow_inf_nan=False)]
Weight = Annotated[float, Field(gt=0, le=1_000, allow_inf_nan=False)]
MAX_DEADLINE_S = 3_600.0


class Answers(BaseModel):
    """Base class of all answers."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ZoneAnswers(Answers):
    """Answers on one availability zone."""

    region: Name
    withdrawn: bool = False


class HardwareAnswers(Answers):
    """Answers on one hardware kind."""

    prefill_tokens_per_s: Rate
    decode_tokens_per_s: Rate
    memory_tokens: Annotated[int, Field(gt=0)]
    slots: Annotated[int, Field(gt=0, le=10_000)]
    cold_slots: Annotated[int, Field(gt=0)] = 1


class EndpointAnswers(Answers):
    """Answers on one endpoint."""

    address: Address
    zone: str
    hardware: str
    leaving: bool = False


class ModelAnswers(Answers):
    """Answers on one model."""

    version: Name
    endpoints: dict[Name, EndpointAnswers]
    checks_fencing: bool = False
    checks_incarnation: bool = False


class CallAnswers(Answers):
    """Answers on one call of a plain service."""

    method: Literal["GET", "POST", "PUT", "DELETE", "PATCH"]
    path: Path
    idempotent: bool
    kind: str
    lookup_path: Annotated[
        str, AfterValidator(lambda path: path and _check_path(path))
    ] = ""


class ServiceAnswers(Answers):
    """Answers on one plain service."""

    calls: list[CallAnswers]
    endpoints: dict[Name, EndpointAnswers]
    not_run_statuses: list[Status] = [429]


class WorkspaceAnswers(Answers):
    """Answers on one workspace.

    Without ``max_outstanding_tokens`` its outstanding work is not limited.
    """

    key_hashes: list[KeyHash]
    weight: Weight = 1.0
    max_outstanding_tokens: Annotated[int, Field(gt=0)] | None = None


class KindAnswers(Answers):
    """Answers on one kind of request."""

    deadline_s: Annotated[float, Field(gt=0, le=MAX_DEADLINE_S, allow_inf_nan=False)]
    answered_weight: Weight = 1.0
    priority: Annotated[int, Field(ge=-10, le=10)] = 0


class PolicyAnswers(Answers):
    """Answers on which goal takes precedence when requests must wait."""

    prefer: Literal["short_slowdown", "answered_weighted"] = Policy().prefer
    short_prompt_tokens: Annotated[int, Field(gt=0)] = Policy().short_prompt_tokens
    weight_loads_per_s: Annotated[float, Field(gt=0)] = Policy().weight_loads_per_s


class JournalAnswers(Answers):
    """Answers on the shards of the journal and how long it keeps responses."""

    n_shards: Annotated[int, Field(gt=0, le=64)] = JournalSettings().n_shards
    retention_s: Annotated[float, Field(ge=60, le=90 * 86_400)] = (
        JournalSettings().retention_s
    )


class Questionnaire(Answers):
    """All answers of a deployment.

    ``taken_from`` is the revision that the answers are based on, 0 for a new
    deployment.
    """

    taken_from: Annotated[int, Field(ge=0)] = 0
    zones: dict[Name, ZoneAnswers]
    hardware: dict[Name, HardwareAnswers]
    models: dict[Name, ModelAnswers] = {}
    services: dict[Name, ServiceAnswers] = {}
    workspaces: dict[Name, WorkspaceAnswers]
    kinds: dict[Name, KindAnswers]
    policy: PolicyAnswers = PolicyAnswers()
    journal: JournalAnswers = JournalAnswers()
