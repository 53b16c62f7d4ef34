"""Decode the settings file that the platform writes for a process."""

import os
from dataclasses import dataclass

from savoryhill.errors import SettingsError
from savoryhill.platform.names import SETTINGS_VARIABLE


@dataclass(frozen=True, kw_only=True)
class ServingSettings:
    """Settings of one process, in the project's own terms.

    ``peer_address`` is where other nodes reach this one. The ``*_s`` fields are the
    platform's bounds. ``repeat_slack`` is the number of repeated sends that all nodes
    together may make beyond ``repeat_ratio`` of the requests in ``repeat_window_s``.
    ``capacity`` compares nodes: processor cores times megabits a second.
    """

    node: str
    zone: str
    client_address: str
    readiness_address: str
    peer_address: str
    store_address: str
    grace_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float
    capacity: float = 1.0


def parse_lines(text):
    """Parse lines ``a.b=value`` into a dictionary; findings are collected.

    Returns
    -------
    tuple of (dict, list of str)
        The values, and a message for each line that is no assignment.
    """
    values, findings = {}, []
    for number, line in enumerate(text.splitlines(), start=1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        name, separator, value = line.partition("=")
        if not separator:
            findings.append(f"line {number}: expected name=value, got {line!r}")
            continue
        values[name.strip()] = value.strip()
    return values, findings


def settings_path():
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        If the variable that holds it is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"variable {SETTINGS_VARIABLE} is not set")
    return path


def load_settings(path):
    """Read and check the settings file.

    Raises
    ------
    SettingsError
        With all findings, one a line.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"settings file {path} cannot be read: {error}") from error
    values, findings = parse_lines(text)

    def text_of(name):
        if not values.get(name):
            findings.append(f"{name}: expected a value, got nothing")
        return values.get(name, "")

    def address_of(name):
        value = text_of(name)
        host, _, port = value.rpartition(":")
        if value and not (host and port.isdigit()):
            findings.append(f"{name}: expected ip:port, got {value!r}")
        return value

    def number_of(name, default):
        value = values.get(name, "")
        if not value:
            return default
        try:
            return float(value)
        except ValueError:
            findings.append(f"{name}: expected a number, got {value!r}")
            return default

    ports = text_of("internalPorts").split(",")
    if not ports[0].isdigit():
        findings.append(f"internalPorts: expected first,last, got {ports!r}")
    settings = ServingSettings(
        node=text_of("node"),
        zone=text_of("zone"),
        client_address=address_of("listen.frontend"),
        readiness_address=address_of("listen.readiness"),
        peer_address=f"{text_of('ipAddress')}:{ports[0]}",
        store_address=address_of("platform.address"),
        grace_s=number_of("bounds.graceS", 8.0),
        repeat_ratio=number_of("bounds.retryBudgetRatio", 0.2),
        repeat_slack=number_of("bounds.budgetSlack", 20.0),
        repeat_window_s=number_of("bounds.budgetWindowS", 10.0),
        capacity=number_of("limits.cpuShare", 1.0)
        * number_of("limits.cores", 1.0)
        * number_of("limits.bandwidthMbps", 1.0),
    )
    if findings:
        raise SettingsError(f"settings file {path}:\n" + "\n".join(findings))
    return settings
