"""HTTP requests that are sent at most once.

geventhttpclient 2.6.1 resends GET, PUT and DELETE when the connection closes before the
response. A resent transaction that had already taken effect is answered as a failed
comparison, and a resent service call runs twice. The client built here provides one
connection per request, so a resend raises an error instead.
"""

from dataclasses import dataclass, field

import gevent
from geventhttpclient import HTTPClient

from savoryhill.errors import NotConnectedError, ResendPreventedError


@dataclass(kw_only=True)
class SendOnceClient:
    """An HTTP client that gives each request a single connection.

    ``senders`` holds the greenlets whose current request was given its connection.
    """

    http: HTTPClient
    address: str
    senders: set = field(default_factory=set)
    n_resends_prevented: int = 0


def make_send_once_client(address, *, connect_timeout_s, timeout_s, concurrency=1):
    """Build a client that sends each request at most once.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    connect_timeout_s, timeout_s : float
        Limits on connecting and on each read.
    concurrency : int
        Number of requests that may run at the same time.

    Returns
    -------
    SendOnceClient
        The client; no connection is opened before the first request.
    """
    host, port = address.rsplit(":", 1)
    http = HTTPClient(
        host,
        int(port),
        concurrency=concurrency,
        connection_timeout=connect_timeout_s,
        network_timeout=timeout_s,
    )
    client = SendOnceClient(http=http, address=address)
    pool = http._connection_pool
    get_pooled_socket = pool.get_socket

    def get_socket():
        sender = gevent.getcurrent()
        if sender in client.senders:
            client.n_resends_prevented += 1
            raise ResendPreventedError(
                f"connection to {address} closed before the answer was complete"
            )
        try:
            sock = get_pooled_socket()
        except Exception as error:
            raise NotConnectedError(f"{address}: {error!r}") from error
        client.senders.add(sender)
        return sock

    pool.get_socket = get_socket
    return client


def request_once(client, method, path, *, body=b"", headers=None):
    """Send a request at most once and read its whole response.

    Returns
    -------
    tuple of (int, dict of str to str, bytes)
        Status, headers with lower-case names, and body of the response.

    Raises
    ------
    NotConnectedError
        If no connection was made, so nothing was sent.
    Exception
        On any other error; the request may have been received.
    """
    sender = gevent.getcurrent()
    client.senders.discard(sender)
    try:
        response = client.http.request(method, path, body=body, headers=headers)
        content = bytes(response.read())
        received = {name.lower(): value for name, value in response.items()}
        return response.status_code, received, content
    finally:
        client.senders.discard(sender)
