"""Read what the platform offers and turn it into events."""

from savoryhill.config.model import load_configuration
from savoryhill.core.events import ConfigurationRead, HostsListed
from savoryhill.errors import ConfigurationError, PlatformError
from savoryhill.node.runtime import submit
from savoryhill.observability.logs import log_event
from savoryhill.platform.hosts import read_hosts
from savoryhill.platform.key_value import read_range
from savoryhill.platform.watch import watch

CONFIGURATION_KEY = "/config/current"
RE_READ_S = 2.0
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


def _offer(node, row):
    try:
        configuration = load_configuration(row.value)
    except ConfigurationError as error:
        log_event("configuration.undecodable", detail=str(error))
        return
    submit(
        node.runtime,
        ConfigurationRead(
            at=node.clock.monotonic(),
            configuration=configuration,
            source="key-value",
        ),
    )


def re_read_configuration(node):
    """Read the configuration slowly, in case the watch is silent."""
    while True:
        try:
            for row in read_range(node.key_value, CONFIGURATION_KEY).rows:
                _offer(node, row)
        except PlatformError as error:
            log_event("configuration.unreadable", detail=str(error))
        node.clock.sleep(RE_READ_S)


def watch_configuration(node):
    """Watch the configuration key; a broken watch is opened again."""
    while True:
        try:
            rows = watch(
                node.key_value, CONFIGURATION_KEY, start_revision=0, timeout_s=60.0
            )
            for row in rows:
                _offer(node, row)
        except PlatformError:
            node.clock.sleep(RE_READ_S)
