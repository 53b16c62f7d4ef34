"""Exception hierarchy of the package."""


class SavoryhillError(Exception):
    """Base class of every error raised by savoryhill."""


class SettingsError(SavoryhillError):
    """The settings of a process are missing or invalid."""


class ConfigurationError(SavoryhillError):
    """A questionnaire or a generated configuration is invalid."""


class PlatformError(SavoryhillError):
    """A call to a platform service failed."""


class PlatformUnreachableError(PlatformError):
    """The platform service was not reached, so the call had no effect."""


class OutcomeUnknownError(PlatformError):
    """The outcome of a call is not known; it may have taken effect."""


class StaleRevisionError(PlatformError):
    """The platform answered with a lower revision than in an earlier response."""


class WatchSilentError(PlatformError):
    """A watch received nothing for longer than its silence limit."""


class NotConnectedError(SavoryhillError):
    """No connection could be made, so nothing was sent."""


class WayLostError(NotConnectedError):
    """No connection could be made, and nothing shows that the endpoint is at fault."""


class RelayLostError(SavoryhillError, OSError):
    """The node that relayed a connection ended it; the request may have run."""


class ResendPreventedError(SavoryhillError):
    """An attempt of the HTTP client to send a request again was prevented."""


class EndpointError(SavoryhillError):
    """A call to an endpoint failed."""


class NotSentError(EndpointError):
    """The endpoint provably did not receive the call."""


class EndpointRefusedError(EndpointError):
    """The endpoint refused the call before running it."""


class BrokenStreamError(EndpointError):
    """A stream or response was cut off, timed out or had unexpected content."""


class SilentStreamError(EndpointError):
    """A stream carried no content for longer than its limit."""


class JournalFormatError(SavoryhillError):
    """A stored journal batch or segment cannot be decoded."""


class PeerError(SavoryhillError):
    """A message between nodes cannot be sent, decoded or authenticated."""


class MalformedMessageError(SavoryhillError):
    """Bytes received on a connection are not a valid message of the protocol."""


class StoreRefusedError(PlatformError):
    """The store refused a call.

    ``status`` is the HTTP status of the response.
    """

    def __init__(self, message, *, status):
        super().__init__(message)
        self.status = status


class HistoryLostError(PlatformError):
    """The store no longer holds the changes that a watch requested."""


class ClientDisconnectedError(SavoryhillError):
    """The client closed its connection before the response was complete."""
