"""Structured logs: one line of key=value pairs for each event."""

import json
import sys

from loguru import logger

_SECRET_NAMES = frozenset(
    ("authorization", "bearer", "cluster_key", "admin_key", "key", "secret", "token")
)


def without_secrets(fields):
    """Return the fields of an event without those that may hold a secret."""
    return {name: value for name, value in fields.items() if name not in _SECRET_NAMES}


def _format_value(value):
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if text == "" or any(char in ' ="' or not char.isprintable() for char in text):
        return json.dumps(text)
    return text


def format_fields(fields):
    """Return fields as ``key=value`` pairs, without those that may hold a secret."""
    return " ".join(
        f"{key}={_format_value(value)}"
        for key, value in without_secrets(fields).items()
    )


def log_event(name, *, level="INFO", **fields):
    """Write one event to the log.

    Parameters
    ----------
    name : str
        The event, ``subject.what_happened``.
    level : str
        A loguru level.
    **fields : object
        Values of the event; none may be a secret.
    """
    pairs = format_fields(fields)
    # The line is an argument, so that braces in a value are not format fields.
    logger.log(level, "{}", f"event={name} {pairs}" if pairs else f"event={name}")


def configure_logs(*, level="INFO", sink=sys.stderr):
    """Send the log to ``sink``, one line per event."""
    logger.remove()
    logger.add(
        sink,
        level=level,
        format="time={time:YYYY-MM-DDTHH:mm:ss.SSSSSSZ} level={level} {message}",
    )
