"""The exception tree of the package."""


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
    """The call was sent but its answer was lost, so it may have taken effect."""


class StaleRevisionError(PlatformError):
    """The platform answered with an older revision than it had before."""


class WatchSilentError(PlatformError):
    """A watch delivered nothing for longer than its silence limit."""


class NotConnectedError(SavoryhillError):
    """No connection could be made, so nothing was sent."""


class ResendPreventedError(SavoryhillError):
    """An HTTP client was about to send a request a second time."""


class EndpointError(SavoryhillError):
    """A call to an endpoint failed."""


class NotSentError(EndpointError):
    """The endpoint provably did not receive the call."""


class EndpointRefusedError(EndpointError):
    """The endpoint refused the call before running it."""


class BrokenStreamError(EndpointError):
    """A stream broke, fell silent or carried unexpected content."""


class SilentStreamError(EndpointError):
    """A stream carried no content for longer than its limit."""


class JournalFormatError(SavoryhillError):
    """A stored journal batch or segment cannot be decoded."""


class PeerError(SavoryhillError):
    """A message between nodes could not be sent, decoded or authenticated."""


class MalformedMessageError(SavoryhillError):
    """Bytes on a connection are no message of the protocol."""


class StoreRefusedError(PlatformError):
    """The store refused a call without executing it.

    ``status`` is the status of the answer.
    """

    def __init__(self, message, *, status):
        super().__init__(message)
        self.status = status


class HistoryLostError(PlatformError):
    """The store no longer holds the history that a watch asked for."""


class ClientDisconnectedError(SavoryhillError):
    """The client closed its connection before its answer was complete."""
