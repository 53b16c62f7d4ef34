"""Arithmetic of virtual counters: service received by each workspace, over its weight.

Whoever has received the least is served next. A counter below the floor counts as the
floor, so that nobody collects credit while idle.
"""


def charge(counters_by_workspace, workspace, amount, *, floor, weight=1.0):
    """Add a service to the counter of a workspace, which is raised to the floor first.

    Parameters
    ----------
    counters_by_workspace : dict of str to float
        The counters; changed in place.
    workspace : str
        The workspace that is served.
    amount : float
        Amount of service, in the unit of the counters.
    floor : float
        Value that a counter has at least.
    weight : float
        Weight of the workspace.
    """
    value = max(counters_by_workspace.get(workspace, 0.0), floor)
    counters_by_workspace[workspace] = value + amount / weight


def refund(counters_by_workspace, workspace, amount, *, weight=1.0):
    """Subtract a service that was charged and not used, if the counter is known."""
    if workspace in counters_by_workspace:
        counters_by_workspace[workspace] -= amount / weight


def raised_floor(floor, counters_by_workspace, workspaces):
    """Return the floor, raised to the lowest counter of some workspaces."""
    lowest = min(
        (counters_by_workspace.get(each, 0.0) for each in workspaces), default=floor
    )
    return max(floor, lowest)


def above_floor(counters_by_workspace, floor, kept=()):
    """Return the counters that differ from the floor, and those of ``kept``."""
    return {
        workspace: value
        for workspace, value in counters_by_workspace.items()
        if value > floor or workspace in kept
    }
