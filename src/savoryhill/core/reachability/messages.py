"""Messages with which a node asks another one to relay a connection."""

from dataclasses import dataclass

# Outcomes of a request to relay. With all but the first, nothing has been sent to the
# endpoint.
CONNECTED = "connected"
UNREACHABLE = "unreachable"
NO_WAY = "no_way"
NOT_USABLE = "not_usable"
BUSY = "busy"
STOPPING = "stopping"


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayRequest:
    """Request of the node ``node`` for a connection to an endpoint.

    ``endpoint`` names the endpoint with its start. ``request`` is the id of the
    client's request, for the log, and ``remaining_s`` how long the connection may last.
    ``is_order`` tells that an order is sent, not a client's request.
    """

    node: str
    request: str
    endpoint: str
    remaining_s: float
    is_order: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayReply:
    """Outcome of a request to relay, one of the constants of this module.

    ``has_way`` tells whether the relay itself reaches other endpoints, so that one that
    it does not reach is at fault.
    """

    outcome: str
    has_way: bool
