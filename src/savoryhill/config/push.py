"""Push an accepted configuration to the nodes and wait until it is in force.

A change must reach the nodes even if the key-value service goes down right after it
was accepted, so the operator's command line also sends it to some nodes itself.
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

# The nodes spread the value further; sending it to all 340 would be 100 MB.
N_PUSHED = 16
POLL_S = 0.1
PUSH_AGAIN_S = 1.0


@dataclass(frozen=True, kw_only=True)
class PushReport:
    """Seconds until the revision was in force by node, and the nodes without it.

    ``highest_revision`` is the highest revision that any node reported.
    """

    in_force_s_by_node: dict[str, float]
    highest_revision: int
    not_confirmed: tuple[str, ...]


def local_ip(address):
    """Return the address of this host from which ``ip:port`` is reached."""
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
        How long to wait.
    listen_ip : str, optional
        Where to wait for the nodes' answers; found out if not given.

    Returns
    -------
    PushReport
        Which nodes have the revision, or a higher one, in force.

    Raises
    ------
    PlatformUnreachableError
        If the host list could not be read.
    """
    addresses_by_node, leaving = read_hosts(hosts)
    # A leaving node gets no new requests and may be gone before it confirms.
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
    ip = listen_ip or local_ip(hosts)
    peers.listen(transport, f"{ip}:0")
    transport.node = operator_name(f"{ip}:{transport.server.server_port}")
    value = ConfigValue(revision=revision, content=content)
    pushed_at = float("-inf")
    n_checks = 0
    try:
        while time.monotonic() - started_at < timeout_s:
            waiting = sorted(set(addresses_by_node) - set(in_force_s_by_node))
            if not waiting:
                break
            if time.monotonic() - pushed_at >= PUSH_AGAIN_S:
                pushed_at = time.monotonic()
                for node in random.sample(waiting, min(N_PUSHED, len(waiting))):
                    peers.send(transport, node, value)
            n_checks += 1
            for node in waiting:
                peers.send(transport, node, ConfigCheck(check=n_checks))
            gevent.sleep(POLL_S)
    finally:
        peers.close(transport)
    return PushReport(
        in_force_s_by_node=in_force_s_by_node,
        highest_revision=max(reported_revisions, default=0),
        not_confirmed=tuple(sorted(set(addresses_by_node) - set(in_force_s_by_node))),
    )
