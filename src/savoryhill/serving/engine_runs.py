"""Runs of one generation on engines: how they are sent, and how they end."""

from savoryhill.serving.endpoint_run import EndpointRun
from savoryhill.serving.served_request import SendFailure


class EngineRuns:
    """Sends the prepared runs of one generation.

    Parameters
    ----------
    request : ServedRequest
        The request.
    history : AttemptHistory
        Its sends so far.
    check : CrashCheck
        Learns whether engines end under the request.
    forwarder : StreamForwarder
        Knows after which event a run goes on.
    """

    def __init__(self, *, request, history, check, forwarder):
        self._request = request
        self._history = history
        self._check = check
        self._forwarder = forwarder

    def begin(self, prepared):
        """Count a run that is about to be sent, and return it."""
        prepared.run = EndpointRun(
            request=self._request,
            endpoint=prepared.endpoint,
            connection=prepared.connection,
            history=self._history,
            check=self._check,
        )
        return prepared.run

    def send(self, prepared):
        """Send the request of a run.

        Raises
        ------
        OSError
            If the connection broke; the engine may have received the request.
        """
        self._request.send(
            prepared.connection,
            prepared.endpoint,
            helpers=prepared.helpers,
            last_event_id=self._forwarder.last_id,
        )

    def settle(self, prepared, failure):
        """Count a failed run; return its failure with what it turned out to be."""
        lost = prepared.reservations.lost
        if lost is not None:
            self._check.note_ended(prepared.run)
            return SendFailure(
                cause=f"memory was lost: {lost.cause}",
                may_have_run=True,
                was_aborted=True,
                endpoint=lost.endpoint_id,
            )
        failure = prepared.run.settle(failure)
        if failure.may_have_run:
            return failure
        return _with_endpoint_id(failure, prepared.endpoints)


def _with_endpoint_id(failure, endpoints):
    """Return a refusal with the faulty endpoint's address replaced by its id."""
    ids_by_address = {endpoint.address: endpoint.id for endpoint in endpoints}
    if failure.endpoint not in ids_by_address:
        return failure
    return SendFailure(
        cause=failure.cause,
        may_have_run=False,
        is_full=failure.is_full,
        endpoint=ids_by_address[failure.endpoint],
    )
