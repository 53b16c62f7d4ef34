"""Timeline of a node's events in a ring buffer, and merging of several timelines."""

from savoryhill.observability.fields import without_secrets
from savoryhill.observability.hybrid_clock import next_stamp, wall_seconds

MAX_EVENTS = 20_000
MAX_VALUE_CHARACTERS = 300


def add_event(ring, clock, name, fields):
    """Stamp an event and append it to a ring buffer without its secret fields.

    Parameters
    ----------
    ring : collections.deque
        Ring buffer; a full one drops its oldest event.
    clock : HybridClock
        Clock of the process.
    name : str
        Name of the event, ``subject.what_happened``.
    fields : dict
        Fields of the event; long texts are truncated.
    """
    stamp = next_stamp(clock)
    event = {"hlc": stamp, "wall_s": wall_seconds(stamp), "event": name}
    for key, value in without_secrets(fields).items():
        if isinstance(value, str) and len(value) > MAX_VALUE_CHARACTERS:
            value = value[:MAX_VALUE_CHARACTERS]
        event[key] = value
    ring.append(event)


def select_events(events, *, request="", endpoint="", zone="", limit=0):
    """Return the latest ``limit`` events that match all given filters.

    An empty filter matches every event; a limit of 0 returns all matching events.
    """
    filters = {"request": request, "endpoint": endpoint, "zone": zone}
    filters = {name: value for name, value in filters.items() if value}
    selected = [
        event
        for event in events
        if all(event.get(name) == value for name, value in filters.items())
    ]
    return selected[-limit:] if limit else selected


def merge_timelines(timelines):
    """Merge the events of several nodes so that each follows its cause.

    Parameters
    ----------
    timelines : iterable of list of dict
        Events with ``hlc`` and ``node``.

    Returns
    -------
    list of dict
        All events, sorted by stamp and then by node.
    """
    merged = [event for timeline in timelines for event in timeline]
    return sorted(merged, key=lambda event: (event["hlc"], event.get("node", "")))
