"""Messages between an operator's command line and the nodes.

The command line is no member of the deployment. Its name holds the address at which
it waits for answers, so that a node can answer without knowing it.
"""

_PREFIX = "operator@"


def operator_name(address):
    """Return the sender name of a command line that listens on ``ip:port``."""
    return f"{_PREFIX}{address}"


def operator_address(name):
    """Return ``ip:port`` of a command line's name, None for that of a node."""
    return name.removeprefix(_PREFIX) if name.startswith(_PREFIX) else None
