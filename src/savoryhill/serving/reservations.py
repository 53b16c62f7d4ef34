"""Holds memory at the helpers of a prompt that one engine can't hold.

A reservation is short and renewed while the request runs, so that the memory is free
soon after the node that holds it has died.
"""

from contextlib import contextmanager

import gevent

from savoryhill.errors import SavoryhillError
from savoryhill.platform.orders import helper_entry, release_memory, reserve_memory

HOLD_S = 3.0
RENEW_S = 1.0


class Reservations:
    """Reservations of one request at its helpers.

    ``log(event, **fields)`` writes a line; ``last_endpoint_id`` names the endpoint
    that was asked last.
    """

    def __init__(self, *, request_id, log):
        self._request_id = request_id
        self._log = log
        self._held = []
        self.last_endpoint_id = None

    def take(self, endpoints, tokens):
        """Reserve memory at each endpoint for which tokens are asked.

        Returns
        -------
        list of str
            Entries of the helpers, in the order of the endpoints.

        Raises
        ------
        EndpointError, NotConnectedError
            If one could not be reserved; the caller releases the others.
        """
        entries = []
        for index, (endpoint, n_tokens) in enumerate(
            zip(endpoints, tokens, strict=True)
        ):
            if not n_tokens:
                entries.append(helper_entry(endpoint))
                continue
            reservation = f"{self._request_id}-{index}"
            # Released in any case, as an unconfirmed reservation may be held.
            self.last_endpoint_id = endpoint.id
            self._held.append((endpoint, reservation, n_tokens))
            reserve_memory(
                endpoint, reservation=reservation, n_tokens=n_tokens, hold_s=HOLD_S
            )
            entries.append(helper_entry(endpoint, reservation))
        return entries

    def _renew(self):
        while True:
            gevent.sleep(RENEW_S)
            for endpoint, reservation, n_tokens in self._held:
                try:
                    reserve_memory(
                        endpoint,
                        reservation=reservation,
                        n_tokens=n_tokens,
                        hold_s=HOLD_S,
                    )
                except SavoryhillError as error:
                    self._log(
                        "reservation.not_renewed",
                        request=self._request_id,
                        endpoint=endpoint.id,
                        cause=str(error),
                    )

    @contextmanager
    def renewed(self):
        """Renew what is held, and release it at the end."""
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
                frees_itself_in_s=HOLD_S,
            )
