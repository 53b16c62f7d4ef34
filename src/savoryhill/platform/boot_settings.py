"""Parse the settings file that the platform provides to a node process."""

import os
from dataclasses import dataclass

from savoryhill.errors import SettingsError
from savoryhill.platform.json_values import is_address, is_number
from savoryhill.platform.names import SETTINGS_VARIABLE

BYTES_PER_MB = 1_000_000
# Assumed if the platform names no limit.
DEFAULT_MEMORY_MB = 300.0
DEFAULT_MAX_DESCRIPTORS = 4_100


@dataclass(frozen=True, kw_only=True)
class ServingSettings:
    """Settings of one node process, under the project's own names.

    ``peer_address`` is the address at which other nodes reach this node, and
    ``relay_address`` the one at which it relays their connections to endpoints, empty
    if there is no port for it. The ``*_s``
    fields are bounds set by the platform. ``repeat_slack`` is the number of repeated
    sends that all nodes together may make beyond ``repeat_ratio`` of the requests in
    ``repeat_window_s``. ``capacity`` is the relative capacity of the node: usable
    processor cores times network bandwidth in Mbit/s. ``memory_bytes`` is what the
    process may use before the platform ends it, ``max_descriptors`` how many files and
    sockets it may have open.
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
    relay_address: str = ""
    memory_bytes: float = DEFAULT_MEMORY_MB * BYTES_PER_MB
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS


def parse_assignments(text):
    """Parse lines of the form ``name=value`` into a dictionary.

    Blank lines and lines that start with ``#`` are skipped.

    Returns
    -------
    tuple of (dict, list of str)
        The values by name, and a message for each line that is not an assignment.
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
    """Return the path of the settings file, taken from the environment.

    Raises
    ------
    SettingsError
        If the environment variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"environment variable {SETTINGS_VARIABLE} is not set")
    return path


def settings_version(path):
    """Return what changes with the settings file, or None if it cannot be read."""
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; the next check finds the new one.
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def load_settings(path):
    """Read and validate the settings file.

    Unknown names are ignored.

    Raises
    ------
    SettingsError
        If the file cannot be read or has invalid lines or values. The message lists
        every finding on a line of its own.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"settings file {path} cannot be read: {error}") from error
    values, findings = parse_assignments(text)

    def required_text(name):
        if not values.get(name):
            findings.append(f"{name}: expected a value, got nothing")
        return values.get(name, "")

    def required_address(name):
        value = required_text(name)
        if value and not is_address(value):
            findings.append(f"{name}: expected ip:port, got {value!r}")
        return value

    def number_or_default(name, default):
        value = values.get(name, "")
        if not value:
            return default
        try:
            number = float(value)
        except ValueError:
            number = None
        if number is None or not is_number(number) or number < 0.0:
            findings.append(f"{name}: expected a number from 0 on, got {value!r}")
            return default
        return number

    ports = required_text("internalPorts").split(",")
    if not all(is_address(f"127.0.0.1:{port}") for port in ports):
        findings.append(f"internalPorts: expected first,last, got {ports!r}")
    host = required_text("ipAddress")
    settings = ServingSettings(
        node=required_text("node"),
        zone=required_text("zone"),
        client_address=required_address("listen.frontend"),
        readiness_address=required_address("listen.readiness"),
        peer_address=f"{host}:{ports[0]}",
        relay_address=_relay_address(host, ports),
        store_address=required_address("platform.address"),
        grace_s=number_or_default("bounds.graceS", 8.0),
        repeat_ratio=number_or_default("bounds.retryBudgetRatio", 0.2),
        repeat_slack=number_or_default("bounds.budgetSlack", 20.0),
        repeat_window_s=number_or_default("bounds.budgetWindowS", 10.0),
        capacity=number_or_default("limits.cpuShare", 1.0)
        * number_or_default("limits.cores", 1.0)
        * number_or_default("limits.bandwidthMbps", 1.0),
        memory_bytes=number_or_default("limits.memoryMb", DEFAULT_MEMORY_MB)
        * BYTES_PER_MB,
        max_descriptors=int(
            number_or_default("limits.fileDescriptors", DEFAULT_MAX_DESCRIPTORS)
        ),
    )
    if findings:
        raise SettingsError(f"settings file {path}:\n" + "\n".join(findings))
    return settings


def _relay_address(host, ports):
    """Return the address with the second of the internal ports, if there is one."""
    if len(ports) != 2 or not all(port.isdigit() for port in ports):
        return ""
    first, last = (int(port) for port in ports)
    return f"{host}:{first + 1}" if first < last else ""
