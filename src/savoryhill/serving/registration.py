"""Registers this node in the store, so that the others find it."""

import gevent

from savoryhill.errors import PlatformError
from savoryhill.platform.decode import encode_node, node_key

LEASE_TTL_S = 4.0
RENEW_S = 1.3
RETRY_S = 0.5
MAX_RETRY_S = 2.0


def keep_registered(*, store, settings, record):
    """Keep the node's row under a lease until the greenlet is killed."""
    lease, pause_s = None, RETRY_S
    while True:
        try:
            if lease is not None and store.renew_lease(lease):
                pause_s = RETRY_S
                gevent.sleep(RENEW_S)
                continue
            lease = None
            granted = store.grant_lease(ttl_s=LEASE_TTL_S)
            value = encode_node(
                address=settings.peer_address,
                zone=settings.zone,
                capacity=settings.capacity,
            )
            revision = store.put(node_key(settings.node), value, lease=granted)
            lease = granted
            record(
                "node.registered",
                {"revision": revision, "address": settings.peer_address},
            )
            gevent.sleep(RENEW_S)
        except PlatformError as error:
            record("node.registration_failed", {"cause": str(error)})
            gevent.sleep(pause_s)
            pause_s = min(MAX_RETRY_S, 2.0 * pause_s)
