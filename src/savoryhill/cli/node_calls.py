"""HTTP calls from the command line to nodes."""

import gevent
from geventhttpclient import HTTPClient

from savoryhill.errors import SavoryhillError

TIMEOUT_S = 5.0


class NodeCallError(SavoryhillError):
    """A node did not answer a call as expected."""


def fetch(address, path, *, headers=None):
    """Send a GET request to a node and return status and body of the response.

    Parameters
    ----------
    address : str
        ``ip:port`` of the node.
    path : str
        Path and query of the request.
    headers : dict of str to str, optional
        Headers of the request.

    Returns
    -------
    tuple of (int, bytes)
        Status code and body.

    Raises
    ------
    NodeCallError
        If there is no response.
    """
    host, port = address.rsplit(":", 1)
    client = HTTPClient(
        host, int(port), connection_timeout=TIMEOUT_S, network_timeout=TIMEOUT_S
    )
    try:
        response = client.get(path, headers=headers or {})
        return response.status_code, response.read()
    except Exception as error:
        raise NodeCallError(f"no answer: {error!r}") from error
    finally:
        client.close()


def call_all(addresses, call):
    """Run ``call(address)`` concurrently for all nodes.

    Returns
    -------
    tuple of (dict, dict)
        Return values and error messages, each by address.
    """
    greenlets = {address: gevent.spawn(call, address) for address in addresses}
    responses_by_address, errors_by_address = {}, {}
    for address, greenlet in greenlets.items():
        try:
            responses_by_address[address] = greenlet.get()
        except NodeCallError as error:
            errors_by_address[address] = str(error)
    return responses_by_address, errors_by_address
