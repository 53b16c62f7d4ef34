"""Push an accepted configuration to the nodes and wait until it is in force.

A change must reach the nodes even if the key-value service fails right after accepting
it, so the operator's command line also sends it to some nodes directly.
"""

import random
import time
from dataclasses import dataclass

import gevent
from gevent import socket

from savoryhill.core.messages import ConfigCheck, ConfigStatus, ConfigValue
from savoryhill.peers import transport as peers
from savoryhill.peers.operator import operator_name
from savoryhill.platform.hosts import read_hosts

# The nodes forward the value to each other; sending it to all 340 nodes would transfer
# 100 MB.
N_PUSH_TARGETS = 16
CHECK_INTERVAL_S = 0.1
PUSH_INTERVAL_S = 1.0


@dataclass(frozen=True, kw_only=True)
class PushReport:
    """Result of a push.

    ``in_force_s_by_node`` holds the seconds until each node confirmed the revision or a
    higher one, ``not_confirmed`` the nodes that did not. ``highest_revision`` is the
    highest revision that any node confirmed, 0 if none did.
    """

    in_force_s_by_node: dict[str, float]
    highest_revision: int
    not_confirmed: tuple[str, ...]


def local_ip_towards(address):
    """Return the local IP address of the route to ``ip:port``."""
    host, port = address.rsplit(":", 1)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.connect((host, int(port)))
        return sock.getsockname()[0]


def push_until_in_force(
    *, revision, content, hosts, cluster_key, timeout_s, listen_ip=None
):
    """Push a revision and wait for the nodes to confirm it.

    Parameters
    ----------
    revision : int
        The accepted revision.
    content : bytes
        The generated configuration.
    hosts : str
        ``ip:port`` of the platform's host list.
    cluster_key : str
        The key that authenticates messages between nodes.
    timeout_s : float
        Maximum time to wait for confirmations, in seconds.
    listen_ip : str, optional
        Local address on which the nodes' confirmations are received; by default that
        of the route to the platform.

    Returns
    -------
    PushReport
        Which nodes confirmed that the revision, or a higher one, is in force.

    Raises
    ------
    PlatformUnreachableError
        If the host list could not be read.
    """
    addresses_by_node, leaving = read_hosts(hosts)
    # Leaving nodes get no new requests and may stop before they confirm.
    for node in leaving:
        addresses_by_node.pop(node, None)
    started_at = time.monotonic()
    in_force_s_by_node, reported_revisions = {}, []

    def on_message(sender, message):
        if type(message) is ConfigStatus and message.revision >= revision:
            elapsed_s = time.monotonic() - started_at
            in_force_s_by_node.setdefault(sender, elapsed_s)
            reported_revisions.append(message.revision)

    transport = peers.Transport(
        node="",
        incarnation=time.time_ns(),
        key=cluster_key.encode(),
        address_of=addresses_by_node.get,
        on_message=on_message,
        on_unreachable=lambda node, message: None,
    )
    ip = listen_ip or local_ip_towards(hosts)
    peers.listen(transport, f"{ip}:0")
    transport.node = operator_name(f"{ip}:{transport.server.server_port}")
    value = ConfigValue(revision=revision, content=content)
    last_push_at = float("-inf")
    n_checks = 0
    try:
        while time.monotonic() - started_at < timeout_s:
            unconfirmed = sorted(set(addresses_by_node) - set(in_force_s_by_node))
            if not unconfirmed:
                break
            if time.monotonic() - last_push_at >= PUSH_INTERVAL_S:
                last_push_at = time.monotonic()
                for node in random.sample(
                    unconfirmed, min(N_PUSH_TARGETS, len(unconfirmed))
                ):
                    peers.send(transport, node, value)
            n_checks += 1
            for node in unconfirmed:
                peers.send(transport, node, ConfigCheck(check=n_checks))
            gevent.sleep(CHECK_INTERVAL_S)
    finally:
        peers.close(transport)
    return PushReport(
        in_force_s_by_node=in_force_s_by_node,
        highest_revision=max(reported_revisions, default=0),
        not_confirmed=tuple(sorted(set(addresses_by_node) - set(in_force_s_by_node))),
    )
