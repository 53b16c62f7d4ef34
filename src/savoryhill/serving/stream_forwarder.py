"""Forwarding of one stream to its client, over all runs that it takes."""

import math

from savoryhill.core.silence import first_event_timeout_s, gap_timeout_s
from savoryhill.serving.event_splitter import EventSplitter

# Limit of the body of a failure; the body of a stream is forwarded as it arrives.
MAX_BUFFERED_STREAM_BYTES = 262_144
EVENT_STREAM = b"text/event-stream"
# An endpoint that ends as it begins to answer has not written events for so long.
PARTS_BORNE_S = 2.0


class StreamForwarder:
    """Forwards the events of one request, run after run.

    A run that follows another one goes on after the last event that was forwarded,
    whose id is ``last_id``. ``has_started`` tells whether the present run has had an
    event with data, and ``written_s`` for how many seconds events have been written, in
    all runs.
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
        self._suspicious_s = 0.0
        self._silent_since = 0.0
        self._has_written = False
        self._first_event_waited_s = math.inf
        self.has_started = False
        self.written_s = 0.0

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
        self._suspicious_s = first_event_timeout_s(usual_s)
        self._silent_since = started_at
        self._has_written = self.has_started = False
        self._first_event_waited_s = math.inf

    def forward(self, run, question):
        """Forward a run's events; return None if it was complete, else the failure.

        A silent run goes on until a repeat is granted or the deadline has passed. How
        long its client waits is the client's to decide, who closes the connection.

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
        request, reader = self._request, run.reader
        while True:
            silence = (self._silent_since, self._suspicious_s)
            is_granted = question.poll(*silence)
            failure = run.receive(question.max_wait_s(*silence))
            if failure is not None:
                return failure
            if reader.head is None:
                if not run.is_open:
                    return run.end_within_answer("closed without an answer")
            elif reader.head.status != 200 or not request.is_valid(reader.head):
                if reader.complete or not run.is_open:
                    return request.classify_failure(reader, run.endpoint)
            else:
                if self._forward_events(run):
                    self._note_event(run)
                    question.withdraw()
                    is_granted = False
                if reader.complete:
                    return self._find_missing_end(run)
                if not run.is_open:
                    return run.end_within_answer("stream broke")
            if is_granted:
                return run.end_silent("endpoint is silent")

    def is_taken_up(self, run):
        """Tell whether a run beside the present one has had an event to forward.

        Returns
        -------
        bool or SendFailure
            The failure of a run that can't go on.
        """
        request, reader = self._request, run.reader
        if reader.head is None:
            if run.is_open:
                return False
            return run.end_within_answer("closed without an answer")
        if reader.head.status != 200 or not request.is_valid(reader.head):
            if reader.complete or not run.is_open:
                return request.classify_failure(reader, run.endpoint)
            return False
        if self._has_begun(reader):
            return True
        if reader.complete or not run.is_open:
            return run.end_within_answer("stream ends before its first event")
        return False

    def _has_begun(self, reader):
        """Tell whether what has arrived of another run is to be forwarded."""
        if is_document(reader.head):
            return bool(reader.n_buffered_bytes)
        splitter = EventSplitter(last_id=self.last_id)
        splitter.feed(b"".join(reader.body))
        return splitter.n_with_data > 0

    def _note_event(self, run):
        """Measure the silence from now on, against the gap that the route allows."""
        now = self._context.clock.monotonic()
        if self._has_written:
            self.written_s += min(
                now - self._silent_since, self._request.route.max_gap_s
            )
        self._has_written = True
        self._silent_since = self._request.heard_at = now
        self._request.last_denial = ""
        self._suspicious_s = gap_timeout_s(self._request.route.max_gap_s)
        run.note_sign_of_life(now)
        # Not by the clock: while the client did not read, the endpoint may have ended.
        if run.waited_s - self._first_event_waited_s >= PARTS_BORNE_S:
            self._first_event_waited_s = math.inf
            self._check.note_parts_borne(run)

    def _forward_events(self, run):
        """Forward the complete events received; return whether any carried data."""
        reader = run.reader
        n_with_data = self._splitter.n_with_data
        events = self._splitter.feed(reader.take_body())
        run.n_partial_bytes = self._splitter.n_partial_bytes
        if not events:
            return False
        if self._splitter.has_unnumbered or is_document(reader.head):
            # Another run would send its events again.
            self._history.may_repeat = False
        has_data = self._splitter.n_with_data > n_with_data
        if has_data and not self.has_started:
            self.has_started = True
            self._first_event_waited_s = run.waited_s
            self._check.note_start(run)
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
        is_whole_document = is_document(reader.head) and not reader.is_close_delimited
        if self._splitter.has_partial_event and is_whole_document:
            self._response.write_events(reader.head, [self._splitter.take_rest()])
        elif self._splitter.has_partial_event:
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


def is_document(head):
    """Tell whether a response says that it is no event stream.

    A service may answer a request for a stream with a document. Its end is known from
    its length or chunks only, not from the end of an event.
    """
    content_type = head.header(b"content-type")
    if content_type is None:
        return False
    media_type = content_type.partition(b";")[0].strip().lower()
    return media_type != EVENT_STREAM
