"""Poll an endpoint's load and follow its cache events."""

import json
from dataclasses import dataclass, field

from geventhttpclient import HTTPClient

from savoryhill.errors import BrokenStreamError

# New work goes to a dead endpoint until a poll of it has failed.
POLL_TIMEOUT_S = 1.0


@dataclass(kw_only=True)
class CacheView:
    """Cached prefixes of one engine process, as far as its events tell.

    ``sequence`` is the number of the last event seen; ``n_gaps`` counts the
    times at which events were missing.
    """

    incarnation: str = ""
    sequence: int = 0
    n_gaps: int = 0
    prefixes: set[int] = field(default_factory=set)


@dataclass(kw_only=True)
class EndpointMonitor:
    """A kept connection to an endpoint's load call."""

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
    """Bring a view up to date with the events that arrived.

    After a gap nothing that was learned before it is trusted: a lost eviction
    would promise a cached prefix that is not there, and the predicted first
    token would be too early.

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
        The endpoint.

    Returns
    -------
    dict
        ``incarnation``, ``warm``, ``running``, ``memory_used_tokens`` and
        ``streams`` as the endpoint reports them.

    Raises
    ------
    BrokenStreamError
        If it did not answer; the connection is not used again.
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
