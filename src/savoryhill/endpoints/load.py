"""Poll an endpoint's load and track its prefix cache from its events."""

import json
from dataclasses import dataclass, field

from geventhttpclient import HTTPClient

from savoryhill.errors import BrokenStreamError

# An endpoint that has died receives new work until a poll of it fails.
POLL_TIMEOUT_S = 1.0


@dataclass(kw_only=True)
class CacheView:
    """Cached prefixes of one engine process, as known from its events.

    ``sequence`` is the number of the last event applied; ``n_gaps`` is the number of
    gaps in the sequence, at each of which events were lost.
    """

    incarnation: str = ""
    sequence: int = 0
    n_gaps: int = 0
    prefixes: set[int] = field(default_factory=set)


@dataclass(kw_only=True)
class EndpointMonitor:
    """Client with a persistent connection that polls the load of an endpoint."""

    address: str
    http: HTTPClient
    cache: CacheView = field(default_factory=CacheView)


def make_endpoint_monitor(address):
    """Build a monitor; no connection is opened before the first poll."""
    host, port = address.rsplit(":", 1)
    http = HTTPClient(
        host,
        int(port),
        concurrency=1,
        connection_timeout=POLL_TIMEOUT_S,
        network_timeout=POLL_TIMEOUT_S,
    )
    return EndpointMonitor(address=address, http=http)


def apply_cache_events(cache, incarnation, events):
    """Apply cache events to a view; events that were already applied are skipped.

    A gap in the sequence clears the view: if the lost event was an eviction, the view
    would still list a prefix that is no longer cached, and the predicted time of the
    first token would be too early.

    Parameters
    ----------
    cache : CacheView
        The view, updated in place.
    incarnation : str
        The engine process that sent the events.
    events : sequence of dict
        ``sequence``, ``what`` (``stored`` or ``evicted``) and ``prefix``.
    """
    if incarnation != cache.incarnation:
        cache.incarnation = incarnation
        cache.prefixes.clear()
    for event in events:
        if event["sequence"] <= cache.sequence:
            continue
        if event["sequence"] != cache.sequence + 1:
            cache.n_gaps += 1
            cache.prefixes.clear()
        cache.sequence = event["sequence"]
        if event["what"] == "stored":
            cache.prefixes.add(event["prefix"])
        else:
            cache.prefixes.discard(event["prefix"])


def poll_load(monitor):
    """Read the load of an endpoint.

    Parameters
    ----------
    monitor : EndpointMonitor
        The monitor of the endpoint.

    Returns
    -------
    dict
        ``incarnation``, ``warm``, ``running``, ``memory_used_tokens`` and
        ``streams`` as the endpoint reports them.

    Raises
    ------
    BrokenStreamError
        If no valid response arrived; the connection is closed.
    """
    path = f"/admin/load?cache_after={monitor.cache.sequence}"
    try:
        response = monitor.http.get(path)
        content = bytes(response.read())
        if response.status_code != 200:
            raise ValueError(f"status {response.status_code}")
        load = json.loads(content)
        apply_cache_events(
            monitor.cache, load["incarnation"], load.get("cache_events", ())
        )
    except Exception as error:
        monitor.http.close()
        raise BrokenStreamError(f"load of {monitor.address}: {error!r}") from error
    return load
