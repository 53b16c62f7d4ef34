"""One run of a request on an endpoint: its connection, and how it ends."""

from dataclasses import replace

import gevent

from savoryhill.errors import MalformedMessageError
from savoryhill.serving.served_request import (
    RECHECK_S,
    SendFailure,
    describe_break,
)


class EndpointRun:
    """A request that is about to be sent to an endpoint on a connection of its own.

    ``is_open`` tells whether the endpoint may still send something, ``is_answering``
    whether it has begun to, and ``sent_at`` when the request was sent. ``stop_cause``
    is why the run was ended, as the request proved to end endpoints, or None.
    ``n_partial_bytes`` tells how much is kept of its response besides what the reader
    holds, and ``waited_s`` for how many seconds the endpoint was waited for.

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
        self._is_ahead = False
        self._send = request.n_sends
        self._buffer = request.open_answer_buffer(endpoint, on_evict=self._drop)
        self.endpoint = endpoint
        self.connection = connection
        self.is_open = True
        self.is_answering = False
        self.stop_cause = None
        self.sent_at = request.context.clock.monotonic()
        self.n_partial_bytes = 0
        self.waited_s = 0.0
        history.n_runs += 1
        check.note_sent(self)

    @property
    def reader(self):
        """Return the reader of the response."""
        return self.connection.reader

    def receive_ahead(self):
        """Receive once; the next `receive` returns at once, with what has arrived.

        Returns and raises what `receive` does.
        """
        self._is_ahead = False
        failure = self.receive(RECHECK_S)
        self._is_ahead = True
        return failure

    def receive(self, max_wait_s):
        """Receive once; return the failure if the request's time is up, else None.

        Parameters
        ----------
        max_wait_s : float
            Seconds to wait if nothing arrives, above 0.

        Raises
        ------
        OSError, MalformedMessageError
            If the connection broke, or carries no valid response.
        """
        time_left_s = self._request.time_left_s()
        if time_left_s <= 0:
            return self.end_silent("deadline passed")
        if self._is_ahead:
            self._is_ahead = False
            return self._count_kept_bytes()
        began_at = self._context.clock.monotonic()
        try:
            self.is_open = self.connection.receive(
                timeout_s=min(max_wait_s, time_left_s)
            )
        except TimeoutError:
            pass
        except (OSError, MalformedMessageError):
            if not self._buffer.is_evicted:
                raise
        finally:
            self.waited_s += self._context.clock.monotonic() - began_at
            self._note_head()
        return self._count_kept_bytes()

    def _count_kept_bytes(self):
        """Return the failure of a response that is too large beside all others."""
        n_bytes = self.reader.n_buffered_bytes + self.n_partial_bytes
        self._context.answer_budget.resize(self._buffer, n_bytes)
        if not self._buffer.is_evicted:
            return None
        self.reader.take_body()
        limit_bytes = self._context.answer_budget.limit_bytes()
        return SendFailure(
            cause=f"all answers together exceed {limit_bytes} bytes, "
            "and this one is the largest of its endpoint",
            may_have_run=True,
            was_aborted=True,
            endpoint=self.endpoint.id,
        )

    def _drop(self):
        """Free the memory of the response at once, and end its connection."""
        self.reader.take_body()
        self.connection.abort()

    def end_reception(self):
        """Keep what has been received until the request ends, whatever else comes."""
        self._buffer.is_evictable = False

    def _note_head(self):
        """Take in what the endpoint says of itself, as soon as it has said it."""
        if self._is_head_noted or self.reader.head is None:
            return
        self._is_head_noted = True
        self._context.endpoint_statements.note_head(
            self.reader.head,
            self.endpoint,
            attempt_id=self._request.metadata.attempt_id,
            sent_at=self.sent_at,
        )

    def note_sign_of_life(self, now):
        """Record that the endpoint has sent an event or a complete answer."""
        self._context.signs_of_life.note(self.endpoint.incarnation, now)

    def end_silent(self, cause):
        """Return the failure of a run that is ended although it may go on."""
        return SendFailure(
            cause=cause,
            may_have_run=True,
            is_silent=True,
            send=self._send,
            endpoint=self.endpoint.id,
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
        """Count a failed run; return its failure with what it turned out to be.

        Finding out takes a moment if its connection ended. The failure counts even if
        the client leaves meanwhile.
        """
        if failure.connection_ended:
            return gevent.spawn(self._settle, failure).get()
        return self._settle(failure)

    def _settle(self, failure):
        failure = self._request.judge_end(failure, self.endpoint, self.connection)
        self._check.note_failure(self, failure)
        if failure.body:
            self.end_reception()
        else:
            self._context.answer_budget.close(self._buffer)
        if not failure.may_have_run:
            self._history.n_runs -= 1
            self._history.n_refused += 1
            return failure
        stop_cause = self.stop_cause or self._check.stop_cause
        return failure if stop_cause is None else replace(failure, cause=stop_cause)

    def drop(self):
        """Give up a run that is not needed any more, whatever has become of it."""
        self._check.note_ended(self)
        self._context.answer_budget.close(self._buffer)
        self._context.log(
            "request.repeat_dropped",
            request=self._request.id,
            endpoint=self.endpoint.id,
            send=self._send,
        )


def try_run(run, *, send, is_taken_up):
    """Send a run beside another one, and wait until its endpoint takes it up.

    Parameters
    ----------
    run : EndpointRun
        The run.
    send : callable
        Called without arguments; sends the request.
    is_taken_up : callable
        Called with the run when something may have arrived. Returns whether the
        endpoint has taken it up, or the failure.

    Returns
    -------
    SendFailure or None
        None if the endpoint has taken it up.
    """
    try:
        send()
        while True:
            failure = run.receive_ahead()
            if failure is not None:
                return failure
            outcome = is_taken_up(run)
            if outcome is True:
                return None
            if outcome is not False:
                return outcome
    except (OSError, MalformedMessageError) as error:
        return describe_break(error, run.endpoint)
