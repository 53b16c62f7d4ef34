"""The answer of one request: what the client gets, and the line that records it."""

from savoryhill.errors import ClientDisconnectedError
from savoryhill.platform import exchange as wire
from savoryhill.serving.http import LAST_CHUNK, encode_chunk, encode_head

RETRY_AFTER_S = 0.5
# A client that reads slowly may take this long beyond its own deadline.
WRITE_SLACK_S = 0.05


class Answer:
    """Writes the answer of a request to its client.

    Parameters
    ----------
    context : NodeContext
        What the node shares between requests.
    sock : socket
        Connection to the client.
    request : ServedRequest
        The request.
    keep_alive : bool
        Whether the client wants to go on using the connection.
    """

    def __init__(self, *, context, sock, request, keep_alive):
        self._context = context
        self._sock = sock
        self._request = request
        self.keep_alive = keep_alive
        self.is_begun = False

    def pass_events(self, head, events):
        """Pass whole events on; the first ones bring the head of their answer."""
        data = encode_chunk(b"".join(events)) if events else b""
        if not self.is_begun:
            headers = wire.returned_headers(head)
            headers.append((b"transfer-encoding", b"chunked"))
            self._add_connection(headers)
            data = encode_head(200, headers) + data
            self.is_begun = True
        self._write(data)

    def end_events(self, head, endpoint):
        """End a complete stream."""
        if not self.is_begun:
            self.pass_events(head, [])
        self._write(LAST_CHUNK)
        self._finished("answered", 200, endpoint.id)

    def pass_whole(self, head, body, endpoint_id, *, outcome="answered", cause=""):
        """Pass a whole answer of an endpoint on."""
        headers = wire.returned_headers(head)
        headers.append((b"content-length", str(len(body)).encode()))
        self._add_connection(headers)
        self._write(encode_head(head.status, headers) + body)
        self._finished(outcome, head.status, endpoint_id, cause)

    def fail(self, failure, history, *, retry_after_s=RETRY_AFTER_S):
        """End a request that no endpoint has answered.

        Raises
        ------
        ClientDisconnectedError
            If part of a stream was passed on; the connection must then be closed, so
            that the answer does not look complete.
        """
        if self.is_begun:
            self.keep_alive = False
            self._finished("broken_off", 200, failure.at, cause=failure.cause)
            raise ClientDisconnectedError("the stream can't be completed")
        if failure.head is not None:
            self.pass_whole(
                failure.head,
                failure.body,
                failure.at,
                outcome="failed_by_endpoint",
                cause=failure.cause,
            )
            return
        is_late = self._context.clock.monotonic() >= self._request.ends_at
        status = history.failure_status(is_late=is_late)
        self.refuse(status, failure.cause, retry_after_s=retry_after_s)

    def refuse(self, status, cause, *, retry_after_s=RETRY_AFTER_S):
        """Send an answer of this node."""
        body = (cause + "\n").encode()
        headers = [
            (b"content-type", b"text/plain"),
            (b"content-length", str(len(body)).encode()),
            *wire.attempt_id_headers(self._request.facts),
        ]
        if status in (429, 503):
            headers.append((b"retry-after", b"%.2f" % retry_after_s))
        self._add_connection(headers)
        self._write(encode_head(status, headers) + body)
        self._finished("refused" if status == 503 else "failed", status, None, cause)

    def _add_connection(self, headers):
        if self._context.is_draining():
            self.keep_alive = False
        if not self.keep_alive:
            headers.append((b"connection", b"close"))

    def _write(self, data):
        left_s = self._request.client_ends_at - self._context.clock.monotonic()
        self._sock.settimeout(max(WRITE_SLACK_S, left_s))
        try:
            self._sock.sendall(data)
        except OSError as error:
            raise ClientDisconnectedError(
                f"client can't be written: {error!r}"
            ) from error

    def _finished(self, outcome, status, endpoint_id, cause=""):
        request, context = self._request, self._context
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
            prompt_tokens=request.facts.prompt_tokens,
            configuration=configuration.version if configuration else 0,
            took_s=round(took_s, 4),
        )
