"""Preparation of a placed job: all that comes before its request is sent."""

from contextlib import ExitStack
from dataclasses import dataclass

from savoryhill.errors import EndpointError, NotConnectedError, WayLostError
from savoryhill.serving.endpoint_run import EndpointRun
from savoryhill.serving.helper_check import find_unreached
from savoryhill.serving.reservations import Reservations
from savoryhill.serving.served_request import (
    CONNECT_TIMEOUT_S,
    SendFailure,
    describe_unreached,
)
from savoryhill.serving.stream_forwarder import MAX_BUFFERED_STREAM_BYTES


@dataclass(kw_only=True)
class OpenRun:
    """A run whose connection to its endpoint is open.

    ``closing`` closes the connection and gives back all else that the run holds;
    ``on_withdrawal`` is called without arguments if nothing is sent, ``on_drop`` if the
    run is given up later. ``run`` is set once the request has been sent, which it is
    beforehand only to see whether the endpoint takes a repeat.
    """

    connection: object
    closing: ExitStack
    on_withdrawal: object = None
    on_drop: object = None
    run: EndpointRun | None = None

    def withdraw(self):
        """Give up the run."""
        self.closing.close()
        if self.run is None:
            self.on_withdrawal()
            return
        self.run.drop()
        if self.on_drop is not None:
            self.on_drop()


@dataclass(kw_only=True)
class PreparedRun(OpenRun):
    """A placed job whose memory is reserved and whose connection is open.

    ``checking`` finds out whether the engine of a silent run is at fault.
    """

    job: object
    endpoints: list
    predicted_first_s: float
    helpers: list
    reservations: Reservations
    checking: object = None

    @property
    def endpoint(self):
        """Return the engine that generates the output."""
        return self.endpoints[0]


class RunPreparation:
    """Makes the placed jobs of one request ready to be sent."""

    def __init__(self, *, request, check):
        self._request = request
        self._context = request.context
        self._check = check

    def prepare(self, job, decision):
        """Return the run of a placed job, ready to be sent, or the failure."""
        endpoints_by_id = self._context.cluster_view.endpoints_by_id
        endpoints = [endpoints_by_id.get(name) for name in decision.endpoints]
        # The leader's view of the store may be older than this node's.
        failure = self._find_unusable(decision.endpoints, endpoints)
        if failure is not None:
            return failure
        self._context.endpoint_statements.note_sent(endpoints[0])
        with ExitStack() as stack:
            reservations = stack.enter_context(
                Reservations(
                    request_id=job.submission.job_id,
                    clock=self._context.clock,
                    log=self._context.log,
                    on_head=self._context.endpoint_statements.note_order_head,
                    connect=self._context.ways.open_for_order,
                    pause_left_s=self._context.endpoint_statements.pause_left_s,
                )
            )
            try:
                helpers = reservations.reserve(
                    endpoints[1:], decision.reserved_tokens[1:]
                )
            except (EndpointError, NotConnectedError) as error:
                return SendFailure(
                    cause=f"no memory was reserved: {error}",
                    may_have_run=False,
                    reached_endpoint=False,
                    is_full=True,
                    lost_way=isinstance(error, WayLostError),
                    endpoint=reservations.last_endpoint_id,
                )
            failure = self._find_unreached_helper(job, decision, endpoints)
            if failure is None:
                # A helper may have said in its answer that it leaves.
                failure = self._find_unusable(decision.endpoints, endpoints)
            if failure is not None:
                return failure
            connection = self._connect(endpoints)
            if isinstance(connection, SendFailure):
                return connection
            stack.callback(connection.close)
            reservations.abort_when_lost(connection)
            return PreparedRun(
                job=job,
                endpoints=endpoints,
                predicted_first_s=decision.predicted_first_s,
                helpers=helpers,
                reservations=reservations,
                connection=connection,
                closing=stack.pop_all(),
            )

    def _find_unusable(self, names, endpoints):
        """Return the failure of the first endpoint that is gone or leaves, or None."""
        view = self._context.cluster_view
        for name, endpoint in zip(names, endpoints, strict=True):
            if endpoint is None or not view.is_still_usable(endpoint):
                return SendFailure(
                    cause="endpoint is unknown or leaving",
                    may_have_run=False,
                    reached_endpoint=False,
                    endpoint=name,
                )
        return None

    def find_withheld(self, endpoints):
        """Return the failure of the first endpoint that wants nothing now, or None.

        Asked last before a request is sent, as each wait may have taken a while.
        """
        failures = (self._request.find_withheld(endpoint) for endpoint in endpoints)
        return next((failure for failure in failures if failure is not None), None)

    def _find_unreached_helper(self, job, decision, endpoints):
        """Return the failure of a helper that accepts no connections, or None.

        The others that accept none are reported as well. Helpers that have just set
        memory aside need no check.
        """
        helpers = [
            endpoint
            for endpoint, n_tokens in zip(
                endpoints[1:], decision.reserved_tokens[1:], strict=True
            )
            if not n_tokens
        ]
        ways = self._context.ways
        unreached = find_unreached(
            helpers,
            connect=lambda helper: ways.open_for_order(
                helper, timeout_s=CONNECT_TIMEOUT_S
            ),
        )
        if not unreached:
            return None
        (first, error), *others = unreached
        for endpoint, _ in others:
            self._context.dispatcher.jobs.report_suspected(job, endpoint.id)
            self._request.avoided_endpoint_ids.add(endpoint.id)
        return describe_unreached(error, first)

    def _connect(self, endpoints):
        """Return a connection on which a request may be sent, or the failure."""
        endpoint = endpoints[0]
        if self._check.stop_cause is not None:
            return SendFailure(
                cause=self._check.stop_cause,
                may_have_run=False,
                reached_endpoint=False,
            )
        try:
            connection = self._context.ways.open(
                endpoint,
                timeout_s=CONNECT_TIMEOUT_S,
                request_id=self._request.id,
                remaining_s=self._request.time_left_s(),
                max_buffered_bytes=MAX_BUFFERED_STREAM_BYTES,
            )
        except NotConnectedError as error:
            return describe_unreached(error, endpoint)
        failure = self.find_withheld(endpoints)
        if failure is not None:
            connection.close()
            return failure
        return connection
