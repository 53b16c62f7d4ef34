"""Check that the helpers of a prompt can be reached, before it is sent.

Load pattern: engines end, or an availability zone is lost, while long prompts arrive.
An engine that waits for a helper which is gone does nothing else for a second or more,
so that all streams on it stand still, and only then says which helper it was.
"""

import gevent

from savoryhill.errors import NotConnectedError, WayLostError


def find_unreached(helpers, *, connect):
    """Return the helpers that accept no connection.

    One to which this node alone may have lost its way is not among them.

    Parameters
    ----------
    helpers : sequence of Endpoint
        The helpers, which are tried at the same time.
    connect : callable
        ``connect(endpoint)`` opens a connection to one.

    Returns
    -------
    list of (Endpoint, NotConnectedError)
    """
    checks = [gevent.spawn(_connect_error, helper, connect) for helper in helpers]
    gevent.joinall(checks)
    errors = [check.get() for check in checks]
    return [
        (helper, error)
        for helper, error in zip(helpers, errors, strict=True)
        if error is not None
    ]


def _connect_error(helper, connect):
    try:
        connect(helper).close()
    except WayLostError:
        return None
    except NotConnectedError as error:
        return error
    return None
