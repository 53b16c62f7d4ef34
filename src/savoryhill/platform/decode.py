"""Decode rows of the metadata store into the project's types.

Rows may be written by other software, so a decoder returns None, or skips an item, if
a field is missing or has the wrong type.
"""

import json

from savoryhill.core.observations.crashes import CRASH
from savoryhill.core.observations.table import Observation
from savoryhill.core.scheduling.engine_profile import EngineProfile
from savoryhill.platform.json_values import (
    decode_each,
    decode_object,
    is_address,
    is_number,
    is_text,
    read_number,
    read_text,
)
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
MAX_SLOTS = 100_000


def decode_route(item):
    """Decode a route.

    Raises
    ------
    ValueError, KeyError, TypeError, AttributeError
        If a field is missing or invalid.
    """
    split = item.get("trafficSplit")
    if split:
        targets = tuple(
            (read_text(part, "service"), float(read_number(part, "weight")))
            for part in split
        )
    else:
        targets = ((read_text(item, "service"), 1.0),)
    return Route(
        name=read_text(item, "name", ""),
        host=read_text(item, "host").lower(),
        path_prefix=read_text(item, "pathPrefix"),
        kind=_ROUTE_KINDS[read_text(item, "kind")],
        timeout_s=read_number(item, "timeoutMs", 10_000) * SECONDS_PER_MS,
        target_latency_s=read_number(item, "targetLatencyMs", 1000) * SECONDS_PER_MS,
        max_gap_s=read_number(item, "targetGapMs", 1000) * SECONDS_PER_MS,
        priority=int(read_number(item, "priority", 1)),
        targets=targets,
        max_attempts=int(read_number(item, "attempts", 1)),
        is_public=item.get("publicAccess") is True,
        is_resumable=item.get("resumable") is True,
    )


def decode_engine(item):
    """Decode the performance profile of a service's engines, None if it has none.

    Raises
    ------
    ValueError
        If it is no object, or a figure is missing or invalid.
    """
    if item is None:
        return None
    if not isinstance(item, dict):
        raise ValueError(f"engine: expected an object, got {item!r:.40}")
    profile = EngineProfile(
        slots=int(read_number(item, "slots")),
        memory_tokens=int(read_number(item, "kvTokens")),
        stride=read_number(item, "stride"),
        step_s=read_number(item, "step_ms") * SECONDS_PER_MS,
        step_s_per_sequence=read_number(item, "per_seq_ms") * SECONDS_PER_MS,
        step_s_per_context_token=read_number(item, "context_per_k")
        * SECONDS_PER_MS
        / 1000,
        prefill_tokens_per_s=read_number(item, "read_per_s"),
        prefill_s_per_token_pair=read_number(item, "pairs_per_m")
        * _SECONDS_PER_PAIR_UNIT,
        chunk_tokens=read_number(item, "chunk"),
    )
    if not (profile.slots and profile.prefill_tokens_per_s and profile.chunk_tokens):
        raise ValueError("slots, read_per_s and chunk must be positive")
    return profile


def decode_configuration(value):
    """Decode the value of the configuration row.

    Routes, services and workspaces that cannot be read are left out and counted.

    Returns
    -------
    ServingConfiguration or None
        None if the value is not a configuration with a version.
    """
    content = decode_object(value)
    if content is None or not is_number(content.get("version")):
        return None
    routes, n_odd_routes = decode_each(content.get("routes"), decode_route)
    services, n_odd_services = decode_each(content.get("services"), _decode_service)
    # Without this part nobody needs a key; with it, also if it is empty or cannot be
    # read, those without a key of a readable workspace are refused.
    requires_key = "tenants" in content
    keys, n_odd_workspaces = decode_each(content.get("tenants", []), _decode_keys)
    routes_by_host = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    return ServingConfiguration(
        version=int(content["version"]),
        routes_by_host={
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in routes_by_host.items()
        },
        services_by_name={service.name: service for service in services},
        workspaces_by_key={
            key: workspace for pairs in keys for key, workspace in pairs
        },
        requires_key=requires_key,
        limits=_decode_limits(content.get("limits")),
        n_unreadable=n_odd_routes + n_odd_services + n_odd_workspaces,
    )


