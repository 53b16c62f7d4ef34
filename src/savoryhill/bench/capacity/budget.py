"""Compute the rate of calls to the key-value service by cause, for a fleet size.

The rates are derived from the intervals and limits that the code itself uses.
"""

from savoryhill.core.configuration.watch import (
    HEAD_INTERVAL_S,
    MAX_NODES_ALL_WATCH,
    WATCHERS_PER_ZONE,
)
from savoryhill.core.coordination.handlers import (
    IDLE_READ_INTERVAL_S,
    READ_INTERVAL_S,
)
from savoryhill.core.journal.writer import MIN_WRITE_INTERVAL_S

SECONDS_PER_DAY = 86_400.0
# A change reads and writes the record; the watchers of every zone then read it.
WRITES_PER_CHANGE = 1
# Each group of a lost or restarted coordinator is taken over with one write.
WRITES_PER_TAKEOVER = 1


def n_watchers(target):
    """Return the number of nodes that watch the configuration."""
    if target.n_nodes <= MAX_NODES_ALL_WATCH:
        return target.n_nodes
    return WATCHERS_PER_ZONE * target.n_zones


def key_value_rates(target, *, n_shards=8):
    """Return the calls per second by cause.

    Parameters
    ----------
    target : Target
        The fleet size.
    n_shards : int
        Number of journal shards.

    Returns
    -------
    dict of str to tuple of (float, float)
        Reads and writes per second.
    """
    watchers = n_watchers(target)
    n_coordinators = min(target.n_nodes, target.n_groups + target.n_models)
    node_losses_per_s = (
        target.host_failures_per_day + target.restarts_per_day
    ) / SECONDS_PER_DAY
    groups_per_node = max(1.0, target.n_groups / target.n_nodes)
    changes_per_s = target.configuration_changes_per_day / SECONDS_PER_DAY
    return {
        "waiting watches": (float(watchers), 0.0),
        "reading the configuration's head again": (watchers / HEAD_INTERVAL_S, 0.0),
        "coordinator records": (
            n_coordinators / READ_INTERVAL_S + target.n_nodes / IDLE_READ_INTERVAL_S,
            0.0,
        ),
        "configuration changes": (
            changes_per_s * (watchers + 2),
            changes_per_s * WRITES_PER_CHANGE,
        ),
        "takeovers after failures and restarts": (
            node_losses_per_s * groups_per_node,
            node_losses_per_s * groups_per_node * WRITES_PER_TAKEOVER,
        ),
        "journal, at most": (0.0, n_shards / MIN_WRITE_INTERVAL_S),
    }


def zone_loss_load(target):
    """Return the write load that the loss of an availability zone causes.

    Returns
    -------
    dict of str to float
        Number of nodes lost and of groups left without a coordinator, and writes per
        second if the takeovers are spread over 10 s.
    """
    n_nodes = target.n_nodes / target.n_zones
    n_groups = target.n_groups * n_nodes / target.n_nodes
    return {
        "nodes_lost": round(n_nodes, 1),
        "groups_without_coordinator": round(n_groups, 1),
        "writes_per_s_over_10_s": round(n_groups / 10.0, 2),
    }
