"""Read what the platform offers and turn it into events."""

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

# A watch that is silent this long is opened again, in case nothing ever changes.
WATCH_TIMEOUT_S = 60.0
HOSTS_INTERVAL_S = 2.0


def read_hosts_forever(node):
    """Read the platform's host list at a fixed interval."""
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
    """Build the driver of the configuration's watch."""
    watching = []

    def watch_configuration(effect):
        # A silent watch cannot be revived, so its connection is given up.
        gevent.killall(watching, block=False)
        watching.clear()
        if effect.watch:
            watching.append(gevent.spawn(_watch_head, node, effect.from_revision))
            node.greenlets.append(watching[0])
            node.greenlets[:] = [each for each in node.greenlets if not each.dead]

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
