"""Writing the response of one request to its client, and logging its outcome."""

from savoryhill.errors import ClientDisconnectedError
from savoryhill.platform import headers as platform_headers
from savoryhill.serving.http import LAST_CHUNK, encode_chunk, encode_head
from savoryhill.serving.model import STREAM

RETRY_AFTER_S = 0.5
# Writes may take this long even after the client's deadline, for slow readers.
MIN_WRITE_TIMEOUT_S = 0.05
# Smaller bodies are written together with their head, without a packet of their own.
MAX_JOINED_BYTES = 65_536


class ResponseWriter:
    """Writes the response of a request to its client.

    Parameters
    ----------
    context : NodeContext
        State shared by the requests of the node.
    sock : socket
        Connection to the client.
    request : ServedRequest
        The request.
    keep_alive : bool
        Whether the client wants to keep the connection open.
    is_followed : callable
        Tells whether another request has arrived on the connection. It is answered,
        also while the node stops.
    """

    def __init__(self, *, context, sock, request, keep_alive, is_followed):
        self._context = context
        self._sock = sock
        self._request = request
        self._is_followed = is_followed
        self.keep_alive = keep_alive
        self.is_head_sent = False
        self._is_outcome_recorded = False
        self._is_incomplete_recorded = False

    def write_events(self, head, events):
        """Write complete events, preceded by the response head on the first call."""
        data = encode_chunk(b"".join(events)) if events else b""
        if not self.is_head_sent:
            headers = platform_headers.returned_headers(head)
            headers.append((b"transfer-encoding", b"chunked"))
            self._add_connection_header(headers)
            data = encode_head(200, headers) + data
            self.is_head_sent = True
        self._write(data)

    def finish_stream(self, head, endpoint):
        """End a complete stream."""
        if not self.is_head_sent:
            self.write_events(head, [])
        self._write(LAST_CHUNK)
        self._record_outcome("answered", 200, endpoint.id)

    def write_response(self, head, body, endpoint_id, *, outcome="answered", cause=""):
        """Write the complete response of an endpoint."""
        headers = platform_headers.returned_headers(head)
        headers.append((b"content-length", str(len(body)).encode()))
        self._add_connection_header(headers)
        data = encode_head(head.status, headers)
        if len(body) <= MAX_JOINED_BYTES:
            self._write(data + body)
        else:
            self._write(data)
            self._write(body)
        self._record_outcome(outcome, head.status, endpoint_id, cause)

    def fail(self, failure, history, *, retry_after_s=RETRY_AFTER_S):
        """End a request that no endpoint served successfully.

        ``retry_after_s`` is None if no later try of the client would succeed.

        Raises
        ------
        ClientDisconnectedError
            If part of a stream was already sent; the connection must then be closed,
            so that the response does not look complete.
        """
        if self._is_stream() and (self.is_head_sent or history.n_runs):
            self._record_incomplete(failure.ended_by, failure.cause, failure.endpoint)
        if self.is_head_sent:
            self.keep_alive = False
            self._record_outcome(
                "broken_off", 200, failure.endpoint, cause=failure.cause
            )
            raise ClientDisconnectedError(
                f"stream aborted after part of it was sent: {failure.cause}"
            )
        if failure.head is not None:
            self.write_response(
                failure.head,
                failure.body,
                failure.endpoint,
                outcome="failed_by_endpoint",
                cause=failure.cause,
            )
            return
        is_late = self._context.clock.monotonic() >= self._request.deadline_at
        status = history.failure_status(is_late=is_late)
        self.refuse(status, failure.cause, retry_after_s=retry_after_s)

    def _is_stream(self):
        route = self._request.route
        return route is not None and route.kind == STREAM

    def record_disconnect(self, cause):
        """Log that the client left, or can't be written to, before its response ended.

        Nothing is logged if the outcome has been.
        """
        if self._is_outcome_recorded:
            return
        if self._is_stream() and self._request.was_sent:
            self._record_incomplete("client", cause, None)
        self._context.log("request.client_gone", request=self._request.id, cause=cause)

    def record_cut(self):
        """Log that the node ends before a stream does, which is cut then."""
        if (
            self._is_stream()
            and self._request.was_sent
            and not self._is_outcome_recorded
        ):
            self._record_incomplete("node", "the node has ended", None)

    def _record_incomplete(self, ended_by, cause, endpoint_id):
        """Log once why a stream has no end: who ended it, and what preceded."""
        if self._is_incomplete_recorded:
            return
        self._is_incomplete_recorded = True
        request, context = self._request, self._context
        silent_s = None
        if request.heard_at is not None:
            silent_s = round(context.clock.monotonic() - request.heard_at, 4)
        stopping_s = context.stopping_for_s()
        context.log(
            "stream.incomplete",
            request=request.id,
            ended_by=ended_by,
            cause=cause,
            endpoint=endpoint_id or "",
            silent_s=silent_s,
            no_repeat=request.last_denial,
            stopping_s=None if stopping_s is None else round(stopping_s, 4),
        )

    def refuse(self, status, cause, *, retry_after_s=RETRY_AFTER_S):
        """Write an error response of this node."""
        body = (cause + "\n").encode()
        headers = [
            (b"content-type", b"text/plain"),
            (b"content-length", str(len(body)).encode()),
            *platform_headers.attempt_id_headers(self._request.metadata),
        ]
        if status in (429, 503) and retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % retry_after_s))
        self._add_connection_header(headers)
        self._write(encode_head(status, headers) + body)
        self._record_outcome(
            "refused" if status == 503 else "failed", status, None, cause
        )

    def _add_connection_header(self, headers):
        if self._context.is_draining() and not self._is_followed():
            self.keep_alive = False
        if not self.keep_alive:
            headers.append((b"connection", b"close"))

    def _write(self, data):
        time_left_s = self._request.client_deadline_at - self._context.clock.monotonic()
        self._sock.settimeout(max(MIN_WRITE_TIMEOUT_S, time_left_s))
        try:
            self._sock.sendall(data)
        except OSError as error:
            raise ClientDisconnectedError(
                f"writing the response to the client failed: {error!r}"
            ) from error

    def _record_outcome(self, outcome, status, endpoint_id, cause=""):
        request, context = self._request, self._context
        self._is_outcome_recorded = True
        took_s = context.clock.monotonic() - request.arrived_at
        context.observe("request_s", took_s, request.route, outcome=outcome)
        context.observe("requests", 1.0, request.route, outcome=outcome)
        configuration = context.cluster_view.configuration
        context.log(
            "request.finished",
            request=request.id,
            outcome=outcome,
            status=status,
            cause=cause,
            endpoint=endpoint_id or "",
            sends=request.n_sends,
            route=request.route.name if request.route else "",
            prompt_tokens=request.metadata.prompt_tokens,
            configuration=configuration.version if configuration else 0,
            took_s=round(took_s, 4),
        )
