"""Build falcon resources from plain functions and serve them with gevent."""

from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer


class Resource:
    """Falcon resource; falcon looks up its responders ``on_<method>`` by name."""


def make_resource(state, **handlers_by_method):
    """Build a falcon resource.

    Parameters
    ----------
    state : object
        Passed to every handler as the first argument.
    **handlers_by_method : callable
        Handlers by method (``get``, ``post`` and so on). Each is called with the
        state, the request, the response and the parameters of the route.

    Returns
    -------
    Resource
        The resource to pass to ``falcon.App.add_route``.
    """

    def bind(handler):
        return lambda req, resp, **params: handler(state, req, resp, **params)

    resource = Resource()
    for method, handler in handlers_by_method.items():
        setattr(resource, f"on_{method}", bind(handler))
    return resource


def serve(application, address):
    """Start serving a WSGI application.

    Parameters
    ----------
    application : callable
        The WSGI application.
    address : str
        ``ip:port``; port 0 selects a free port.

    Returns
    -------
    tuple of (WSGIServer, str)
        The started server and the address it listens on.
    """
    host, port = address.rsplit(":", 1)
    # With a pool, stopping the server also ends the requests in progress.
    server = WSGIServer(
        (host, int(port)), application, log=None, error_log=None, spawn=Pool()
    )
    server.start()
    # gevent writes headers and body separately. Without TCP_NODELAY the second write
    # waits 40 ms for the peer's delayed acknowledgement. Accepted sockets inherit the
    # option from the listening socket.
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return server, f"{host}:{server.server_port}"
