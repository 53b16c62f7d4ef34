"""Structured logs: one line of key=value pairs for each event."""

import sys

from loguru import logger

from savoryhill.observability.fields import format_fields


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
