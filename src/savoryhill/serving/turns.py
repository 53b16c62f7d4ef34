"""Turns to send requests to plain endpoints that have named a limit.

Every node sends to plain endpoints, so the leader gives out the turns of all of them.
"""

from itertools import count

import gevent
from gevent.event import AsyncResult

from savoryhill.core.observations.messages import TurnReply, TurnRequest

REPLY_TIMEOUT_S = 0.3


class Turns:
    """Asks the leader for turns, and gives them out as the leader.

    ``send_to_leader(message)`` returns False if this node has no leader; it then keeps
    to its own part of the limits.
    """

    def __init__(self, *, clock, limiter):
        self._clock = clock
        self._limiter = limiter
        self._numbers = count(1)
        self._replies_by_number = {}
        self.send_to_leader = None

    def take(self, incarnations, *, max_wait_s):
        """Take a turn at one of several endpoints.

        Parameters
        ----------
        incarnations : sequence of str
            Endpoints, the preferred one first.
        max_wait_s : float
            How long the request can wait, in seconds.

        Returns
        -------
        TurnReply
            An empty ``endpoint`` if none takes the request in time.
        """
        request = TurnRequest(
            number=next(self._numbers),
            endpoints=tuple(incarnations),
            max_wait_s=max_wait_s,
        )
        reply = AsyncResult()
        self._replies_by_number[request.number] = reply
        try:
            if self.send_to_leader(request):
                return reply.get(timeout=REPLY_TIMEOUT_S)
        except gevent.Timeout:
            # The leader is lost or busy.
            return self.decide(request)
        finally:
            del self._replies_by_number[request.number]
        return self.decide(request)

    def decide(self, request):
        """Return the reply to a request, as the node that gives out the turns."""
        endpoint, wait_s = self._limiter.take_first(
            request.endpoints,
            max_wait_s=request.max_wait_s,
            now=self._clock.monotonic(),
        )
        return TurnReply(number=request.number, endpoint=endpoint or "", wait_s=wait_s)

    def handle_reply(self, message):
        """Pass a reply of the leader to the request that waits for it, if it does."""
        reply = self._replies_by_number.get(message.number)
        if reply is not None:
            reply.set(message)