def _decode_service(item):
    return Service(
        name=read_text(item, "name"),
        cold_per_s=0.0
        if item.get("coldPerS") is None
        else read_number(item, "coldPerS"),
        engine=decode_engine(item.get("engine")),
    )


def _decode_keys(item):
    """Return the keys of a workspace, each with the workspace.

    Raises
    ------
    ValueError
        If a field is invalid. A workspace without the list of keys has none.
    """
    priority = item.get("priority")
    if priority is not None:
        priority = int(read_number(item, "priority"))
    workspace = Workspace(name=read_text(item, "name"), priority=priority)
    keys = item.get("keys") or []
    if not isinstance(keys, list):
        raise ValueError(f"keys: expected a list, got {type(keys).__name__}")
    return [(key, workspace) for key in keys if is_text(key)]


def _decode_limits(item):
    """Return the limits on clients, by default for those that cannot be read."""
    if not isinstance(item, dict):
        return ClientLimits()

    def number(name, default):
        value = item.get(name)
        return value if is_number(value) and value > 0 else default

    return ClientLimits(
        max_header_bytes=number("maxHeaderBytes", 16_384),
        max_body_bytes=number("maxBodyBytes", 4_194_304),
        header_timeout_s=number("headerTimeoutMs", 3000) * SECONDS_PER_MS,
        idle_timeout_s=number("idleTimeoutMs", 15_000) * SECONDS_PER_MS,
    )


def decode_endpoint(row):
    """Decode the row of an endpoint, or return None if a field is invalid.

    A ``sequence`` that is no number counts as 0, and a ``version`` that is no text as
    none, as they don't tell where and what the endpoint is.
    """
    content = decode_object(row.value)
    endpoint_id = row.key[len(ENDPOINT_PREFIX) :]
    if content is None or not endpoint_id:
        return None
    texts = [content.get(name) for name in ("service", "zone")]
    if not all(is_text(text) for text in texts):
        return None
    address, state = content.get("address"), content.get("state")
    if not is_address(address) or state not in ("ready", "draining"):
        return None
    slots = content.get("slots")
    if not is_number(slots) or not 1 <= slots <= MAX_SLOTS:
        return None
    cold_ms, born_ms = content.get("coldRemainingMs", 0), content.get("born", 0)
    if not is_number(cold_ms) or not is_number(born_ms):
        return None
    service, zone = texts
    sequence = content.get("sequence", 0)
    return Endpoint(
        id=endpoint_id,
        service=service,
        address=address,
        zone=zone,
        slots=int(slots),
        is_draining=state == "draining",
        cold_remaining_s=cold_ms * SECONDS_PER_MS,
        born_ms=int(born_ms),
        revision=row.revision,
        sequence=int(sequence) if is_number(sequence) else 0,
        release=_text_or_empty(content.get("version")),
    )


def _text_or_empty(value):
    return value[:MAX_RELEASE_LENGTH] if is_text(value) else ""


def decode_node(row):
    """Decode the row of a node, or return None if a field is invalid."""
    content = decode_object(row.value)
    if content is None or not is_address(content.get("address")):
        return None
    zone, relay_address = content.get("zone", ""), content.get("relay")
    capacity = content.get("capacity", 0.0)
    if not is_number(capacity) or not is_text(zone):
        return None
    return NodeRecord(
        name=row.key[len(NODE_PREFIX) :],
        address=content["address"],
        zone=zone,
        capacity=float(capacity),
        revision=row.revision,
        relay_address=relay_address if is_address(relay_address) else "",
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
    items = (decode_object(value) or {}).get("crashes")
    if not isinstance(items, list):
        return []
    crashes = (_decode_crash(item, now, wall_now) for item in items)
    return [crash for crash in crashes if crash is not None]


def _decode_crash(item, now, wall_now):
    if not isinstance(item, dict):
        return None
    texts = [item.get(name) for name in ("subject", "source", "workspace")]
    numbers = [item.get(name) for name in ("version", "observedAt", "value")]
    if not all(is_text(text) for text in texts):
        return None
    if not all(is_number(number) for number in numbers):
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
