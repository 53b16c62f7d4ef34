"""Status of nodes of the platform deployment, read from their metrics."""

from dataclasses import dataclass

from savoryhill.cli.commands import UsageError
from savoryhill.cli.node_calls import NodeCallError, call_all, fetch

METRIC_PREFIX = "savoryhill_"
EMPTY_LABELS = "{}"
# Gauges of a node in display order.
GAUGES = (
    "configuration_version",
    "store_contact_age_s",
    "requests_running",
    "jobs_waiting",
    "endpoints_known",
    "nodes_known",
    "log_lines_dropped",
)
# Gauges that nodes of an older build lack; they count as 0 there.
LATER_GAUGES = ("has_lost_way", "endpoints_out_of_reach")
# While the store is reachable, a node's view is confirmed at least twice a second.
MAX_CONTACT_AGE_S = 2.0


class MetricsError(NodeCallError):
    """A node did not return the expected metrics."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeStatus:
    """Gauges of one node by name, and the problems found with it."""

    address: str
    gauges: dict[str, float]
    findings: tuple[str, ...]


def parse_gauges(text):
    """Parse the gauges of a node from its metrics.

    Raises
    ------
    MetricsError
        If a gauge is missing or not a number.
    """
    values = {}
    for line in text.splitlines():
        name, _, value = line.partition(" ")
        values[name.removeprefix(METRIC_PREFIX).removesuffix(EMPTY_LABELS)] = value
    values = dict.fromkeys(LATER_GAUGES, "0") | values
    gauges = {}
    for name in GAUGES + LATER_GAUGES:
        try:
            gauges[name] = float(values[name])
        except KeyError:
            raise MetricsError(f"gauge {name} is missing") from None
        except ValueError:
            raise MetricsError(f"gauge {name} is {values[name]!r}") from None
    return gauges


def assess_nodes(gauges_by_address):
    """Derive the status of each node, also by comparison with the others.

    Parameters
    ----------
    gauges_by_address : dict of str to dict
        Gauges by name, for each address.

    Returns
    -------
    list of NodeStatus
        In the order of the addresses.
    """
    versions = [
        gauges["configuration_version"] for gauges in gauges_by_address.values()
    ]
    newest = max(versions, default=0.0)
    statuses = []
    for address, gauges in gauges_by_address.items():
        version = gauges["configuration_version"]
        age_s = gauges["store_contact_age_s"]
        findings = []
        if not version:
            findings.append("no configuration")
        elif version < newest:
            findings.append(f"configuration {version:.0f}, others have {newest:.0f}")
        if age_s > MAX_CONTACT_AGE_S:
            findings.append(f"store not heard of for {age_s:.1f} s")
        if gauges["has_lost_way"]:
            findings.append("no way to endpoints but through other nodes")
        elif gauges["endpoints_out_of_reach"]:
            n_endpoints = gauges["endpoints_out_of_reach"]
            findings.append(f"no path of its own to {n_endpoints:.0f} endpoints")
        if gauges["log_lines_dropped"]:
            findings.append(f"{gauges['log_lines_dropped']:.0f} log lines dropped")
        statuses.append(
            NodeStatus(address=address, gauges=gauges, findings=tuple(findings))
        )
    return statuses


def read_gauges(address):
    """Read the gauges of the node with this metrics address, ``ip:port``.

    Raises
    ------
    NodeCallError
        If there is no response, or it lacks a gauge.
    """
    status_code, body = fetch(address, "/metrics")
    if status_code != 200:
        raise MetricsError(f"answered {status_code}")
    return parse_gauges(body.decode(errors="replace"))


def read_statuses(addresses):
    """Query all nodes concurrently; return their statuses, and errors by address."""
    for address in addresses:
        if not address.rpartition(":")[2].isdigit():
            raise UsageError(f"--metrics: expected ip:port, not {address!r}")
    gauges_by_address, errors = call_all(addresses, read_gauges)
    return assess_nodes(gauges_by_address), errors


def status_lines(statuses):
    """Yield one line of text for each node."""
    for status in statuses:
        fields = " ".join(f"{name}={value:g}" for name, value in status.gauges.items())
        state = "; ".join(status.findings) or "ok"
        yield f"{status.address}: {state} ({fields})"
