"""Limits of requests a second that endpoints name in their answers, at any node."""

from savoryhill.core.observations.rate_limits import (
    LIMIT,
    limits_in_force,
    observe_limit,
)
from savoryhill.platform.headers import named_limit

# Status of an endpoint that is not the one to which the request was sent.
OTHER_INSTANCE_STATUS = 421


class EndpointLimits:
    """Shares the limits that endpoints name, and sets those in force.

    ``limiter`` is the `RateLimiter` of the node.
    """

    def __init__(self, *, clock, sharing, limiter, record):
        self._clock = clock
        self._sharing = sharing
        self._record = record
        self.limiter = limiter
        sharing.on_news.append(self._handle_news)
        sharing.on_review.append(self.review)

    def note_head(self, head, endpoint, *, sent_at):
        """Share the limit that an endpoint names in the head of an answer, if any."""
        limit = named_limit(head)
        if head.status == OTHER_INSTANCE_STATUS or limit is None:
            return
        observations = observe_limit(
            self._sharing.table,
            incarnation=endpoint.incarnation,
            limit=limit,
            sent_at=sent_at,
            now=self._clock.monotonic(),
        )
        if observations:
            self._sharing.add(observations)

    def _handle_news(self, news):
        if any(observation.kind == LIMIT for observation in news):
            self.review()

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
