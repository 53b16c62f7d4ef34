"""Validates one request and passes it to the handler for its kind of service."""

from savoryhill.core.repeats import AttemptHistory
from savoryhill.serving.calls import Call
from savoryhill.serving.generation import Generation
from savoryhill.serving.model import STREAM
from savoryhill.serving.response_writer import ResponseWriter
from savoryhill.serving.served_request import ServedRequest

# The client's next try reaches another node.
STOPPING_RETRY_AFTER_S = 0.05


class Exchange:
    """One request of a client and its response.

    Parameters
    ----------
    context : NodeContext
        State shared by the requests of the node.
    sock : socket
        Connection to the client.
    request : Request
        The complete request.
    is_followed : callable
        Tells whether another request has arrived on the connection.
    """

    def __init__(self, *, context, sock, request, is_followed=lambda: False):
        self._context = context
        self._request = ServedRequest(context=context, message=request)
        self._response = ResponseWriter(
            context=context,
            sock=sock,
            request=self._request,
            keep_alive=request.keep_alive,
            is_followed=is_followed,
        )

    @property
    def keep_alive(self):
        """Tell whether the connection may carry another request."""
        return self._response.keep_alive

    def record_disconnect(self, cause):
        """Log that the client left before its response ended, unless that is known."""
        self._response.record_disconnect(cause)

    def record_cut(self):
        """Log that the node ends before the response does."""
        self._response.record_cut()

    def run(self):
        """Serve the request; the response is complete when this returns.

        Raises
        ------
        ClientDisconnectedError
            If the client disconnected, or its connection must be closed.
        """
        refusal = self._admit()
        if refusal is not None:
            status, cause = refusal
            self._response.refuse(status, cause)
            return
        request = self._request
        if not self._context.may_begin(request):
            self._response.refuse(
                503, "the node is stopping", retry_after_s=STOPPING_RETRY_AFTER_S
            )
            return
        self._context.repeat_budgets.note_request(request.service, request.arrived_at)
        history = AttemptHistory(
            may_repeat=request.route.may_repeat, max_attempts=request.route.max_attempts
        )
        is_generation = (
            request.service.engine is not None and request.route.kind == STREAM
        )
        handler_type = Generation if is_generation else Call
        handler = handler_type(
            request=request, response=self._response, history=history
        )
        try:
            handler.run()
        finally:
            request.close_answer_buffers()

    def _admit(self):
        """Validate the request; return a status and a cause if it is refused."""
        self._context.await_configuration()
        request, configuration = self._request, self._context.cluster_view.configuration
        if configuration is None:
            return 503, "no configuration is known yet"
        if request.metadata.attempt_id is None:
            return 400, "the request has no id"
        if request.metadata.invalid_header is not None:
            return 400, f"{request.metadata.invalid_header} is not a valid number"
        route = self._find_route(configuration)
        if route is None:
            return 404, "no route matches"
        if route.is_resumable_stream and request.metadata.has_invalid_event_id:
            return 400, "last-event-id is not the id of an event"
        workspace = None
        if configuration.requires_key and not route.is_public:
            workspace = configuration.workspaces_by_key.get(request.metadata.key)
            if workspace is None:
                return 401, "the key is unknown"
        service_name = self._context.choose_target(route.targets)
        if service_name is None:
            return 503, "no service takes requests of this route"
        service = configuration.services_by_name.get(service_name)
        if service is None:
            return 503, f"service {service_name} is not configured"
        request.set_route(route, service, workspace)
        return None

    def _find_route(self, configuration):
        message = self._request.message
        host = (message.header(b"host") or b"").decode("latin-1").lower()
        path = message.target.split(b"?")[0].decode("latin-1")
        route = configuration.route_for(host, path)
        if route is None and ":" in host:
            route = configuration.route_for(host.rsplit(":", 1)[0], path)
        return route
