"""Validation of the operators' answers and generation of the configuration."""

import typing

import yaml
from pydantic import BaseModel, ValidationError

from savoryhill.config import model
from savoryhill.config.answers import Questionnaire
from savoryhill.config.checks import find_contradictions
from savoryhill.config.findings import (
    Finding,
    QuestionnaireError,
    find_line,
    format_path,
    parse_yaml,
    suggest_name,
)
from savoryhill.config.grouping import assign_groups

__all__ = [
    "Questionnaire",
    "generate_configuration",
    "load_questionnaire",
    "parse_answers",
]


def load_questionnaire(text, *, place):
    """Parse answers from YAML and validate them.

    Parameters
    ----------
    text : str
        The YAML document.
    place : str
        Source of the document, for messages.

    Returns
    -------
    Questionnaire
        The valid answers.

    Raises
    ------
    QuestionnaireError
        With all findings, each with its line and path.
    """
    values, lines_by_path, findings = parse_answers(text, place=place)
    problems = list(find_contradictions(values))
    try:
        answers = Questionnaire.model_validate(values)
    except ValidationError as error:
        problems += [_explain(problem) for problem in error.errors()]
    findings += [
        Finding(
            place=place,
            line=find_line(lines_by_path, path),
            path=format_path(path),
            message=message,
        )
        for path, message in dict.fromkeys(problems)
    ]
    if findings:
        raise QuestionnaireError(sorted(findings, key=lambda each: each.line))
    return answers


def parse_answers(text, *, place):
    """Parse a YAML document of answers without validating their values.

    Parameters
    ----------
    text : str
        The YAML document.
    place : str
        Source of the document, for messages.

    Returns
    -------
    tuple of (dict, dict of tuple to int, list of Finding)
        The values, which are cached and must not be modified; the line of each path;
        and a finding for each repeated key.

    Raises
    ------
    QuestionnaireError
        If the text is not a YAML mapping.
    """
    try:
        values, lines_by_path, repeated = parse_yaml(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        problem = getattr(error, "problem", None) or str(error)
        line = mark.line + 1 if mark is not None else 1
        finding = Finding(place=place, line=line, path="", message=f"YAML: {problem}")
        raise QuestionnaireError([finding]) from error
    if not isinstance(values, dict):
        finding = Finding(place=place, line=1, path="", message="expected a mapping")
        raise QuestionnaireError([finding])
    findings = [
        Finding(
            place=place, line=line, path=format_path(path), message="key occurs twice"
        )
        for path, line in repeated
    ]
    return values, lines_by_path, findings


def _explain(problem):
    """Return path and message for a validation error of pydantic."""
    path = tuple(step for step in problem["loc"] if step != "[key]")
    if problem["type"] == "extra_forbidden":
        known_fields = _fields_at(path[:-1])
        return path, f"unknown answer{suggest_name(path[-1], known_fields)}"
    if problem["type"] == "missing":
        return path, "missing answer"
    message = problem["msg"].removeprefix("Value error, ")
    if "input" in problem and isinstance(problem["input"], str | int | float):
        message += f" (got {problem['input']!r})"
    return path, message


def _fields_at(path):
    """Return the fields that the schema has at a path."""
    annotation = Questionnaire
    for step in path:
        if isinstance(annotation, type) and issubclass(annotation, BaseModel):
            annotation = annotation.model_fields[step].annotation
        else:
            annotation = typing.get_args(annotation)[-1]
    return annotation.model_fields


def generate_configuration(answers, *, revision, author="", previous=None):
    """Generate the configuration from answers.

    Parameters
    ----------
    answers : Questionnaire
        The operators' answers.
    revision : int
        Revision of the new configuration.
    author : str
        Who applies the answers.
    previous : Configuration, optional
        The accepted configuration, whose endpoint groups are kept where possible.

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
        for group in assign_groups(
            name,
            endpoints,
            answers.zones,
            previous=previous.groups if previous is not None else (),
        )
    ]
    group_ids_by_endpoint = {
        endpoint: group.id for group in groups for endpoint in group.endpoints
    }
    endpoints = []
    for name, by_id in targets:
        model_answers = answers.models.get(name)
        for endpoint_id, each in by_id.items():
            endpoints.append(
                model.Endpoint(
                    id=endpoint_id,
                    group=group_ids_by_endpoint[endpoint_id],
                    checks_fencing=bool(model_answers and model_answers.checks_fencing),
                    checks_incarnation=bool(
                        model_answers and model_answers.checks_incarnation
                    ),
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
                calls=tuple(
                    model.ServiceCall(**call.model_dump()) for call in each.calls
                ),
                not_run_statuses=tuple(each.not_run_statuses),
            )
            for name, each in answers.services.items()
        ),
        workspaces=tuple(
            model.Workspace(
                name=name,
                key_hashes=tuple(each.key_hashes),
                weight=each.weight,
                max_outstanding_tokens=each.max_outstanding_tokens or 0,
            )
            for name, each in answers.workspaces.items()
        ),
        kinds=_named(model.RequestKind, answers.kinds),
        policy=model.Policy(**answers.policy.model_dump()),
        journal=model.JournalSettings(**answers.journal.model_dump()),
    )


def _named(target_type, answers_by_name):
    """Convert answers by name to configuration objects with that name."""
    return tuple(
        target_type(name=name, **each.model_dump())
        for name, each in answers_by_name.items()
    )
