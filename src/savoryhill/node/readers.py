"""Read the host list and watch the configuration, submitting the changes as events."""

import gevent

from savoryhill.config.records import HEAD_KEY
from savoryhill.core.effects import WatchConfiguration
from savoryhill.core.events import (
    ConfigurationHeadSeen,
    ConfigurationWatchEnded,
    HostsListed,
)
from savoryhill.errors import PlatformError
from savoryhill.node.runtime import submit
from savoryhill.observability.logs import log_event
from savoryhill.platform.hosts import read_hosts
from savoryhill.platform.watch import watch

# A watch that received nothing for this long is ended and opened again. A broken one
# would otherwise stay unnoticed while the configuration does not change.
WATCH_TIMEOUT_S = 60.0
HOSTS_INTERVAL_S = 2.0


def read_hosts_forever(node):
    """Read the host list every `HOSTS_INTERVAL_S` until the greenlet is killed."""
    while True:
        try:
            addresses_by_node, leaving = read_hosts(node.settings.hosts)
            submit(
                node.runtime,
                HostsListed(
                    at=node.clock.monotonic(),
                    addresses_by_node=addresses_by_node,
                    leaving=leaving,
                ),
            )
        except PlatformError as error:
            log_event("hosts.unreadable", node=node.settings.node, detail=str(error))
        node.clock.sleep(HOSTS_INTERVAL_S)


def make_configuration_drivers(node):
    """Build the driver that opens and closes the watch of the configuration."""
    watch_greenlets = []

    def watch_configuration(effect):
        # A watch that has gone silent does not recover, so its connection is dropped.
        gevent.killall(watch_greenlets, block=False)
        watch_greenlets.clear()
        if effect.watch:
            watch_greenlets.append(
                gevent.spawn(_watch_head, node, effect.from_revision)
            )
            node.greenlets.append(watch_greenlets[0])
            node.greenlets[:] = [
                greenlet for greenlet in node.greenlets if not greenlet.dead
            ]

    return {WatchConfiguration: watch_configuration}


def _watch_head(node, from_revision):
    detail = "the service ended the watch"
    try:
        rows = watch(
            node.key_value,
            HEAD_KEY,
            start_revision=from_revision,
            timeout_s=WATCH_TIMEOUT_S,
        )
        for row in rows:
            at = node.clock.monotonic()
            submit(node.runtime, ConfigurationHeadSeen(at=at, value=row.value))
    except PlatformError as error:
        detail = str(error)
    submit(
        node.runtime,
        ConfigurationWatchEnded(at=node.clock.monotonic(), detail=detail),
    )
