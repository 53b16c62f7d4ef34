"""The operators' answers and the configuration generated from them."""

from collections import defaultdict
from math import ceil

import yaml
from pydantic import BaseModel, ConfigDict, ValidationError

from savoryhill.config import model
from savoryhill.errors import ConfigurationError

MAX_GROUP_SIZE = 8


class _Answers(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ZoneAnswers(_Answers):
    """Answers on one availability zone."""

    region: str
    withdrawn: bool = False


class HardwareAnswers(_Answers):
    """Answers on one hardware kind."""

    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    memory_tokens: int
    slots: int
    cold_slots: int = 1


class EndpointAnswers(_Answers):
    """Answers on one endpoint."""

    address: str
    zone: str
    hardware: str
    leaving: bool = False


class ModelAnswers(_Answers):
    """Answers on one model."""

    version: str
    endpoints: dict[str, EndpointAnswers]
    checks_fencing: bool = False
    checks_incarnation: bool = False


class CallAnswers(_Answers):
    """Answers on one call of a service."""

    method: str
    path: str
    idempotent: bool
    kind: str
    lookup_path: str = ""


class ServiceAnswers(_Answers):
    """Answers on one plain service."""

    calls: list[CallAnswers]
    endpoints: dict[str, EndpointAnswers]
    not_run_statuses: list[int] = [429]


class WorkspaceAnswers(_Answers):
    """Answers on one workspace."""

    key_hashes: list[str]
    weight: float = 1.0
    max_outstanding_tokens: int = 0


class KindAnswers(_Answers):
    """Answers on one kind of request."""

    deadline_s: float
    answered_weight: float = 1.0
    priority: int = 0


class PolicyAnswers(_Answers):
    """What the deployment weighs more."""

    prefer: str = "short_slowdown"
    short_prompt_tokens: int = 4_000
    weight_loads_per_s: float = 0.5


class JournalAnswers(_Answers):
    """How long answers of non-idempotent calls are kept."""

    n_shards: int = 8
    retention_s: float = 86_400.0


class Questionnaire(_Answers):
    """All answers of a deployment."""

    zones: dict[str, ZoneAnswers]
    hardware: dict[str, HardwareAnswers]
    models: dict[str, ModelAnswers] = {}
    services: dict[str, ServiceAnswers] = {}
    workspaces: dict[str, WorkspaceAnswers]
    kinds: dict[str, KindAnswers]
    policy: PolicyAnswers = PolicyAnswers()
    journal: JournalAnswers = JournalAnswers()


def load_questionnaire(text, *, place):
    """Read answers from YAML.

    Parameters
    ----------
    text : str
        The YAML document.
    place : str
        Where it comes from, for messages.

    Returns
    -------
    Questionnaire
        The checked answers.

    Raises
    ------
    ConfigurationError
        Naming all findings with their paths.
    """
    try:
        return Questionnaire.model_validate(yaml.safe_load(text))
    except yaml.YAMLError as error:
        raise ConfigurationError(f"{place}: {error}") from error
    except ValidationError as error:
        findings = [
            f"{place}: {'.'.join(map(str, finding['loc']))}: {finding['msg']}"
            for finding in error.errors()
        ]
        raise ConfigurationError("\n".join(findings)) from error


def generate(answers, *, revision, author=""):
    """Generate the configuration from answers.

    Parameters
    ----------
    answers : Questionnaire
        The operators' answers.
    revision : int
        Revision of the new configuration.
    author : str
        Who applies it.

    Returns
    -------
    Configuration
        The configuration, with endpoints divided into groups.
    """
    targets = [(name, each.endpoints) for name, each in answers.models.items()]
    targets += [(name, each.endpoints) for name, each in answers.services.items()]
    groups = [
        group
        for name, endpoints in targets
        for group in _divide(name, endpoints, answers.zones)
    ]
    group_ids_by_endpoint = {
        endpoint: group.id for group in groups for endpoint in group.endpoints
    }
    endpoints = []
    for name, by_id in targets:
        checks = answers.models.get(name)
        for endpoint_id, each in by_id.items():
            endpoints.append(
                model.Endpoint(
                    id=endpoint_id,
                    group=group_ids_by_endpoint[endpoint_id],
                    checks_fencing=bool(checks and checks.checks_fencing),
                    checks_incarnation=bool(checks and checks.checks_incarnation),
                    **each.model_dump(),
                )
            )
    return model.Configuration(
        revision=revision,
        author=author,
        zones=_named(model.Zone, answers.zones),
        hardware=_named(model.Hardware, answers.hardware),
        endpoints=tuple(endpoints),
        groups=tuple(groups),
        models=tuple(
            model.Model(name=name, version=each.version)
            for name, each in answers.models.items()
        ),
        services=tuple(
            model.Service(
                name=name,
                calls=tuple(model.ServiceCall(**c.model_dump()) for c in each.calls),
                not_run_statuses=tuple(each.not_run_statuses),
            )
            for name, each in answers.services.items()
        ),
        workspaces=tuple(
            model.Workspace(
                name=name,
                key_hashes=tuple(each.key_hashes),
                weight=each.weight,
                max_outstanding_tokens=each.max_outstanding_tokens,
            )
            for name, each in answers.workspaces.items()
        ),
        kinds=_named(model.RequestKind, answers.kinds),
        policy=model.Policy(**answers.policy.model_dump()),
        journal=model.JournalSettings(**answers.journal.model_dump()),
    )


def _named(target_type, answers_by_name):
    return tuple(
        target_type(name=name, **each.model_dump())
        for name, each in answers_by_name.items()
    )


def _divide(target, endpoints, zones):
    """Divide the endpoints of a target into groups spread over zones."""
    ids_by_region = defaultdict(lambda: defaultdict(list))
    for endpoint_id, each in sorted(endpoints.items()):
        ids_by_region[zones[each.zone].region][each.zone].append(endpoint_id)
    for region, ids_by_zone in sorted(ids_by_region.items()):
        ordered = sorted(
            (rank, zone, endpoint_id)
            for zone, ids in ids_by_zone.items()
            for rank, endpoint_id in enumerate(ids)
        )
        n_groups = ceil(len(ordered) / MAX_GROUP_SIZE)
        for number in range(n_groups):
            members = tuple(each[2] for each in ordered[number::n_groups])
            yield model.Group(
                id=f"{target}/{region}/{number}",
                target=target,
                region=region,
                endpoints=members,
            )
