"""Structured logs: one line of key=value pairs for each event."""

import json
import sys

from loguru import logger


def _format_value(value):
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if text == "" or any(char in text for char in ' ="\n'):
        return json.dumps(text)
    return text


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
    pairs = " ".join(f"{key}={_format_value(value)}" for key, value in fields.items())
    logger.log(level, f"event={name} {pairs}" if pairs else f"event={name}")


def configure_logs(*, level="INFO", sink=sys.stderr):
    """Send the log to ``sink``, one line per event."""
    logger.remove()
    logger.add(
        sink,
        level=level,
        format="time={time:YYYY-MM-DDTHH:mm:ss.SSSSSSZ} level={level} {message}",
    )
