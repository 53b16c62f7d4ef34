"""Registers this node in the store, where the other nodes find it."""

import gevent

from savoryhill.errors import OutcomeUnknownError, PlatformError
from savoryhill.platform.decode import encode_node, node_key

# All nodes renew at the same store, so the interval decides what registration costs.
# The loss of the leader is noticed by its links, not by the end of its lease.
LEASE_TTL_S = 10.0
RENEW_INTERVAL_S = 3.0
MIN_RETRY_S = 0.5
MAX_RETRY_S = 2.0


def keep_registered(*, store, settings, record):
    """Keep the node registered under a lease until the greenlet is killed."""
    key = node_key(settings.node)
    value = encode_node(
        address=settings.peer_address,
        zone=settings.zone,
        capacity=settings.capacity,
        relay_address=settings.relay_address,
    )
    lease, retry_delay_s = None, MIN_RETRY_S
    while True:
        try:
            if lease is not None:
                lease = _renew(store, key, value, lease)
            if lease is None:
                lease, revision = _register(store, key, value)
                record(
                    "node.registered",
                    {"revision": revision, "address": settings.peer_address},
                )
            retry_delay_s = MIN_RETRY_S
            gevent.sleep(RENEW_INTERVAL_S)
        except PlatformError as error:
            record("node.registration_failed", {"cause": str(error)})
            gevent.sleep(retry_delay_s)
            retry_delay_s = min(MAX_RETRY_S, 2.0 * retry_delay_s)


def _register(store, key, value):
    lease = store.grant_lease(ttl_s=LEASE_TTL_S)
    written = store.put(key, value, lease_id=lease.id)
    if written.era != lease.era:
        raise OutcomeUnknownError(
            f"store came back from a copy before {key!r} was written; "
            f"lease {lease.id} may be another node's"
        )
    return lease, written.revision


def _renew(store, key, value, lease):
    """Renew a lease; return None if the node must register again.

    In a later era the id of the lease may name that of another node. It is this node's
    if the row under it came back with the copy as well.
    """
    renewed = store.renew_lease(lease)
    if renewed is None or renewed.era == lease.era:
        return renewed
    row = store.read_row(key)
    if row is None or row.value != value or row.lease != lease.id:
        return None
    return renewed if row.era == renewed.era else lease
