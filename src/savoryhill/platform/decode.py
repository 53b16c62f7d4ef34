"""Decode rows of the metadata store into the project's types.

Rows may be written by other software, so a decoder returns None, or skips an item, if
a field is missing or has the wrong type.
"""

import json
import math

from savoryhill.core.observations.crashes import CRASH
from savoryhill.core.observations.table import Observation
from savoryhill.core.scheduling.engine_profile import EngineProfile
from savoryhill.platform.names import (
    CONFIGURATION_KEY,
    ENDPOINT_PREFIX,
    EVACUATION_PREFIX,
    NODE_PREFIX,
    REFUSALS_KEY,
)
from savoryhill.serving.model import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    STREAM,
    ClientLimits,
    Endpoint,
    NodeRecord,
    Route,
    Service,
    ServingConfiguration,
    Workspace,
)

_ROUTE_KINDS = {
    "idempotent": IDEMPOTENT,
    "non_idempotent": NON_IDEMPOTENT,
    "streaming": STREAM,
}
SECONDS_PER_MS = 0.001
# Unit of ``pairs_per_m``, the prefill cost in milliseconds per million token pairs.
_SECONDS_PER_PAIR_UNIT = 0.001 / 1e6
# Fits the integers of messages between nodes.
MAX_OBSERVATION_VERSION = 2**31
# Bounds what other writers of rows can make nodes keep and send.
MAX_RELEASE_LENGTH = 64


def _decode_object(value):
    try:
        content = json.loads(value)
    except (ValueError, UnicodeDecodeError):
        return None
    return content if isinstance(content, dict) else None


def _is_number(value):
    if isinstance(value, float):
        return math.isfinite(value)
    return isinstance(value, int) and not isinstance(value, bool)


def decode_route(item):
    """Decode a route, or return None if a required field is invalid."""
    kind = _ROUTE_KINDS.get(item.get("kind"))
    host, prefix = item.get("host"), item.get("pathPrefix")
    if kind is None or not isinstance(host, str) or not isinstance(prefix, str):
        return None
    split = item.get("trafficSplit")
    if split:
        targets = tuple((part["service"], float(part["weight"])) for part in split)
    else:
        targets = ((item.get("service"), 1.0),)
    return Route(
        name=str(item.get("name", "")),
        host=host.lower(),
        path_prefix=prefix,
        kind=kind,
        timeout_s=item.get("timeoutMs", 10_000) * SECONDS_PER_MS,
        target_latency_s=item.get("targetLatencyMs", 1000) * SECONDS_PER_MS,
        max_gap_s=item.get("targetGapMs", 1000) * SECONDS_PER_MS,
        priority=item.get("priority", 1),
        targets=targets,
        max_attempts=item.get("attempts", 1),
        is_public=item.get("publicAccess") is True,
        is_resumable=item.get("resumable") is True,
    )


def decode_engine(item):
    """Decode the performance profile of a service's engines, None if it has none."""
    if not isinstance(item, dict):
        return None
    return EngineProfile(
        slots=item["slots"],
        memory_tokens=item["kvTokens"],
        stride=item["stride"],
        step_s=item["step_ms"] * SECONDS_PER_MS,
        step_s_per_sequence=item["per_seq_ms"] * SECONDS_PER_MS,
        step_s_per_context_token=item["context_per_k"] * SECONDS_PER_MS / 1000,
        prefill_tokens_per_s=item["read_per_s"],
        prefill_s_per_token_pair=item["pairs_per_m"] * _SECONDS_PER_PAIR_UNIT,
        chunk_tokens=item["chunk"],
    )


def decode_configuration(value):
    """Decode the value of the configuration row.

    Returns
    -------
    ServingConfiguration or None
        None if the value is not a valid configuration.
    """
    content = _decode_object(value)
    if content is None:
        return None
    try:
        return _decode_content(content)
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _decode_content(content):
    routes_by_host = {}
    for item in content["routes"]:
        route = decode_route(item)
        if route is not None:
            routes_by_host.setdefault(route.host, []).append(route)
    services = (
        Service(
            name=item["name"],
            cold_per_s=item.get("coldPerS") or 0.0,
            engine=decode_engine(item.get("engine")),
        )
        for item in content["services"]
    )
    workspaces_by_key = {}
    for item in content.get("tenants") or ():
        workspace = Workspace(name=item["name"], priority=item.get("priority"))
        workspaces_by_key.update(dict.fromkeys(item.get("keys", ()), workspace))
    limits = content.get("limits") or {}
    return ServingConfiguration(
        version=content["version"],
        routes_by_host={
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in routes_by_host.items()
        },
        services_by_name={service.name: service for service in services},
        workspaces_by_key=workspaces_by_key,
        limits=ClientLimits(
            max_header_bytes=limits.get("maxHeaderBytes", 16_384),
            max_body_bytes=limits.get("maxBodyBytes", 4_194_304),
            header_timeout_s=limits.get("headerTimeoutMs", 3000) * SECONDS_PER_MS,
            idle_timeout_s=limits.get("idleTimeoutMs", 15_000) * SECONDS_PER_MS,
        ),
    )


