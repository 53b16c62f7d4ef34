"""Registers this node in the store, where the other nodes find it."""

import gevent

from savoryhill.errors import PlatformError
from savoryhill.platform.decode import encode_node, node_key

# All nodes renew at the same store, so the interval decides what registration costs.
# The loss of the leader is noticed by its links, not by the end of its lease.
LEASE_TTL_S = 10.0
RENEW_INTERVAL_S = 3.0
MIN_RETRY_S = 0.5
MAX_RETRY_S = 2.0


def keep_registered(*, store, settings, record):
    """Keep the node registered under a lease until the greenlet is killed."""
    lease, retry_delay_s = None, MIN_RETRY_S
    while True:
        try:
            if lease is not None and store.renew_lease(lease):
                retry_delay_s = MIN_RETRY_S
                gevent.sleep(RENEW_INTERVAL_S)
                continue
            lease = None
            new_lease = store.grant_lease(ttl_s=LEASE_TTL_S)
            value = encode_node(
                address=settings.peer_address,
                zone=settings.zone,
                capacity=settings.capacity,
            )
            revision = store.put(node_key(settings.node), value, lease=new_lease)
            lease = new_lease
            record(
                "node.registered",
                {"revision": revision, "address": settings.peer_address},
            )
            gevent.sleep(RENEW_INTERVAL_S)
        except PlatformError as error:
            record("node.registration_failed", {"cause": str(error)})
            gevent.sleep(retry_delay_s)
            retry_delay_s = min(MAX_RETRY_S, 2.0 * retry_delay_s)
