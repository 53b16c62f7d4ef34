"""Choice of endpoints of plain services by the leader, which counts all requests.

Load pattern: many nodes with few requests each. What one of them hears of the load is
older than the requests that make it, and all nodes would choose alike.
"""

from collections import deque
from dataclasses import dataclass, field
from itertools import count

import gevent
from gevent.event import AsyncResult

from savoryhill.core.balancing import (
    FAILURE_S,
    EndpointLoads,
    LoadReport,
    choose_endpoint,
)
from savoryhill.core.observations.messages import (
    BalanceEnd,
    BalanceFailure,
    BalanceReply,
    BalanceRequest,
)

# Plain calls are due after 0.2 s at the earliest; a reply takes a few milliseconds.
REPLY_TIMEOUT_S = 0.03
# A leader that did not reply in time is not asked for this long, so that it delays few
# requests of a node.
SILENCE_S = 1.0
# A request whose end is not reported counts for this long. Plain calls end within
# 4.1 s; of longer streams, the reports of their endpoints tell.
GRANT_LIFETIME_S = 5.0


@dataclass(kw_only=True)
class _Grant:
    incarnation: str
    ends_at: float


@dataclass(kw_only=True)
class BalanceGrants:
    """Asks the leader to choose endpoints, and chooses them as the leader.

    ``send_to_leader(message)`` returns False if no leader understands the message, and
    ``is_leader()`` tells whether this node chooses for the others. ``loads`` counts
    what this node has chosen as leader.
    """

    clock: object
    random: object
    cluster_view: object
    loads: EndpointLoads = field(default_factory=EndpointLoads)
    send_to_leader: object = None
    is_leader: object = None
    n_asked: int = 0
    n_unanswered: int = 0
    _numbers: object = field(default_factory=count)
    _replies_by_number: dict = field(default_factory=dict)
    _grants_by_key: dict = field(default_factory=dict)
    _failures: deque = field(default_factory=deque)
    _asks_from: float = 0.0

    # What this node asks for.

    def ask(self, service_name, *, zone, avoided_ids):
        """Let the leader choose an endpoint.

        Returns
        -------
        tuple of (int, str) or None
            The number under which the request is counted, and the id of the endpoint,
            which is empty if the leader knows none. None if there is no leader.
        """
        if self.is_leader is None:
            return None
        request = BalanceRequest(
            number=next(self._numbers),
            service=service_name,
            zone=zone,
            avoided=tuple(sorted(avoided_ids)),
        )
        if self.is_leader():
            return request.number, self.decide(request, None).endpoint
        if self.clock.monotonic() < self._asks_from:
            return None
        reply = AsyncResult()
        self._replies_by_number[request.number] = reply
        try:
            if not self.send_to_leader(request):
                return None
            self.n_asked += 1
            return request.number, reply.get(timeout=REPLY_TIMEOUT_S).endpoint
        except gevent.Timeout:
            self.n_unanswered += 1
            self._asks_from = self.clock.monotonic() + SILENCE_S
            self.end(request.number, "", None)
            return None
        except BaseException:
            self.end(request.number, "", None)
            raise
        finally:
            del self._replies_by_number[request.number]

    def handle_reply(self, message):
        """Pass a reply of the leader to the request that waits for it, if it does."""
        reply = self._replies_by_number.get(message.number)
        if reply is not None:
            reply.set(message)

    def end(self, number, incarnation, report):
        """Tell the leader that a request has ended, with its endpoint's report."""
        now = self.clock.monotonic()
        message = BalanceEnd(
            number=number,
            endpoint=incarnation,
            n_running=report.n_running if report is not None else 0,
            n_waiting=report.n_waiting if report is not None else 0,
            n_slots=report.n_slots if report is not None else 0,
            age_s=max(0.0, now - report.observed_at) if report is not None else 0.0,
        )
        if self.is_leader():
            self.handle_end(message, None)
        else:
            self.send_to_leader(message)

    def tell_failure(self, incarnation):
        """Tell the leader that a request failed on an endpoint."""
        if self.is_leader is None:
            return
        message = BalanceFailure(endpoint=incarnation)
        if self.is_leader():
            self.handle_failure(message)
        else:
            self.send_to_leader(message)

    # What this node decides as leader.

    @property
    def n_granted(self):
        """Return the number of requests that this node counts as leader."""
        return len(self._grants_by_key)

    def decide(self, request, link):
        """Choose an endpoint for a request from a link; None is this node itself."""
        now = self.clock.monotonic()
        self._drop_ended(now)
        endpoints = [
            endpoint
            for endpoint in self.cluster_view.usable_endpoints(request.service)
            if endpoint.id not in request.avoided
        ]
        if not endpoints:
            return BalanceReply(number=request.number, endpoint="")
        chosen = choose_endpoint(
            endpoints,
            loads=self.loads,
            zone=request.zone,
            now=now,
            random=self.random,
            counts_all=True,
        )
        self._end_grant((link, request.number))
        self.loads.note_sent(chosen.incarnation, now)
        self._grants_by_key[link, request.number] = _Grant(
            incarnation=chosen.incarnation, ends_at=now + GRANT_LIFETIME_S
        )
        return BalanceReply(number=request.number, endpoint=chosen.id)

    def handle_end(self, message, link):
        """Take in the end of a request, which another leader may have counted."""
        self._end_grant((link, message.number))
        if message.n_slots <= 0 or not self._is_present(message.endpoint):
            return
        now = self.clock.monotonic()
        report = LoadReport(
            n_running=message.n_running,
            n_waiting=message.n_waiting,
            n_slots=message.n_slots,
            observed_at=now - message.age_s,
        )
        self.loads.note_report(message.endpoint, report, now)

    def handle_failure(self, message):
        """Count a failed request for a time as if it ran.

        Load pattern: an endpoint refuses or fails all requests at once, so that none
        runs there. Each of many nodes avoids it only after its own failure.
        """
        now = self.clock.monotonic()
        self._drop_ended(now)
        if self._is_present(message.endpoint):
            self.loads.note_sent(message.endpoint, now)
            self._failures.append(
                _Grant(incarnation=message.endpoint, ends_at=now + FAILURE_S)
            )

    def drop_link(self, link):
        """Forget the requests of a node whose link has ended."""
        for key in [key for key in self._grants_by_key if key[0] is link]:
            self._end_grant(key)

    def forget_absent(self):
        """Drop old reports, and those of endpoints that are gone."""
        endpoints = self.cluster_view.endpoints_by_id.values()
        present = {endpoint.incarnation for endpoint in endpoints}
        self.loads.forget(present, self.clock.monotonic())

    def _is_present(self, incarnation):
        endpoint_id = incarnation.rpartition("@")[0]
        endpoint = self.cluster_view.endpoints_by_id.get(endpoint_id)
        return endpoint is not None and endpoint.incarnation == incarnation

    def _drop_ended(self, now):
        # All of a kind last equally long, so that the first ones end first.
        while self._failures and self._failures[0].ends_at <= now:
            self.loads.note_ended(self._failures.popleft().incarnation)
        while self._grants_by_key:
            key = next(iter(self._grants_by_key))
            if self._grants_by_key[key].ends_at > now:
                return
            self._end_grant(key)

    def _end_grant(self, key):
        grant = self._grants_by_key.pop(key, None)
        if grant is not None:
            self.loads.note_ended(grant.incarnation)