def decode_endpoint(row):
    """Decode the row of an endpoint, or return None if a field is invalid.

    A ``sequence`` that is no number counts as 0, and a ``version`` that is no text as
    none, as they don't tell where and what the endpoint is.
    """
    content = _decode_object(row.value)
    if content is None:
        return None
    service, address = content.get("service"), content.get("address")
    state, slots = content.get("state"), content.get("slots")
    if not isinstance(service, str) or not isinstance(address, str):
        return None
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or state not in ("ready", "draining"):
        return None
    if not _is_number(slots) or not isinstance(content.get("zone"), str):
        return None
    cold_ms, born_ms = content.get("coldRemainingMs", 0), content.get("born", 0)
    if not _is_number(cold_ms) or not _is_number(born_ms):
        return None
    sequence = content.get("sequence", 0)
    return Endpoint(
        id=row.key[len(ENDPOINT_PREFIX) :],
        service=service,
        address=address,
        zone=content["zone"],
        slots=int(slots),
        is_draining=state == "draining",
        cold_remaining_s=cold_ms * SECONDS_PER_MS,
        born_ms=int(born_ms),
        revision=row.revision,
        sequence=int(sequence) if _is_number(sequence) else 0,
        release=_text_or_empty(content.get("version")),
    )


def _text_or_empty(value):
    return value[:MAX_RELEASE_LENGTH] if isinstance(value, str) else ""


def decode_node(row):
    """Decode the row of a node, or return None if a field is invalid."""
    content = _decode_object(row.value)
    if content is None or not isinstance(content.get("address"), str):
        return None
    capacity = content.get("capacity", 0.0)
    if not _is_number(capacity):
        return None
    return NodeRecord(
        name=row.key[len(NODE_PREFIX) :],
        address=content["address"],
        zone=str(content.get("zone", "")),
        capacity=float(capacity),
        revision=row.revision,
        relay_address=_text_or_empty(content.get("relay")),
    )


def encode_node(*, address, zone, capacity, relay_address):
    """Encode the value of a node's row."""
    row = {"address": address, "zone": zone, "capacity": capacity}
    if relay_address:
        row["relay"] = relay_address
    return json.dumps(row).encode()


def node_key(name):
    """Return the key of a node's row."""
    return NODE_PREFIX + name


def encode_refusals(crashes, *, now, wall_now):
    """Encode the row of the crashes because of which something is refused.

    Parameters
    ----------
    crashes : iterable of Observation
        Observations of the node that writes the row.
    now, wall_now : float
        The present time on the clock of the observations and in seconds since 1970.
        Other nodes, and this one after a restart, have the latter in common only.
    """
    items = [
        {
            "subject": crash.subject,
            "source": crash.source,
            "version": crash.version,
            "observedAt": crash.observed_at - now + wall_now,
            "value": crash.value,
            "workspace": crash.workspace,
            "release": crash.release,
        }
        for crash in crashes
    ]
    return json.dumps({"crashes": items}).encode()


def decode_refusals(value, *, now, wall_now):
    """Decode the row of crashes; what cannot be read is left out.

    The parameters are those of `encode_refusals`. A crash of the future, which clocks
    that differ bring about, counts as one of the present.

    Returns
    -------
    list of Observation
    """
    items = (_decode_object(value) or {}).get("crashes")
    if not isinstance(items, list):
        return []
    crashes = (_decode_crash(item, now, wall_now) for item in items)
    return [crash for crash in crashes if crash is not None]


def _decode_crash(item, now, wall_now):
    if not isinstance(item, dict):
        return None
    texts = [item.get(name) for name in ("subject", "source", "workspace")]
    numbers = [item.get(name) for name in ("version", "observedAt", "value")]
    if not all(isinstance(text, str) for text in texts):
        return None
    if not all(_is_number(number) for number in numbers):
        return None
    subject, source, workspace = texts
    version, observed_at, crash_value = numbers
    if not 0 < version <= MAX_OBSERVATION_VERSION:
        return None
    return Observation(
        kind=CRASH,
        subject=subject,
        source=source,
        version=int(version),
        observed_at=now - max(0.0, wall_now - observed_at),
        value=float(crash_value),
        workspace=workspace,
        release=_text_or_empty(item.get("release")),
    )


def classify_key(key):
    """Return the subject of the row under ``key``, and the name of that subject.

    Returns
    -------
    tuple of (str, str)
        The subject is ``configuration``, ``refusals``, ``evacuation``, ``endpoint`` or
        ``node``, and the name is the key without its prefix. For all other rows the
        subject is ``other`` and the name is the whole key.
    """
    if key == CONFIGURATION_KEY:
        return "configuration", ""
    if key == REFUSALS_KEY:
        return "refusals", ""
    for prefix, subject in (
        (EVACUATION_PREFIX, "evacuation"),
        (ENDPOINT_PREFIX, "endpoint"),
        (NODE_PREFIX, "node"),
    ):
        if key.startswith(prefix):
            return subject, key[len(prefix) :]
    return "other", key
