"""HTTP calls of the command line to several nodes."""

import gevent
from geventhttpclient import HTTPClient

from savoryhill.errors import SavoryhillError

TIMEOUT_S = 5.0


class NodeCallError(SavoryhillError):
    """A node did not answer a call as expected."""


def fetch(address, path, *, headers=None):
    """Return the status and the body of a node's answer.

    Parameters
    ----------
    address : str
        ``ip:port`` of the node.
    path : str
        What to get.
    headers : dict of str to str, optional
        Headers of the request.

    Returns
    -------
    tuple of (int, bytes)
        Status and body.

    Raises
    ------
    NodeCallError
        If there is no answer.
    """
    host, port = address.rsplit(":", 1)
    http = HTTPClient(
        host, int(port), connection_timeout=TIMEOUT_S, network_timeout=TIMEOUT_S
    )
    try:
        response = http.get(path, headers=headers or {})
        return response.status_code, response.read()
    except Exception as error:
        raise NodeCallError(f"no answer: {error!r}") from error
    finally:
        http.close()


def ask_all(addresses, ask):
    """Call ``ask(address)`` for all nodes at once.

    Returns
    -------
    tuple of (dict, dict)
        Answers and error messages by address.
    """
    jobs = {address: gevent.spawn(ask, address) for address in addresses}
    answers_by_address, errors_by_address = {}, {}
    for address, job in jobs.items():
        try:
            answers_by_address[address] = job.get()
        except NodeCallError as error:
            errors_by_address[address] = str(error)
    return answers_by_address, errors_by_address
