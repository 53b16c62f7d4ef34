"""Responses that are kept until they are complete, and forwarded then."""

from savoryhill.serving.http import MAX_BUFFERED_BYTES

# A request that may be repeated is sent to another endpoint if its response takes
# longer than this multiple of the usual time, and longer than a sound endpoint may be
# silent, if that much time is left for the repeat.
RESPONSE_TIMEOUT_FACTOR = 2.0
MIN_RESPONSE_TIMEOUT_S = 1.4


class WholeAnswer:
    """Forwards the response of one request once it is complete.

    A repeat of the request begins anew, so that its client has seen nothing of the
    earlier runs.
    """

    max_buffered_bytes = MAX_BUFFERED_BYTES
    last_id = None
    has_started = False

    def __init__(self, *, request, response, history):
        self._request = request
        self._response = response
        self._history = history
        self._times_out_at = 0.0

    def begin_run(self, *, started_at, usual_s):
        """Prepare for the response of another run.

        Parameters
        ----------
        started_at : float
            When the endpoint was chosen.
        usual_s : float
            Seconds that the response usually takes.
        """
        request = self._request
        self._times_out_at = request.deadline_at
        if not self._history.may_send():
            return
        patient_s = RESPONSE_TIMEOUT_FACTOR * usual_s
        time_left_s = request.deadline_at - started_at
        silence_s = min(MIN_RESPONSE_TIMEOUT_S, time_left_s - patient_s)
        times_out_at = started_at + max(patient_s, silence_s)
        self._times_out_at = min(request.deadline_at, times_out_at)

    def forward(self, run):
        """Receive the response; return None if it is a success, else the failure.

        Raises
        ------
        OSError, MalformedMessageError
            If the connection broke, or carries no valid response.
        """
        reader = run.reader
        while not reader.complete:
            failure = run.receive(self._times_out_at)
            if failure is not None:
                return failure
            if not run.is_open and not reader.complete:
                return run.end_within_answer("closed within the answer")
        run.end_reception()
        if reader.head.status >= 300 or not self._request.is_valid(reader.head):
            return self._request.classify_failure(reader, run.endpoint)
        return None

    def finish(self, run):
        """Write the response of a successful run to the client."""
        reader = run.reader
        self._response.write_response(reader.head, reader.take_body(), run.endpoint.id)
