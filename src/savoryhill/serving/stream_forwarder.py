"""Forwarding of one stream to its client, over all runs that it takes."""

from savoryhill.serving.event_splitter import EventSplitter

# Limit of the body of a failure; the body of a stream is forwarded as it arrives.
MAX_BUFFERED_STREAM_BYTES = 262_144
# The first event times out after this constant plus a multiple of the predicted time.
# A sound engine may be silent for a second or a little more.
FIRST_EVENT_TIMEOUT_FACTOR = 2.0
FIRST_EVENT_TIMEOUT_S = 1.4
# Later events time out after this multiple of the gap that the route allows.
GAP_TIMEOUT_FACTOR = 4.0
MIN_GAP_TIMEOUT_S = 1.4
# How long clients wait for the next event: the longest of a constant, a multiple of the
# latency objective and a multiple of the gap that the route allows.
MIN_PATIENCE_S = 2.0
LATENCY_PATIENCE_FACTOR = 4.0
GAP_PATIENCE_FACTOR = 8.0


def first_event_timeout_s(predicted_first_s):
    """Return the seconds after which a run without a first event is suspicious."""
    return FIRST_EVENT_TIMEOUT_S + FIRST_EVENT_TIMEOUT_FACTOR * predicted_first_s


class StreamForwarder:
    """Forwards the events of one request, run after run.

    A run that follows another one goes on after the last event that was forwarded,
    whose id is ``last_id``. ``has_started`` tells whether the present run has had an
    event with data.
    """

    max_buffered_bytes = MAX_BUFFERED_STREAM_BYTES

    def __init__(self, *, request, response, history, check):
        self._request = request
        self._response = response
        self._history = history
        self._check = check
        self._context = request.context
        self._splitter = EventSplitter(
            last_id=request.metadata.last_event_id
            if request.route.is_resumable_stream
            else None
        )
        self._on_start = None
        self._usual_s = 0.0
        self._suspicious_s = 0.0
        self._silent_since = 0.0
        self.has_started = False

    @property
    def last_id(self):
        """Return the id of the last event that was forwarded, or None."""
        return self._splitter.last_id

    def begin_run(self, *, started_at, usual_s, on_start=None):
        """Prepare for the events of another run.

        Parameters
        ----------
        started_at : float
            When the run began.
        usual_s : float
            Predicted seconds until its first event.
        on_start : callable or None
            Called without arguments at its first event.
        """
        self._splitter.begin_run()
        self._on_start = on_start
        self._usual_s = usual_s
        self._suspicious_s = first_event_timeout_s(usual_s)
        self._silent_since = started_at
        self.has_started = False

    def _silence_limit_s(self):
        """Return the seconds of silence after which the run is given up.

        A run that can be repeated elsewhere is given up once its silence is suspicious.
        Otherwise a slow engine is the only one that can serve the client, so the run
        lasts for as long as clients wait.

        Load pattern: an engine reads a long prompt again, while the node that forwards
        its stream is about to stop. No other engine could read it before the end.
        """
        suspicious_s = self._suspicious_s
        repeat_s = FIRST_EVENT_TIMEOUT_FACTOR * self._usual_s
        if self._history.may_send() and self._request.time_left_s() >= repeat_s:
            return suspicious_s
        route = self._request.route
        patience_s = max(
            MIN_PATIENCE_S,
            LATENCY_PATIENCE_FACTOR * route.target_latency_s,
            GAP_PATIENCE_FACTOR * route.max_gap_s,
        )
        return max(suspicious_s, patience_s)

    def forward(self, run):
        """Forward a run's events; return None if it was complete, else the failure.

        Parameters
        ----------
        run : EndpointRun
            The run, whose request has been sent.

        Raises
        ------
        OSError, MalformedMessageError
            If the connection broke, or carries no valid response.
        """
        request, reader = self._request, run.reader
        while True:
            failure = run.receive(self._silent_since + self._silence_limit_s())
            if failure is not None:
                return failure
            if reader.head is None:
                if not run.is_open:
                    return run.end_within_answer("closed without an answer")
                continue
            if reader.head.status != 200 or not request.is_valid(reader.head):
                if reader.complete or not run.is_open:
                    return request.classify_failure(reader, run.endpoint)
                continue
            if self._forward_events(run):
                self._note_event()
            if reader.complete:
                return self._find_missing_end(run)
            if not run.is_open:
                return run.end_within_answer("stream broke")

    def _note_event(self):
        """Measure the silence from now on, against the gap that the route allows."""
        self._silent_since = self._context.clock.monotonic()
        self._suspicious_s = max(
            MIN_GAP_TIMEOUT_S, self._request.route.max_gap_s * GAP_TIMEOUT_FACTOR
        )

    def _forward_events(self, run):
        """Forward the complete events received; return whether any carried data."""
        reader = run.reader
        n_with_data = self._splitter.n_with_data
        events = self._splitter.feed(reader.take_body())
        run.n_partial_bytes = self._splitter.n_partial_bytes
        if not events:
            return False
        if self._splitter.has_unnumbered:
            # Another run would send its events again.
            self._history.may_repeat = False
        has_data = self._splitter.n_with_data > n_with_data
        if has_data and not self.has_started:
            self.has_started = True
            self._check.note_start()
            if self._on_start is not None:
                self._on_start()
            self._record_first_event(run.endpoint)
        self._response.write_events(reader.head, events)
        return has_data

    def _find_missing_end(self, run):
        """Return the failure of a stream that only looks complete, or None."""
        reader = run.reader
        if reader.is_close_delimited and not self.has_started:
            # An engine that ends as it begins to answer looks the same.
            return run.end_within_answer(
                "stream without a length ends before its first event"
            )
        if self._splitter.has_partial_event:
            return run.end_within_answer(
                "stream ends within an event",
                connection_ended=reader.is_close_delimited,
            )
        return None

    def finish(self, run):
        """End the stream to the client after a complete run."""
        self._response.finish_stream(run.reader.head, run.endpoint)

    def _record_first_event(self, endpoint):
        request = self._request
        after_s = self._context.clock.monotonic() - request.arrived_at
        self._context.observe("first_token_s", after_s, request.route)
        self._context.log(
            "stream.started",
            request=request.id,
            endpoint=endpoint.id,
            after_s=round(after_s, 4),
        )
