"""Values of JSON that other writers have written, checked before they are used.

What passes fits the fields of the messages between nodes: numbers that a float holds
exactly, and texts that can be encoded.
"""

import json
from ipaddress import AddressValueError, IPv4Address

MAX_NUMBER = 2**53
MAX_PORT = 65_535


def decode_object(value):
    """Decode a JSON object, or return None if the bytes are none."""
    try:
        content = json.loads(value)
    except (ValueError, RecursionError):
        # The latter for values that are nested too deeply.
        return None
    return content if isinstance(content, dict) else None


def is_number(value):
    """Tell whether a value is a finite number of usual size."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return abs(value) <= MAX_NUMBER


def is_text(value):
    """Tell whether a value is a text that can be encoded."""
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_address(value):
    """Tell whether a value is an address of the form ``ip:port``."""
    if not is_text(value):
        return False
    host, _, port = value.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        return False
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return 0 < int(port) <= MAX_PORT


def read_number(item, name, default=None):
    """Return a field that is a number from 0 on; raise ValueError if it is none."""
    value = item.get(name, default)
    if not is_number(value) or value < 0:
        raise ValueError(f"{name}: expected a number from 0 on, got {value!r:.40}")
    return value


def read_text(item, name, default=None):
    """Return a field that is a text; raise ValueError if it is none."""
    value = item.get(name, default)
    if not is_text(value):
        raise ValueError(f"{name}: expected a text, got {value!r:.40}")
    return value


def decode_each(items, decode):
    """Decode the items of a list, and leave out those that cannot be read.

    Parameters
    ----------
    items : object
        The list; anything else counts as one item that cannot be read.
    decode : callable
        Takes an item that is an object; returns what it stands for, or raises
        ValueError, KeyError, TypeError or AttributeError.

    Returns
    -------
    tuple of (list, int)
        The decoded items, and the number of those left out.
    """
    if not isinstance(items, list):
        return [], 1
    decoded, n_unreadable = [], 0
    for item in items:
        try:
            if not isinstance(item, dict):
                raise TypeError(f"expected an object, got {item!r:.40}")
            decoded.append(decode(item))
        except (ValueError, KeyError, TypeError, AttributeError):
            n_unreadable += 1
    return decoded, n_unreadable
