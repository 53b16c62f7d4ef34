"""Client of the platform's host list."""

import json

from geventhttpclient import HTTPClient

from savoryhill.errors import PlatformUnreachableError


def read_hosts(address, *, timeout_s=2.0):
    """Read the platform's list of hosts.

    Parameters
    ----------
    address : str
        ``ip:port`` of the host list service.
    timeout_s : float
        Limit for connecting and for each read, separately.

    Returns
    -------
    tuple of (dict of str to str, frozenset of str)
        Peer addresses by node name, and the names of the nodes that are leaving.

    Raises
    ------
    PlatformUnreachableError
        If the list could not be read.
    """
    host, port = address.rsplit(":", 1)
    http = HTTPClient(
        host, int(port), connection_timeout=timeout_s, network_timeout=timeout_s
    )
    try:
        hosts = json.loads(http.get("/hosts").read())["hosts"]
    except Exception as error:
        raise PlatformUnreachableError(
            f"host list at {address} cannot be read: {error!r}"
        ) from error
    finally:
        http.close()
    addresses_by_node = {entry["node"]: entry["address"] for entry in hosts}
    leaving = frozenset(
        entry["node"] for entry in hosts if entry.get("state") == "leaving"
    )
    return addresses_by_node, leaving
