"""Responses that are kept until they are complete, and forwarded then."""

from savoryhill.core.silence import answer_timeout_s
from savoryhill.serving.http import MAX_BUFFERED_BYTES


class WholeAnswer:
    """Forwards the response of one request once it is complete.

    A repeat of the request begins anew, so that its client has seen nothing of the
    earlier runs.
    """

    max_buffered_bytes = MAX_BUFFERED_BYTES
    last_id = None
    has_started = False
    written_s = 0.0

    def __init__(self, *, request, response):
        self._request = request
        self._response = response
        self._context = request.context
        self._silent_since = 0.0
        self._suspicious_s = 0.0

    def begin_run(self, *, started_at, usual_s):
        """Prepare for the response of another run.

        Parameters
        ----------
        started_at : float
            When the endpoint was chosen.
        usual_s : float
            Seconds that the response usually takes.
        """
        self._silent_since = started_at
        self._suspicious_s = answer_timeout_s(
            usual_s=usual_s, time_left_s=self._request.deadline_at - started_at
        )

    def forward(self, run, question):
        """Receive the response; return None if it is a success, else the failure.

        A response whose body arrives is not silent.

        Parameters
        ----------
        run : EndpointRun
            The run, whose request has been sent.
        question : RepeatQuestion
            Asks for a repeat while the run is silent, which then ends it.

        Raises
        ------
        OSError, MalformedMessageError
            If the connection broke, or carries no valid response.
        """
        reader = run.reader
        n_bytes = 0
        while True:
            silence = (self._silent_since, self._suspicious_s)
            is_granted = question.poll(*silence)
            failure = run.receive(question.max_wait_s(*silence))
            if failure is not None:
                return failure
            if reader.complete:
                break
            if not run.is_open:
                return run.end_within_answer("closed within the answer")
            if reader.n_buffered_bytes > n_bytes:
                n_bytes = reader.n_buffered_bytes
                self._silent_since = self._context.clock.monotonic()
                question.withdraw()
            elif is_granted:
                return run.end_silent("endpoint is silent")
        run.end_reception()
        if not self._is_success(reader):
            return self._request.classify_failure(reader, run.endpoint)
        run.note_sign_of_life(self._context.clock.monotonic())
        question.withdraw()
        return None

    def _is_success(self, reader):
        return reader.head.status < 300 and self._request.is_valid(reader.head)

    def is_taken_up(self, run):
        """Tell whether a run beside the present one has been answered.

        Returns
        -------
        bool or SendFailure
            The failure of a run that can't go on.
        """
        reader = run.reader
        if not reader.complete:
            if run.is_open:
                return False
            return run.end_within_answer("closed within the answer")
        if not self._is_success(reader):
            return self._request.classify_failure(reader, run.endpoint)
        return True

    def finish(self, run):
        """Write the response of a successful run to the client."""
        reader = run.reader
        self._response.write_response(reader.head, reader.take_body(), run.endpoint.id)
