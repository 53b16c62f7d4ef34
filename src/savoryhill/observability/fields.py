"""Formats the fields of an event as ``key=value`` pairs.

Kept apart from the logger, which a serving node does not use and whose import would
take a tenth of its startup time.
"""

import json

_SECRET_NAMES = frozenset(
    ("authorization", "bearer", "cluster_key", "admin_key", "key", "secret", "token")
)


def without_secrets(fields):
    """Return the fields of an event except those that may hold a secret."""
    return {name: value for name, value in fields.items() if name not in _SECRET_NAMES}


def _format_value(value):
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if text == "" or any(char in ' ="' or not char.isprintable() for char in text):
        return json.dumps(text)
    return text


def format_fields(fields):
    """Format fields as ``key=value`` pairs, except those that may hold a secret."""
    return " ".join(
        f"{key}={_format_value(value)}"
        for key, value in without_secrets(fields).items()
    )
