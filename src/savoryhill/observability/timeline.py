"""The bounded ring of a node's events and the merging of several rings."""

from savoryhill.observability.fields import without_secrets
from savoryhill.observability.hybrid_clock import next_stamp, wall_seconds

MAX_EVENTS = 20_000
MAX_VALUE_CHARACTERS = 300


def add_event(ring, clock, name, fields):
    """Append an event to a ring, stamped and without secrets.

    Parameters
    ----------
    ring : collections.deque
        Bounded; the oldest event makes room.
    clock : HybridClock
        The process's clock.
    name : str
        ``subject.what_happened``.
    fields : dict
        Values of the event.
    """
    stamp = next_stamp(clock)
    event = {"hlc": stamp, "wall_s": wall_seconds(stamp), "event": name}
    for key, value in without_secrets(fields).items():
        if isinstance(value, str) and len(value) > MAX_VALUE_CHARACTERS:
            value = value[:MAX_VALUE_CHARACTERS]
        event[key] = value
    ring.append(event)


def select_events(events, *, request="", endpoint="", zone="", limit=0):
    """Return the events that match every given filter, the latest ``limit``."""
    wanted = {"request": request, "endpoint": endpoint, "zone": zone}
    wanted = {name: value for name, value in wanted.items() if value}
    selected = [
        event
        for event in events
        if all(event.get(name) == value for name, value in wanted.items())
    ]
    return selected[-limit:] if limit else selected


def merge_timelines(timelines):
    """Order the events of several nodes so that causes come first.

    Parameters
    ----------
    timelines : iterable of list of dict
        Events with ``hlc`` and ``node``.

    Returns
    -------
    list of dict
        All events by stamp; equal stamps by node.
    """
    merged = [event for timeline in timelines for event in timeline]
    return sorted(merged, key=lambda event: (event["hlc"], event.get("node", "")))
