"""Memory reservations at the helpers of a prompt that does not fit into one engine.

A reservation expires after a short time unless it is renewed, so that the memory is
freed soon after the node that holds it has failed.
"""

from contextlib import contextmanager

import gevent

from savoryhill.errors import SavoryhillError
from savoryhill.platform.memory_reservations import (
    helper_entry,
    release_memory,
    reserve_memory,
)

RESERVATION_TTL_S = 3.0
RENEWAL_INTERVAL_S = 1.0


class Reservations:
    """Reservations of one request at its helpers.

    ``log(event, **fields)`` writes a log line; ``last_endpoint_id`` is the endpoint
    of the latest reservation request.
    """

    def __init__(self, *, request_id, log):
        self._request_id = request_id
        self._log = log
        self._held = []
        self.last_endpoint_id = None

    def reserve(self, endpoints, tokens):
        """Reserve memory at each endpoint whose number of tokens is not 0.

        Returns
        -------
        list of str
            Entries of the helpers, in the order of the endpoints.

        Raises
        ------
        EndpointError, NotConnectedError
            If a reservation failed; `keep_renewed` releases the others.
        """
        entries = []
        for index, (endpoint, n_tokens) in enumerate(
            zip(endpoints, tokens, strict=True)
        ):
            if not n_tokens:
                entries.append(helper_entry(endpoint))
                continue
            reservation = f"{self._request_id}-{index}"
            # Recorded before the call, because the endpoint may hold a reservation
            # that it did not confirm; it is released in any case.
            self.last_endpoint_id = endpoint.id
            self._held.append((endpoint, reservation, n_tokens))
            reserve_memory(
                endpoint,
                reservation=reservation,
                n_tokens=n_tokens,
                hold_s=RESERVATION_TTL_S,
            )
            entries.append(helper_entry(endpoint, reservation))
        return entries

    def _renew(self):
        while True:
            gevent.sleep(RENEWAL_INTERVAL_S)
            for endpoint, reservation, n_tokens in self._held:
                try:
                    reserve_memory(
                        endpoint,
                        reservation=reservation,
                        n_tokens=n_tokens,
                        hold_s=RESERVATION_TTL_S,
                    )
                except SavoryhillError as error:
                    self._log(
                        "reservation.not_renewed",
                        request=self._request_id,
                        endpoint=endpoint.id,
                        cause=str(error),
                    )

    @contextmanager
    def keep_renewed(self):
        """Renew reservations held on entry until exit, then release all of them."""
        renewer = gevent.spawn(self._renew) if self._held else None
        try:
            yield
        finally:
            if renewer is not None:
                renewer.kill(block=False)
            for endpoint, reservation, _ in self._held:
                gevent.spawn(self._release, endpoint, reservation)

    def _release(self, endpoint, reservation):
        try:
            release_memory(endpoint, reservation=reservation)
        except SavoryhillError as error:
            self._log(
                "reservation.not_released",
                request=self._request_id,
                endpoint=endpoint.id,
                cause=str(error),
                frees_itself_in_s=RESERVATION_TTL_S,
            )
