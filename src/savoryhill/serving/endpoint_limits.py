"""Limits of requests a second that endpoints name in their answers."""

import math

from savoryhill.platform.headers import named_limit

# Status of an endpoint that is not the one to which the request was sent.
OTHER_INSTANCE_STATUS = 421


class EndpointLimits:
    """The limits that endpoints have named in answers to this node.

    ``limits_by_incarnation`` holds requests a second by `Endpoint.incarnation`.
    """

    def __init__(self, *, record):
        self._record = record
        self.limits_by_incarnation = {}

    def note_head(self, head, endpoint):
        """Record the limit that an endpoint names in the head of an answer, if any."""
        limit = named_limit(head)
        if head.status == OTHER_INSTANCE_STATUS or limit is None:
            return
        known = self.limits_by_incarnation.get(endpoint.incarnation, math.inf)
        if limit == known:
            return
        if limit == math.inf:
            del self.limits_by_incarnation[endpoint.incarnation]
        else:
            self.limits_by_incarnation[endpoint.incarnation] = limit
        self._record(
            "endpoint.limit_named",
            {"endpoint": endpoint.id, "limit_per_s": limit, "before": known},
        )
