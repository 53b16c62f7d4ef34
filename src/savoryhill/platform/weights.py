"""Client of the platform's weight store."""

from urllib.parse import quote

from geventhttpclient import HTTPClient

from savoryhill.errors import PlatformUnreachableError

CALL_TIMEOUT_S = 2.0


def weights_name(model, version):
    """Return the name of a version of a model in the weight store."""
    return f"{model}:{version}"


def has_weights(address, name):
    """Tell whether the weight store holds weights, without loading them.

    Parameters
    ----------
    address : str
        ``ip:port`` of the weight store.
    name : str
        See `weights_name`.

    Returns
    -------
    bool
        Whether the weights exist.

    Raises
    ------
    PlatformUnreachableError
        If the store did not answer, or answered with a status other than 200 or 404,
        as it does for calls over its rate limit.
    """
    host, port = address.rsplit(":", 1)
    http = HTTPClient(
        host,
        int(port),
        connection_timeout=CALL_TIMEOUT_S,
        network_timeout=CALL_TIMEOUT_S,
    )
    try:
        response = http.request("HEAD", f"/weights/{quote(name, safe='')}")
        status = response.status_code
    except Exception as error:
        raise PlatformUnreachableError(
            f"weight store at {address}: {error!r}"
        ) from error
    finally:
        http.close()
    if status not in (200, 404):
        raise PlatformUnreachableError(f"weight store at {address} answered {status}")
    return status == 200
