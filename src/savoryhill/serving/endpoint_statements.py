"""What endpoints say of themselves in their answers, and what follows from it."""

from savoryhill.core.observations.leaving import LEAVING, observe_leaving
from savoryhill.core.observations.pauses import WantedPauses
from savoryhill.core.observations.rate_limits import (
    LIMIT,
    limits_in_force,
    observe_limit,
)
from savoryhill.platform.statements import decode_statement


class EndpointStatements:
    """Keeps what endpoints say: that they leave, their limits, and wanted pauses.

    All of it holds for one start of an endpoint. That it leaves and its limit are
    shared with the other nodes; the first goes before what the store says, which may be
    older. A pause is meant for this node only. ``limiter`` is the `RateLimiter` of the
    node, ``pauses`` its `WantedPauses`. ``on_load(endpoint, load)`` is called with the
    load that an endpoint tells in an answer, or None.
    """

    def __init__(self, *, clock, sharing, cluster_view, limiter, record):
        self._clock = clock
        self._sharing = sharing
        self._cluster_view = cluster_view
        self._record = record
        self.limiter = limiter
        self.pauses = WantedPauses()
        self.on_load = None
        sharing.on_news.append(self._handle_news)
        sharing.on_review.append(self.review)
        cluster_view.on_change.append(self._forget_pauses)

    # What the answers to this node say.

    def note_head(self, head, endpoint, *, attempt_id, sent_at):
        """Take in what an endpoint says in the head of an answer."""
        statement = decode_statement(
            head, attempt_id=attempt_id, wall_now=self._clock.wall()
        )
        if statement is None:
            return
        self._note_statement(statement, endpoint.incarnation)
        if self.on_load is not None:
            self.on_load(endpoint, statement.load)
        if statement.limit_per_s is not None:
            observations = observe_limit(
                self._sharing.table,
                incarnation=endpoint.incarnation,
                limit=statement.limit_per_s,
                sent_at=sent_at,
                now=self._clock.monotonic(),
            )
            if observations:
                self._sharing.add(observations)

    def note_order_head(self, head, endpoint):
        """Take in what an endpoint says in the answer to an order.

        Orders don't count towards a limit, so that their answers name none.
        """
        statement = decode_statement(head, attempt_id=None, wall_now=self._clock.wall())
        if statement is not None:
            self._note_statement(statement, endpoint.incarnation)

    def _note_statement(self, statement, incarnation):
        now = self._clock.monotonic()
        self._note_pause(incarnation, statement, now)
        if statement.is_leaving:
            observations = observe_leaving(
                self._sharing.table, incarnation=incarnation, now=now
            )
            if observations:
                self._sharing.add(observations)

    def _note_pause(self, incarnation, statement, now):
        if statement.pause_s > 0.0:
            self.pauses.note_refusal(incarnation, statement.pause_s, now)
            self._record(
                "endpoint.pause_wanted",
                {"endpoint": incarnation, "pause_s": round(statement.pause_s, 3)},
            )
        elif statement.is_accepted:
            self.pauses.note_accepted(incarnation, now)

    # What this node may send.

    def note_sent(self, endpoint):
        """Record a request to an endpoint."""
        self.pauses.note_sent(endpoint.incarnation, self._clock.monotonic())

    def wants_pause(self, endpoint):
        """Tell whether an endpoint wants no request from this node now."""
        return self.pauses.next_at(endpoint.incarnation) > self._clock.monotonic()

    def pause_left_s(self, endpoint):
        """Return the seconds for which an endpoint wants nothing from this node."""
        return self.pauses.left_s(endpoint.incarnation, self._clock.monotonic())

    def waits_s_by_id(self, service):
        """Return how long endpoints of a service want no request, by their ids.

        Those that take one now are left out.
        """
        if not len(self.pauses):
            return {}
        now = self._clock.monotonic()
        waits_s = {
            endpoint.id: self.pauses.next_at(endpoint.incarnation) - now
            for endpoint in self._cluster_view.usable_endpoints(service)
        }
        return {name: wait_s for name, wait_s in waits_s.items() if wait_s > 0.0}

    def wait_s(self, service):
        """Return the seconds until some endpoint of a service takes a request.

        Returns
        -------
        float
            0 if one takes some now, or if there is none.
        """
        if not len(self.pauses):
            return 0.0
        endpoints = self._cluster_view.usable_endpoints(service)
        next_at = min(
            (self.pauses.next_at(endpoint.incarnation) for endpoint in endpoints),
            default=0.0,
        )
        return max(0.0, next_at - self._clock.monotonic())

    def _forget_pauses(self):
        if len(self.pauses):
            endpoints = self._cluster_view.endpoints_by_id.values()
            self.pauses.forget({endpoint.incarnation for endpoint in endpoints})

    # What this node and the others have been told.

    def _handle_news(self, news):
        kinds = {observation.kind for observation in news}
        if LIMIT in kinds:
            self.review()
        if LEAVING in kinds:
            self._cluster_view.note_leaving(
                o.subject for o in news if o.kind == LEAVING
            )

    def review(self):
        """Set the limits that are in force now."""
        before = self.limiter.limits_by_incarnation
        limits = limits_in_force(self._sharing.table, self._clock.monotonic())
        if limits == before:
            return
        self.limiter.set_limits(limits)
        for incarnation in sorted(limits.keys() | before.keys()):
            limit, known = limits.get(incarnation), before.get(incarnation)
            if limit != known:
                self._record(
                    "endpoint.limit_in_force",
                    {"endpoint": incarnation, "limit_per_s": limit, "before": known},
                )
