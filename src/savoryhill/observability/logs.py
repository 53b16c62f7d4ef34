"""Structured logging: one line of key=value pairs per event."""

import sys

from loguru import logger

from savoryhill.observability.fields import format_fields


def log_event(name, *, level="INFO", **fields):
    """Write one event to the log.

    Parameters
    ----------
    name : str
        Name of the event, ``subject.what_happened``.
    level : str
        A loguru level.
    **fields : object
        Fields of the event; none may hold a secret.
    """
    pairs = format_fields(fields)
    # The line is passed as an argument, because braces in a value would be read as
    # format fields in the message.
    logger.log(level, "{}", f"event={name} {pairs}" if pairs else f"event={name}")


def configure_logs(*, level="INFO", sink=sys.stderr):
    """Send the log to ``sink``, one line per event."""
    logger.remove()
    logger.add(
        sink,
        level=level,
        format="time={time:YYYY-MM-DDTHH:mm:ss.SSSSSSZ} level={level} {message}",
    )
