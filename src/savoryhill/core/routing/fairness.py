"""Fairness between workspaces: virtual token counters and token limits."""

from functools import lru_cache
from hashlib import blake2b

from savoryhill.core import virtual_counters

# A generated token takes more engine time than a prompt token.
OUTPUT_WEIGHT = 2.0
# Share of a workspace's limit for a model that belongs to the home group.
HOME_GROUP_SHARE = 0.5


def weighted_tokens(uncached_tokens, max_tokens):
    """Return the tokens charged to a workspace for a placement."""
    return uncached_tokens + OUTPUT_WEIGHT * max_tokens


def workspace_weight(configuration, workspace):
    """Return a workspace's weight; an unknown one counts as 1."""
    configured = configuration.workspaces_by_name.get(workspace)
    return max(configured.weight, 1e-6) if configured is not None else 1.0


def charge(group, workspace, tokens):
    """Advance a workspace's virtual counter by tokens divided by its weight.

    A counter below the floor is raised to the floor first. Otherwise a workspace
    that was idle would be served before all others until its counter has caught up.
    """
    virtual_counters.charge(
        group.counters_by_workspace,
        workspace,
        tokens,
        floor=group.counter_floor,
        weight=workspace_weight(group.configuration, workspace),
    )


def refund(group, workspace, tokens):
    """Subtract tokens that were charged but not used from a workspace's counter."""
    virtual_counters.refund(
        group.counters_by_workspace,
        workspace,
        tokens,
        weight=workspace_weight(group.configuration, workspace),
    )


def raise_counter_floor(group, workspaces):
    """Raise the counter floor to the lowest counter of the workspaces in the queue."""
    group.counter_floor = virtual_counters.raised_floor(
        group.counter_floor, group.counters_by_workspace, workspaces
    )


def add_outstanding(group, workspace, n_tokens):
    """Add to the tokens that a workspace's permits hold in this group."""
    value = group.outstanding_by_workspace.get(workspace, 0) + n_tokens
    if value:
        group.outstanding_by_workspace[workspace] = value
    else:
        group.outstanding_by_workspace.pop(workspace, None)


@lru_cache(maxsize=8192)
def _group_share(revision, n_targets, group_ids, group_id, workspace, limit):
    def rendezvous_weight(candidate):
        return blake2b(f"{workspace}\0{candidate}".encode(), digest_size=8).digest()

    budget = limit // n_targets
    if len(group_ids) == 1:
        return budget
    home_budget = int(budget * HOME_GROUP_SHARE)
    if group_id == max(group_ids, key=rendezvous_weight):
        return home_budget
    return (budget - home_budget) // (len(group_ids) - 1)


def workspace_share(configuration, workspace, group_id):
    """Return how many tokens a workspace may have outstanding in a group.

    The shares of all groups add up to at most the workspace's limit, so that the
    limit is kept without messages between coordinators. Of each model's part, half
    goes to one home group, chosen by rendezvous hashing, so that at least one group
    can accept long prompts.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    workspace : str
        The workspace's name.
    group_id : str
        The group.

    Returns
    -------
    int or None
        Tokens, or None for a workspace without a limit.
    """
    configured = configuration.workspaces_by_name.get(workspace)
    if configured is None or not configured.max_outstanding_tokens:
        return None
    target = configuration.groups_by_id[group_id].target
    return _group_share(
        configuration.revision,
        max(1, len(configuration.models)),
        configuration.group_ids_by_target[target],
        group_id,
        workspace,
        configured.max_outstanding_tokens,
    )


def eligible_groups(configuration, workspace, target, n_tokens):
    """Return the groups whose share of a workspace's limit allows a request.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    workspace, target : str
        The workspace and the model.
    n_tokens : int
        Prompt and output tokens of the request.

    Returns
    -------
    tuple of str
        Group identifiers; empty if no group's share allows it.
    """
    group_ids = configuration.group_ids_by_target.get(target, ())
    return tuple(
        group_id
        for group_id in group_ids
        if (share := workspace_share(configuration, workspace, group_id)) is None
        or share >= n_tokens
    )


def within_limit(group, workspace, n_tokens):
    """Return whether a workspace may have ``n_tokens`` more outstanding in a group."""
    share = workspace_share(group.configuration, workspace, group.id)
    if share is None:
        return True
    return group.outstanding_by_workspace.get(workspace, 0) + n_tokens <= share
