"""Names under which the operator's command line exchanges messages with nodes.

The command line is not a member of the deployment. Its name contains the address at
which it waits for replies, so that a node can reply without any other information
about it.
"""

_PREFIX = "operator@"


def operator_name(address):
    """Return the sender name of a command line that listens on ``ip:port``."""
    return f"{_PREFIX}{address}"


def operator_address(name):
    """Return ``ip:port`` from a command line's name, or None for the name of a node."""
    return name.removeprefix(_PREFIX) if name.startswith(_PREFIX) else None
