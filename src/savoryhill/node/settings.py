"""Settings of a node process, read from YAML."""

from dataclasses import MISSING, dataclass, field, fields

import yaml

from savoryhill.errors import SettingsError
from savoryhill.node.callers import CallerLimits

MIN_ADMIN_KEY_BYTES = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Identity, addresses, keys and limits of a node; addresses are ``ip:port``.

    ``key_value_writes_per_s`` and ``key_value_reads_per_s`` are this node's share of
    the rates that the key-value service grants to the whole deployment. ``weights`` is
    the address of the weight store; if it is empty, orders are sent without checking
    that the weights exist. ``seeds`` maps names of other nodes to peer addresses, over
    which a node that cannot read the host list joins the others. Without an
    ``admin_key`` the admin address refuses every call.
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
    """Read and check the settings of a node.

    Parameters
    ----------
    path : str
        YAML file that holds one mapping.

    Returns
    -------
    NodeSettings
        The checked settings.

    Raises
    ------
    SettingsError
        If the file cannot be read or a setting is unknown, missing or invalid; the
        message lists all of these.
    """
    return check_settings(load_mapping(path), source=path)


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


def check_fields(data_class, values, *, prefix=""):
    """Check values against the fields of a data class and return the findings."""
    findings = []
    fields_by_name = {data_field.name: data_field for data_field in fields(data_class)}
    findings += [
        f"unknown setting {prefix}{name}"
        for name in values
        if name not in fields_by_name
    ]
    for name, data_field in fields_by_name.items():
        if name not in values:
            if data_field.default is MISSING and data_field.default_factory is MISSING:
                findings.append(f"missing setting {prefix}{name}")
            continue
        if data_field.type not in (str, int, float):
            continue
        expected = (int, float) if data_field.type is float else data_field.type
        value = values[name]
        if not isinstance(value, expected) or isinstance(value, bool):
            # The value may be a secret, so the finding does not include it.
            findings.append(f"{prefix}{name}: expected {data_field.type.__name__}")
        elif isinstance(value, int | float) and value <= 0:
            findings.append(f"{prefix}{name}: expected a number above 0, not {value}")
    return findings


def _is_address(value):
    host, _, port = str(value).rpartition(":")
    return bool(host) and port.isdigit() and int(port) < 65_536


def check_settings(values, *, source):
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
        findings += check_fields(CallerLimits, limits, prefix="limits.")
    else:
        findings.append("limits: expected a mapping")
    if findings:
        raise SettingsError(f"{source}: " + "; ".join(findings))
    return NodeSettings(**{**values, "limits": CallerLimits(**limits)})
