"""One run of a request on an endpoint: its connection, and how it ends."""

from dataclasses import replace

from savoryhill.serving.served_request import RECHECK_S, SendFailure


class EndpointRun:
    """A request that is about to be sent to an endpoint on a connection of its own.

    ``is_open`` tells whether the endpoint may still send something.

    Parameters
    ----------
    request : ServedRequest
        The request.
    endpoint : Endpoint
        The endpoint.
    connection : Connection
        The connection on which the request is sent.
    history : AttemptHistory
        The sends of the request; this one is counted as one that may run.
    check : CrashCheck
        Learns whether the endpoint ends under the request.
    """

    def __init__(self, *, request, endpoint, connection, history, check):
        self._request = request
        self._context = request.context
        self._history = history
        self._check = check
        self._is_head_noted = False
        self.endpoint = endpoint
        self.connection = connection
        self.is_open = True
        history.n_runs += 1
        check.note_sent(endpoint, connection)

    @property
    def reader(self):
        """Return the reader of the response."""
        return self.connection.reader

    def receive(self, times_out_at):
        """Receive once; return the failure if the run is to be given up, else None.

        Parameters
        ----------
        times_out_at : float
            When the run is given up if nothing arrives.

        Raises
        ------
        OSError, MalformedMessageError
            If the connection broke, or carries no valid response.
        """
        time_left_s = self._request.time_left_s()
        wait_s = min(times_out_at - self._context.clock.monotonic(), time_left_s)
        if wait_s <= 0:
            return SendFailure(
                cause="deadline passed" if time_left_s <= 0 else "endpoint is silent",
                may_have_run=True,
                is_silent=True,
                endpoint=self.endpoint.id,
            )
        try:
            self.is_open = self.connection.receive(timeout_s=min(wait_s, RECHECK_S))
        except TimeoutError:
            return None
        finally:
            self._note_head()
        return None

    def _note_head(self):
        """Take in what the endpoint says of itself, as soon as it has said it."""
        if self._is_head_noted or self.reader.head is None:
            return
        self._is_head_noted = True
        self._context.endpoint_statements.note_head(
            self.reader.head,
            self.endpoint,
            attempt_id=self._request.metadata.attempt_id,
            sent_at=self._check.sent_at,
        )

    def end_within_answer(self, cause, *, connection_ended=True):
        """Return the failure of a run whose response ended before it was complete."""
        return SendFailure(
            cause=cause,
            may_have_run=True,
            connection_ended=connection_ended,
            endpoint=self.endpoint.id,
        )

    def settle(self, failure):
        """Count a failed run; return its failure with what it turned out to be."""
        failure = self._request.judge_end(failure, self.endpoint, self.connection)
        self._check.note_failure(failure, self.endpoint)
        if not failure.may_have_run:
            self._history.n_runs -= 1
            self._history.n_refused += 1
        elif self._check.stop_cause is not None:
            return replace(failure, cause=self._check.stop_cause)
        return failure
