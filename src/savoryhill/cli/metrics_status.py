"""Status of nodes of the platform deployment, read from their metrics addresses."""

from dataclasses import dataclass

from savoryhill.cli.commands import UsageError
from savoryhill.cli.node_calls import NodeCallError, ask_all, fetch

PREFIX = "savoryhill_"
NO_LABELS = "{}"
# Gauges of a node, in the order in which they are shown.
GAUGES = (
    "configuration_version",
    "store_contact_age_s",
    "requests_running",
    "jobs_waiting",
    "endpoints_known",
    "nodes_known",
    "log_lines_dropped",
)
# Nodes hear of the store at least twice a second while it is there.
MAX_CONTACT_AGE_S = 2.0


class MetricsError(NodeCallError):
    """A node did not answer with metrics."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeStatus:
    """Gauges of one node by name, and what is wrong with it."""

    address: str
    gauges: dict[str, float]
    findings: tuple[str, ...]


def parse_gauges(text):
    """Return the gauges of a node from its metrics.

    Raises
    ------
    MetricsError
        If one is missing or no number.
    """
    values = {}
    for line in text.splitlines():
        name, _, value = line.partition(" ")
        values[name.removeprefix(PREFIX).removesuffix(NO_LABELS)] = value
    gauges = {}
    for name in GAUGES:
        try:
            gauges[name] = float(values[name])
        except KeyError:
            raise MetricsError(f"gauge {name} is missing") from None
        except ValueError:
            raise MetricsError(f"gauge {name} is {values[name]!r}") from None
    return gauges


def judge(gauges_by_address):
    """Return the status of each node, compared with the others.

    Parameters
    ----------
    gauges_by_address : dict of str to dict
        Gauges by name, by address.

    Returns
    -------
    list of NodeStatus
        In the order of the addresses.
    """
    versions = [g["configuration_version"] for g in gauges_by_address.values()]
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
        If there is no answer, or it holds no gauges.
    """
    status, body = fetch(address, "/metrics")
    if status != 200:
        raise MetricsError(f"answered {status}")
    return parse_gauges(body.decode(errors="replace"))


def read_all(addresses):
    """Ask all nodes at once; return their statuses and the errors by address."""
    for address in addresses:
        if not address.rpartition(":")[2].isdigit():
            raise UsageError(f"--metrics: expected ip:port, not {address!r}")
    gauges_by_address, errors = ask_all(addresses, read_gauges)
    return judge(gauges_by_address), errors


def status_lines(statuses):
    """Yield a line for each node."""
    for status in statuses:
        pairs = " ".join(f"{name}={value:g}" for name, value in status.gauges.items())
        state = "; ".join(status.findings) or "ok"
        yield f"{status.address}: {state} ({pairs})"
