"""Memory reservations at the helpers of a prompt that does not fit into one engine.

A reservation expires after a short time unless it is renewed, so that the memory is
freed soon after the node that holds it has failed. An engine cuts off the request
whose reservation has expired.
"""

from dataclasses import dataclass

import gevent

from savoryhill.errors import EndpointRefusedError, SavoryhillError
from savoryhill.platform.memory_reservations import (
    helper_entry,
    release_memory,
    reserve_memory,
)

RESERVATION_TTL_S = 3.0
RENEWAL_INTERVAL_S = 1.0
# Endpoints reserve memory for 20 s at the most.
MAX_INTERVAL_S = 17.0
# Pause after a renewal without an answer, so that several fit into the remaining time.
RETRY_INTERVAL_S = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class LostReservation:
    """Reservation that an engine no longer holds, and why."""

    endpoint_id: str
    cause: str


@dataclass(kw_only=True, slots=True)
class _HeldReservation:
    """Reservation at one endpoint; it expires at ``expires_at`` at the earliest.

    It may last longer, if a renewal arrived whose answer was lost.
    """

    id: str
    endpoint: object
    n_tokens: int
    expires_at: float
    renewer: object = None


class Reservations:
    """Reservations of one request at its helpers, released when the context ends.

    Each reservation is renewed from the moment at which it is made until the context
    ends. ``lost`` is set to the first one whose renewal was refused: the endpoint has
    given the memory away. The request is then bound to be cut off, so its connection
    is aborted at once.

    Parameters
    ----------
    request_id : str
        Id of the request; ids of the reservations start with it.
    clock : Clock
        Clock of the runtime.
    log : callable
        ``log(event, **fields)`` writes a log line.
    on_head : callable
        Called with the head of each answer and the endpoint that sent it.
    connect : callable
        ``connect(endpoint, timeout_s=...)`` opens a connection to an endpoint.
    pause_left_s : callable
        ``pause_left_s(endpoint)`` returns for how many seconds an endpoint wants
        nothing from this node.
    """

    def __init__(self, *, request_id, clock, log, on_head, connect, pause_left_s):
        self._request_id = request_id
        self._clock = clock
        self._log = log
        self._on_head = on_head
        self._connect = connect
        self._pause_left_s = pause_left_s
        self._held = []
        self.last_endpoint_id = None
        self.lost = None
        self._connection = None

    def __enter__(self):
        return self

    def __exit__(self, *_exc_info):
        for held in self._held:
            if held.renewer is not None:
                held.renewer.kill(block=False)
            gevent.spawn(self._release, held)

    def reserve(self, endpoints, tokens):
        """Reserve memory at each endpoint whose number of tokens is not 0.

        Returns
        -------
        list of str
            Entries of the helpers, in the order of the endpoints.

        Raises
        ------
        EndpointError, NotConnectedError
            If a reservation failed, at the endpoint ``last_endpoint_id``. The others
            are released when the context ends.
        """
        entries = []
        for index, (endpoint, n_tokens) in enumerate(
            zip(endpoints, tokens, strict=True)
        ):
            if not n_tokens:
                entries.append(helper_entry(endpoint))
                continue
            self.last_endpoint_id = endpoint.id
            held = _HeldReservation(
                id=f"{self._request_id}-{index}",
                endpoint=endpoint,
                n_tokens=n_tokens,
                expires_at=self._clock.monotonic() + RESERVATION_TTL_S,
            )
            # Recorded before the call, because the endpoint may hold a reservation
            # that it did not confirm; it is released in any case.
            self._held.append(held)
            self._request_memory(held)
            held.renewer = gevent.spawn(self._keep_renewed, held)
            entries.append(helper_entry(endpoint, held.id))
        return entries

    def abort_when_lost(self, connection):
        """Abort the connection on which the request runs once a reservation is lost."""
        self._connection = connection
        if self.lost is not None:
            connection.abort()

    def _request_memory(self, held, *, ttl_s=RESERVATION_TTL_S):
        """Make or renew a reservation; its time runs from the arrival of the call."""
        sent_at = self._clock.monotonic()
        reserve_memory(
            held.endpoint,
            reservation=held.id,
            n_tokens=held.n_tokens,
            hold_s=ttl_s,
            on_head=self._on_head,
            connect=self._connect,
        )
        held.expires_at = sent_at + ttl_s

    def _keep_renewed(self, held):
        """Renew a reservation until it is lost or the greenlet is killed.

        A renewal without an answer may have arrived, so it is tried again and the
        request goes on: the endpoint itself cuts it if the memory has expired.

        Load pattern: an endpoint in need wants nothing for seconds, while runs depend
        on memory there. Two renewals cover the pause, so that it gets few, and frees
        the memory soon if this node ends.
        """
        interval_s = RENEWAL_INTERVAL_S
        was_paused = False
        while self.lost is None:
            self._clock.sleep(interval_s)
            interval_s = RENEWAL_INTERVAL_S
            pause_left_s = self._pause_left_s(held.endpoint)
            covered_s = pause_left_s if was_paused else pause_left_s / 2
            was_paused = pause_left_s > 0.0
            interval_s = min(MAX_INTERVAL_S, max(interval_s, covered_s))
            ttl_s = interval_s + RESERVATION_TTL_S - RENEWAL_INTERVAL_S
            try:
                self._request_memory(held, ttl_s=ttl_s)
            except SavoryhillError as error:
                interval_s = RETRY_INTERVAL_S
                self._log(
                    "reservation.not_renewed",
                    request=self._request_id,
                    endpoint=held.endpoint.id,
                    expires_in_s=round(held.expires_at - self._clock.monotonic(), 3),
                    cause=str(error),
                )
                if isinstance(error, EndpointRefusedError):
                    self._lose(held, str(error))

    def _lose(self, held, cause):
        if self.lost is not None:
            return
        self.lost = LostReservation(endpoint_id=held.endpoint.id, cause=cause)
        self._log(
            "reservation.lost",
            request=self._request_id,
            endpoint=held.endpoint.id,
            cause=cause,
        )
        if self._connection is not None:
            self._connection.abort()

    def _release(self, held):
        try:
            release_memory(
                held.endpoint,
                reservation=held.id,
                on_head=self._on_head,
                connect=self._connect,
            )
        except SavoryhillError as error:
            self._log(
                "reservation.not_released",
                request=self._request_id,
                endpoint=held.endpoint.id,
                cause=str(error),
                frees_itself_in_s=RESERVATION_TTL_S,
            )
