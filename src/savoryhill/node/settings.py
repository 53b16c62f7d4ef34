"""Settings of a node process, read from YAML."""

from dataclasses import MISSING, dataclass, field, fields

import yaml

from savoryhill.errors import SettingsError
from savoryhill.node.callers import CallerLimits

MIN_ADMIN_KEY_BYTES = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Where a node runs and whom it talks to; addresses are ``ip:port``.

    The ``key_value_*`` fields are this node's share of the calls that the
    key-value service grants the whole deployment.
    ``weights`` is the weight store; without it, orders are not checked against it.
    ``seeds`` maps names of other nodes to their peer addresses; a node that cannot
    read the host list finds the others through them. Without an ``admin_key`` the
    admin address refuses every call.
    """

    node: str
    zone: str
    region: str
    listen: str
    peer_listen: str
    admin_listen: str
    key_value: str
    hosts: str
    cluster_key: str = field(repr=False)
    admin_key: str = field(default="", repr=False)
    weights: str = ""
    tick_s: float = 0.05
    key_value_writes_per_s: float = 60.0
    key_value_reads_per_s: float = 200.0
    seeds: dict = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


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
    return check_settings(load_mapping(path), place=path)


def load_mapping(path):
    """Read a YAML file that holds one mapping.

    Raises
    ------
    SettingsError
        If the file cannot be read or holds something else.
    """
    try:
        with open(path) as file:
            values = yaml.safe_load(file)
    except (OSError, yaml.YAMLError) as error:
        raise SettingsError(f"cannot read settings from {path}: {error}") from error
    if not isinstance(values, dict):
        raise SettingsError(f"{path}: expected a mapping of settings")
    return values


def check_fields(kind, values, *, place=""):
    """Return the findings on values for the fields of a data class."""
    findings = []
    known = {each.name: each for each in fields(kind)}
    findings += [
        f"unknown setting {place}{name}" for name in values if name not in known
    ]
    for name, each in known.items():
        if name not in values:
            if each.default is MISSING and each.default_factory is MISSING:
                findings.append(f"missing setting {place}{name}")
            continue
        if each.type not in (str, int, float):
            continue
        expected = (int, float) if each.type is float else each.type
        value = values[name]
        if not isinstance(value, expected) or isinstance(value, bool):
            # A wrong value is not shown, because it may be a secret.
            findings.append(f"{place}{name}: expected {each.type.__name__}")
        elif isinstance(value, int | float) and value <= 0:
            findings.append(f"{place}{name}: expected a number above 0, not {value}")
    return findings


def _is_address(value):
    host, _, port = str(value).rpartition(":")
    return bool(host) and port.isdigit() and int(port) < 65_536


def check_settings(values, *, place):
    """Check settings given as a mapping; see `load_settings`."""
    findings = check_fields(NodeSettings, values)
    for name in ("listen", "peer_listen", "admin_listen", "key_value", "hosts"):
        value = values.get(name)
        if isinstance(value, str) and not _is_address(value):
            findings.append(f"{name}: expected ip:port, not {value!r}")
    cluster_key = values.get("cluster_key")
    if isinstance(cluster_key, str) and not 16 <= len(cluster_key.encode()) <= 64:
        findings.append("cluster_key: expected 16 to 64 bytes")
    admin_key = values.get("admin_key", "")
    if isinstance(admin_key, str) and admin_key:
        if len(admin_key.encode()) < MIN_ADMIN_KEY_BYTES:
            findings.append(f"admin_key: expected at least {MIN_ADMIN_KEY_BYTES} bytes")
        if not (admin_key.isascii() and admin_key.isprintable()):
            findings.append("admin_key: expected printable ASCII")
    seeds = values.get("seeds", {})
    if not isinstance(seeds, dict) or not all(map(_is_address, seeds.values())):
        findings.append("seeds: expected a mapping of node names to ip:port")
    limits = values.get("limits", {})
    if isinstance(limits, dict):
        findings += check_fields(CallerLimits, limits, place="limits.")
    else:
        findings.append("limits: expected a mapping")
    if findings:
        raise SettingsError(f"{place}: " + "; ".join(findings))
    return NodeSettings(**{**values, "limits": CallerLimits(**limits)})
