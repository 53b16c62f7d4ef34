"""Settings of a node process, read from YAML."""

from dataclasses import dataclass, field, fields

import yaml

from savoryhill.errors import SettingsError


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Where a node runs and whom it talks to; addresses are ``ip:port``.

    The ``key_value_*`` fields are this node's share of the calls that the
    key-value service grants the whole deployment.
    ``seeds`` maps names of other nodes to their peer addresses; a node that cannot
    read the host list finds the others through them.
    """

    node: str
    zone: str
    region: str
    listen: str
    peer_listen: str
    admin_listen: str
    key_value: str
    hosts: str
    cluster_key: str
    tick_s: float = 0.05
    key_value_writes_per_s: float = 60.0
    key_value_reads_per_s: float = 200.0
    seeds: dict = field(default_factory=dict)


def load_settings(path):
    """Read the settings of a node.

    Parameters
    ----------
    path : str
        A YAML file with one mapping.

    Returns
    -------
    NodeSettings
        The checked settings.

    Raises
    ------
    SettingsError
        If the file cannot be read, or naming every field that is unknown,
        missing or of the wrong type.
    """
    try:
        with open(path) as file:
            values = yaml.safe_load(file)
    except (OSError, yaml.YAMLError) as error:
        raise SettingsError(f"cannot read settings from {path}: {error}") from error
    if not isinstance(values, dict):
        raise SettingsError(f"{path}: expected a mapping of settings")
    return check_settings(values, place=path)


def check_settings(values, *, place):
    """Check settings given as a mapping; see `load_settings`."""
    findings = []
    known = {each.name: each for each in fields(NodeSettings)}
    findings += [f"unknown setting {name!r}" for name in values if name not in known]
    for name, known_field in known.items():
        if name not in values:
            if known_field.default is known_field.default_factory:
                findings.append(f"missing setting {name!r}")
            continue
        expected = (int, float) if known_field.type is float else known_field.type
        if not isinstance(values[name], expected):
            findings.append(
                f"{name}: {values[name]!r} is not a {known_field.type.__name__}"
            )
    cluster_key = values.get("cluster_key")
    if isinstance(cluster_key, str) and not 16 <= len(cluster_key.encode()) <= 64:
        findings.append("cluster_key: expected 16 to 64 bytes")
    if findings:
        raise SettingsError(f"{place}: " + "; ".join(findings))
    return NodeSettings(**values)
